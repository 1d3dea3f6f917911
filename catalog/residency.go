package catalog

// This file defines in which regions a request may be served.

import "slices"

// A Residency is the set of regions in which a request may be served and its data may be stored. The
// zero value allows all regions. A restricted one never allows a region without a name.
type Residency struct {
	restricted bool
	regions    []string
}

// NewResidency returns a Residency that allows only the given regions. It keeps the slice.
func NewResidency(regions []string) Residency { return Residency{restricted: true, regions: regions} }

// ResidencyOf returns the regions that both r and t allow, which may be none. t may be nil.
func ResidencyOf(r *Route, t *Team) Residency {
	var residency Residency
	if r.HomeRegions != nil {
		residency = NewResidency(r.HomeRegions)
	}
	if t == nil || t.HomeRegions == nil {
		return residency
	}
	if !residency.restricted {
		return NewResidency(t.HomeRegions)
	}
	common := make([]string, 0, len(residency.regions))
	for _, region := range residency.regions {
		if slices.Contains(t.HomeRegions, region) {
			common = append(common, region)
		}
	}
	return NewResidency(common)
}

// Restricted reports whether r is restricted to a list of regions, which may be empty.
func (r Residency) Restricted() bool { return r.restricted }

// Allows reports whether the request may be served in a region; "" is an unknown region.
func (r Residency) Allows(region string) bool {
	return !r.restricted || region != "" && slices.Contains(r.regions, region)
}

// Regions returns the allowed regions if r is restricted. The caller must not modify them.
func (r Residency) Regions() []string { return r.regions }
