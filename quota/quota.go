// Package quota divides limits that no instance can count alone among the instances: a request rate,
// a number of retries, or the connections to an endpoint.
//
// Each instance spends only its own share, so the total is within the limit whatever the state of
// the network. An instance is reachable by another that receives its heartbeats.
//
// A Claim or PartitionClaim decides which instances hold a share: one that has just started, or that
// may be partitioned from the others, holds less or nothing. A Lease is a share that expires unless
// renewed, so that an instance holds none after it was suspended. A TokenBucket refills with time
// and limits a rate. A RetryBudget is filled by requests and limits retries to a ratio of them plus
// a constant.
//
// Within any window, all RetryBudgets together spend at most what they contain at its start plus
// what is deposited in it. A budget that is lost with its holder is replaced by an empty one, so
// crashes, restarts and partitions never add tokens.
//
// A single counter, by consensus or at one owner, would have to be reachable from every instance,
// and two owners on the sides of a partition would double the limit.
package quota

import "time"

// LeaseDuration is how long a Lease is valid without being renewed. An instance that was paused has
// no share until it has recomputed it.
const LeaseDuration = time.Second

// A Lease is an instance's share of a limit, valid for LeaseDuration. The zero value is no share. It
// is not safe for concurrent use.
type Lease struct {
	share float64 // of the limit, from 0 to 1
	until time.Time
}

// Renew sets the share and renews it for LeaseDuration from now. If it reports that no share was
// held before, tokens left from an earlier share are to be discarded.
func (l *Lease) Renew(share float64, now time.Time) (lapsed bool) {
	lapsed = l.Share(now) <= 0
	l.share, l.until = share, now.Add(LeaseDuration)
	return lapsed
}

// Share returns the share of the limit at now, or 0 if it has expired.
func (l *Lease) Share(now time.Time) float64 {
	if now.After(l.until) {
		return 0
	}
	return max(0, l.share)
}

// PerHolder returns one holder's limit, an equal part of utilization, from 0 to 1, of total. It is
// at least minimum, so very many holders can exceed the total.
func PerHolder(total int, utilization float64, holders, minimum int) int {
	return max(minimum, int(utilization*float64(total)/float64(holders)))
}
