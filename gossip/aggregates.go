package gossip

// This file sends the aggregated load of this data centre to other data centres.
//
// The first scheduler sends the aggregate to one scheduler of each other data centre, which
// forwards it to the others there, so that each change crosses between two data centres once.

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ivyridge/balance"
)

// fullAggregateInterval is the interval between complete aggregates. It must be shorter than
// balance's remoteTTL, after which a receiver ignores an aggregate.
const fullAggregateInterval = 2 * time.Second

// publishAggregates sends the load of this data centre's ordinary instances, if this instance is
// the first scheduler and the interval has passed.
func (g *Gossip) publishAggregates(now time.Time, r *roles) {
	group := &g.groups.aggregates
	if !r.isFirstScheduler || len(r.localPeers) == 0 || len(r.regionFirstSchedulers) == 0 || now.Sub(group.lastSent) < balance.ReportInterval(g.fleetSize)-tickSlack {
		return
	}
	full := now.Sub(group.lastFull) >= fullAggregateInterval
	ordinary := make(map[uint64]bool, len(r.localPeers))
	for _, m := range r.localPeers {
		ordinary[m.ID] = true
	}
	reports, upTo := g.Balancer.AggregateReports(func(id uint64) bool { return ordinary[id] }, full, group.sentUpTo)
	group.sentUpTo = upTo
	if len(reports) == 0 && !full {
		return
	}
	group.lastSent = now
	if full {
		group.lastFull = now
	}
	g.sendAggregates(now, reports, g.DataCentre, full, r.regionFirstSchedulers)
}

// sendAggregates sends as many datagrams as needed. Those after the first add to it.
func (g *Gossip) sendAggregates(now time.Time, aggregates []balance.Report, dataCentre string, full bool, to []*Member) {
	const room = (maxDatagram - headerBytes) / aggregateBytes
	for {
		m := g.newMessage(now)
		m.NextWithin = heartbeatInterval(g.fleetSize)
		m.AggregatesOf, m.AggregatesComplete = dataCentre, full
		n := min(room, len(aggregates))
		m.Aggregates, aggregates = aggregates[:n], aggregates[n:]
		g.send(m, addresses(to))
		if len(aggregates) == 0 {
			return
		}
		full = false
	}
}

// handleAggregates processes received aggregates, and forwards those from another data centre to
// the other schedulers of this one. The caller holds g.mu.
func (g *Gossip) handleAggregates(now time.Time, m *Message) {
	if m.AggregatesOf == "" {
		return
	}
	if m.AggregatesOf == g.DataCentre {
		return // instances of this data centre report directly
	}
	g.Balancer.Merge(aggregateKey(m.AggregatesOf), nil, m.Aggregates, m.AggregatesComplete)
	if m.DataCentre != m.AggregatesOf {
		return // already forwarded within this data centre
	}
	var to []*Member
	for _, other := range g.members.currentRoles(now).schedulers {
		if other.DataCentre == g.DataCentre {
			to = append(to, other)
		}
	}
	if len(to) > 0 {
		g.sendAggregates(now, m.Aggregates, m.AggregatesOf, m.AggregatesComplete, to)
	}
}

// aggregateKey returns the key of a data centre's aggregate, in place of an instance ID.
func aggregateKey(dataCentre string) uint64 { return xxhash.Sum64String("sums of " + dataCentre) }
