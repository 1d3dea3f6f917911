package balance

// This file lets one instance choose endpoints for others.

import (
	"time"

	"ivyridge/belief"
)

// A Choice is an endpoint that one instance chose for another, with what
// decided it.
type Choice struct {
	Endpoint uint32 // EndpointHash of its ID; zero: none may take the request
	Cost     float64
	Cached   int    // tokens of the prompt that the endpoint is thought to hold, or to fetch
	Fetched  int    // those of them that it is to fetch from Donor
	Donor    uint32 // EndpointHash of its ID; zero: none
	Backlog  time.Duration
	Ahead    float64 // the same in tokens
	Wait     float64 // before the prompt is read, in ms
	Pace     Pace
	Failing  float64 // the share of failures at the service
	Excess   float64 // of failures at the endpoint over those of the service
	Spare    bool    // the chooser had a retry left for the request, should it have to be sent again
	Lent     bool    // a retry was paid for, and no endpoint chosen
	// Refusal is set if the request is refused; there is no endpoint then.
	Refusal *Refusal
}

// Grant chooses an endpoint for another instance, and counts the request as
// running there until that instance's next report of the endpoint.
func (b *Balancer) Grant(instance uint64, endpoints []*belief.Endpoint, d *Demand) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	p, refusal := b.admitted(endpoints, d, now, asker(instance))
	if p == nil {
		return Choice{Refusal: refusal}
	}
	l := p.load
	b.spend(p.Endpoint, l, d.Service, now)
	spare := b.retries.settle(d, now)
	p.charge = newCharge(d, p.Cached)
	r := l.remotes[instance]
	r.add(p.charge)
	r.at, l.used = now, now
	l.remotes[instance] = r
	b.changeRemote(l)
	if d.Service.Engine != nil {
		b.read(l, now, b.parts(d), p.charge.uncached, p.Fetched)
		b.crossed(p, d, now)
		p.donates(now)
	}
	if d.announced() {
		b.announce(p, d)
	}
	if d.Suspect {
		l.suspected(now)
	}
	c := Choice{
		Endpoint: l.hash, Cost: p.Cost, Cached: p.Cached, Backlog: p.Backlog, Ahead: p.Ahead, Wait: p.Wait, Pace: p.Pace,
		Failing: p.failing, Excess: l.lately.excess(p.failing), Spare: spare,
	}
	if p.donor != nil {
		c.Fetched, c.Donor = p.Fetched, p.donor.hash
	}
	return c
}

// Adopt counts a request as running at the endpoint that another instance
// chose. It returns nil if this instance knows better: the endpoint is not
// among endpoints, leaves, can't be reached from here, has asked this instance for rest, has
// had the request, or may not serve it; or if a permit for it has to be asked for first, which
// the refusal says.
func (b *Balancer) Adopt(c Choice, endpoints []*belief.Endpoint, d *Demand) (*Placement, *Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	r := b.listing(d.Service.Name, endpoints)
	e := r.byHash[c.Endpoint]
	if e == nil {
		return nil, nil
	}
	l := b.listed(e)
	if b.excluded(e, l, d, now) || l.avoided(e, now, false) {
		return nil, nil
	}
	if _, rests := itself.at(l, b.urgency(d, now), now); rests || d.Permitted && l.limited.short(now) {
		return nil, nil
	}
	if l.limited.short(now) {
		return nil, &Refusal{Cause: PermitWanted, Limited: e, Urgency: b.urgency(d, now)}
	}
	if d.Service.Engine != nil {
		l.figures = b.figures(d.Service.Name)
		l.figures.read.Hear(c.Pace.ReadTime)
		l.figures.step.Hear(c.Pace.StepTime)
	}
	p := &Placement{Endpoint: e, Cost: c.Cost, Cached: c.Cached, Backlog: c.Backlog, Ahead: c.Ahead, Wait: c.Wait, Pace: c.Pace, Granted: true, Spare: c.Spare, failing: c.Failing, excess: c.Excess, load: l, Distance: l.distance}
	if p.Distance == Beyond {
		p.Crossing, _ = b.crossing(d, now)
	}
	b.takeDonor(p, &c, r, d)
	b.begin(p, d, now)
	return p, nil
}

// takeDonor takes up what the chosen endpoint is to fetch. Where its donor is not known here,
// or may not have the request's parts, it reads that.
func (b *Balancer) takeDonor(p *Placement, c *Choice, r *listing, d *Demand) {
	if c.Donor == 0 {
		return
	}
	if donor := r.byHash[c.Donor]; donor != nil && b.mayServe(donor, d) {
		p.Fetched, p.Donor = c.Fetched, donor
		return
	}
	p.Cached -= c.Fetched
}
