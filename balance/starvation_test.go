package balance_test

// The tests in this file guard against admitting less urgent requests right after, or between,
// refusals of urgent ones, whose callers then find engines busy on their return.

import (
	"testing"
	"time"

	"ivyridge/balance"
)

// busySlots is how many of 16 slots stay in use after urgent requests were starved.
const busySlots = 10

// starved returns a balancer that has refused at least ten urgent requests, and the running ones.
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
		t.Fatalf("%d of 60 urgent requests refused, want at least 10", refused)
	}
	for i, p := range running {
		p.RecordFirstEvent(100 * time.Millisecond)
		if i >= busySlots {
			p.Done(balance.Served)
		}
	}
	return f, b, running
}

func TestStarvationRefusesLessUrgentUntilIdle(t *testing.T) {
	f, b, running := starved(t)
	began := f.now
	for f.now.Sub(began) < 4*time.Second {
		f.now = f.now.Add(500 * time.Millisecond)
		if p, _ := b.Admit(f.endpoints, f.stream()); p == nil {
			t.Fatal("urgent request refused while slots are free")
		} else {
			p.RecordFirstEvent(100 * time.Millisecond)
			p.Done(balance.Served)
		}
		if p, refusal := b.Admit(f.endpoints, f.long(5)); p != nil {
			t.Fatalf("less urgent request admitted %s after urgent ones were starved", f.now.Sub(began))
		} else if refusal.RetryAfter <= 0 {
			t.Error("refusal without a retry time")
		}
	}
	for _, p := range running[:busySlots] {
		p.Done(balance.Served)
	}
	if p, _ := b.Admit(f.endpoints, f.long(5)); p == nil {
		t.Error("less urgent request refused while the engines are idle")
	}
	// An idle service resets starvation, so that requests are admitted once it is busy again.
	for range busySlots {
		p, _ := b.Admit(f.endpoints, f.stream())
		p.RecordFirstEvent(100 * time.Millisecond)
	}
	f.now = f.now.Add(100 * time.Millisecond)
	if p, _ := b.Admit(f.endpoints, f.long(6)); p == nil {
		t.Error("less urgent request refused after the engines were idle")
	}
}

// Starvation ends after starvationWindow even if the engines are never idle.
func TestStarvationLastsFiveSecondsAtMost(t *testing.T) {
	f, b, _ := starved(t)
	f.now = f.now.Add(4 * time.Second)
	if p, _ := b.Admit(f.endpoints, f.long(5)); p != nil {
		t.Error("less urgent request admitted 4 s after urgent ones were starved")
	}
	f.now = f.now.Add(1600 * time.Millisecond)
	if p, refusal := b.Admit(f.endpoints, f.long(5)); p == nil {
		t.Errorf("less urgent request got refusal %+v 5.6 s after urgent ones were starved, want none", refusal)
	}
}
