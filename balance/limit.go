package balance

// This file tracks rate limits that endpoints announce for all instances together, and the permits
// that this instance holds to send to them.
//
// An endpoint with a rate limit is eligible while a permit for it is held or may be requested.
// Choosing it does not grant a permit: Admit returns PermitWanted, and the caller requests a permit
// from the instance that allocates the limit, records the decision with EndPermitRequest, and
// chooses again. So no request blocks on an unavailable permit, and no load is counted at an
// endpoint that does not receive the request.
//
// Static shares of a low rate do not work: with many instances, a share is less than one request
// and is wasted where there is no demand.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ivyridge/discovery"
	"ivyridge/fair"
	"ivyridge/limit"
)

const (
	// PermitDuration is how long a permit is valid after it was requested, which leaves time to
	// open a connection. An expired permit is lost.
	PermitDuration = 500 * time.Millisecond
	// permitRequestTimeout is the timeout of a permit request. Only one is in flight per endpoint.
	permitRequestTimeout = 100 * time.Millisecond
	// limitLogInterval is the minimum interval between log lines about an endpoint's limit.
	limitLogInterval = time.Second
)

// A limitState is the state of the rate limit of one endpoint incarnation.
type limitState struct {
	rateLimit           limit.State
	deniedUntil         [limit.Levels]time.Time // by urgency: no permit may be requested before then for this urgency or less urgent ones
	requestPendingUntil time.Time               // a permit request is in flight until then at the latest
	permits             []time.Time             // expiry times of permits held
	allocator           string                  // address of the instance that decided last
	loggedAt            time.Time
}

// needsPermit reports whether the endpoint has a limit and no permit for it is held. It drops
// expired permits. l may be nil.
func (l *limitState) needsPermit(now time.Time) bool {
	if l == nil || !l.rateLimit.Limited {
		return false
	}
	l.permits = slices.DeleteFunc(l.permits, func(until time.Time) bool { return now.After(until) })
	return len(l.permits) == 0
}

func (l *load) hasLimit() bool { return l.limitState != nil && l.limitState.rateLimit.Limited }

// availableAt returns now if no permit is needed, else when one may be requested at urgency. A
// denial does not block more urgent requests, since the allocator reserves permits for them.
func (l *limitState) availableAt(urgency int, now time.Time) time.Time {
	if !l.needsPermit(now) {
		return now
	}
	available := latest(now, l.requestPendingUntil)
	for _, until := range l.deniedUntil[:urgency+1] {
		available = latest(available, until)
	}
	return available
}

// closed reports whether no permit is held and none may be requested yet at urgency.
func (l *limitState) closed(urgency int, now time.Time) bool {
	return l.needsPermit(now) && l.availableAt(urgency, now).After(now)
}

// takePermit removes a permit and returns its expiry; zero if there is none. l may be nil.
func (l *limitState) takePermit(now time.Time) (until time.Time) {
	if l == nil || !l.rateLimit.Limited || l.needsPermit(now) {
		return time.Time{}
	}
	until = l.permits[0]
	l.permits = l.permits[1:]
	return until
}

// ensureLimit returns the limit state of l, creating it if needed. The caller holds b.mu.
func (b *Balancer) ensureLimit(l *load) *limitState {
	if l.limitState == nil {
		l.limitState = new(limitState)
	}
	b.limited[l.hash] = l
	return l.limitState
}

// inheritLimit shares the limit state of previous if it may be the same process, whose start time
// only became known now. The caller holds b.mu.
func (l *load) inheritLimit(previous *load, id string) {
	if previous == nil || previous == l || previous.limitState == nil || l.limitState != nil {
		return
	}
	same := previous.id == id || l.id == id // one of the two was recorded without a start time
	if same || previous.limitState.rateLimit.AsOf.After(l.firstSeen.Add(-startTimeDelay)) {
		l.limitState = previous.limitState
	}
}

// RecordLimit records that the endpoint's response announces a rate limit, in requests/s. It
// reports whether the change should be logged.
func (p *Placement) RecordLimit(rate float64) (isNew bool) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	l := b.ensureLimit(p.load)
	if !l.rateLimit.SetLimit(rate, now) {
		return false
	}
	return p.limitChanged(l, now)
}

// RecordNoLimit records that the endpoint's own response announces no rate limit. It reports
// whether the change should be logged.
func (p *Placement) RecordNoLimit() (isNew bool) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	l := p.load.limitState
	if l == nil || !l.rateLimit.Lift(p.startedAt) {
		return false
	}
	return p.limitChanged(l, b.now())
}

// limitChanged schedules a report of the limit, and reports whether to log the change.
func (p *Placement) limitChanged(l *limitState, now time.Time) bool {
	p.balancer.markChanged(p.load)
	if now.Sub(l.loggedAt) < limitLogInterval {
		return false
	}
	l.loggedAt = now
	return true
}

