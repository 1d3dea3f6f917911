package catalog

// This file defines in which regions a request may be served.

import "slices"

// Homes are the regions in which a request may be served and its data may be stored. The zero
// value allows all regions.
//
// Homes fail closed: if they are restricted, a region without a name is not allowed, and if a
// route and a team have no region in common, no region is.
type Homes struct {
	restricted bool
	regions    []string
}

// NewHomes returns Homes that allow only the given regions. The caller must not modify regions
// afterwards.
func NewHomes(regions []string) Homes { return Homes{restricted: true, regions: regions} }

// HomesOf returns the regions that both r and t allow. t may be nil.
func HomesOf(r *Route, t *Team) Homes {
	var h Homes
	if r.HomeRegions != nil {
		h = NewHomes(r.HomeRegions)
	}
	if t == nil || t.HomeRegions == nil {
		return h
	}
	if !h.restricted {
		return NewHomes(t.HomeRegions)
	}
	common := make([]string, 0, len(h.regions))
	for _, region := range h.regions {
		if slices.Contains(t.HomeRegions, region) {
			common = append(common, region)
		}
	}
	return NewHomes(common)
}

// Bound reports whether h is restricted to a list of regions, which may be empty.
func (h Homes) Bound() bool { return h.restricted }

// Allows reports whether the request may be served in a region. If h is restricted, an unknown
// region, given as the empty string, is not allowed.
func (h Homes) Allows(region string) bool {
	return !h.restricted || region != "" && slices.Contains(h.regions, region)
}

// Regions returns the allowed regions if h is restricted. The caller must not modify the result.
func (h Homes) Regions() []string { return h.regions }
