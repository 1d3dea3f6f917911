package balance

// This file decides which engine requests are refused under overload.
//
// A request that no engine can start in time is refused immediately, with a time to retry. The
// pressure on an urgency level is the wait at the best engine relative to the longest wait that the
// objective allows. Less urgent requests yield, that is, are refused first.

import (
	"math"
	"math/rand/v2"
	"time"

	"ivyridge/discovery"
)

// levels is the number of urgency levels, derived from the route's priority.
const levels = 3

func (d *Demand) level() int { return levelOf(d.Priority) }

func levelOf(priority int) int { return min(max(priority, 0), levels-1) }

const (
	// refuseThreshold is the wait, relative to maxWait, above which a request is refused.
	refuseThreshold = 1.0
	// yieldThreshold is the pressure on a more urgent level above which a request yields. It is
	// well below 1, since a request admitted now still holds its slot when pressure peaks.
	yieldThreshold = 0.25
	// leastUrgentYieldThreshold is the pressure on the next more urgent level above which the least
	// urgent one yields. It is lower, so that at the start of a rush the least urgent requests are
	// refused before any of that level are.
	leastUrgentYieldThreshold = 0.15
	// yieldRefusalRate is the share of more urgent requests refused or crowded, as defined by
	// levelPressures.count, above which a request yields. The share can be high while their mean
	// wait is short. It is well below starvedRefusalRate.
	yieldRefusalRate = 0.02
	// minWaitShare is the minimum share of the objective available for waiting, so that prompts are
	// not refused for their length alone.
	minWaitShare = 0.25
	// pressureWindow is the time constant of pressures. It spans several load reports.
	pressureWindow = 500 * time.Millisecond
	// holdSampleWeight is the weight of one request in the mean slot hold time.
	holdSampleWeight = 0.02
)

// A refused caller is told to retry after minRetryAfter plus its excess wait plus a random time of
// up to retryAfterSpread, which avoids synchronized retries.
const (
	minRetryAfter    = 300 * time.Millisecond
	retryAfterSpread = 900 * time.Millisecond
)

// A Cause is the reason for a refusal. Its number is sent between instances.
type Cause uint8

const (
	OverCapacity         Cause = iota // no endpoint can start it in time, or it yields to more urgent requests
	TeamOverShare                     // its team exceeds its fair share of a scarce service
	RetryBudgetExhausted              // the service's shared retry budget is exhausted
	EndpointsInBackoff                // all eligible endpoints asked the instance to back off
	EndpointsLimited                  // no permit is available at any eligible endpoint
	PermitWanted                      // local only: a permit for the chosen endpoint must be requested first
	OutOfReach                        // local only: no endpoint is within reach of this instance
)

// A Refusal says that a request should not be sent now.
type Refusal struct {
	Cause      Cause
	Wait       time.Duration       // estimated wait at the best endpoint, or until one is available
	Pressure   float64             // on the level that it yields to, or its own; for TeamOverShare: multiple of the fair rate
	RetryAfter time.Duration       // relative to now
	Scheduler  string              // instance that refused it; empty: this one
	Limited    *discovery.Endpoint // endpoint to request a permit for; nil: none
	Urgency    int                 // urgency of the permit request, below limit.Levels
	Partial    bool                // decided without endpoints that only this instance can't reach
}

// A pressure is an exponentially decaying mean.
type pressure struct {
	value float64
	at    time.Time
}

func (p *pressure) valueAt(now time.Time) float64 {
	return p.value * math.Exp(-float64(now.Sub(p.at))/float64(pressureWindow))
}

func (p *pressure) add(now time.Time, value float64) {
	keep := math.Exp(-float64(now.Sub(p.at)) / float64(pressureWindow))
	if p.at.IsZero() {
		keep = 0
	}
	keep = min(keep, 1-minPressureWeight)
	p.value = keep*p.value + (1-keep)*value
	p.at = now
}

// minPressureWeight is the minimum weight of a sample, even if it follows another one immediately.
const minPressureWeight = 0.05

// Admit chooses among a service's endpoints as Place does, but refuses requests that would only
// delay others. It returns neither a placement nor a refusal if no endpoint is eligible.
func (b *Balancer) Admit(endpoints []*discovery.Endpoint, d *Demand) (*Placement, *Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	best, refusal := b.admit(endpoints, d, now, self)
	if best == nil {
		return nil, refusal
	}
	b.spendCold(best.Endpoint, best.load, d.Service, now)
	best.RetryAvailable = b.retries.recordPlacement(d, now)
	b.begin(best, d, now)
	if d.needsNotice() {
		b.queueNotice(best, d)
	}
	return best, nil
}

