package balance

// This file says how far two data centres are apart, and what leaving costs.
//
// Data centres of one region have wide links between them; two regions share one narrow link,
// on which control and the reading of the store pass as well. A prompt of 17 KB that finds
// 13,300 tokens read in the other region saves engines 280 ms of reading and is worth its
// bytes; a chat of 1.5 KB that finds 350 tokens saves 7 ms and is not. So the cost of leaving a
// region follows the bytes that cross both ways and the round trip beside the request's
// objective, in the unit of all costs. A constant for all requests was weighed: it can't tell the
// two apart, and gained nothing at 0.06.
//
// An endpoint at home that would begin the request late loses that advantage by and by, so that
// a region which is overrun spills over before it refuses, and takes the requests back as it
// empties, without a threshold on either side. What a full link adds to the cost it does not
// lose: what does not fit stays home.
//
// Popular parts of prompts are held in each region on purpose: see crossed in popular.go.

import (
	"time"
)

// A Distance is how far two data centres are apart.
type Distance uint8

// The distances.
const (
	SameDataCentre Distance = iota
	SameRegion              // wide links between them
	Beyond                  // a narrow link between two regions
)

// String returns the distance as logs show it.
func (d Distance) String() string {
	switch d {
	case SameDataCentre:
		return "data-centre"
	case SameRegion:
		return "region"
	}
	return "beyond"
}

// Regions gives the region of each data centre, as settings say. Data centres that are not
// named are taken for one region of their own.
type Regions map[string]string

// Between returns how far two data centres are apart.
func (r Regions) Between(a, b string) Distance {
	switch {
	case a == b:
		return SameDataCentre
	case r[a] == r[b]:
		return SameRegion
	}
	return Beyond
}

// Costs of leaving a region.
const (
	// byteCost is that of a KB on the link between two regions: a chat's parts of 350 tokens,
	// 0.12 to read anew, are not worth its 3 KB; a long prompt's of 13,300, 4.4, are worth 19.
	// On 140 engines in two regions, a rush with crashes: at 0.03, 0.06, 0.1 and 0.2 there
	// cross 0.131, 0.125, 0.115 and 0.102 GB, and 15.5, 15.2, 14.2 and 17.8 million tokens of
	// shared parts are read again; 0.177 and 17.3 where leaving costs nothing.
	byteCost = 0.1
	// roundTrip is how long the link takes there and back as long as nothing is measured: a
	// thousand km.
	roundTrip = 25 * time.Millisecond
	// queueDoubles is how long datagrams wait for the link when a byte costs twice as much:
	// 150 KB, or nine long prompts, at 60 Mbit/s. Not tuned.
	queueDoubles = 20 * time.Millisecond
	// linkFor is how long a measurement holds.
	linkFor = 5 * time.Second
	// plainBeyond keeps requests without a model in their region until all slots there are
	// taken: an idle endpoint beyond costs as much as one nearby with one slot left.
	plainBeyond = 0.3
	// homeUntil is the part of the objective at which an engine at home has no advantage left:
	// below that from which requests are refused.
	homeUntil = 0.8
)

// Bytes of an answer as they cross, about.
const (
	answerToken = 14  // of a token in a stream: a short text, its frame, its share of an event's
	answerPlain = 800 // of an answer of an endpoint without a model
	answerHead  = 400 // of both heads
)

// A link is what was measured of the way to other regions.
type link struct {
	way   time.Duration // there and back
	queue time.Duration // what waits for it
	at    time.Time
}

// SetLink tells how long the way to other regions takes there and back, and what waits on it
// now: requests then leave the region the less, so that the link drains and control passes.
func (b *Balancer) SetLink(way, queue time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.link = link{way: way, queue: queue, at: b.now()}
}

// measured returns what was measured of late, or is assumed.
func (l *link) measured(now time.Time) (way, queue time.Duration) {
	if l.at.IsZero() || now.Sub(l.at) > linkFor {
		return roundTrip, 0
	}
	return l.way, l.queue
}

// crossing returns what a request costs more in another region, and how much of that it would
// cost if nothing waited for the link.
func (b *Balancer) crossing(d *Demand, now time.Time) (cost, calm float64) {
	way, queue := b.link.measured(now)
	bytes := d.Bytes + answerHead
	if d.Service.Engine != nil {
		bytes += answerToken * d.Output
	} else {
		bytes += answerPlain
		calm = plainBeyond
	}
	onLink := byteCost * float64(bytes) / 1024
	calm += onLink
	cost = calm + onLink*float64(queue)/float64(queueDoubles)
	if d.Objective > 0 {
		calm += d.weight() * float64(way) / float64(d.Objective)
		cost += d.weight() * float64(way+queue) / float64(d.Objective)
	}
	return cost, calm
}

// leaving returns what an endpoint at a distance costs more, near at least if it is in
// another data centre. Late is how far an endpoint at home is from having no advantage, from
// 0 to 1 and beyond.
func (v *outlook) leaving(l *load, near, late float64) float64 {
	switch {
	case l.distance == SameDataCentre:
		return v.stay(late)
	case l.distance == SameRegion:
		return near + v.stay(late)
	}
	return near + v.crossing
}

// stay returns the advantage that an endpoint of the own region has lost.
func (v *outlook) stay(late float64) float64 {
	if v.calm == 0 {
		return 0
	}
	return v.calm * min(1, lateness(late))
}
