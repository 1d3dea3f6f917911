package gossip

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// coldShares returns the sum of the live instances' cold shares, and the number of holders.
func (w *simulation) coldShares() (sum float64, holders int) {
	for _, n := range w.nodes {
		if n.dead {
			continue
		}
		n.mu.Lock()
		share := n.members.coldShare(w.now, n.members.currentRoles(w.now), n.DataCentres)
		n.mu.Unlock()
		if share > 0 {
			sum += share
			holders++
		}
	}
	return sum, holders
}

const maxShareSum = 1 + 1e-9

// Once membership is stable, the shares sum to one. All instances of a small fleet hold a share; in
// a large one, only its schedulers in use do.
func TestColdSharesSumToOne(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ n, dataCentres, holders int }{{6, 3, 6}, {60, 3, 3}, {295, 5, 10}} {
		w := newSimulation(t, c.n, c.dataCentres)
		if sum, _ := w.coldShares(); sum != 0 {
			t.Errorf("%d instances: cold shares sum to %.2f at the start, want 0", c.n, sum)
		}
		w.run(12 * time.Second)
		if sum, holders := w.coldShares(); sum < 0.99 || sum > maxShareSum || holders != c.holders {
			t.Errorf("%d instances: %d hold cold shares of %.2f in sum, want %d holders and 1", c.n, holders, sum, c.holders)
		}
	}
}

// An instance that is isolated while running, or from its start, holds no share.
func TestIsolatedInstanceHasNoColdShare(t *testing.T) {
	w := newSimulation(t, 60, 3)
	w.run(12 * time.Second)
	first := w.nodes[0]
	w.lost = func(a, b *node) bool { return a == first || b == first }
	w.run(8 * time.Second)
	if sum, _ := w.coldShares(); sum > maxShareSum {
		t.Errorf("cold shares sum to %.2f while one instance is isolated, want at most maxShareSum", sum)
	}
	w.start(0, 9999, "dc0", 0.8)
	w.lost = func(a, b *node) bool { return a == w.nodes[0] || b == w.nodes[0] }
	w.run(20 * time.Second)
	n := w.nodes[0]
	n.mu.Lock()
	defer n.mu.Unlock()
	if share := n.members.coldShare(w.now, n.members.currentRoles(w.now), 0); share != 0 {
		t.Errorf("instance that started isolated holds a cold share of %.2f, want 0", share)
	}
}

func (w *simulation) coldSharesNeverExceed(limit float64, d time.Duration) {
	w.t.Helper()
	for end := w.now.Add(d); w.now.Before(end); {
		w.run(100 * time.Millisecond)
		if sum, holders := w.coldShares(); sum > limit+1e-9 {
			w.t.Fatalf("%d instances hold cold shares of %.2f in sum, more than the limit", holders, sum)
		}
	}
}

// isolate partitions each given instance from all others and drops 2% of the other datagrams.
func (w *simulation) isolate(rng *rand.Rand, instances ...int) {
	isolated := make(map[*node]bool)
	for _, i := range instances {
		isolated[w.nodes[i]] = true
	}
	w.lost = func(a, b *node) bool { return isolated[a] || isolated[b] || rng.IntN(50) == 0 }
}

// Regression test: after a partition healed, instances that had been isolated from each other saw
// most of their data centre but not yet one another, and together held more than the whole rate.
func TestColdSharesAfterPartitionHeals(t *testing.T) {
	w := newSimulation(t, 45, 5)
	rng := rand.New(rand.NewPCG(9, 1))
	w.run(8 * time.Second)
	w.isolate(rng, 2, 13, 33, 7, 0, 42, 3, 1, 6, 8, 25)
	w.coldSharesNeverExceed(1+2.0/5, 4*time.Second)
	w.isolate(rng, 2)
	w.coldSharesNeverExceed(1+2.0/5, 7*time.Second)
}

// Regression test: after a partition began, instances that took over counted their share before
// all isolated ones had noticed and given up theirs.
func TestColdSharesAfterPartitionBegins(t *testing.T) {
	w := newSimulation(t, 24, 3)
	rng := rand.New(rand.NewPCG(0, 1))
	w.run(10 * time.Second)
	w.lost = func(a, b *node) bool {
		return a.DataCentre == "dc0" && b.DataCentre == "dc1" || a.DataCentre == "dc1" && b.DataCentre == "dc0"
	}
	w.coldSharesNeverExceed(1+2.0/3, 7*time.Second)
	w.isolate(rng, 13, 11, 1, 0, 16, 20, 10, 8, 6)
	w.coldSharesNeverExceed(1+2.0/3, 3*time.Second)
}

// With random crashes, restarts, partitions and datagram loss, the sum of shares exceeds one by
// at most the shares of two data centres. Run more cases with -rapid.checks=400.
func TestColdSharesUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		dataCentres := rapid.IntRange(3, 5).Draw(rt, "data centres")
		w := newSimulation(t, dataCentres*rapid.IntRange(4, 6).Draw(rt, "each"), dataCentres)
		for _, n := range w.nodes {
			n.DataCentres = dataCentres
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		w.run(8 * time.Second)
		for range 3 {
			switch rapid.IntRange(0, 3).Draw(rt, "trouble") {
			case 0: // crash some instances
				for range rapid.IntRange(1, w.size/2).Draw(rt, "deaths") {
					w.nodes[rapid.IntRange(0, w.size-1).Draw(rt, "dies")].dead = true
				}
			case 1: // restart crashed instances
				for i, n := range w.nodes {
					if n.dead {
						w.start(i, rng.Uint64()|1, n.DataCentre, n.Cores)
						w.nodes[i].DataCentres = dataCentres
					}
				}
			case 2: // isolate some instances
				isolated := make(map[*node]bool)
				for range rapid.IntRange(1, w.size/2).Draw(rt, "cuts") {
					isolated[w.nodes[rapid.IntRange(0, w.size-1).Draw(rt, "cut off")]] = true
				}
				w.lost = func(a, b *node) bool { return isolated[a] || isolated[b] || rng.IntN(50) == 0 }
			default: // partition two data centres from each other
				w.lost = func(a, b *node) bool {
					return a.DataCentre == "dc0" && b.DataCentre == "dc1" || a.DataCentre == "dc1" && b.DataCentre == "dc0"
				}
			}
			for end := w.now.Add(time.Duration(rapid.IntRange(1, 6).Draw(rt, "s")) * time.Second); w.now.Before(end); {
				w.run(100 * time.Millisecond)
				if sum, holders := w.coldShares(); sum > 1+2/float64(dataCentres)+1e-9 {
					rt.Fatalf("%d instances hold cold shares of %.2f in sum, want at most 1 plus those of two data centres", holders, sum)
				}
			}
		}
	})
}
