package catalog

// This file defines in which regions a request may be served.

import "slices"

// A Residency is the set of regions in which a request may be served and its data may be stored.
// The zero value allows all regions.
//
// It fails closed: if it is restricted, a region without a name is not allowed, and if a
// route and a team have no region in common, no region is.
type Residency struct {
	restricted bool
	regions    []string
}

// NewResidency returns a Residency that allows only the given regions. The caller must not modify
// regions afterwards.
func NewResidency(regions []string) Residency { return Residency{restricted: true, regions: regions} }

// ResidencyOf returns the regions that both r and t allow. t may be nil.
func ResidencyOf(r *Route, t *Team) Residency {
	var h Residency
	if r.HomeRegions != nil {
		h = NewResidency(r.HomeRegions)
	}
	if t == nil || t.HomeRegions == nil {
		return h
	}
	if !h.restricted {
		return NewResidency(t.HomeRegions)
	}
	common := make([]string, 0, len(h.regions))
	for _, region := range h.regions {
		if slices.Contains(t.HomeRegions, region) {
			common = append(common, region)
		}
	}
	return NewResidency(common)
}

// Restricted reports whether h is restricted to a list of regions, which may be empty.
func (h Residency) Restricted() bool { return h.restricted }

// Allows reports whether the request may be served in a region. If h is restricted, an unknown
// region, given as the empty string, is not allowed.
func (h Residency) Allows(region string) bool {
	return !h.restricted || region != "" && slices.Contains(h.regions, region)
}

// Regions returns the allowed regions if h is restricted. The caller must not modify the result.
func (h Residency) Regions() []string { return h.regions }
