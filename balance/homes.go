package balance

// This file keeps requests within the regions where they may be served.
//
// It is asked for each endpoint wherever one is chosen: by a scheduler, by an instance that
// chooses for itself, and once more by the instance that a scheduler chose for, since a
// scheduler may be of an older version or know other regions. What can't be told, because
// settings name no region for a data centre, is not allowed.

import (
	"ivyridge/belief"
)

// mayServe reports whether an endpoint lies where the request may be served. The caller holds
// b.mu.
func (b *Balancer) mayServe(e *belief.Endpoint, d *Demand) bool {
	return !d.Homes.Bound() || d.Homes.Allows(b.regions[e.DataCentre])
}

// parts returns what this instance may remember of a request's prompt: nothing where the
// request may not be served in its own region. The caller holds b.mu.
func (b *Balancer) parts(d *Demand) []Part {
	if d.Homes.Bound() && !d.Homes.Allows(b.regions[b.dataCentre]) {
		return nil
	}
	return d.Parts
}

// Withhold returns notices as a region may be told them: without the parts of prompts that
// may not be known there.
func Withhold(notices []Notice, region string) []Notice {
	var out []Notice
	for i, n := range notices {
		if len(n.Parts) == 0 || n.Homes.Allows(region) {
			continue
		}
		if out == nil {
			out = append([]Notice(nil), notices...)
		}
		out[i].Parts = nil
	}
	if out == nil {
		return notices
	}
	return out
}

// bound reports whether some parts may not be known everywhere.
func (n *Notice) bound() bool { return n.Homes.Bound() && len(n.Parts) > 0 }

// AnyBound reports whether some of notices may not be told everywhere.
func AnyBound(notices []Notice) bool {
	for i := range notices {
		if notices[i].bound() {
			return true
		}
	}
	return false
}
