package balance

// This file keeps one team's rush from being paid by the others.
//
// Where a service is short, requests were refused by who came when: with one team at 15
// times its usual rate, each of 23 others lost a third of requests that would have fitted.
// The teams that use more than a fair rate are refused first, before a service is so short
// that others have to be refused or wait. The rate is found by package fair, from how short
// the service is as seen here; requests that give way to more urgent ones are included, so
// that a team's less urgent requests give way to other teams' before these have to.
//
// Requests without a team count as one team of their own: their callers are not known, and
// left alone they could take what all teams have.

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"ivyridge/belief"
	"ivyridge/catalog"
	"ivyridge/fair"
)

const (
	// shareAt is the pressure on requests of one urgency from which shares bind: above
	// yieldAt, so that less urgent requests give way first, and below refuseAt, so that
	// teams within their share are not refused.
	shareAt = 0.6
	// shareYieldAt is the same for the pressure on more urgent requests: below yieldAt, from
	// which all less urgent requests give way.
	shareYieldAt = 0.9 * yieldAt
	// sharePlainAt is the part of the slots of a plain service from which shares bind. A few
	// requests more than slots keep all slots in use while what has ended is told.
	sharePlainAt = 2.6
	// shareReturn is the least time until a caller is told to come back whose team has more
	// than its share: such a rush lasts longer than a short queue.
	shareReturn = 500 * time.Millisecond
	// shareReturnPart is the part of the time that its caller has left which that is at
	// most, with the spread.
	shareReturnPart = 1.0 / 3
)

// serviceHash names a service in what instances tell of teams.
func serviceHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// shares returns those of a service. The caller holds b.mu.
func (b *Balancer) sharesOf(service string) *fair.Shares {
	s := b.shares[service]
	if s == nil {
		s = new(fair.Shares)
		b.shares[service] = s
		b.sharesByHash[serviceHash(service)] = service
	}
	return s
}

// overShare counts a request whose best endpoint is p, and returns a refusal if its team
// has more than its share of a service that is short. The caller holds b.mu.
func (b *Balancer) overShare(endpoints []*belief.Endpoint, d *Demand, p *Placement, now time.Time) *Refusal {
	r := fair.Request{Team: d.Team, Level: d.level(), Work: work(d, p), Fixed: d.Sent, Chance: rand.Float64()}
	if d.Service.Engine == nil {
		r.Congestion = b.plainCongestion(endpoints, d.Service) / sharePlainAt
	} else {
		r.Congestion = b.figures(d.Service.Name).congestion(r.Level, now)
		r.Fixed = r.Fixed || p.Wait <= 0 // nobody would have what it leaves
	}
	s := b.sharesOf(d.Service.Name)
	over, refused := s.Offer(now, &r)
	if !refused {
		s.Grant(now, r.Team, r.Level, r.Work)
		return nil
	}
	return &Refusal{Cause: TeamShare, Pressure: over, Wait: time.Duration(p.Wait * float64(time.Millisecond)), RetryAfter: shareRetryAfter(d)}
}

// shareRetryAfter returns when the caller is to come back.
func shareRetryAfter(d *Demand) time.Duration {
	most := shareReturn + retryAfterSpread
	if d.Deadline > 0 {
		most = max(retryAfterLeast, min(most, time.Duration(shareReturnPart*float64(d.Deadline))))
	}
	least := min(shareReturn, most/2)
	return least + time.Duration(rand.Float64()*float64(most-least))
}

// work returns what a request takes of what is scarce: time of an engine, in ms, or a slot.
// A token's part of the time is that at an engine whose slots are all taken.
func work(d *Demand, p *Placement) float64 {
	e := d.Service.Engine
	if e == nil {
		return 1
	}
	token := p.Pace.StepTime * (stepEach + 1/float64(max(1, e.Slots)))
	return float64(max(0, d.Prompt-p.Cached))*p.Pace.ReadTime + float64(d.Output)*token
}

// congestion returns how short a service is for requests of a level; from 1 on shares bind.
func (f *figures) congestion(level int, now time.Time) float64 {
	c := f.pressures[level].of(now) / shareAt
	for urgent := range level {
		c = max(c, f.pressures[urgent].of(now)/shareYieldAt)
	}
	return c
}

// plainCongestion returns the requests at a plain service as a part of its slots.
func (b *Balancer) plainCongestion(endpoints []*belief.Endpoint, s *catalog.Service) float64 {
	running, slots := 0, 0
	for i, l := range b.row(s.Name, endpoints) {
		if endpoints[i].Closed() || !endpoints[i].GraceUntil.IsZero() {
			continue
		}
		running += l.running + l.others.Requests
		slots += endpoints[i].Slots
	}
	if slots == 0 {
		return 0
	}
	return float64(running) / float64(slots)
}

// A TeamUse is what a team uses of a service, as one instance says.
type TeamUse struct {
	Service uint32 // a hash of its name
	fair.Use
}

// TeamUses returns what there is to tell other instances of teams' use: nothing while
// nothing is scarce.
func (b *Balancer) TeamUses() []TeamUse {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []TeamUse
	for name, s := range b.shares {
		for _, u := range s.Uses(b.now()) {
			out = append(out, TeamUse{Service: serviceHash(name), Use: u})
		}
	}
	return out
}

// MergeTeams takes up what another instance says that teams use.
func (b *Balancer) MergeTeams(instance uint64, uses []TeamUse) {
	if len(uses) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	byService := make(map[uint32][]fair.Use)
	for _, u := range uses {
		if u.Level >= 0 && u.Level < fair.Levels {
			byService[u.Service] = append(byService[u.Service], u.Use)
		}
	}
	for hash, told := range byService {
		// Of a service that no request here has asked for, nothing is kept.
		if name, known := b.sharesByHash[hash]; known {
			b.shares[name].Merge(b.now(), instance, told)
		}
	}
}

// A TeamChange says that a team begins or ends to be limited to its share of a service.
type TeamChange struct {
	Service string
	fair.Change
}

// TeamChanges returns the changes since the last call.
func (b *Balancer) TeamChanges() []TeamChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var out []TeamChange
	for name, s := range b.shares {
		for _, c := range s.Changes(now, b.sharesAt) {
			out = append(out, TeamChange{Service: name, Change: c})
		}
	}
	b.sharesAt = now
	return out
}

// A ServiceShares is the state of the shares of one service.
type ServiceShares struct {
	Service string
	Levels  []fair.Status
}

// Shares returns the state of all shares, for operators.
func (b *Balancer) Shares() []ServiceShares {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []ServiceShares
	for name, s := range b.shares {
		if levels := s.Status(b.now()); len(levels) > 0 {
			out = append(out, ServiceShares{Service: name, Levels: levels})
		}
	}
	return out
}
