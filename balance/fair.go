package balance

// This file enforces fair shares between teams under overload.
//
// When a service is overloaded, teams above a fair rate are refused first. Refusing in order of
// arrival would let a surge of one team displace requests of all others. Package fair computes the
// rate from the congestion seen by this instance. Requests that yield to more urgent ones count
// too, so that a team's less urgent requests yield to those of other teams first.
//
// Requests without a team form one team, so that unidentified callers cannot take all capacity.

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ivyridge/catalog"
	"ivyridge/discovery"
	"ivyridge/fair"
)

const (
	// shareThreshold is the pressure on a level at which fair shares apply. It is above
	// yieldThreshold, so that less urgent requests yield first, and below refuseThreshold, so that
	// teams within their share are not refused.
	shareThreshold = 0.45
	// shareYieldRatio is the pressure on a more urgent level at which fair shares apply, relative to
	// the one above which all less urgent requests yield.
	shareYieldRatio = 0.9
	// plainWaitShare is the share of the objective that a plain request may wait before fair shares
	// apply. In requests per slot, the wait is clamped to minPlainWait and maxPlainWait, since the
	// endpoints' queue capacity is unknown. While callers are served in time, refusing the largest
	// team gains nothing.
	plainWaitShare = 0.25
	minPlainWait   = 0.5
	maxPlainWait   = 1.5
	// plainRefusalThreshold is the share of own requests refused by endpoints above which their
	// queues count as full, if all slots are in use.
	plainRefusalThreshold = 0.01
	// plainLevelStep is the increase, per more urgent level, of the occupancy at which fair shares
	// apply, so that a team's less urgent requests are refused first.
	plainLevelStep = 0.2
	// sampleWeight is the weight of one request in plainRefusalRate. Fair shares apply for long
	// only if several of the last fifty requests were refused.
	sampleWeight = 0.02
	// endReportDelay is the mean time in ms that a completed request of another instance is still
	// counted as running: half the report interval plus network delay.
	endReportDelay = 25.0
	// defaultHold is how long a plain request is assumed to hold a slot, in ms, until measured.
	defaultHold = 50.0
	// Weights of samples below and above the mean hold time. Longer samples count less because
	// they include queueing.
	holdShorterWeight = 0.1
	holdLongerWeight  = 0.02
	// minShareRetryAfter is the minimum retry time for callers whose team exceeds its share. Such a
	// surge lasts longer than a short queue.
	minShareRetryAfter = 500 * time.Millisecond
	// shareRetryDeadlineShare bounds the retry time, as a share of the caller's remaining time.
	shareRetryDeadlineShare = 1.0 / 3
)

// The build fails unless fair and this package have the same number of urgency levels.
var _ [fair.Levels]struct{} = [levels]struct{}{}

// serviceHash identifies a service in messages about teams.
func serviceHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// sharesOf returns the fair shares of a service, creating them if needed. The caller holds b.mu.
func (b *Balancer) sharesOf(service string) *fair.Shares {
	s := b.shares[service]
	if s == nil {
		s = new(fair.Shares)
		b.shares[service] = s
		b.sharesByHash[serviceHash(service)] = service
	}
	return s
}

// pruneShares drops the shares of idle services. The caller holds b.mu.
func (b *Balancer) pruneShares(now time.Time) {
	for name, s := range b.shares {
		if s.Idle(now) {
			delete(b.shares, name)
			delete(b.sharesByHash, serviceHash(name))
		}
	}
}

// shareRefusal counts a request that asks for requestedWork at its best endpoint p, and returns a
// refusal if its team exceeds its share of an overloaded service, or nil. The caller holds b.mu.
func (b *Balancer) shareRefusal(endpoints []*discovery.Endpoint, d *Demand, p *Placement, requestedWork float64, now time.Time) *Refusal {
	if d.Counted {
		return nil
	}
	r := fair.Request{Team: d.Team, Level: d.level(), Work: requestedWork, Unlimited: d.Sent, Random: rand.Float64()}
	if d.Service.Engine == nil {
		r.Congestion = b.plainCongestion(endpoints, d, now)
	} else {
		stats := b.statsFor(d.Service.Name)
		r.Congestion = stats.congestion(r.Level, now)
		// A refusal would benefit no other request, or only less urgent ones.
		r.Unlimited = r.Unlimited || p.Wait <= 0 || !stats.lessUrgentYield(r.Level, now)
	}
	if p.load.hasLimit() {
		// Permits are granted to teams within their share first, so no refusal is needed.
		r.Congestion = max(r.Congestion, b.statsFor(d.Service.Name).limitCongestion(now))
		r.Unlimited = true
	}
	s := b.sharesOf(d.Service.Name)
	over, refused := s.Admit(now, &r)
	if !refused {
		return nil
	}
	return &Refusal{Cause: TeamOverShare, Pressure: over, Wait: time.Duration(p.Wait * float64(time.Millisecond)), RetryAfter: shareRetryAfter(d)}
}

// grantShare counts a placed request with requestedWork, the work counted in its team's demand. The
// work at the endpoint finally chosen may differ. The caller holds b.mu.
func (b *Balancer) grantShare(d *Demand, requestedWork float64, now time.Time) {
	b.sharesOf(d.Service.Name).RecordGranted(now, d.Team, d.level(), requestedWork)
}

