// Package limit enforces the rate limits that endpoints announce in their responses, over all
// instances together.
//
// No instance sees all requests to an endpoint, and an equal share of a low rate is less than a
// request for each of hundreds of instances. So one instance allocates the rate of an endpoint: the
// others ask it for a permit before each request, and it applies a token bucket (Allocator). All
// instances compute the same allocator for an endpoint (AllocatorOf). How much of the rate it may
// grant depends on which instances it hears (quota.PartitionView).
//
// A State is what is known about a limit. States of several instances can be merged in any order
// and repeatedly; the newest wins.
//
// The package does no I/O: times and random numbers are passed in. Nothing in it is safe for
// concurrent use.
package limit

import "time"

// A State is what is known about an endpoint's limit. The zero value is no knowledge.
type State struct {
	Limited bool      // the endpoint has a limit
	Rate    float64   // if Limited: requests per second from all instances together
	AsOf    time.Time // when the endpoint stated this, or later; zero if it never did
}

// Known reports whether anything is known about the limit.
func (w *State) Known() bool { return !w.AsOf.IsZero() }

// Set records a response, received now, that states a limit of rate. It reports whether the
// limit has changed.
func (w *State) Set(rate float64, now time.Time) (news bool) {
	news = !w.Limited || w.Rate != rate
	*w = State{Limited: true, Rate: rate, AsOf: now}
	return news
}

// Lift records a response without a limit to a request that was sent at the given time. It has
// no effect if the request isn't newer than the known limit, since responses overtake each
// other and the head of a stream is as old as its start. It reports whether it lifted a
// limit.
func (w *State) Lift(sent time.Time) (news bool) {
	if !w.Known() || !sent.After(w.AsOf) {
		return false
	}
	news = w.Limited
	*w = State{AsOf: sent}
	return news
}

// Merge adopts another instance's State if it is newer, and reports whether the limit has
// changed.
func (w *State) Merge(other State) (news bool) {
	if !other.Known() || !other.AsOf.After(w.AsOf) {
		return false
	}
	news = w.Limited != other.Limited || w.Rate != other.Rate
	*w = other
	return news
}

const (
	// liftedTTL is how long it is reported that a limit was lifted, enough to reach all
	// instances.
	liftedTTL = 5 * time.Second
	// relayPenalty is added to the age of a State received, more than its time in transit.
	// Otherwise a State that is relayed in circles would appear newer each time and outlive the
	// one that lifts the limit.
	relayPenalty = 500 * time.Millisecond
)

// Received returns a State received now from another instance, with the age that it states.
func Received(named bool, rate float64, age time.Duration, now time.Time) State {
	return State{Limited: named, Rate: rate, AsOf: now.Add(-age - relayPenalty)}
}

// Reportable reports whether the State needs to be sent to other instances.
func (w *State) Reportable(now time.Time) bool {
	return w.Known() && (w.Limited || now.Sub(w.AsOf) < liftedTTL)
}
