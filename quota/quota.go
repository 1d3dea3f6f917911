// Package quota divides bounds that hold for all instances together and that none of them
// can count: a rate, a number of retries, an endpoint's connections.
//
// A bound is divided beforehand. An instance uses only its own part, so that what all use
// follows from what all hold, whoever hears whom. Three questions are answered here, each
// in a file:
//
//   - Who holds a part, and since when (Claim). Parts of what must be pooled to be of use
//     belong to the few instances that choose endpoints for others. What is not known is
//     taken for the worst: an instance that has just started, or may be cut off, holds none.
//   - Until when (Part). A part lapses unless it is worked out anew, so that an instance
//     that was paused holds none when it goes on.
//   - What is left of it (Timed, Earned). A Timed bucket is filled by time and keeps a
//     rate; an Earned one is filled by the requests that its holder sees, and keeps a
//     share of them and a number beyond.
//
// The bound of Earned buckets: what all of them spend within any window is at most what they
// held at its start and what they earned within it. They held the parts of all together at
// most, and what is kept of the earnings of the time before, which is shorter than a window.
// So it is at most the extra and the share of the requests in the window, or in the one
// before it if that has more. A bucket that is lost, with its holder or its part, takes its
// content along, and a new one is empty: deaths, restarts and cuts create nothing.
//
// Consensus on one counter and leases from one owner were refused: both need all instances
// that spend to reach one, and two owners in two halves are wrong by the whole.
package quota

import "time"

// PartFor is how long a part holds that was worked out from whom the instance hears: one
// that was paused has none until it has looked again.
const PartFor = time.Second

// A Part is an instance's part of a bound, for a while. The zero value is none.
type Part struct {
	share float64 // of the whole
	until time.Time
}

// Hold replaces the part, as of now. It reports whether none was held just before, so that
// what was left of it is lost.
func (p *Part) Hold(share float64, now time.Time) (lapsed bool) {
	lapsed = p.Share(now) <= 0
	p.share, p.until = share, now.Add(PartFor)
	return lapsed
}

// Share returns the part at now, of the whole.
func (p *Part) Share(now time.Time) float64 {
	if now.After(p.until) {
		return 0
	}
	return max(0, p.share)
}

// Each returns what one of several holders has of a count of which at most the part safe is
// used, but least at any rate: it suits counts that many small holders use at once, and
// that may be passed where holders are very many.
func Each(whole int, safe float64, holders, least int) int {
	return max(least, int(safe*float64(whole)/float64(holders)))
}