func shareRetryAfter(d *Demand) time.Duration {
	longest := minShareRetryAfter + retryAfterSpread
	if d.Deadline > 0 {
		longest = max(minRetryAfter, min(longest, time.Duration(shareRetryDeadlineShare*float64(d.Deadline))))
	}
	shortest := min(minShareRetryAfter, longest/2)
	return shortest + time.Duration(rand.Float64()*float64(longest-shortest))
}

// work returns the request's use of the scarce resource: engine time in ms, or one slot. Output
// tokens are charged their share of a step at an engine with all slots in use.
func work(d *Demand, p *Placement) float64 {
	e := d.Service.Engine
	if e == nil {
		return 1
	}
	token := p.Pace.StepTime * (stepPerRequest + 1/float64(max(1, e.Slots)))
	return float64(max(0, d.Prompt-p.Cached))*p.Pace.PrefillPerToken + float64(d.Output)*token
}

// congestion returns the service's congestion for requests of level; fair shares apply from 1.
func (s *serviceStats) congestion(level int, now time.Time) float64 {
	c := s.pressures[level][level].valueAt(now) / shareThreshold
	for urgent := range level {
		c = max(c, s.pressures[urgent][level].valueAt(now)/(shareYieldRatio*yieldThresholdFor(level, urgent)))
	}
	return c
}

// lessUrgentYield reports whether all requests less urgent than level are being refused. A fair
// rate outlasts the congestion that caused it by a second or more; without this check, urgent
// requests above their team's share would be refused while less urgent ones are admitted.
func (s *serviceStats) lessUrgentYield(level int, now time.Time) bool {
	return level >= levels-1 || s.yieldRefusal(level+1, now) != nil
}

// sample records one value with fixed weight, however sparse, so that one refusal has little
// effect.
func (p *pressure) sample(now time.Time, value float64) {
	previous := p.valueAt(now)
	p.value = previous + sampleWeight*(value-previous)
	p.at = now
}

// recordPlain records the outcome and duration of a plain request.
func (s *serviceStats) recordPlain(now time.Time, lasted time.Duration, o Outcome) {
	switch o {
	case Refused:
		s.plainRefusalRate.sample(now, 1)
		return
	case Served:
		s.plainRefusalRate.sample(now, 0)
	default:
		return
	}
	took := milliseconds(lasted)
	switch {
	case s.hold == 0:
		s.hold = took
	case took < s.hold:
		s.hold += holdShorterWeight * (took - s.hold)
	default:
		s.hold += holdLongerWeight * (took - s.hold)
	}
}

// plainCongestion returns the recent mean occupancy of a service without an engine, relative to
// the occupancy at which fair shares apply to requests like d. It uses a mean because queues
// absorb bursts. The caller holds b.mu.
func (b *Balancer) plainCongestion(endpoints []*discovery.Endpoint, d *Demand, now time.Time) float64 {
	own, others, slots := 0, 0, 0
	ls := b.workingSet(d.Service.Name, endpoints)
	for i, l := range ls.loads {
		e := ls.endpoints[i]
		if e.RejectsNew() || !e.GraceUntil.IsZero() {
			continue
		}
		own += l.running
		others += l.others.Requests
		slots += e.Slots
	}
	if slots == 0 {
		return 0
	}
	stats := b.statsFor(d.Service.Name)
	hold := stats.hold
	if hold == 0 {
		hold = defaultHold
	}
	running := float64(own) + float64(others)*hold/(hold+endReportDelay)
	stats.occupancy.add(now, running/float64(slots))
	occupied := stats.occupancy.valueAt(now) - plainLevelStep*float64(levels-1-d.level())
	wait := plainWaitShare * milliseconds(d.Objective) / hold
	c := occupied / (1 + min(max(wait, minPlainWait), maxPlainWait))
	if occupied > 1 {
		c = max(c, stats.plainRefusalRate.valueAt(now)/plainRefusalThreshold)
	}
	return c
}

// A TeamUse is a team's use of a service, as reported by one instance.
type TeamUse struct {
	Service uint32 // hash of its name
	fair.Usage
}

// TeamUses returns the use to report to other instances. It is empty while nothing is scarce.
func (b *Balancer) TeamUses() []TeamUse {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []TeamUse
	for name, s := range b.shares {
		for _, u := range s.Report(b.now()) {
			out = append(out, TeamUse{Service: serviceHash(name), Usage: u})
		}
	}
	return out
}

// MergeTeams merges another instance's report of team use.
func (b *Balancer) MergeTeams(instance uint64, uses []TeamUse) {
	if len(uses) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	byService := make(map[uint32][]fair.Usage)
	for _, u := range uses {
		if u.Level >= 0 && u.Level < fair.Levels {
			byService[u.Service] = append(byService[u.Service], u.Usage)
		}
	}
	for hash, serviceUses := range byService {
		// Reports on services without local requests are dropped.
		if name, known := b.sharesByHash[hash]; known {
			b.shares[name].Merge(b.now(), instance, serviceUses)
		}
	}
}

// NameTeams maps hashes to the names of known teams. The hash of no team maps to "none".
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

// A TeamChange reports that a team started or stopped being limited to its share of a service.
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
		for _, c := range s.Changes(now, b.teamChangesAt) {
			out = append(out, TeamChange{Service: name, Change: c})
		}
	}
	b.teamChangesAt = now
	return out
}

// ServiceShares is the state of the fair shares of one service.
type ServiceShares struct {
	Service string
	Levels  []fair.Status
}

// Shares returns the state of all fair shares, for operators.
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
