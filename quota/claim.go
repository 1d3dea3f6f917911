package quota

// This file decides whether a scheduler may use its share of a limit. Each configured data centre
// has the same share, whether or not its instances are reachable. The shares in use add up to at
// most the limit, except while two instances briefly act as the same scheduler. An instance that
// reaches at most half of those reachable recently may be partitioned, and gets nothing.

import "time"

const (
	// peakWindow is how long the highest number of reachable instances is remembered. It outlasts a
	// network partition and a rolling restart.
	peakWindow = 30 * time.Second
	// claimDelay is how long an instance must reach a majority as a scheduler before it uses its
	// share: isolation is noticed up to 1.5 s late, and after a partition heals both sides reach a
	// majority before they reach each other. Without it, the shares in use have added up to three
	// times the limit after a partition.
	claimDelay = 2 * time.Second
	// maxDuplicates is how many data centres' shares may be in use twice at a time.
	maxDuplicates = 2
)

// A View is an instance's view of the instances that divide a limit.
type View struct {
	Reachable   int  // instances of its data centre that it receives heartbeats from, and itself
	Isolated    bool // no other instance is reachable although others are expected
	IsScheduler bool // the instance is one of its data centre's schedulers
	Schedulers  int  // number of schedulers per data centre
	DataCentres int  // number of data centres that divide the limit
}

// A Claim tracks whether an instance may use its share. The zero value is the claim of an instance
// that has just started. A Claim is not safe for concurrent use.
type Claim struct {
	peak   int       // highest recent number of reachable instances
	peakAt time.Time // when peak was last reached
	since  time.Time // start of the current claim; zero if there is none
}

// Share returns the share of the limit at now, from 0 to 1, which is 0 until the claim has lasted
// claimDelay. It must be called often: interruptions between calls go unnoticed.
func (c *Claim) Share(v View, now time.Time) float64 {
	majority := c.reachesMajority(v.Reachable, now)
	if !majority || v.Isolated || !v.IsScheduler {
		c.since = time.Time{}
		return 0
	}
	if c.since.IsZero() {
		c.since = now
	}
	if now.Sub(c.since) < claimDelay {
		return 0
	}
	return 1 / float64(v.Schedulers*v.DataCentres)
}

// reachesMajority records that n instances are reachable. It reports whether they exceed half the
// peak.
func (c *Claim) reachesMajority(n int, now time.Time) bool {
	if n >= c.peak || now.Sub(c.peakAt) > peakWindow {
		c.peak, c.peakAt = n, now
	}
	return 2*n > c.peak
}

// MaxTotalShare returns an upper bound of the sum of all shares, as a multiple of the limit.
func MaxTotalShare(dataCentres int) float64 { return 1 + maxDuplicates/float64(max(1, dataCentres)) }
