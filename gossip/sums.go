package gossip

// This file tells other data centres what the instances of this one run.
//
// Instances report to the schedulers of their own data centre. The first of these
// tells the sum to one scheduler of each other data centre, which passes it on to
// the rest there, so that each change crosses between two data centres once. On 295
// instances in five data centres, reports of each instance to each scheduler were
// 52 MB of a quiet day.

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ivyridge/balance"
)

// wholeSums is how often everything is told: sooner than what is told lapses.
const wholeSums = 2 * time.Second

// tellSums tells one scheduler of each other data centre what the instances of this
// one that schedule nothing run, if this is its first scheduler and a pause has passed.
func (g *Gossip) tellSums(now time.Time, r *roles) {
	a := &g.told.sums
	if !r.first || len(r.near) == 0 || len(r.homeFirsts) == 0 || now.Sub(a.last) < balance.ReportEvery(g.count)-beatSlack {
		return
	}
	whole := now.Sub(a.lastWhole) >= wholeSums
	ordinary := make(map[uint64]bool, len(r.near))
	for _, m := range r.near {
		ordinary[m.ID] = true
	}
	sums, upTo := g.Balancer.Sums(func(id uint64) bool { return ordinary[id] }, whole, a.since)
	a.since = upTo
	if len(sums) == 0 && !whole {
		return
	}
	a.last = now
	if whole {
		a.lastWhole = now
	}
	g.sendSums(now, sums, g.DataCentre, whole, r.homeFirsts)
}

// sendSums sends sums in as many datagrams as they need. Those after the first add to
// it.
func (g *Gossip) sendSums(now time.Time, sums []balance.Report, of string, whole bool, to []*Member) {
	const room = (maxDatagram - headBytes) / sumBytes
	for {
		m := g.message(now)
		m.Next = heartbeatEvery(g.count)
		m.SumsOf, m.SumsWhole = of, whole
		n := min(room, len(sums))
		m.Sums, sums = sums[:n], sums[n:]
		g.send(m, addresses(to))
		if len(sums) == 0 {
			return
		}
		whole = false
	}
}

// takeSums takes sums up, and passes those that have just crossed to this data centre
// on to its other schedulers. The caller holds g.mu.
func (g *Gossip) takeSums(now time.Time, m *Message) {
	if m.SumsOf == "" {
		return
	}
	if m.SumsOf == g.DataCentre {
		return // another scheduler of the own data centre; its instances report here
	}
	g.Balancer.Merge(sumsKey(m.SumsOf), nil, m.Sums, m.SumsWhole)
	if m.DataCentre != m.SumsOf {
		return // passed on
	}
	var to []*Member
	for _, other := range g.members.current(now).schedulers {
		if other.DataCentre == g.DataCentre {
			to = append(to, other)
		}
	}
	if len(to) > 0 {
		g.sendSums(now, m.Sums, m.SumsOf, m.SumsWhole, to)
	}
}

// sumsKey is what stands for the instances of a data centre in place of an ID.
func sumsKey(dataCentre string) uint64 { return xxhash.Sum64String("sums of " + dataCentre) }
