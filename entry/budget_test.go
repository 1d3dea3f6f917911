package entry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// However requests and retries fall, and however few of the fleet hear each
// other, all instances together keep within the ratio and the extra.
func TestBudgetsOfAFleetKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, extra = 0.2, 52
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		groups := rapid.IntRange(1, 2).Draw(t, "groups") // that do not hear each other
		fleet := make([]*budgets, instances)
		for i := range fleet {
			fleet[i] = newBudgets(ratio, extra, time.Now)
			fleet[i].setInstances((instances + groups - 1) / groups)
		}
		requests, retries := 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "events") {
			b := fleet[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			b.request("s")
			requests++
			for b.retry("s") {
				retries++
			}
		}
		if most := ratio*float64(requests) + extra; float64(retries) > most {
			t.Fatalf("%d instances in %d groups made %d retries of %d requests, %.0f are allowed", instances, groups, retries, requests, most)
		}
	})
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
