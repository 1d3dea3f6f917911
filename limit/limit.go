// Package limit keeps the rate of requests that an endpoint takes from all instances together,
// as the endpoint names it in its answers.
//
// No instance can count alone what reaches an endpoint, and at a request a second and 390
// instances nobody's equal part is a request. So one instance divides an endpoint's rate: the
// others ask it for a permit before they send, one by one, and it keeps the rate with a token
// bucket (Divider). Which instance that is follows from an order that all work out alike
// (Order), and how much of the rate it may give out from whom it hears (quota.Side).
//
// What is known of a limit is a Word. Words of several instances are merged in any order, and
// as often as one likes; the newest holds.
//
// The package does no I/O: instants and chance are handed in. Nothing in it is safe for
// concurrent use.
package limit

import "time"

// A Word is what is known of an endpoint's limit. The zero value: nothing.
type Word struct {
	Named bool      // the endpoint names a limit
	Rate  float64   // requests a second from all instances together, if it is named
	At    time.Time // the endpoint said so then, or before; zero: it never did
}

// Known reports whether the endpoint has said anything of a limit.
func (w *Word) Known() bool { return !w.At.IsZero() }

// Name takes up an answer, received now, that names a limit. It reports whether that is news.
func (w *Word) Name(rate float64, now time.Time) (news bool) {
	news = !w.Named || w.Rate != rate
	*w = Word{Named: true, Rate: rate, At: now}
	return news
}

// Lift takes up an answer that names no limit, to a request that was sent at an instant. An
// answer that may have been made before the limit was named tells nothing: a stream's head is
// as old as its beginning, and answers pass each other. It reports whether that is news.
func (w *Word) Lift(sent time.Time) (news bool) {
	if !w.Known() || !sent.After(w.At) {
		return false
	}
	news = w.Named
	*w = Word{At: sent}
	return news
}

// Merge takes up what another instance knows, and reports whether that is news.
func (w *Word) Merge(other Word) (news bool) {
	if !other.Known() || !other.At.After(w.At) {
		return false
	}
	news = w.Named != other.Named || w.Rate != other.Rate
	*w = other
	return news
}

const (
	// toldFor is how long it is told that a limit is over: longer than it takes to reach all.
	toldFor = 5 * time.Second
	// toldOlder is how much older a word that is told is taken for than it says: more than the
	// time on the way. Told round and round it would otherwise grow younger, and outlast
	// the answer that ends it.
	toldOlder = 500 * time.Millisecond
)

// Told returns a word that another instance has told, received now, which is as old as it says.
func Told(named bool, rate float64, age time.Duration, now time.Time) Word {
	return Word{Named: named, Rate: rate, At: now.Add(-age - toldOlder)}
}

// Matters reports whether there is something to tell others.
func (w *Word) Matters(now time.Time) bool {
	return w.Known() && (w.Named || now.Sub(w.At) < toldFor)
}
