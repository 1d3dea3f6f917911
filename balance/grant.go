package balance

// This file lets a scheduler instance choose endpoints for other instances.

import (
	"time"

	"ivyridge/discovery"
)

// A Grant is an endpoint that one instance chose for another, with the estimates behind it, or the
// refusal of the request.
type Grant struct {
	Endpoint       uint32 // EndpointHash of its incarnation; zero: no endpoint is eligible
	Cost           float64
	Cached         int    // prompt tokens presumed cached at the endpoint, or fetched by it
	Fetched        int    // tokens of Cached to fetch from Donor
	Donor          uint32 // EndpointHash of its incarnation; zero: none
	Backlog        time.Duration
	BacklogTokens  float64 // Backlog in tokens
	Wait           float64 // ms before prefill of the prompt starts
	Pace           Pace
	FailureRate    float64 // failure rate of the service
	ExcessFailures float64 // failure rate of the endpoint above that of the service
	RetryAvailable bool    // the scheduler's retry budget covers another retry of the request
	RetryCharged   bool    // a retry was charged, but no endpoint chosen
	// Refusal is set, and Endpoint zero, if the request is refused.
	Refusal *Refusal
}

// Grant chooses an endpoint for another instance, and counts the request as running there until
// that instance's next report about the endpoint.
func (b *Balancer) Grant(instance uint64, endpoints []*discovery.Endpoint, d *Demand) Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	p, refusal := b.admit(endpoints, d, now, requester(instance))
	if p == nil {
		return Grant{Refusal: refusal}
	}
	l := p.load
	b.spendCold(p.Endpoint, l, d.Service, now)
	available := b.retries.recordPlacement(d, now)
	p.charge = newCharge(d, p.Cached)
	r := l.remotes[instance]
	r.add(p.charge)
	r.at, l.lastUsed = now, now
	l.remotes[instance] = r
	b.markRemoteChanged(l)
	if d.Service.Engine != nil {
		b.recordPrefill(l, now, b.storableParts(d), p.charge.uncached, p.Fetched)
		b.accrueCrossCost(p, d, now)
		p.markDonor(now)
	}
	if d.needsNotice() {
		b.queueNotice(p, d)
	}
	if d.Suspect {
		l.markSuspect(now)
	}
	grant := Grant{
		Endpoint: l.hash, Cost: p.Cost, Cached: p.Cached, Backlog: p.Backlog, BacklogTokens: p.BacklogTokens, Wait: p.Wait, Pace: p.Pace,
		FailureRate: p.failureRate, ExcessFailures: l.observed.excess(p.failureRate), RetryAvailable: available,
	}
	if p.donor != nil {
		grant.Fetched, grant.Donor = p.Fetched, p.donor.hash
	}
	return grant
}

// AcceptGrant counts a request as running at the endpoint that another instance chose. It returns
// no placement if the endpoint is not listed, or this instance knows it to be draining, unreachable,
// in back-off, already tried, or not allowed to serve the request. If a permit must be requested
// first, it returns a refusal with cause PermitWanted.
func (b *Balancer) AcceptGrant(grant Grant, endpoints []*discovery.Endpoint, d *Demand) (*Placement, *Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	ls := b.listing(d.Service.Name, endpoints)
	e := ls.byHash[grant.Endpoint]
	if e == nil {
		return nil, nil
	}
	l := b.loadFor(ls, e)
	if b.excluded(e, l, d, now) || l.avoided(e, now, false, self) {
		return nil, nil
	}
	if _, closed := self.loadState(l, b.urgency(d, now), now); closed || d.Permitted && l.limitState.needsPermit(now) {
		return nil, nil
	}
	if l.brittle(now) && now.Before(l.fullUntil) {
		return nil, nil
	}
	if l.limitState.needsPermit(now) {
		return nil, &Refusal{Cause: PermitWanted, Limited: e, Urgency: b.urgency(d, now)}
	}
	if d.Service.Engine != nil {
		l.stats = b.statsFor(d.Service.Name)
		l.stats.prefillPerToken.MergePeer(grant.Pace.PrefillPerToken)
		l.stats.stepTime.MergePeer(grant.Pace.StepTime)
	}
	p := &Placement{Endpoint: e, Cost: grant.Cost, Cached: grant.Cached, Backlog: grant.Backlog, BacklogTokens: grant.BacklogTokens, Wait: grant.Wait, Pace: grant.Pace, Granted: true, RetryAvailable: grant.RetryAvailable, failureRate: grant.FailureRate, excessFailures: grant.ExcessFailures, load: l, Distance: l.distance}
	if p.Distance == OtherRegion {
		p.CrossRegionCost, _ = b.crossRegionCosts(d, now)
	}
	b.acceptFetch(p, &grant, ls, d)
	b.begin(p, d, now)
	return p, nil
}

// acceptFetch accepts the fetch of the grant. If the donor is unknown here or may not hold the
// request's parts, the endpoint prefills them instead.
func (b *Balancer) acceptFetch(p *Placement, grant *Grant, ls *listing, d *Demand) {
	if grant.Donor == 0 {
		return
	}
	if donor := ls.byHash[grant.Donor]; donor != nil && b.inAllowedRegion(donor, d) {
		p.Fetched, p.Donor = grant.Fetched, donor
		return
	}
	p.Cached -= grant.Fetched
}
