package quota

// This file decides the share of a limit that one instance holds on behalf of all.
//
// The holder uses the whole limit while it hears all instances. In a network partition each
// side elects its own holder, so a holder's share is proportional to the instances that it
// hears: the shares of all sides, however many, add up to at most maxTotalShare. Requiring a
// majority would leave two equal halves with nothing, and the last instance of a fleet waiting
// for others that don't return.

import "time"

// maxTotalShare is the most that the shares of all sides add up to. It is below one and a half
// to leave room for the contents of token buckets.
const maxTotalShare = 1.4

// A PartitionView is an instance's view of the instances on its side of a possible network
// partition.
type PartitionView struct {
	Heard                 int  // instances heard, including itself
	MaxPeerHeard          int  // the highest number of instances that another one reports to hear
	DataCentres           int  // data centres of the instances heard
	ConfiguredDataCentres int  // data centres in the configuration; zero if none are configured
	Isolated              bool // no other instance is heard although others are configured
}

// countTolerance is the relative difference between MaxPeerHeard and Heard that is attributed to
// delayed reports rather than to a partition.
const countTolerance = 0.1

// A PartitionClaim computes the share of an instance from its views. The zero value is the claim of
// an instance that has just started. A PartitionClaim is not safe for concurrent use.
type PartitionClaim struct {
	peak         int       // highest number of instances heard recently
	peakAt       time.Time // when peak was last reached
	share        float64
	pendingShare float64   // lowest target since pendingSince
	pendingSince time.Time // the target has been above share since; zero if it is not
}

// Share returns the share of the limit at now, from 0 to 1. It falls at once, but rises only
// after it could have been higher for claimDelay, since the sides of a healing partition
// notice that at different times. Call it often.
func (c *PartitionClaim) Share(s PartitionView, now time.Time) float64 {
	if s.Heard >= c.peak || now.Sub(c.peakAt) > peakWindow {
		c.peak, c.peakAt = s.Heard, now
	}
	target := s.share(c.peak)
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

// share returns the share of a side, given the recent peak of instances heard.
func (s *PartitionView) share(peak int) float64 {
	share := min(1, maxTotalShare*float64(s.Heard)/float64(max(1, peak)))
	if s.ConfiguredDataCentres > 0 {
		share = min(share, maxTotalShare*float64(s.DataCentres)/float64(s.ConfiguredDataCentres))
	}
	if s.Isolated || float64(s.MaxPeerHeard) > (1+countTolerance)*float64(s.Heard)+1 {
		// Others hear instances that this one doesn't, so there may be a second holder.
		share = min(share, maxTotalShare/2)
	}
	return share
}
