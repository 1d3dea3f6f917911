// Package limit enforces the rate limits that endpoints announce in their responses, over all
// instances together.
//
// An equal share of a low rate is less than one request for each of hundreds of instances. So one
// instance, computed by AllocatorOf, allocates the rate of an endpoint: the others request a permit
// before each request, and its Allocator applies a token bucket. How much of the rate it may grant
// depends on which instances it can reach (quota.PartitionView).
//
// Times and random numbers are passed in. Nothing here is safe for concurrent use.
package limit

import "time"

// A State is what is known about an endpoint's limit. The zero value is no knowledge. States of
// several instances can be merged in any order and repeatedly; the newest wins.
type State struct {
	Limited bool      // the endpoint has a limit
	Rate    float64   // if Limited: requests per second from all instances together
	AsOf    time.Time // approximate time when the endpoint stated this; zero: never
}

func (s *State) Known() bool { return !s.AsOf.IsZero() }

// SetLimit records a response, received now, that states a limit of rate in requests per second. It
// reports whether the limit has changed.
func (s *State) SetLimit(rate float64, now time.Time) (changed bool) {
	changed = !s.Limited || s.Rate != rate
	*s = State{Limited: true, Rate: rate, AsOf: now}
	return changed
}

// Lift records a response without a limit and reports whether that lifts a limit. It has no effect
// unless the request, sent at the time sent, is newer than the limit, since responses overtake each
// other.
func (s *State) Lift(sent time.Time) (changed bool) {
	if !s.Known() || !sent.After(s.AsOf) {
		return false
	}
	changed = s.Limited
	*s = State{AsOf: sent}
	return changed
}

// Merge adopts another instance's State if it is newer and reports whether the limit has changed.
func (s *State) Merge(other State) (changed bool) {
	if !other.Known() || !other.AsOf.After(s.AsOf) {
		return false
	}
	changed = s.Limited != other.Limited || s.Rate != other.Rate
	*s = other
	return changed
}

const (
	// liftedTTL is how long a lifted limit is reported, enough to reach all instances.
	liftedTTL = 5 * time.Second
	// relayPenalty is added to the age of a received State and exceeds its time in transit.
	// Otherwise a State relayed in circles would appear newer each time and outlive its successor.
	relayPenalty = 500 * time.Millisecond
)

// Received returns the State for a report, received now from another instance, of the given age.
func Received(limited bool, rate float64, age time.Duration, now time.Time) State {
	return State{Limited: limited, Rate: rate, AsOf: now.Add(-age - relayPenalty)}
}

// Reportable reports whether the State needs to be sent to other instances.
func (s *State) Reportable(now time.Time) bool {
	return s.Known() && (s.Limited || now.Sub(s.AsOf) < liftedTTL)
}
