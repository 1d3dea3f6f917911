package balance

// This file decides from which engine another one fetches cached prompt parts.
//
// Copying a long cached part takes far less time than prefilling it. The fetch is planned after the
// endpoint is chosen and does not affect the choice. Otherwise long prompts would move to engines
// with latency-sensitive streams, and together make many streams late.

import (
	"time"

	"ivyridge/discovery"
)

const (
	minFetchTokens = 150
	// fetchOverhead is the estimated time of a fetch, in ms, besides the transfer.
	fetchOverhead = 5.0
	// crossDataCentreFetchFactor multiplies the transfer time between data centres.
	crossDataCentreFetchFactor = 2.0
)

// A donor is an engine from which parts may be fetched.
type donor struct {
	endpoint *discovery.Endpoint
	load     *load
}

// donors are the engines that cache the most of a prompt, at most one per data centre.
type donors struct {
	tokens int // cached at each of them
	all    []donor
}

// SetRegions sets the region of each data centre; those without an entry form one region. Nothing
// is fetched from another region, since the links between regions are narrow.
func (b *Balancer) SetRegions(regions map[string]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.regions = regions
	b.multiRegion = false
	for dataCentre := range regions {
		b.multiRegion = b.multiRegion || b.regions.Between(b.dataCentre, dataCentre) == OtherRegion
	}
	b.invalidateWorkingSets()
}

// donors returns the engines from which parts of a prompt may be fetched, and sets b.cachedTokens
// per endpoint. The result is valid until the next call. The caller holds b.mu.
func (b *Balancer) donors(endpoints []*discovery.Endpoint, loads []*load, d *Demand, now time.Time) donors {
	out := donors{all: b.donorBuf[:0]}
	b.cachedTokens = b.cachedTokens[:0]
	memory := int(cacheMemoryShare * float64(d.Service.Engine.MemoryTokens))
	fetches := d.Service.Engine.CanFetchCache()
	for i, e := range endpoints {
		l := loads[i]
		numCached := min(l.cached(d.Parts, memory), d.Prompt)
		b.cachedTokens = append(b.cachedTokens, numCached)
		if !fetches || numCached < max(minFetchTokens, out.tokens) || e.RejectsNew() || l.draining(now) || l.backoffRemaining(now) > 0 || l.hasLimit() || e.Cold(now) || l.avoided(e, now, false, self) || !b.inAllowedRegion(e, d) {
			continue
		}
		if numCached > out.tokens {
			out.tokens, out.all = numCached, out.all[:0]
		}
		out.add(donor{e, l})
	}
	b.donorBuf = out.all
	return out
}

// add adds an engine that caches as much as those before it. It keeps one engine per data centre,
// the one whose last fetch is longest ago, since an engine serves fetches one at a time.
func (d *donors) add(c donor) {
	for i := range d.all {
		if d.all[i].endpoint.DataCentre != c.endpoint.DataCentre {
			continue
		}
		if c.load.lastDonated.Before(d.all[i].load.lastDonated) {
			d.all[i] = c
		}
		return
	}
	d.all = append(d.all, c)
}

// nearest returns the donor in dataCentre, else one in its region, else nil.
func (d *donors) nearest(dataCentre string, regions Regions) *donor {
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

// planFetch sets what the endpoint fetches, if a donor caches enough more of the prompt.
func (p *Placement) planFetch(from *donors, d *Demand, regions Regions) {
	tokens := from.tokens - p.Cached
	if tokens < minFetchTokens {
		return
	}
	c := from.nearest(p.Endpoint.DataCentre, regions)
	if c == nil {
		return
	}
	transferTime := d.Service.Engine.CacheTransferMS(tokens)
	if regions.Between(c.endpoint.DataCentre, p.Endpoint.DataCentre) != SameDataCentre {
		transferTime *= crossDataCentreFetchFactor
	}
	p.Cached += tokens
	p.Fetched, p.Donor, p.donor = tokens, c.endpoint, c.load
	p.prefillTime = float64(d.Prompt-p.Cached)*p.load.prefillPerToken + transferTime + fetchOverhead
}

func (p *Placement) markDonor(now time.Time) {
	if p.donor != nil {
		p.donor.lastDonated = now
	}
}
