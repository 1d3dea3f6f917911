package gossip

// This file announces the build and settings of this instance, and records those of others.
//
// A version mark (inventory.Mark) is sent with heartbeats and complete reports, and only if it
// has changed or markInterval has passed, to save bandwidth between data centres. Changed
// settings and rejected settings files are announced at once.

import (
	"time"

	"ivyridge/inventory"
)

const (
	// lostTTL is how long a member that timed out stays listed as lost, for operators to see
	// after an alert.
	lostTTL = 2 * time.Minute
	// maxLost bounds the number of lost members listed.
	maxLost = 1024
	// markInterval is how often an unchanged mark is sent to each receiver group again, for lost
	// datagrams and new receivers.
	markInterval = 15 * time.Second
)

// A Seen is a snapshot of what this instance knows of another one.
type Seen struct {
	Member
	Mark       inventory.Mark
	Told       bool // it announces its build and settings
	Schedules  bool
	Lost       bool
	HeardSince time.Duration // time since the last message from it
}

// A sentMark is the mark last sent to a receiver group.
type sentMark struct {
	mark   inventory.Mark
	sentAt time.Time // zero: none was sent
}

// urgent reports whether m should be sent before the next heartbeat: operators wait to see
// changed settings applied. A new build is not urgent, since it reaches all instances at once,
// and all would announce it at once.
func (t *sentMark) urgent(m *inventory.Mark) bool {
	return m != nil && !t.sentAt.IsZero() &&
		(t.mark.Settings != m.Settings || t.mark.Refused != m.Refused || t.mark.Waiting != m.Waiting)
}

// next returns m if it is due to be sent at now, and nil otherwise.
func (t *sentMark) next(m *inventory.Mark, now time.Time) *inventory.Mark {
	if m == nil || !t.sentAt.IsZero() && t.mark == *m && now.Sub(t.sentAt) < markInterval {
		return nil
	}
	t.mark, t.sentAt = *m, now
	return m
}

// mark returns the build and settings of this instance, nil if they aren't announced.
func (g *Gossip) mark() *inventory.Mark {
	if g.Mark == nil {
		return nil
	}
	m := g.Mark()
	return &m
}

// recordLost records a member that timed out. If there are too many, it evicts the one that has
// been lost for the longest.
func (s *members) recordLost(m *Member) {
	if s.lost == nil {
		s.lost = make(map[string]*Member)
	}
	s.lost[m.Address] = m
	if len(s.lost) <= maxLost {
		return
	}
	oldest := m
	for _, other := range s.lost {
		if other.lastHeard.Before(oldest.lastHeard) {
			oldest = other
		}
	}
	delete(s.lost, oldest.Address)
}

// Seen returns the other instances that are live, and those that timed out within the last two
// minutes.
func (g *Gossip) Seen() []Seen {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	isScheduler := make(map[string]bool)
	for _, m := range g.members.currentRoles(now).schedulers {
		isScheduler[m.Address] = true
	}
	var out []Seen
	g.members.eachLive(now, func(m *Member) { out = append(out, m.seen(now, isScheduler[m.Address])) })
	for address, m := range g.members.lost {
		if now.Sub(m.lastHeard) > lostTTL {
			delete(g.members.lost, address)
			continue
		}
		seen := m.seen(now, false)
		seen.Lost = true
		out = append(out, seen)
	}
	return out
}

func (m *Member) seen(now time.Time, isScheduler bool) Seen {
	s := Seen{Member: *m, Schedules: isScheduler, HeardSince: now.Sub(m.lastHeard)}
	if m.mark != nil {
		s.Mark, s.Told = *m.mark, true
	}
	return s
}
