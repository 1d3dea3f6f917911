package gossip

// This file says what this instance runs, and keeps what the others said.
//
// A mark travels with heartbeats and whole reports only, and there when it has changed or was
// last told some time ago: with every heartbeat, marks were 15% of the bytes between the data centres of 300
// instances; so they are 4%. Other settings, and a file that was kept out, are told at once.

import (
	"time"

	"ivyridge/inventory"
)

const (
	// lostFor is how long an instance that is not heard any more is listed as lost: long
	// enough to be found after an alarm.
	lostFor = 2 * time.Minute
	// lostMost bounds the lost instances that are listed.
	lostMost = 1024
	// markEvery is how often each audience is told a mark that stays the same: datagrams are
	// lost, and some start to listen.
	markEvery = 15 * time.Second
)

// A Seen is an instance as this one knows it.
type Seen struct {
	Member
	Mark       inventory.Mark
	Told       bool // it says what it runs
	Schedules  bool
	Lost       bool
	HeardSince time.Duration // since it was last heard
}

// A told is the mark that an audience was last told.
type told struct {
	mark inventory.Mark
	at   time.Time // zero: none was
}

// urgent reports whether operators should see a mark before the next heartbeat is due: they
// have changed settings and wait for that. A new version comes to all at once, and would be
// told by all at once.
func (t *told) urgent(m *inventory.Mark) bool {
	return m != nil && !t.at.IsZero() &&
		(t.mark.Settings != m.Settings || t.mark.Refused != m.Refused || t.mark.Waiting != m.Waiting)
}

// next returns what of m is told at now: all or nothing.
func (t *told) next(m *inventory.Mark, now time.Time) *inventory.Mark {
	if m == nil || !t.at.IsZero() && t.mark == *m && now.Sub(t.at) < markEvery {
		return nil
	}
	t.mark, t.at = *m, now
	return m
}

// mark returns what this instance says of itself; nil if there is nothing to say.
func (g *Gossip) mark() *inventory.Mark {
	if g.Mark == nil {
		return nil
	}
	m := g.Mark()
	return &m
}

// lose keeps a member that is not heard any more, in place of the one that was lost first if there are
// too many.
func (s *members) lose(m *Member) {
	if s.lost == nil {
		s.lost = make(map[string]*Member)
	}
	s.lost[m.Address] = m
	if len(s.lost) <= lostMost {
		return
	}
	oldest := m
	for _, other := range s.lost {
		if other.heard.Before(oldest.heard) {
			oldest = other
		}
	}
	delete(s.lost, oldest.Address)
}

// Seen returns the other instances that are heard or were of late.
func (g *Gossip) Seen() []Seen {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	schedules := make(map[string]bool)
	for _, m := range g.members.current(now).schedulers {
		schedules[m.Address] = true
	}
	var out []Seen
	g.members.live(now, func(m *Member) { out = append(out, m.seen(now, schedules[m.Address])) })
	for address, m := range g.members.lost {
		if now.Sub(m.heard) > lostFor {
			delete(g.members.lost, address)
			continue
		}
		seen := m.seen(now, false)
		seen.Lost = true
		out = append(out, seen)
	}
	return out
}

func (m *Member) seen(now time.Time, schedules bool) Seen {
	s := Seen{Member: *m, Schedules: schedules, HeardSince: now.Sub(m.heard)}
	if m.mark != nil {
		s.Mark, s.Told = *m.mark, true
	}
	return s
}
