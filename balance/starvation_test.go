package balance_test

// Two teams' rush beyond the engines was over, and for five seconds from then on 93 of 351 requests
// of the middle urgency had got nothing while longer, less urgent ones began: they were let in
// again half a second after the last refusal, and one by one meanwhile, whenever an engine had
// nothing waiting. From the lines of all instances: at 22.0 s "letter team-limit": 32 in half a
// second, "dossier ok": 5; at 22.5 s none, and 9; at 23.0 s none, and 17.

import (
	"testing"
	"time"

	"ivyridge/balance"
)

// busy is how many of 16 slots are taken once urgent requests have got nothing.
const busy = 10

// starved returns a balancer that has refused ten and more urgent requests, and those that run.
func starved(t *testing.T) (*fixture, *balance.Balancer, []*balance.Placement) {
	t.Helper()
	f := newFixture(2)
	f.engines.Engine.Slots = 8
	b := f.balancer()
	var running []*balance.Placement
	refused := 0
	for range 60 {
		p, refusal := b.Admit(f.endpoints, f.stream())
		if refusal != nil {
			refused++
			continue
		}
		running = append(running, p)
	}
	if refused < 10 {
		t.Fatalf("%d of 60 urgent requests are refused: the test shows nothing", refused)
	}
	for i, p := range running {
		p.First(100 * time.Millisecond)
		if i >= busy {
			p.Done(balance.Served)
		}
	}
	return f, b, running
}

func TestLessUrgentWaitUntilUrgentAreServedAgain(t *testing.T) {
	f, b, running := starved(t)
	began := f.now
	for f.now.Sub(began) < 4*time.Second {
		f.now = f.now.Add(500 * time.Millisecond)
		if p, _ := b.Admit(f.endpoints, f.stream()); p == nil {
			t.Fatal("an urgent request is refused where slots are free")
		} else {
			p.First(100 * time.Millisecond)
			p.Done(balance.Served)
		}
		if p, refusal := b.Admit(f.endpoints, f.long(5)); p != nil {
			t.Fatalf("a less urgent request begins %s after urgent ones got nothing", f.now.Sub(began))
		} else if refusal.RetryAfter <= 0 {
			t.Error("no time to come back")
		}
	}
	for _, p := range running[:busy] {
		p.Done(balance.Served)
	}
	if p, _ := b.Admit(f.endpoints, f.long(5)); p == nil {
		t.Error("a less urgent request is refused while the engines are idle")
	}
	// Idle engines starve nobody: what comes then is let in while they are busy, too.
	for range busy {
		p, _ := b.Admit(f.endpoints, f.stream())
		p.First(100 * time.Millisecond)
	}
	f.now = f.now.Add(100 * time.Millisecond)
	if p, _ := b.Admit(f.endpoints, f.long(6)); p == nil {
		t.Error("a less urgent request is refused after the engines were idle")
	}
}

// They wait no longer than urgent callers count, though the engines never are idle.
func TestLessUrgentWaitForFiveSecondsAtMost(t *testing.T) {
	f, b, _ := starved(t)
	f.now = f.now.Add(4 * time.Second)
	if p, _ := b.Admit(f.endpoints, f.long(5)); p != nil {
		t.Error("a less urgent request begins 4 s after urgent ones got nothing")
	}
	f.now = f.now.Add(1600 * time.Millisecond)
	if p, refusal := b.Admit(f.endpoints, f.long(5)); p == nil {
		t.Errorf("a less urgent request is refused 5.6 s after urgent ones got nothing: %+v", refusal)
	}
}
