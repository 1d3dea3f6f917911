package balance

// This file computes the distance between data centres and the cost of leaving a region.
//
// Data centres of one region are connected by wide links; regions share a narrow link that also
// carries control traffic. Using a part cached in another region is worthwhile for long prompts,
// whose prefill is expensive compared with their size, but not for short ones. The cost of leaving
// a region therefore depends on the bytes sent both ways and on the round trip relative to the
// objective. A constant cost per request can't distinguish the two.
//
// A local endpoint that would start the request late gradually loses its advantage, so that an
// overloaded region spills over before it refuses requests, and stops as it recovers, without a
// threshold. The additional cost of a congested link is not lost this way: requests that don't fit
// the link stay local.
//
// Popular parts of prompts are cached in each region: see recordCrossing in popular.go.

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

// Regions maps data centres to regions, as configured. Data centres without an entry form one
// region.
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

// Cost parameters of leaving a region.
const (
	// byteCost is the cost of a KB on the link between regions. Prefill of a short chat's shared
	// parts costs less than sending the chat; that of a long prompt's costs several times more.
	byteCost = 0.1
	// defaultRoundTrip is the assumed round-trip time without a measurement.
	defaultRoundTrip = 25 * time.Millisecond
	// queueDoublingTime is the queueing delay of the link at which the cost of a byte doubles.
	queueDoublingTime = 20 * time.Millisecond
	// linkTTL is how long a measurement is valid.
	linkTTL = 5 * time.Second
	// plainCrossRegionCost keeps requests without an engine in their region until all slots there
	// are in use.
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

// SetLink records the measured round-trip time and queueing delay of the link to other regions. A
// queueing delay makes leaving the region more expensive, so that the link drains and control
// traffic passes.
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

// crossingCosts returns the cost of placing the request in another region, and the same with an
// idle link.
func (b *Balancer) crossingCosts(d *Demand, now time.Time) (cost, uncongested float64) {
	rtt, queue := b.link.measured(now)
	bytes := d.Bytes + responseHeaderBytes
	if d.Service.Engine != nil {
		bytes += responseBytesPerToken * d.Output
	} else {
		bytes += plainResponseBytes
		uncongested = plainCrossRegionCost
	}
	linkCost := byteCost * float64(bytes) / 1024
	uncongested += linkCost
	cost = uncongested + linkCost*float64(queue)/float64(queueDoublingTime)
	if d.Objective > 0 {
		uncongested += d.weight() * float64(rtt) / float64(d.Objective)
		cost += d.weight() * float64(rtt+queue) / float64(d.Objective)
	}
	return cost, uncongested
}

// locationCost returns the cost of the endpoint's location: near for another data centre, plus the
// cost of leaving the region. Within the region, late tells how much of its advantage a local
// endpoint has lost; it is fully lost at 1.
func (v *choiceParams) locationCost(l *load, near, late float64) float64 {
	switch {
	case l.distance == SameDataCentre:
		return v.lostLocalAdvantage(late)
	case l.distance == SameRegion:
		return near + v.lostLocalAdvantage(late)
	}
	return near + v.crossRegionCost
}

// lostLocalAdvantage returns the cost of a local endpoint that has lost its advantage, up to that
// of leaving the region over an idle link.
func (v *choiceParams) lostLocalAdvantage(late float64) float64 {
	if v.uncongestedCrossCost == 0 {
		return 0
	}
	return v.uncongestedCrossCost * min(1, lateness(late))
}