// admit chooses an endpoint for the requester, or returns a refusal. The caller holds b.mu.
func (b *Balancer) admit(endpoints []*discovery.Endpoint, d *Demand, now time.Time, by requester) (*Placement, *Refusal) {
	if refusal := b.retries.refuse(d, now); refusal != nil {
		return nil, refusal
	}
	best := b.cheapest(endpoints, d, now, by)
	if best == nil && by == self {
		if refusal := b.unavailableRefusal(endpoints, d, now); refusal != nil {
			return nil, refusal
		}
	}
	if best == nil {
		if refusal := b.fullRefusal(endpoints, d, now); refusal != nil {
			return nil, refusal
		}
	}
	if best == nil {
		return nil, nil // the requester knows when its back-offs end
	}
	requestedWork := work(d, best)
	refusal := b.shareRefusal(endpoints, d, best, requestedWork, now)
	if refusal == nil && d.hasObjective() && !d.Sent {
		best, refusal = b.admitInTime(endpoints, d, best, now, by)
	}
	if refusal == nil && by == self {
		if wanted := b.permitRefusal(best, d, now); wanted != nil {
			return nil, wanted
		}
	}
	if d.hasObjective() {
		b.statsFor(d.Service.Name).tallies[d.level()].count(now, refusal != nil)
	}
	if refusal != nil {
		return nil, refusal
	}
	if d.hasObjective() {
		b.statsFor(d.Service.Name).recordHold(d, best)
	}
	if best.load.hasLimit() {
		b.statsFor(d.Service.Name).permits.count(now, true)
	}
	b.grantShare(d, requestedWork, now)
	return best, nil
}

// hasObjective reports whether the request is for an engine and has a latency objective.
func (d *Demand) hasObjective() bool { return d.Service.Engine != nil && d.Objective > 0 }

// admitInTime returns a placement that starts the request in time, preferably first, or a refusal.
// The caller holds b.mu.
func (b *Balancer) admitInTime(endpoints []*discovery.Endpoint, d *Demand, first *Placement, now time.Time, by requester) (*Placement, *Refusal) {
	best := b.chooseInTime(endpoints, first, d, now, by)
	if refusal := b.statsFor(d.Service.Name).refuse(d, first, best, b.reportInterval, now); refusal != nil {
		return nil, refusal
	}
	return best, b.starvationRefusal(endpoints, d, best, now)
}

func (s *serviceStats) recordHold(d *Demand, p *Placement) {
	hold := float64(d.Prompt-p.Cached)*p.Pace.PrefillPerToken + float64(d.Output)*p.Pace.TokenTime
	if s.hold == 0 {
		s.hold = hold
	}
	s.hold += holdSampleWeight * (hold - s.hold)
}

// refuse returns a refusal if the request would start too late or must yield, or nil. The placement
// first is at the cheapest endpoint, and p at the one chosen by chooseInTime. It records pressures
// and refusal rates.
func (s *serviceStats) refuse(d *Demand, first, p *Placement, reportInterval time.Duration, now time.Time) *Refusal {
	level := d.level()
	maxWait := d.maxWait(first.prefillTime)
	waits := s.waits(d, first.load, reportInterval, now)
	s.pressures[level].add(now, level, &waits, maxWait)
	crowded := waits[levels-1] > refuseThreshold*maxWait
	maxWait = d.maxWait(p.prefillTime)
	waits = s.waits(d, p.load, reportInterval, now)
	wait := waits[level]
	ownPressure := wait / maxWait
	refusal := s.yieldRefusal(level, now)
	if ownPressure > refuseThreshold {
		refusal = &Refusal{Pressure: ownPressure}
	}
	if refusal == nil || wait <= 0 {
		s.refusalRates[level].count(now, level, false, crowded)
		return nil
	}
	s.refusalRates[level].count(now, level, true, crowded)
	refusal.Wait = time.Duration(wait * float64(time.Millisecond))
	excess := max(0, wait-maxWait/2)
	refusal.RetryAfter = minRetryAfter + time.Duration(excess*float64(time.Millisecond)) + time.Duration(rand.Float64()*float64(retryAfterSpread))
	return refusal
}

// yieldThresholdFor returns the pressure on the level moreUrgent above which level yields.
func yieldThresholdFor(level, moreUrgent int) float64 {
	if level == levels-1 && moreUrgent == level-1 {
		return leastUrgentYieldThreshold
	}
	return yieldThreshold
}

// yieldRefusal returns a refusal if requests of level must yield to more urgent ones, or nil.
func (s *serviceStats) yieldRefusal(level int, now time.Time) *Refusal {
	for moreUrgent := range level {
		pressure := s.pressures[moreUrgent][level].valueAt(now)
		if pressure > yieldThresholdFor(level, moreUrgent) || s.refusalRates[moreUrgent][level].valueAt(now) > yieldRefusalRate {
			return &Refusal{Pressure: pressure}
		}
	}
	return nil
}

// slotWait estimates the wait in ms for a slot behind requests of level or more urgent ones.
func (s *serviceStats) slotWait(total *Running, level, slots int) float64 {
	ahead := 0
	for _, n := range total.ByLevel[:level+1] {
		ahead += n
	}
	if slots <= 0 {
		return 0
	}
	return max(0, float64(ahead+1-slots)) * s.hold / float64(slots)
}
