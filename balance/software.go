package balance

// This file chooses endpoints for streams that may only go on at the software version that began them.

import (
	"cmp"
	"slices"
	"time"

	"ivyridge/catalog"
	"ivyridge/discovery"
)

// maxSoftwareChoices bounds the endpoints outside the working set that are considered for a stream.
const maxSoftwareChoices = 64

// cheapestOfSoftware is cheapest for a request that must run at one software version. The working set
// is not enlarged for it: it may hold few endpoints of that version, or none. The caller holds b.mu.
func (b *Balancer) cheapestOfSoftware(ls *listing, d *Demand, now time.Time, by requester) *Placement {
	for _, lastResort := range []bool{false, true} {
		if best := b.choose(ls, d, now, by, lastResort); best != nil {
			return best
		}
		if ls.complete() {
			continue
		}
		if best := b.choose(b.ofSoftware(ls, d.Software), d, now, by, lastResort); best != nil {
			return best
		}
	}
	return nil
}

// ofSoftware returns a complete listing of open endpoints of a software version. The caller holds b.mu.
func (b *Balancer) ofSoftware(ls *listing, software catalog.SoftwareID) *listing {
	out := &listing{service: ls.service, groups: ls.groups, brittleUntil: ls.brittleUntil}
	for _, e := range ls.all {
		if e.SoftwareID() == software && !e.RejectsNew() {
			out.endpoints = append(out.endpoints, e)
		}
	}
	slices.SortFunc(out.endpoints, func(x, y *discovery.Endpoint) int { return cmp.Compare(x.Rank(), y.Rank()) })
	out.endpoints = out.endpoints[:min(len(out.endpoints), maxSoftwareChoices)]
	for _, e := range out.endpoints {
		out.loads = append(out.loads, b.loadFor(ls, e))
	}
	return out
}

// runsSoftware reports whether the endpoint runs the software version that the request needs.
func (d *Demand) runsSoftware(e *discovery.Endpoint) bool {
	return d.Software == 0 || e.SoftwareID() == d.Software
}
