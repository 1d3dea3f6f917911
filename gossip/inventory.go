package gossip

// This file announces the build and settings of this instance, and records those of others.
//
// An inventory.Summary is sent with heartbeats and complete reports, and only if it
// has changed or summaryInterval has passed, to save bandwidth between data centres. Changed
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
	// summaryInterval is how often an unchanged summary is sent to each receiver group again, for
	// lost datagrams and new receivers.
	summaryInterval = 15 * time.Second
)

// An InstanceInfo is a snapshot of what this instance knows of another one.
type InstanceInfo struct {
	Member
	Summary     inventory.Summary
	HasSummary  bool // it announces its build and settings
	IsScheduler bool
	Lost        bool
	SinceHeard  time.Duration // time since the last message from it
}

// A sentSummary is the summary last sent to a receiver group.
type sentSummary struct {
	summary inventory.Summary
	sentAt  time.Time // zero: none was sent
}

// urgent reports whether m should be sent before the next heartbeat: operators wait to see
// changed settings applied. A new build is not urgent, since it reaches all instances at once,
// and all would announce it at once.
func (t *sentSummary) urgent(m *inventory.Summary) bool {
	return m != nil && !t.sentAt.IsZero() &&
		(t.summary.Settings != m.Settings || t.summary.Refused != m.Refused || t.summary.NeedsRestart != m.NeedsRestart)
}

// next returns m if it is due to be sent at now, and nil otherwise.
func (t *sentSummary) next(m *inventory.Summary, now time.Time) *inventory.Summary {
	if m == nil || !t.sentAt.IsZero() && t.summary == *m && now.Sub(t.sentAt) < summaryInterval {
		return nil
	}
	t.summary, t.sentAt = *m, now
	return m
}

// ownSummary returns the build and settings of this instance, nil if they aren't announced.
func (g *Gossip) ownSummary() *inventory.Summary {
	if g.Summary == nil {
		return nil
	}
	m := g.Summary()
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

// Inventory returns the other instances that are live, and those that timed out within the last two
// minutes.
func (g *Gossip) Inventory() []InstanceInfo {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	isScheduler := make(map[string]bool)
	for _, m := range g.members.currentRoles(now).schedulers {
		isScheduler[m.Address] = true
	}
	var out []InstanceInfo
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

func (m *Member) seen(now time.Time, isScheduler bool) InstanceInfo {
	s := InstanceInfo{Member: *m, IsScheduler: isScheduler, SinceHeard: now.Sub(m.lastHeard)}
	if m.summary != nil {
		s.Summary, s.HasSummary = *m.summary, true
	}
	return s
}
