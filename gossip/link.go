package gossip

// This file measures the round trip to other regions. It does no I/O.
//
// Nobody tells how wide the link between two regions is, nor how full. What shows is its queue:
// a datagram that waits behind prompts comes back later than it otherwise would. Each scheduler
// takes the round trip from the echoes in what schedulers of other regions say, less the time that
// they held the token. Their processes and this one add pauses of their own, to single
// datagrams; the queue is common to all. So the least of a second counts, and the least of a
// minute is what the way itself takes.
//
// Counting the bytes that cross was weighed: each instance knows its own only, and the width
// would have to be a setting.

import (
	"time"

	"go.uber.org/zap"
)

const (
	// linkRecent is over how long the least round trip is the present one: nine or more
	// schedulers of other regions speak once a second each.
	linkRecent = time.Second
	// linkBase is over how long the least is what the way itself takes.
	linkBase = time.Minute
	// A link counts as full in the log from one queue on, and as free again below another.
	linkFull = 20 * time.Millisecond
	linkFree = 5 * time.Millisecond
)

// A leastOver holds the least of what was seen within a time, to within half of it.
type leastOver struct {
	over         time.Duration
	at           time.Time // the present half began
	now, earlier time.Duration
}

// add takes up a value, and returns the least.
func (l *leastOver) add(now time.Time, v time.Duration) time.Duration {
	passed := now.Sub(l.at)
	switch {
	case l.at.IsZero() || passed >= l.over:
		l.at, l.now, l.earlier = now, v, v
	case passed >= l.over/2:
		l.at, l.now, l.earlier = now, v, l.now
	}
	l.now = min(l.now, v)
	return min(l.now, l.earlier)
}

// A link is what is known of the way to other regions.
type link struct {
	recent, base leastOver
	trip         time.Duration // the way and its queue, as last measured; zero: not measured
	full         bool          // as last logged
}

func newLink() link {
	return link{recent: leastOver{over: linkRecent}, base: leastOver{over: linkBase}}
}

// add takes up a round trip, and returns that of the way itself and what waits there now.
func (l *link) add(now time.Time, trip time.Duration) (way, queue time.Duration) {
	way = l.base.add(now, trip)
	l.trip = l.recent.add(now, trip)
	return way, max(0, l.trip-way)
}

// measure takes up the round trip that a message from another region shows. The caller holds
// g.mu.
func (g *Gossip) measure(now time.Time, m *Message) {
	if m.Held == 0 || m.Echo == 0 || m.Echo > g.token || g.token-m.Echo >= tokensKept || g.Regions[m.DataCentre] == g.Regions[g.DataCentre] {
		return
	}
	trip := now.Sub(g.sent[m.Echo%tokensKept]) - m.Held
	if trip <= 0 {
		return
	}
	way, queue := g.link.add(now, trip)
	g.Balancer.SetLink(way, queue)
	if g.link.full && queue < linkFree || !g.link.full && queue >= linkFull {
		g.link.full = !g.link.full
		g.Log.Info("link to other regions", zap.Bool("full", g.link.full), zap.Duration("way", way), zap.Duration("queue", queue))
	}
}

// held returns for how long a member's token has been held, where it is of another region;
// zero otherwise. The caller holds g.mu.
func (g *Gossip) held(member *Member) time.Duration {
	if g.Regions[member.DataCentre] == g.Regions[g.DataCentre] {
		return 0
	}
	return max(time.Microsecond, g.Now().Sub(member.heard))
}
