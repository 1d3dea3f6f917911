package catalog

// This file defines where a request may be served.

import "slices"

// Homes are the regions in which a request may be served and what is known of it may be
// kept. The zero value binds nothing: all regions are allowed.
//
// Homes fail closed: where they bind, a region without a name is none of them, and where a
// route and a team have no region in common there is none at all.
type Homes struct {
	bound   bool
	regions []string
}

// NewHomes returns homes that allow the regions named and no others. Regions must not be
// changed afterwards.
func NewHomes(regions []string) Homes { return Homes{bound: true, regions: regions} }

// HomesOf returns where requests of t on r may be served: where both allow it. T may be nil.
func HomesOf(r *Route, t *Team) Homes {
	var h Homes
	if r.HomeRegions != nil {
		h = NewHomes(r.HomeRegions)
	}
	if t == nil || t.HomeRegions == nil {
		return h
	}
	if !h.bound {
		return NewHomes(t.HomeRegions)
	}
	both := make([]string, 0, len(h.regions))
	for _, region := range h.regions {
		if slices.Contains(t.HomeRegions, region) {
			both = append(both, region)
		}
	}
	return NewHomes(both)
}

// Bound reports whether there are regions in which the request may not be served.
func (h Homes) Bound() bool { return h.bound }

// Allows reports whether the request may be served in a region. Where h binds, a region
// that is not known, the empty one, is not allowed.
func (h Homes) Allows(region string) bool {
	return !h.bound || region != "" && slices.Contains(h.regions, region)
}

// Regions returns the regions of homes that bind; it must not be changed.
func (h Homes) Regions() []string { return h.regions }
