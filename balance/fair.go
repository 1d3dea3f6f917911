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
	"slices"
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
	shareAt = 0.45
	// shareYieldAt is the same for the pressure on more urgent requests: below yieldAt, from
	// which all less urgent requests give way.
	shareYieldAt = 0.9 * yieldAt
	// sharePlainWait is the part of the objective for which a plain request may wait before
	// shares bind: while all slots are in use and callers are served in time, nothing is gained
	// by refusing the largest team. In requests a slot that wait is kept between
	// sharePlainLeast and sharePlainMost, since the room of an endpoint's queue is not known.
	sharePlainWait  = 0.25
	sharePlainLeast = 0.5
	sharePlainMost  = 1.5
	// plainRefused is the part of the own requests from which endpoints that refuse them say
	// that their room is taken, if all slots are in use.
	plainRefused = 0.01
	// sharePlainStep is how much later shares bind for each step of urgency: less urgent requests
	// of a team above its share are refused first.
	sharePlainStep = 0.2
	// sampleWeight is the weight of one request in the part that is refused: some of
	// the last fifty have to be refused for shares to bind for long.
	sampleWeight = 0.02
	// endTold is how long a request of another instance that has ended still counts as running,
	// in ms: half a pause between its reports, and the way. Where requests are short, some of
	// those that are counted have ended.
	endTold = 25.0
	// holdGuess is the time that a plain request is taken to hold a slot, in ms, until some
	// have.
	holdGuess = 50.0
	// The weights of a time that is shorter or longer than the one known: requests that had to
	// wait took longer than they hold a slot.
	holdShorter = 0.1
	holdLonger  = 0.02
	// shareReturn is the least time until a caller is told to come back whose team has more
	// than its share: such a rush lasts longer than a short queue.
	shareReturn = 500 * time.Millisecond
	// shareReturnPart is the part of the time that its caller has left which that is at
	// most, with the spread.
	shareReturnPart = 1.0 / 3
)

// Levels of urgency are the same as those that shares tell apart.
var _ [fair.Levels]struct{} = [levels]struct{}{}

// serviceHash names a service in what instances tell of teams.
func serviceHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// sharesOf returns those of a service. The caller holds b.mu.
func (b *Balancer) sharesOf(service string) *fair.Shares {
	s := b.shares[service]
	if s == nil {
		s = new(fair.Shares)
		b.shares[service] = s
		b.sharesByHash[serviceHash(service)] = service
	}
	return s
}

// forgetShares drops those of services that are not asked for any more.
func (b *Balancer) forgetShares(now time.Time) {
	for name, s := range b.shares {
		if s.Idle(now) {
			delete(b.shares, name)
			delete(b.sharesByHash, serviceHash(name))
		}
	}
}

// overShare counts a request for which so much work is asked at its best endpoint p, and returns a refusal if its team
// has more than its share of a service that is short. The caller holds b.mu.
func (b *Balancer) overShare(endpoints []*belief.Endpoint, d *Demand, p *Placement, asked float64, now time.Time) *Refusal {
	if d.Offered {
		return nil
	}
	r := fair.Request{Team: d.Team, Level: d.level(), Work: asked, Fixed: d.Sent, Chance: rand.Float64()}
	if d.Service.Engine == nil {
		r.Congestion = b.plainCongestion(endpoints, d, now)
	} else {
		f := b.figures(d.Service.Name)
		r.Congestion = f.congestion(r.Level, now)
		// Nobody would have what it leaves, or only less urgent requests would.
		r.Fixed = r.Fixed || p.Wait <= 0 || !f.othersGiveWay(r.Level, now)
	}
	if p.load.limits() {
		// Permits go to teams within their share first, so that nobody need be refused.
		r.Congestion = max(r.Congestion, b.figures(d.Service.Name).limitCongestion(now))
		r.Fixed = true
	}
	s := b.sharesOf(d.Service.Name)
	over, refused := s.Offer(now, &r)
	if !refused {
		return nil
	}
	return &Refusal{Cause: TeamShare, Pressure: over, Wait: time.Duration(p.Wait * float64(time.Millisecond)), RetryAfter: shareRetryAfter(d)}
}

// grantShare counts a request that is placed, with the work that it asked for: it may go to an
// endpoint where it takes more. The caller holds b.mu.
func (b *Balancer) grantShare(d *Demand, asked float64, now time.Time) {
	b.sharesOf(d.Service.Name).Grant(now, d.Team, d.level(), asked)
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
	c := f.pressures[level][level].of(now) / shareAt
	for urgent := range level {
		c = max(c, f.pressures[urgent][level].of(now)/shareYieldAt)
	}
	return c
}

// othersGiveWay reports whether all requests less urgent than a level are refused now. A fair
// rate holds for a second and more after the waits that it came from: without this, urgent
// requests of a team above its share were refused while longer, less urgent ones were let in.
func (f *figures) othersGiveWay(level int, now time.Time) bool {
	return level >= levels-1 || f.yields(level+1, now) != nil
}

// sample takes up one of many, with a weight that does not grow where they are few: one
// refusal tells nothing.
func (p *pressure) sample(now time.Time, value float64) {
	before := p.of(now)
	p.value = before + sampleWeight*(value-before)
	p.at = now
}

// plainEnded takes up how a plain request ended that was sent so long ago.
func (f *figures) plainEnded(now time.Time, lasted time.Duration, o Outcome) {
	switch o {
	case Refused:
		f.turnedAway.sample(now, 1)
		return
	case Served:
		f.turnedAway.sample(now, 0)
	default:
		return
	}
	took := milliseconds(lasted)
	switch {
	case f.hold == 0:
		f.hold = took
	case took < f.hold:
		f.hold += holdShorter * (took - f.hold)
	default:
		f.hold += holdLonger * (took - f.hold)
	}
}

// plainCongestion returns the requests at a plain service of late beside those from which
// shares bind for requests like d. It is a mean, since a queue takes up what comes
// in clumps.
func (b *Balancer) plainCongestion(endpoints []*belief.Endpoint, d *Demand, now time.Time) float64 {
	own, others, slots := 0, 0, 0
	r := b.workingSet(d.Service.Name, endpoints)
	for i, l := range r.loads {
		e := r.endpoints[i]
		if e.Closed() || !e.GraceUntil.IsZero() {
			continue
		}
		own += l.running
		others += l.others.Requests
		slots += e.Slots
	}
	if slots == 0 {
		return 0
	}
	f := b.figures(d.Service.Name)
	hold := f.hold
	if hold == 0 {
		hold = holdGuess
	}
	running := float64(own) + float64(others)*hold/(hold+endTold)
	f.occupied.add(now, running/float64(slots))
	occupied := f.occupied.of(now) - sharePlainStep*float64(levels-1-d.level())
	wait := sharePlainWait * milliseconds(d.Objective) / hold
	c := occupied / (1 + min(max(wait, sharePlainLeast), sharePlainMost))
	if occupied > 1 {
		c = max(c, f.turnedAway.of(now)/plainRefused)
	}
	return c
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

// NameTeams returns the names of teams by their hashes, of those that are known; that of no
// team is "none".
func NameTeams(known []catalog.Team, hashes ...uint32) map[uint32]string {
	names := make(map[uint32]string, len(hashes))
	for i := range known {
		if h := TeamHash(known[i].Name); slices.Contains(hashes, h) {
			names[h] = known[i].Name
		}
	}
	names[0] = "none"
	return names
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
