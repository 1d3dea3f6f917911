package gossip

// This file measures the round trip to other regions. It does no I/O.
//
// Queueing delay shows how loaded the link between regions is. Each scheduler measures the round
// trip from the echoes of schedulers in other regions, less the time that they held the token.
// Process pauses delay single datagrams and queueing delays all of them, so the minimum over a
// second is the current round trip, and the minimum over a minute is the propagation delay. Bytes
// are no measure: an instance only knows its own, and not the capacity of the link.

import (
	"time"

	"go.uber.org/zap"
)

const (
	// linkQueueWindow is the window whose minimum is the current round trip. It holds about one
	// sample from each scheduler of the other regions.
	linkQueueWindow = time.Second
	// linkBaseWindow is the window whose minimum is the propagation delay.
	linkBaseWindow = time.Minute
	// Queueing delays at which the link is logged as congested, and below which as clear again.
	linkCongested = 20 * time.Millisecond
	linkClear     = 5 * time.Millisecond
)

// A windowedMin is the minimum of a sliding window, whose length is accurate to half the window.
type windowedMin struct {
	window            time.Duration
	halfStart         time.Time
	current, previous time.Duration
}

// add records v at now and returns the minimum of the window.
func (l *windowedMin) add(now time.Time, v time.Duration) time.Duration {
	passed := now.Sub(l.halfStart)
	switch {
	case l.halfStart.IsZero() || passed >= l.window:
		l.halfStart, l.current, l.previous = now, v, v
	case passed >= l.window/2:
		l.halfStart, l.current, l.previous = now, v, l.current
	}
	l.current = min(l.current, v)
	return min(l.current, l.previous)
}

// A link is the measured state of the path to other regions.
type link struct {
	recent, base windowedMin
	rtt          time.Duration // including queueing; zero: not measured
	congested    bool          // as last logged
}

func newLink() link {
	return link{recent: windowedMin{window: linkQueueWindow}, base: windowedMin{window: linkBaseWindow}}
}

// add records the round trip rtt, and returns the propagation delay and the present queueing delay.
func (l *link) add(now time.Time, rtt time.Duration) (propagation, queueing time.Duration) {
	propagation = l.base.add(now, rtt)
	l.rtt = l.recent.add(now, rtt)
	return propagation, max(0, l.rtt-propagation)
}

// measureLink records the round trip of a message from another region. The caller holds g.mu.
func (g *Gossip) measureLink(now time.Time, m *Message) {
	if m.TokenHeld == 0 || m.Echo == 0 || m.Echo > g.token || g.token-m.Echo >= tokenWindow || g.Regions[m.DataCentre] == g.Regions[g.DataCentre] {
		return
	}
	rtt := now.Sub(g.sent[m.Echo%tokenWindow]) - m.TokenHeld
	if rtt <= 0 {
		return
	}
	propagation, queueing := g.link.add(now, rtt)
	g.Balancer.SetLink(propagation, queueing)
	if g.link.congested && queueing < linkClear || !g.link.congested && queueing >= linkCongested {
		g.link.congested = !g.link.congested
		g.Log.Info("cross-region link state changed", zap.Bool("full", g.link.congested), zap.Duration("way", propagation), zap.Duration("queue", queueing))
	}
}

// tokenHoldTime returns how long the last token of a member in another region has been held, and
// zero for a member in this region. The caller holds g.mu.
func (g *Gossip) tokenHoldTime(member *Member) time.Duration {
	if g.Regions[member.DataCentre] == g.Regions[g.DataCentre] {
		return 0
	}
	return max(time.Microsecond, g.Now().Sub(member.lastHeard))
}
