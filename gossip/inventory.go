package gossip

// This file announces the build and settings of this instance, and records those of others. To
// save bandwidth, heartbeats and complete reports carry a summary only if it has changed or
// summaryInterval has passed. Changed and rejected settings are announced at once.

import (
	"time"

	"ivyridge/inventory"
)

const (
	// lostTTL is how long a member that timed out stays listed as lost, for operators to see.
	lostTTL = 2 * time.Minute
	maxLost = 1024
	// summaryInterval is how often a summary is repeated, for lost datagrams and new receivers.
	summaryInterval = 15 * time.Second
)

// An InstanceInfo is a snapshot of what this instance knows of another one.
type InstanceInfo struct {
	Member
	Summary        inventory.Summary
	HasSummary     bool // it announces its build and settings
	IsScheduler    bool
	Lost           bool
	SinceHeartbeat time.Duration // time since the last message from it
}

// A sentSummary is the summary last sent to a receiver group.
type sentSummary struct {
	summary inventory.Summary
	sentAt  time.Time // zero: none was sent
}

// urgent reports whether current should be sent before the next heartbeat. A new build is not: it
// reaches all instances at once, and all would announce it at once.
func (s *sentSummary) urgent(current *inventory.Summary) bool {
	return current != nil && !s.sentAt.IsZero() &&
		(s.summary.Settings != current.Settings || s.summary.Rejected != current.Rejected || s.summary.NeedsRestart != current.NeedsRestart)
}

// next returns current if it is due to be sent at now, and nil otherwise.
func (s *sentSummary) next(current *inventory.Summary, now time.Time) *inventory.Summary {
	if current == nil || !s.sentAt.IsZero() && s.summary == *current && now.Sub(s.sentAt) < summaryInterval {
		return nil
	}
	s.summary, s.sentAt = *current, now
	return current
}

// ownSummary returns nil if no summary is announced.
func (g *Gossip) ownSummary() *inventory.Summary {
	if g.Summary == nil {
		return nil
	}
	m := g.Summary()
	return &m
}

// recordLost records a member that timed out, and evicts the longest silent one beyond maxLost.
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

// Inventory returns the other live instances, and lost ones heard from within lostTTL.
func (g *Gossip) Inventory() []InstanceInfo {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	isScheduler := make(map[string]bool)
	for _, m := range g.members.currentRoles(now).schedulers {
		isScheduler[m.Address] = true
	}
	var out []InstanceInfo
	g.members.eachLive(now, func(m *Member) { out = append(out, m.info(now, isScheduler[m.Address])) })
	for address, m := range g.members.lost {
		if now.Sub(m.lastHeard) > lostTTL {
			delete(g.members.lost, address)
			continue
		}
		info := m.info(now, false)
		info.Lost = true
		out = append(out, info)
	}
	return out
}

func (m *Member) info(now time.Time, isScheduler bool) InstanceInfo {
	instance := InstanceInfo{Member: *m, IsScheduler: isScheduler, SinceHeartbeat: now.Sub(m.lastHeard)}
	if m.summary != nil {
		instance.Summary, instance.HasSummary = *m.summary, true
	}
	return instance
}
