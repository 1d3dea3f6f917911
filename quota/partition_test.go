package quota_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/quota"
)

// stabilize gives a claim the same view for long enough to reach its share.
func stabilize(c *quota.PartitionClaim, v quota.PartitionView, now time.Time) float64 {
	c.Share(v, now)
	return c.Share(v, now.Add(2*time.Second))
}

func TestShareFollowsReachableInstances(t *testing.T) {
	var c quota.PartitionClaim
	all := quota.PartitionView{Reachable: 6, MaxPeerReachable: 6, DataCentres: 3, ConfiguredDataCentres: 3}
	if share := c.Share(all, start); share != 0 {
		t.Errorf("share %.2f at the start, want 0", share)
	}
	if share := c.Share(all, start.Add(2*time.Second)); share != 1 {
		t.Errorf("share %.2f while all instances are reachable, want 1", share)
	}
	at := start.Add(3 * time.Second)
	if share := c.Share(quota.PartitionView{Reachable: 2, MaxPeerReachable: 2, DataCentres: 1, ConfiguredDataCentres: 3}, at); share < 0.4 || share > 0.5 {
		t.Errorf("share %.2f of one data centre of three, want 0.4 to 0.5", share)
	}
	if share := c.Share(all, at.Add(time.Second)); share > 0.5 {
		t.Errorf("share %.2f right after a partition, want at most 0.5", share)
	}
	if share := stabilize(&c, all, at.Add(time.Second)); share != 1 {
		t.Errorf("share %.2f some time after a partition, want 1", share)
	}
}

// Losing one data centre or one instance of six leaves the share whole. The last instance keeps a
// part, and gets the whole after a while if no data centres are configured.
func TestInstanceLossKeepsShare(t *testing.T) {
	for _, v := range []quota.PartitionView{
		{Reachable: 83, MaxPeerReachable: 83, DataCentres: 5, ConfiguredDataCentres: 6},
		{Reachable: 5, MaxPeerReachable: 5, DataCentres: 3, ConfiguredDataCentres: 3},
	} {
		var c quota.PartitionClaim
		stabilize(&c, quota.PartitionView{Reachable: 6 * v.Reachable / 5, MaxPeerReachable: 6 * v.Reachable / 5, DataCentres: v.ConfiguredDataCentres, ConfiguredDataCentres: v.ConfiguredDataCentres}, start)
		if share := c.Share(v, start.Add(3*time.Second)); share != 1 {
			t.Errorf("share after the loss of instances, with %+v: %.2f, want 1", v, share)
		}
	}
	var c quota.PartitionClaim
	stabilize(&c, quota.PartitionView{Reachable: 6, MaxPeerReachable: 6}, start)
	last := quota.PartitionView{Reachable: 1, MaxPeerReachable: 1}
	if share := c.Share(last, start.Add(3*time.Second)); share < 0.2 {
		t.Errorf("share %.2f for the only instance left, right after the others are lost, want at least 0.2", share)
	}
	if share := stabilize(&c, last, start.Add(40*time.Second)); share != 1 {
		t.Errorf("share %.2f for the only instance left, some time after the others are lost, want 1", share)
	}
}

// However a fleet is partitioned, the shares of all sides add up to at most 1.4, even if no instance
// remembers the size of the fleet.
func TestSharesOfAllPartitionsStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dataCentres := rapid.IntRange(2, 6).Draw(t, "data centres")
		perDataCentre := rapid.IntRange(1, 60).Draw(t, "instances of each")
		partition := make([]int, dataCentres) // index of the side, by data centre
		for i := range partition {
			partition[i] = rapid.IntRange(0, dataCentres-1).Draw(t, "side")
		}
		forgetPeak := rapid.Bool().Draw(t, "forgotten")
		sum := 0.0
		for side := range dataCentres {
			reachable := 0
			for _, other := range partition {
				if other == side {
					reachable++
				}
			}
			if reachable == 0 {
				continue
			}
			var c quota.PartitionClaim
			stabilize(&c, quota.PartitionView{Reachable: dataCentres * perDataCentre, MaxPeerReachable: dataCentres * perDataCentre, DataCentres: dataCentres, ConfiguredDataCentres: dataCentres}, start)
			view := quota.PartitionView{Reachable: reachable * perDataCentre, MaxPeerReachable: reachable * perDataCentre, DataCentres: reachable, ConfiguredDataCentres: dataCentres}
			if forgetPeak {
				c = quota.PartitionClaim{}
				sum += stabilize(&c, view, start.Add(time.Hour))
			} else {
				sum += c.Share(view, start.Add(4*time.Second))
			}
		}
		if sum > 1.4+1e-9 {
			t.Fatalf("sides %v: total share %.2f, want at most 1.4", partition, sum)
		}
	})
	// Two instances reach the same third data centre but not each other.
	sum := 0.0
	for range 2 {
		var c quota.PartitionClaim
		sum += stabilize(&c, quota.PartitionView{Reachable: 40, MaxPeerReachable: 60, DataCentres: 2, ConfiguredDataCentres: 3}, start)
	}
	if sum > 1.4+1e-9 {
		t.Errorf("total share %.2f of two instances that reach the same others but not each other, want at most 1.4", sum)
	}
}

// Guards against exceeding a limit when instances start behind a partition, where none can reach a
// seed: each would claim the share of its whole side. An instance isolated later keeps its share.
func TestInstanceThatStartsIsolatedHoldsNoShare(t *testing.T) {
	var c quota.PartitionClaim
	isolated := quota.PartitionView{Reachable: 1, MaxPeerReachable: 1, DataCentres: 1, ConfiguredDataCentres: 5, Isolated: true}
	if share := stabilize(&c, isolated, start); share != 0 {
		t.Errorf("share %.2f of an instance that has reached no other, want 0", share)
	}
	if share := c.Share(isolated, start.Add(time.Hour)); share != 0 {
		t.Errorf("share %.2f of an instance that has reached no other for an hour, want 0", share)
	}
	joined := quota.PartitionView{Reachable: 6, MaxPeerReachable: 6, DataCentres: 5, ConfiguredDataCentres: 5}
	if share := stabilize(&c, joined, start.Add(time.Hour)); share != 1 {
		t.Errorf("share %.2f after the instance has reached the others, want 1", share)
	}
	if share := stabilize(&c, isolated, start.Add(time.Hour+3*time.Second)); share < 0.2 {
		t.Errorf("share %.2f of an instance that became isolated, want at least 0.2", share)
	}
}
