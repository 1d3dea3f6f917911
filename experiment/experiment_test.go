package experiment_test

import (
	"reflect"
	"strings"
	"testing"

	"ivyridge/experiment"
	"ivyridge/home"
)

func scenario(t *testing.T, name string) *experiment.Scenario {
	t.Helper()
	users, err := experiment.Users("../bench")
	if err != nil {
		t.Fatal(err)
	}
	for i := range users {
		for _, s := range users[i].Suite() {
			if strings.HasSuffix(s.Name, name) {
				return s
			}
		}
	}
	t.Fatalf("no scenario is called %s", name)
	return nil
}

func policy(t *testing.T, name string) home.Policy {
	t.Helper()
	p, err := home.ParsePolicy(name)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Virtual time gives the same result for the same seed, on any machine.
func TestSameSeedSameResult(t *testing.T) {
	s := scenario(t, "huurtoets/letter x2")
	a, b := s.Run(policy(t, home.Full), 1), s.Run(policy(t, home.Full), 1)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two runs differ:\n%+v\n%+v", a, b)
	}
}

// Verdicts hold while letters surge, and lose nearly all in a plain line.
func TestVerdictsHold(t *testing.T) {
	s := scenario(t, "huurtoets/letter x5")
	full, plain := s.Run(policy(t, home.Full), 1), s.Run(policy(t, home.FIFO), 1)
	if got := full.Class("verdict").Attainment; got < 0.98 {
		t.Errorf("verdicts reach %.3f under the full policy", got)
	}
	if got := plain.Class("verdict").Attainment; got > 0.5 {
		t.Errorf("verdicts reach %.3f in one line: the surge is none", got)
	}
}

// An accepted letter is finished, also when an engine crashes.
func TestCrashLeavesNothingUnfinished(t *testing.T) {
	s := scenario(t, "huurtoets/engine crash in a wave")
	for _, c := range s.Run(policy(t, home.Full), 1).Classes {
		if c.Left > 0 {
			t.Errorf("%d requests of class %s were never answered", c.Left, c.Class)
		}
	}
}

// No policy beats the bound.
func TestBoundHolds(t *testing.T) {
	for _, name := range []string{"huurtoets/verdict x2", "inspection/report x2"} {
		s := scenario(t, name)
		r, b := s.Run(policy(t, home.Full), 1), s.Bound(1)
		if got := r.Class(s.SurgeClass).SurgeOnTime; got > b.Surge {
			t.Errorf("%s: %d served of at most %d", name, got, b.Surge)
		}
		if r.Goodput > b.Goodput {
			t.Errorf("%s: goodput %.0f of at most %.0f", name, r.Goodput, b.Goodput)
		}
	}
}
