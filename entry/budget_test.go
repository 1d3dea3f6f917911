package entry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// However requests and retries fall, and however few of the fleet hear each other, all
// instances together keep within the ratio and the extra. Of 100 that hear nobody each has
// room for one retry of an extra of 27: buckets that start full hold four times that.
func TestBudgetsOfAFleetKeepTheBound(t *testing.T) {
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
			fleet := make([]*budgets, c.instances)
			for i := range fleet {
				fleet[i] = newBudgets(c.ratio, int(c.extra), time.Now)
				fleet[i].setInstances((c.instances + c.groups - 1) / c.groups)
			}
			requests, retries := 0, 0
			for n := range rapid.IntRange(0, 400).Draw(t, "events") {
				at := n % c.instances
				if !inTurn {
					at = rapid.IntRange(0, c.instances-1).Draw(t, "instance")
				}
				b := fleet[at]
				b.request("s")
				requests++
				for b.retry("s") {
					retries++
				}
				if most := c.ratio*float64(requests) + c.extra; float64(retries) > most {
					t.Fatalf("%+v made %d retries of %d requests, %.1f are allowed", c, retries, requests, most)
				}
			}
		})
	}
}

// A bucket starts empty, is filled by requests, and holds its part of the extra at most,
// which is nothing while it is not known how many share it.
func TestBudgetIsEarned(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBudgets(0.2, 107, func() time.Time { return now })
	for range 200 {
		b.request("s")
	}
	if b.has("s") {
		t.Fatal("a retry is saved by an instance that does not know how many share the bound")
	}
	b.setInstances(1)
	if b.retry("s") {
		t.Fatal("a bucket has a retry before a request has earned it")
	}
	for range 38 { // each earns 0.038, of which 0.027 may be spent
		b.request("s")
	}
	if !b.retry("s") || b.has("s") {
		t.Fatal("38 requests don't earn one retry")
	}
	for range 1000 {
		b.request("s")
	}
	saved := 0
	for b.retry("s") {
		saved++
	}
	if saved != 15 {
		t.Fatalf("%d retries are saved, want 4, a part of 107, and 0.3 of what 1,000 requests have earned just now", saved)
	}
	now = now.Add(time.Minute)
	for range 200 {
		b.request("s")
	}
	if saved = 0; b.has("s") {
		for now = now.Add(6 * time.Second); b.retry("s"); saved++ {
		}
	}
	if saved != 4 {
		t.Fatalf("%d retries are saved when nothing was earned of late, want 4", saved)
	}
	if b.retry("other") {
		t.Fatal("a service without requests has a retry")
	}
}
