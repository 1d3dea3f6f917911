package gossip

import (
	"testing"
	"time"
)

// The only instance of a region hears the schedulers of the other region, and so is not cut off.
// Since regions are told through gateways, it took itself for one that hears nobody, and had no
// part of what the fleet divides: no retries, and no cold endpoint bore anything of its region.
func TestLoneInstanceOfARegionHasItsPart(t *testing.T) {
	t.Parallel()
	for _, divided := range []bool{false, true} {
		w := newRegionsWorld(t, 4, 2, oneEach, divided)
		w.nodes[3].dead = true
		w.run(40 * time.Second)
		n := w.nodes[1]
		n.mu.Lock()
		part, others := n.part, len(n.members.current(w.now).schedulers)
		n.mu.Unlock()
		if part != 0.5 {
			t.Errorf("divided %v: the part is %.2f, want 0.5; %d schedulers are heard", divided, part, others)
		}
	}
}
