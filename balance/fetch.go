package balance

// This file decides where an engine gets parts of a prompt from that another one holds.
//
// A first part of 6,300 tokens, that one engine has read, is read for 110 ms at the next, and
// whatever runs there pauses meanwhile; moved between the two it takes 2 ms. Where a prompt
// goes is chosen before, as though nothing were moved. Counted in the choice, moves took long
// prompts to the engines of those streams that must not pause: each prompt did little harm
// there, and all of them together made 221 of 3,449 such streams late where 20 were before; over
// four days 0.79 of the worth was earned, against 0.83 with the choice left alone.

import (
	"time"

	"ivyridge/belief"
)

const (
	// fetchLeast is the number of tokens from which parts are fetched; from 400 on measured
	// the same.
	fetchLeast = 150
	// fetchTime is what a move is thought to take beside its bytes, in ms. Not tuned: with it,
	// prompts with a move began 10 to 27 ms later in the median than was expected.
	fetchTime = 5.0
	// farFetch is how much longer a move between data centres takes.
	farFetch = 2.0
)

// A donor is an engine that parts may be fetched from.
type donor struct {
	endpoint *belief.Endpoint
	load     *load
}

// donors are the engines that hold the most of one prompt, at most one of a data centre.
type donors struct {
	held int // tokens
	all  []donor
}

// SetRegions tells which region each data centre is in. Nothing is fetched from another
// region: the links between two are as narrow as an instance's own. Data centres that are not
// named are taken for one region.
func (b *Balancer) SetRegions(regions map[string]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.regions = regions
	b.several = false
	for dataCentre := range regions {
		b.several = b.several || b.regions.Between(b.dataCentre, dataCentre) == Beyond
	}
	b.refill()
}

// donors returns the engines that parts of a prompt may be fetched from, and fills b.held with
// what each endpoint holds of it. What it returns is good until the next call.
func (b *Balancer) donors(endpoints []*belief.Endpoint, loads []*load, d *Demand, now time.Time) donors {
	out := donors{all: b.donated[:0]}
	b.held = b.held[:0]
	memory := int(memoryUsed * float64(d.Service.Engine.MemoryTokens))
	fetches := d.Service.Engine.Fetches()
	for i, e := range endpoints {
		l := loads[i]
		held := min(l.cached(d.Parts, memory), d.Prompt)
		b.held = append(b.held, held)
		if !fetches || held < max(fetchLeast, out.held) || e.Closed() || l.leaves(now) || l.rest(now) > 0 || l.limits() || e.Cold(now) || l.avoided(e, now, false) || !b.mayServe(e, d) {
			continue
		}
		if held > out.held {
			out.held, out.all = held, out.all[:0]
		}
		out.add(donor{e, l})
	}
	b.donated = out.all
	return out
}

// add takes up an engine that holds as much as those before it. Of those of a data centre, the
// one stays whose last move was longer ago: moves go one after the other.
func (d *donors) add(c donor) {
	for i := range d.all {
		if d.all[i].endpoint.DataCentre != c.endpoint.DataCentre {
			continue
		}
		if c.load.donated.Before(d.all[i].load.donated) {
			d.all[i] = c
		}
		return
	}
	d.all = append(d.all, c)
}

// near returns the donor for an engine of a data centre, one there if there is any, or else
// one of its region; nil if there is none.
func (d *donors) near(dataCentre string, regions Regions) *donor {
	var found *donor
	for i := range d.all {
		c := &d.all[i]
		switch regions.Between(c.endpoint.DataCentre, dataCentre) {
		case SameDataCentre:
			return c
		case SameRegion:
			if found == nil {
				found = c
			}
		}
	}
	return found
}

// fetch has the placement's endpoint take from another one what that holds more of the prompt.
func (p *Placement) fetch(from *donors, d *Demand, regions Regions) {
	tokens := from.held - p.Cached
	if tokens < fetchLeast {
		return
	}
	c := from.near(p.Endpoint.DataCentre, regions)
	if c == nil {
		return
	}
	move := d.Service.Engine.MoveTime(tokens)
	if regions.Between(c.endpoint.DataCentre, p.Endpoint.DataCentre) != SameDataCentre {
		move *= farFetch
	}
	p.Cached += tokens
	p.Fetched, p.Donor, p.donor = tokens, c.endpoint, c.load
	p.reading = float64(d.Prompt-p.Cached)*p.load.readTime + move + fetchTime
}

// donates notes the move that the placement asks for.
func (p *Placement) donates(now time.Time) {
	if p.donor != nil {
		p.donor.donated = now
	}
}
