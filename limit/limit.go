// Package limit enforces the rate limits that endpoints announce in their responses, over all
// instances together.
//
// No instance sees all requests to an endpoint, and an equal share of a low rate is less than a
// request for each of hundreds of instances. So one instance divides the rate of an endpoint:
// the others ask it for a permit before each request, and it applies a token bucket (Divider).
// All instances compute the same divider for an endpoint (Divides). How much of the rate it may
// grant depends on which instances it hears (quota.Side).
//
// A Word is what is known about a limit. Words of several instances can be merged in any order
// and repeatedly; the newest wins.
//
// The package does no I/O: times and random numbers are passed in. Nothing in it is safe for
// concurrent use.
package limit

import "time"

// A Word is what is known about an endpoint's limit. The zero value is no knowledge.
type Word struct {
	Named bool      // the endpoint has a limit
	Rate  float64   // if Named: requests per second from all instances together
	At    time.Time // when the endpoint stated this, or later; zero if it never did
}

// Known reports whether anything is known about the limit.
func (w *Word) Known() bool { return !w.At.IsZero() }

// Name records a response, received now, that states a limit of rate. It reports whether the
// limit has changed.
func (w *Word) Name(rate float64, now time.Time) (news bool) {
	news = !w.Named || w.Rate != rate
	*w = Word{Named: true, Rate: rate, At: now}
	return news
}

// Lift records a response without a limit to a request that was sent at the given time. It has
// no effect if the request isn't newer than the known limit, since responses overtake each
// other and the head of a stream is as old as its start. It reports whether it lifted a
// limit.
func (w *Word) Lift(sent time.Time) (news bool) {
	if !w.Known() || !sent.After(w.At) {
		return false
	}
	news = w.Named
	*w = Word{At: sent}
	return news
}

// Merge adopts another instance's Word if it is newer, and reports whether the limit has
// changed.
func (w *Word) Merge(other Word) (news bool) {
	if !other.Known() || !other.At.After(w.At) {
		return false
	}
	news = w.Named != other.Named || w.Rate != other.Rate
	*w = other
	return news
}

const (
	// liftedTTL is how long it is reported that a limit was lifted, enough to reach all
	// instances.
	liftedTTL = 5 * time.Second
	// relayPenalty is added to the age of a Word received, more than its time in transit.
	// Otherwise a Word that is relayed in circles would appear newer each time and outlive the
	// one that lifts the limit.
	relayPenalty = 500 * time.Millisecond
)

// Told returns a Word received now from another instance, with the age that it states.
func Told(named bool, rate float64, age time.Duration, now time.Time) Word {
	return Word{Named: named, Rate: rate, At: now.Add(-age - relayPenalty)}
}

// Matters reports whether the Word needs to be sent to other instances.
func (w *Word) Matters(now time.Time) bool {
	return w.Known() && (w.Named || now.Sub(w.At) < liftedTTL)
}
