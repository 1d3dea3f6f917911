package entry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against retries beyond the bound over all instances, in any distribution of requests and
// with any partition of the fleet.
func TestFleetRetriesStayWithinBound(t *testing.T) {
	for _, c := range []struct {
		instances, groups int // of those that hear each other
		ratio, extra      float64
	}{
		{1, 1, 0.2, 27},
		{12, 1, 2, 107},
		{12, 2, 0.2, 107},
		{100, 2, 2, 400},
		{100, 100, 0.2, 27},
		{100, 100, 2, 27},
	} {
		rapid.Check(t, func(t *rapid.T) {
			inTurn := rapid.Bool().Draw(t, "in turn")
			fleet := make([]*retryBudgets, c.instances)
			for i := range fleet {
				fleet[i] = newRetryBudgets(c.ratio, int(c.extra), time.Now)
				fleet[i].setInstances((c.instances + c.groups - 1) / c.groups)
			}
			requests, retries := 0, 0
			for n := range rapid.IntRange(0, 400).Draw(t, "events") {
				at := n % c.instances
				if !inTurn {
					at = rapid.IntRange(0, c.instances-1).Draw(t, "instance")
				}
				b := fleet[at]
				b.deposit("s")
				requests++
				for b.spend("s") {
					retries++
				}
				if limit := c.ratio*float64(requests) + c.extra; float64(retries) > limit {
					t.Fatalf("%+v: %d retries for %d requests, at most %.1f allowed", c, retries, requests, limit)
				}
			}
		})
	}
}

// Guards against a budget that starts with retries, that grants any while the number of
// instances is unknown, or that saves more than its limit.
func TestRetryBudgetIsEarnedByRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newRetryBudgets(0.2, 107, func() time.Time { return now })
	for range 200 {
		b.deposit("s")
	}
	if b.available("s") {
		t.Fatal("a retry is available before the number of instances is known")
	}
	b.setInstances(1)
	if b.spend("s") {
		t.Fatal("a retry is available before requests have earned it")
	}
	for range 38 { // each earns 0.038, of which 0.027 may be spent
		b.deposit("s")
	}
	if !b.spend("s") || b.available("s") {
		t.Fatal("38 requests did not earn exactly one retry")
	}
	for range 1000 {
		b.deposit("s")
	}
	saved := 0
	for b.spend("s") {
		saved++
	}
	if saved != 15 {
		t.Fatalf("%d retries are saved, want 15: 4 as this instance's part of 107, and 0.3 of what 1,000 requests just earned", saved)
	}
	now = now.Add(time.Minute)
	for range 200 {
		b.deposit("s")
	}
	if saved = 0; b.available("s") {
		for now = now.Add(6 * time.Second); b.spend("s"); saved++ {
		}
	}
	if saved != 4 {
		t.Fatalf("%d retries are saved when nothing was earned recently, want 4", saved)
	}
	if b.spend("other") {
		t.Fatal("a retry is available for a service without requests")
	}
}
