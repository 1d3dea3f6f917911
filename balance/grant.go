package balance

// This file lets a scheduler instance choose endpoints for other instances.

import (
	"time"

	"ivyridge/discovery"
)

// A Choice is an endpoint that one instance chose for another, with the estimates behind it.
type Choice struct {
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
func (b *Balancer) Grant(instance uint64, endpoints []*discovery.Endpoint, d *Demand) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	p, refusal := b.admit(endpoints, d, now, requester(instance))
	if p == nil {
		return Choice{Refusal: refusal}
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
	c := Choice{
		Endpoint: l.hash, Cost: p.Cost, Cached: p.Cached, Backlog: p.Backlog, BacklogTokens: p.BacklogTokens, Wait: p.Wait, Pace: p.Pace,
		FailureRate: p.failureRate, ExcessFailures: l.observed.excess(p.failureRate), RetryAvailable: available,
	}
	if p.donor != nil {
		c.Fetched, c.Donor = p.Fetched, p.donor.hash
	}
	return c
}

// Adopt counts a request as running at the endpoint that another instance chose. It returns no
// placement if the endpoint is not listed, or this instance knows it to be draining, unreachable,
// in back-off, already tried, or not allowed to serve the request. If a permit must be requested
// first, it returns a refusal with cause PermitWanted.
func (b *Balancer) Adopt(c Choice, endpoints []*discovery.Endpoint, d *Demand) (*Placement, *Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	ls := b.listing(d.Service.Name, endpoints)
	e := ls.byHash[c.Endpoint]
	if e == nil {
		return nil, nil
	}
	l := b.loadFor(e)
	if b.excluded(e, l, d, now) || l.avoided(e, now, false) {
		return nil, nil
	}
	if _, closed := self.loadState(l, b.urgency(d, now), now); closed || d.Permitted && l.limitState.needsPermit(now) {
		return nil, nil
	}
	if l.limitState.needsPermit(now) {
		return nil, &Refusal{Cause: PermitWanted, Limited: e, Urgency: b.urgency(d, now)}
	}
	if d.Service.Engine != nil {
		l.stats = b.statsFor(d.Service.Name)
		l.stats.prefillPerToken.MergePeer(c.Pace.PrefillPerToken)
		l.stats.stepTime.MergePeer(c.Pace.StepTime)
	}
	p := &Placement{Endpoint: e, Cost: c.Cost, Cached: c.Cached, Backlog: c.Backlog, BacklogTokens: c.BacklogTokens, Wait: c.Wait, Pace: c.Pace, Granted: true, RetryAvailable: c.RetryAvailable, failureRate: c.FailureRate, excessFailures: c.ExcessFailures, load: l, Distance: l.distance}
	if p.Distance == OtherRegion {
		p.CrossRegionCost, _ = b.crossRegionCosts(d, now)
	}
	b.adoptFetch(p, &c, ls, d)
	b.begin(p, d, now)
	return p, nil
}

// adoptFetch adopts the fetch of the choice. If the donor is unknown here or may not hold the
// request's parts, the endpoint prefills them instead.
func (b *Balancer) adoptFetch(p *Placement, c *Choice, ls *listing, d *Demand) {
	if c.Donor == 0 {
		return
	}
	if donor := ls.byHash[c.Donor]; donor != nil && b.inAllowedRegion(donor, d) {
		p.Fetched, p.Donor = c.Fetched, donor
		return
	}
	p.Cached -= c.Fetched
}
