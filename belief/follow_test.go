package belief

import (
	"testing"
	"time"
)

// A change is in force within two seconds in the smallest promise; gathering
// may take a part of that only.
func TestGatheringGrowsWithTheFleet(t *testing.T) {
	for n, want := range map[int]time.Duration{
		1: gatherFor, 7: gatherFor, 50: 500 * time.Millisecond, 80: 800 * time.Millisecond, 390: gatherMost,
	} {
		if got := gather(n); got != want {
			t.Errorf("%d instances gather for %v, want %v", n, got, want)
		}
	}
	if gatherMost > time.Second {
		t.Errorf("gathering takes up to %v", gatherMost)
	}
}

func TestFewAskTheStore(t *testing.T) {
	if due(0) != 0 {
		t.Error("the first by rank waits")
	}
	for rank := 1; rank < 400; rank++ {
		if due(rank) < due(rank-1) || due(rank) > oldestAge {
			t.Errorf("rank %d asks at %v, rank %d at %v", rank, due(rank), rank-1, due(rank-1))
		}
	}
}
