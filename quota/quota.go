// Package quota divides limits that apply to all instances together and that no instance can
// count alone: a request rate, a number of retries, the connections to an endpoint.
//
// Each instance spends only its own share, so the total is within the limit whatever the
// state of the network between instances. Three questions are answered:
//
//   - Which instances hold a share (Claim, PartitionClaim). Shares that are useful only when pooled
//     belong to the schedulers, the few instances that choose endpoints for others. An instance
//     that has just started, or that may be partitioned from the others, holds less or nothing.
//   - How long a share is valid (Lease). A share expires unless it is renewed, so that an
//     instance that was suspended holds none when it resumes.
//   - How much of a share is left (TokenBucket, RetryBudget). A TokenBucket refills with time and limits a
//     rate; a RetryBudget is filled by requests and limits retries to a ratio of them plus a
//     constant.
//
// RetryBudgets together spend within any window at most what they contain at its start plus
// what is deposited in it. They start with at most their base capacities plus a part of the
// deposits of a period shorter than a window. So the total is at most the constant plus the
// ratio of the requests in the window, or in the one before if that has more. A bucket that is
// lost with its holder or its share is replaced by an empty one, so crashes, restarts and
// partitions never add tokens.
//
// A single counter under consensus, or one owner that grants leases, would need every instance
// that spends to reach one place; and two owners on the two sides of a partition would double
// the limit.
package quota

import "time"

// LeaseDuration is how long a Lease is valid without being renewed.
const LeaseDuration = time.Second

// A Lease is an instance's share of a limit, valid for LeaseDuration. The zero value is no share. A
// Lease is not safe for concurrent use.
type Lease struct {
	share float64 // of the limit, from 0 to 1
	until time.Time
}

// Renew sets the share and renews it for LeaseDuration from now. It reports whether no share was
// held before, in which case tokens left from an earlier one are to be discarded.
func (p *Lease) Renew(share float64, now time.Time) (lapsed bool) {
	lapsed = p.Share(now) <= 0
	p.share, p.until = share, now.Add(LeaseDuration)
	return lapsed
}

// Share returns the share of the limit at now, or 0 if it has expired.
func (p *Lease) Share(now time.Time) float64 {
	if now.After(p.until) {
		return 0
	}
	return max(0, p.share)
}

// PerHolder returns one holder's limit on a count that is shared by several, of which the part
// utilization, from 0 to 1, is divided equally. Each holder gets at least minimum, so that
// very many holders can exceed the total.
func PerHolder(total int, utilization float64, holders, minimum int) int {
	return max(minimum, int(utilization*float64(total)/float64(holders)))
}
