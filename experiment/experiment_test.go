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
	t.Fatalf("scenario %s is not in the suite", name)
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

func TestDeterministic(t *testing.T) {
	s := scenario(t, "huurtoets/letter x2")
	a, b := s.Run(policy(t, home.Full), 1), s.Run(policy(t, home.Full), 1)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two runs with the same seed differ, want equal results:\n%+v\n%+v", a, b)
	}
}

// FIFO must fail where the full policy succeeds, else the surge is too small.
func TestHighTierProtectedDuringSurge(t *testing.T) {
	s := scenario(t, "huurtoets/letter x5")
	full, fifo := s.Run(policy(t, home.Full), 1), s.Run(policy(t, home.FIFO), 1)
	if got := full.Class("verdict").Attainment; got < 0.98 {
		t.Errorf("attainment of class verdict is %.3f under the full policy, want at least 0.98", got)
	}
	if got := fifo.Class("verdict").Attainment; got > 0.5 {
		t.Errorf("attainment of class verdict is %.3f under FIFO, want at most 0.5: the surge is too small", got)
	}
}

func TestNoRequestUnfinishedAfterCrash(t *testing.T) {
	s := scenario(t, "huurtoets/engine crash in a wave")
	for _, c := range s.Run(policy(t, home.Full), 1).Classes {
		if c.Unfinished > 0 {
			t.Errorf("%d requests of class %s unfinished at the end of the run, want none", c.Unfinished, c.Class)
		}
	}
}

// If a result exceeds the bound, the bound is wrong.
func TestResultsWithinBound(t *testing.T) {
	for _, name := range []string{"huurtoets/verdict x2", "inspection/report x2"} {
		s := scenario(t, name)
		r, b := s.Run(policy(t, home.Full), 1), s.Bound(1)
		if got := r.Class(s.SurgeClass).SurgeOnTime; got > b.Surge {
			t.Errorf("%s: %d requests of the surge on time, want at most the bound of %d", name, got, b.Surge)
		}
		if r.Goodput > b.Goodput {
			t.Errorf("%s: goodput is %.0f tokens/s, want at most the bound of %.0f", name, r.Goodput, b.Goodput)
		}
	}
}
