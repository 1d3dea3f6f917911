package balance

// This file enforces data residency: requests are served only in their allowed regions.
//
// An instance checks again what a scheduler chose for it, since the scheduler may run another
// version or have other settings. Data centres without a region serve no restricted requests.

import (
	"ivyridge/discovery"
)

// inAllowedRegion reports whether the request may be served in the endpoint's region. The caller
// holds b.mu.
func (b *Balancer) inAllowedRegion(e *discovery.Endpoint, d *Demand) bool {
	return !d.Residency.Restricted() || d.Residency.Allows(b.regions[e.DataCentre])
}

// storableParts returns the prompt parts that this instance may store: none if the request may not
// be served in the instance's region. The caller holds b.mu.
func (b *Balancer) storableParts(d *Demand) []PromptPart {
	if d.Residency.Restricted() && !d.Residency.Allows(b.regions[b.dataCentre]) {
		return nil
	}
	return d.Parts
}

// RedactParts returns notices with the prompt parts removed that must not be disclosed to region.
// It does not modify its argument.
func RedactParts(notices []Notice, region string) []Notice {
	var out []Notice
	for i, n := range notices {
		if len(n.Parts) == 0 || n.Residency.Allows(region) {
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

func (n *Notice) restricted() bool { return n.Residency.Restricted() && len(n.Parts) > 0 }

// AnyRestricted reports whether any notice has parts that may only be disclosed to certain regions.
func AnyRestricted(notices []Notice) bool {
	for i := range notices {
		if notices[i].restricted() {
			return true
		}
	}
	return false
}
