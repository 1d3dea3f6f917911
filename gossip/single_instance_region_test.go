package gossip

import (
	"testing"
	"time"
)

// Regression test: with gateways, the only instance of a region took itself for isolated although
// it received from the schedulers of another region, and held no share of any budget.
func TestSingleInstanceRegionHasShare(t *testing.T) {
	t.Parallel()
	for _, useGateways := range []bool{false, true} {
		w := newRegionSimulation(t, 4, 2, twoByOne, useGateways)
		w.nodes[3].dead = true
		w.run(40 * time.Second)
		n := w.nodes[1]
		n.mu.Lock()
		share, others := n.retryShare, len(n.members.currentRoles(w.now).schedulers)
		n.mu.Unlock()
		if share != 0.5 {
			t.Errorf("gateways %v: retry share is %.2f, want 0.5; %d other schedulers known", useGateways, share, others)
		}
	}
}
