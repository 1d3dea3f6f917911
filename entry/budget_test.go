package entry

import (
	"testing"

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
			fleet[i] = newBudgets(ratio, extra)
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

func TestBudgetRecovers(t *testing.T) {
	b := newBudgets(0.2, 8)
	b.request("s")
	for b.retry("s") {
	}
	if b.has("s") {
		t.Fatal("a spent budget has a retry")
	}
	for range 6 {
		b.request("s")
	}
	if !b.retry("s") {
		t.Fatal("six requests earn no retry")
	}
	if b.retry("other") {
		t.Fatal("a service without requests has a retry")
	}
}
