package soak

// This file restricts routes and a team to home regions, changes these lists at run time, and
// checks that no request leaves its regions.

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Regions, as named in settings and in lists of home regions.
const (
	north = "north"
	south = "south"
)

// regionOf is the region of each data centre. The regions differ in size: the south has one
// endpoint of each plain service.
var regionOf = map[string]string{"hall-a": north, "hall-b": north, "hall-c": south}

// The initial lists of home regions. Routes and teams without a list may be served anywhere.
var (
	initialRouteRegions = map[string][]string{"once": {north, south}, "letter": {north}}
	initialTeamRegions  = map[string][]string{"oost": {south}}
)

// homeRegionLists are the lists that a change draws from; nil removes the list.
var homeRegionLists = [][]string{nil, {}, {north}, {south}, {north, south}, {"nowhere"}}

// allowsRegion reports whether v allows q in a region: the lists of both its route and its team
// must.
func (v *Version) allowsRegion(q *Request, region string) bool {
	return listAllows(v.RouteHomes, q.Route, region) && listAllows(v.TeamHomes, q.Team, region)
}

func listAllows(homes map[string][]string, name, region string) bool {
	list, named := homes[name]
	return !named || slices.Contains(list, region)
}

// servedNowhere reports whether v allows q in no region.
func (v *Version) servedNowhere(q *Request) bool {
	return !v.allowsRegion(q, north) && !v.allowsRegion(q, south)
}

// regionBound reports whether a version that may apply to q excludes it from a region.
func (b *Record) regionBound(q *Request) bool {
	return slices.ContainsFunc(b.possibleVersions(q.Sent, q.Done), func(v *Version) bool { return !v.allowsRegion(q, north) || !v.allowsRegion(q, south) })
}

// checkHomeRegions: no request is sent to an endpoint outside its home regions, whether executed
// there or not.
func (b *Record) checkHomeRegions() (out []string) {
	b.each(func(q *Request) {
		for _, r := range b.Deliveries[q.ID] {
			region, known := regionOf[r.DataCentre]
			if !known || !b.inContact(q.Instance, q.Sent, r.At) {
				continue
			}
			inside := slices.ContainsFunc(b.possibleVersions(b.earliestSend(q, &r), r.At), func(v *Version) bool { return v.allowsRegion(q, region) })
			if !inside {
				out = append(out, fmt.Sprintf("%s: route %s of team %s was sent to endpoint %s in region %s, outside its home regions, by %s", q.ID, q.Route, q.Team, r.Endpoint, region, q.Instance))
			}
		}
	})
	return out
}

// earliestSend returns the earliest time at which r may have been sent. Instances evaluate the home
// regions at each send, so this is the arrival, unless a fault may have delayed the endpoint's
// link.
func (b *Record) earliestSend(q *Request, r *Delivery) time.Time {
	for i := range b.Faults {
		if t := &b.Faults[i]; t.Endpoint == r.Endpoint && t.during(q.Sent, r.At) {
			return q.Sent
		}
	}
	return r.At
}

// changeHomeRegions changes the home regions of a route or of the team for a while.
func (s *injection) changeHomeRegions() {
	lists, first, name := &s.site.teamRegions, initialTeamRegions, "oost"
	if s.rng.IntN(2) == 0 {
		lists, first = &s.site.routeRegions, initialRouteRegions
		name = sortedKeys(first)[s.rng.IntN(len(first))]
	}
	list := homeRegionLists[s.rng.IntN(len(homeRegionLists))]
	t := Fault{Kind: "homes changed", Planned: true, KeepsContact: true}
	s.apply(t, func() { s.site.setHomeRegions(lists, name, list) }, deploymentBounds.Propagation+s.duration, func() { s.site.setHomeRegions(lists, name, first[name]) })
}

// setHomeRegions publishes a list of home regions for a name; nil removes it.
func (s *site) setHomeRegions(lists *map[string][]string, name string, list []string) {
	s.publish(func() {
		changed := maps.Clone(*lists) // recorded versions share the old map
		delete(changed, name)
		if list != nil {
			changed[name] = list
		}
		*lists = changed
	})
}