// Limit returns the announced rate limit in requests/s, the time since it was announced, and the
// address of the instance that last allocated it; ok is false if there is no limit.
func (p *Placement) Limit() (rate float64, age time.Duration, allocator string, ok bool) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	l := p.load.limitState
	if l == nil || !l.rateLimit.Limited {
		return 0, 0, "", false
	}
	return l.rateLimit.Rate, b.now().Sub(l.rateLimit.AsOf), l.allocator, true
}

// usePermit consumes the request's permit, and reports whether the rate limit, if any, allows
// sending.
func (p *Placement) usePermit(now time.Time) bool {
	l := p.load.limitState
	if l == nil || !l.rateLimit.Limited {
		return true
	}
	until := p.permit
	p.permit = time.Time{}
	if until.IsZero() {
		until = l.takePermit(now) // the limit was announced after the endpoint was chosen
	}
	return !until.IsZero() && !now.After(until)
}

// returnPermit makes an unused permit available to other requests.
func (p *Placement) returnPermit() {
	if !p.permit.IsZero() && p.load.limitState != nil {
		p.load.limitState.permits = append(p.load.limitState.permits, p.permit)
		p.permit = time.Time{}
	}
}

// urgency returns the request's rank for permits; lower is more urgent. It is ordered by urgency
// level, then by whether the team is within its fair share. The caller holds b.mu.
func (b *Balancer) urgency(d *Demand, now time.Time) int {
	urgency := 2 * d.level()
	if len(b.limited) > 0 && b.sharesOf(d.Service.Name).Above(now, d.Team, d.level()) {
		urgency++
	}
	return urgency
}

// permitRefusal returns a refusal if best needs a permit, or nil. The caller holds b.mu.
func (b *Balancer) permitRefusal(best *Placement, d *Demand, now time.Time) *Refusal {
	if !best.load.limitState.needsPermit(now) {
		return nil
	}
	return &Refusal{Cause: PermitWanted, Limited: best.Endpoint, Urgency: b.urgency(d, now)}
}

// BeginPermitRequest records that the caller is about to request a permit for an endpoint, and
// returns the endpoint's hash and the known limit. ok is false if no permit is needed, none may be
// requested yet, or a request is already in flight.
func (b *Balancer) BeginPermitRequest(e *discovery.Endpoint, urgency int) (endpoint uint32, state limit.State, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	l := b.load(e.Incarnation())
	if !l.limitState.needsPermit(now) || l.limitState.closed(urgency, now) {
		return 0, limit.State{}, false
	}
	l.limitState.requestPendingUntil = now.Add(permitRequestTimeout)
	b.limitsClosedUntil = latest(b.limitsClosedUntil, l.limitState.requestPendingUntil)
	return l.hash, l.limitState.rateLimit, true
}

// EndPermitRequest records the decision of the instance at address allocator on a permit request
// that was sent at sentAt.
func (b *Balancer) EndPermitRequest(endpoint uint32, urgency int, decision limit.Decision, allocator string, sentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loadsByHash[endpoint]
	if l == nil || l.limitState == nil {
		return
	}
	lim := l.limitState
	lim.rateLimit.Merge(decision.State)
	lim.requestPendingUntil = time.Time{}
	lim.allocator = allocator
	if decision.Granted {
		lim.permits = append(lim.permits, sentAt.Add(PermitDuration))
		return
	}
	until := b.now().Add(decision.Wait)
	lim.deniedUntil[urgency] = until
	b.limitsClosedUntil = latest(b.limitsClosedUntil, until)
}

// LimitState returns the known state of an endpoint's rate limit.
func (b *Balancer) LimitState(endpoint uint32) limit.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.loadsByHash[endpoint]; l != nil && l.limitState != nil {
		return l.limitState.rateLimit
	}
	return limit.State{}
}

// A ReportedLimit is the rate limit of an endpoint as reported between instances. The zero value
// reports nothing.
type ReportedLimit struct {
	Known   bool
	Limited bool
	Rate    float64       // requests/s, if Limited
	Age     time.Duration // since the endpoint announced it
}

// State converts the report to the limit's state as of now.
func (r *ReportedLimit) State(now time.Time) limit.State {
	if !r.Known {
		return limit.State{}
	}
	return limit.Received(r.Limited, r.Rate, r.Age, now)
}

func (l *load) reportedLimit(now time.Time) ReportedLimit {
	if l.limitState == nil || !l.limitState.rateLimit.Reportable(now) {
		return ReportedLimit{}
	}
	state := &l.limitState.rateLimit
	return ReportedLimit{Known: true, Limited: state.Limited, Rate: state.Rate, Age: max(0, now.Sub(state.AsOf))}
}

// mergeLimit merges another instance's report of l's limit. The caller holds b.mu.
func (b *Balancer) mergeLimit(l *load, r *ReportedLimit, now time.Time) {
	if !r.Known || l.limitState == nil && !r.Limited {
		return
	}
	b.ensureLimit(l).rateLimit.Merge(r.State(now))
}

// closedLimits returns the hashes of the endpoints for which closed is true. The caller holds b.mu.
func (b *Balancer) closedLimits(urgency int, now time.Time) (out []uint32) {
	if !now.Before(b.limitsClosedUntil) {
		return nil
	}
	for hash, l := range b.limited {
		if l.limitState.closed(urgency, now) {
			out = append(out, hash)
		}
	}
	return out
}

