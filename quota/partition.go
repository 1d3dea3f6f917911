package quota

// This file decides the share of a limit that one instance holds on behalf of all. In a network
// partition each side elects its own holder, so the share is proportional to the reachable instances.
// Requiring a majority would leave two equal halves, or the last instance of a fleet, with nothing.

import "time"

// maxTotalShare bounds the sum of the shares of all sides. It is below one and a half to leave room
// for the contents of token buckets.
const maxTotalShare = 1.4

// A PartitionView is an instance's view of the instances on its side of a possible partition.
type PartitionView struct {
	Reachable             int  // instances that it receives heartbeats from, and itself
	MaxPeerReachable      int  // highest Reachable of another instance
	DataCentres           int  // number of data centres of the reachable instances
	ConfiguredDataCentres int  // number of data centres in the configuration; zero if none are configured
	Isolated              bool // no other instance is reachable although others are configured
}

// countTolerance is the relative difference between MaxPeerReachable and Reachable that delayed
// reports may cause without a partition.
const countTolerance = 0.1

// A PartitionClaim computes the share of an instance from its views. The zero value is the claim of
// an instance that has just started. A PartitionClaim is not safe for concurrent use.
type PartitionClaim struct {
	peak         int       // highest recent number of reachable instances
	peakAt       time.Time // when peak was last reached
	joined       bool      // another instance has been reachable, or none is configured
	share        float64
	pendingShare float64   // lowest target since pendingSince
	pendingSince time.Time // the target has been above share since; zero if it is not
}

// Share returns the share of the limit at now, from 0 to 1. It falls at once, but rises only after
// claimDelay, as the sides of a healing partition notice that at different times. Call it often.
//
// The share is zero until another configured instance has been reachable. An instance that starts
// behind a partition, out of reach of its seeds, is unknown to the other instances on its side, and
// any number of such instances would each count as a side.
func (c *PartitionClaim) Share(v PartitionView, now time.Time) float64 {
	c.joined = c.joined || !v.Isolated
	if v.Reachable >= c.peak || now.Sub(c.peakAt) > peakWindow {
		c.peak, c.peakAt = v.Reachable, now
	}
	target := 0.0
	if c.joined {
		target = v.share(c.peak)
	}
	if target <= c.share {
		c.share, c.pendingSince = target, time.Time{}
		return c.share
	}
	if c.pendingSince.IsZero() {
		c.pendingSince, c.pendingShare = now, target
	}
	c.pendingShare = min(c.pendingShare, target)
	if now.Sub(c.pendingSince) >= claimDelay {
		c.share, c.pendingSince = c.pendingShare, time.Time{}
	}
	return c.share
}

// share returns the share given the recent peak of reachable instances.
func (v *PartitionView) share(peak int) float64 {
	share := min(1, maxTotalShare*float64(v.Reachable)/float64(max(1, peak)))
	if v.ConfiguredDataCentres > 0 {
		share = min(share, maxTotalShare*float64(v.DataCentres)/float64(v.ConfiguredDataCentres))
	}
	if v.Isolated || float64(v.MaxPeerReachable) > (1+countTolerance)*float64(v.Reachable)+1 {
		// Others reach instances that this one doesn't, so there may be a second holder.
		share = min(share, maxTotalShare/2)
	}
	return share
}
