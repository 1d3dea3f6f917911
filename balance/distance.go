package balance

// This file computes the distance between data centres and the cost of leaving a region.
//
// Regions are connected by a narrow link that also carries control traffic. Using a part cached in
// another region is worthwhile for long prompts, whose prefill is expensive compared with their
// size. The cost of leaving a region therefore depends on the bytes sent both ways, and on the
// round trip relative to the objective.
//
// A local endpoint that would start the request late gradually loses its advantage, so that an
// overloaded region spills over before it refuses requests. The additional cost of a congested link
// is not lost this way: requests that do not fit the link stay local.

import (
	"time"
)

// A Distance is a class of distance between two data centres.
type Distance uint8

const (
	SameDataCentre Distance = iota
	SameRegion              // wide links between them
	OtherRegion             // different regions, with a narrow link between them
)

// String returns the name of the distance used in logs.
func (d Distance) String() string {
	switch d {
	case SameDataCentre:
		return "data-centre"
	case SameRegion:
		return "region"
	}
	return "beyond"
}

// Regions maps data centres to regions. Data centres without an entry form one region.
type Regions map[string]string

// Between returns the distance between data centres a and b.
func (r Regions) Between(a, b string) Distance {
	switch {
	case a == b:
		return SameDataCentre
	case r[a] == r[b]:
		return SameRegion
	}
	return OtherRegion
}

const (
	// costPerKB is the cost of a KB on the link between regions. Sending a short chat costs more
	// than prefilling its shared parts; sending a long prompt costs several times less.
	costPerKB = 0.1
	// defaultRoundTrip is the assumed round-trip time without a measurement,
	// that of about 1,000 km.
	defaultRoundTrip = 25 * time.Millisecond
	// queueDoublingTime is the queueing delay of the link at which the cost of a byte doubles:
	// 150 KB, or nine long prompts, at 60 Mbit/s.
	queueDoublingTime = 20 * time.Millisecond
	// linkTTL is how long a measurement is valid.
	linkTTL = 5 * time.Second
	// plainCrossRegionCost keeps plain requests in their region until all slots there are in use.
	// An idle endpoint in another region costs as much as a local one with one free slot.
	plainCrossRegionCost = 0.3
	// localAdvantageEnd is the wait, relative to the objective, at which a local engine has lost
	// its advantage. It is below the wait at which requests are refused.
	localAdvantageEnd = 0.8
)

// Estimated bytes of a response.
const (
	responseBytesPerToken = 14  // per token of a stream: text, framing, and share of an event
	plainResponseBytes    = 800 // body of a response without an engine
	responseHeaderBytes   = 400 // request and response headers
)

// A link is a measurement of the link to other regions.
type link struct {
	roundTrip time.Duration
	queue     time.Duration // queueing delay
	at        time.Time
}

// SetLink records the measured round-trip time and queueing delay of the link to other regions. The
// delay makes leaving the region more expensive, so that control traffic passes.
func (b *Balancer) SetLink(rtt, queue time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.link = link{roundTrip: rtt, queue: queue, at: b.now()}
}

// measured returns the last measurement if it is valid, else defaults.
func (l *link) measured(now time.Time) (rtt, queue time.Duration) {
	if l.at.IsZero() || now.Sub(l.at) > linkTTL {
		return defaultRoundTrip, 0
	}
	return l.roundTrip, l.queue
}

// crossRegionCosts returns the cost of placing the request in another region, now and with an idle
// link.
func (b *Balancer) crossRegionCosts(d *Demand, now time.Time) (cost, uncongested float64) {
	rtt, queue := b.link.measured(now)
	bytes := d.Bytes + responseHeaderBytes
	if d.Service.Engine != nil {
		bytes += responseBytesPerToken * d.Output
	} else {
		bytes += plainResponseBytes
		uncongested = plainCrossRegionCost
	}
	linkCost := costPerKB * float64(bytes) / 1024
	uncongested += linkCost
	cost = uncongested + linkCost*float64(queue)/float64(queueDoublingTime)
	if d.Objective > 0 {
		uncongested += d.weight() * float64(rtt) / float64(d.Objective)
		cost += d.weight() * float64(rtt+queue) / float64(d.Objective)
	}
	return cost, uncongested
}

// locationCost returns the cost of the endpoint's location: crossDataCentre outside the data
// centre, plus the cost of leaving the region. At a saturation of 1, a local endpoint has lost its
// advantage.
func (c *choiceParams) locationCost(l *load, crossDataCentre, saturation float64) float64 {
	switch {
	case l.distance == SameDataCentre:
		return c.lostLocalAdvantage(saturation)
	case l.distance == SameRegion:
		return crossDataCentre + c.lostLocalAdvantage(saturation)
	}
	return crossDataCentre + c.crossRegionCost
}

// lostLocalAdvantage returns the cost added to a local endpoint, at most that of leaving the region
// over an idle link.
func (c *choiceParams) lostLocalAdvantage(saturation float64) float64 {
	if c.uncongestedCrossCost == 0 {
		return 0
	}
	return c.uncongestedCrossCost * min(1, lateness(saturation))
}