// pruneLimits drops limits of endpoints whose state was dropped. The caller holds b.mu.
func (b *Balancer) pruneLimits() {
	for hash, l := range b.limited {
		if b.loadsByHash[hash] != l {
			delete(b.limited, hash)
		}
	}
}

// maxRetrySpread bounds the random part of the retry time. A caller waits for a third of its time
// at most.
const maxRetrySpread = 4 * time.Second

// limitedRefusal returns the refusal of a request for which no permit is available. The retry time
// is spread over as long as the limits take to serve recent refusals. The caller holds b.mu.
func (b *Balancer) limitedRefusal(d *Demand, loads []*load, wait time.Duration, now time.Time) *Refusal {
	b.countUnpermitted(d, loads, now)
	rate := 0.0
	for _, l := range loads {
		if l.limitState != nil && l.limitState.rateLimit.Limited {
			rate += l.limitState.rateLimit.Rate / float64(b.instances)
		}
	}
	stats := b.statsFor(d.Service.Name)
	stats.unpermittedRate.add(now)
	spread := time.Duration(stats.unpermittedRate.n / max(rate, 1e-3) * float64(time.Second))
	spread = min(max(spread, retryAfterSpread), maxRetrySpread)
	return &Refusal{Cause: EndpointsLimited, Wait: wait, RetryAfter: wait + time.Duration(rand.Float64()*float64(spread))}
}

// countUnpermitted counts a request without a permit in its team's demand. The caller holds b.mu.
func (b *Balancer) countUnpermitted(d *Demand, loads []*load, now time.Time) {
	if d.Counted {
		return
	}
	stats := b.statsFor(d.Service.Name)
	stats.permits.count(now, false)
	atAny := &Placement{Pace: Pace{PrefillPerToken: loads[0].prefillPerToken, StepTime: loads[0].stepTime}}
	r := fair.Request{Team: d.Team, Level: d.level(), Work: work(d, atAny), Congestion: stats.limitCongestion(now), Unlimited: true}
	b.sharesOf(d.Service.Name).Admit(now, &r)
}

const (
	// unpermittedThreshold is the share of requests that find no permit at first above which fair
	// shares apply. Below it, most find one and the rest wait briefly.
	unpermittedThreshold = 0.3
	// unpermittedWindow is the time constant of the share, and unpermittedPrior the weight of
	// assumed successes, so that a few denials have no effect.
	unpermittedWindow = 2 * time.Second
	unpermittedPrior  = 3.0
)

// limitCongestion returns the service's shortage of permits; fair shares apply from 1.
func (s *serviceStats) limitCongestion(now time.Time) float64 {
	return s.permits.deniedShare(now) / unpermittedThreshold
}

// permitStats are decaying counts of requests, and of those that found no permit at first.
type permitStats struct {
	all, denied float64
	at          time.Time
}

func (c *permitStats) count(now time.Time, found bool) {
	keep := math.Exp(-now.Sub(c.at).Seconds() / unpermittedWindow.Seconds())
	c.all, c.denied, c.at = c.all*keep+1, c.denied*keep, now
	if !found {
		c.denied++
	}
}

// deniedShare returns the share of requests that found no permit.
func (c *permitStats) deniedShare(now time.Time) float64 {
	keep := math.Exp(-now.Sub(c.at).Seconds() / unpermittedWindow.Seconds())
	return c.denied * keep / (c.all*keep + unpermittedPrior)
}

// A decayingCount counts events of about the last second.
type decayingCount struct {
	n  float64
	at time.Time
}

func (c *decayingCount) add(now time.Time) {
	c.n = c.n*max(0, 1-now.Sub(c.at).Seconds()) + 1
	c.at = now
}

// A Limit is an endpoint with a rate limit, as shown to operators.
type Limit struct {
	Endpoint   string // ID
	Hash       uint32 // EndpointHash of its incarnation
	DataCentre string
	Rate       float64       // requests/s from all instances together
	Age        time.Duration // since it was announced
	Allocator  string        // address of the instance that last allocated it; empty: no permit was requested
	Closed     time.Duration // time until a permit may be requested
	Permits    int           // held
}

// Limits returns the endpoints with a rate limit, lowest rate first.
func (b *Balancer) Limits() []Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var out []Limit
	for _, l := range b.limited {
		if state := &l.limitState.rateLimit; state.Limited {
			short := l.limitState.needsPermit(now)
			lim := Limit{Endpoint: l.endpointID, Hash: l.hash, DataCentre: l.dataCentre, Rate: state.Rate, Age: now.Sub(state.AsOf), Allocator: l.limitState.allocator, Permits: len(l.limitState.permits)}
			if short {
				lim.Closed = l.limitState.availableAt(limit.Levels-1, now).Sub(now)
			}
			out = append(out, lim)
		}
	}
	slices.SortFunc(out, func(x, y Limit) int {
		return cmp.Or(cmp.Compare(x.Rate, y.Rate), cmp.Compare(x.Endpoint, y.Endpoint))
	})
	return out
}
