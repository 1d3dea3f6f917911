package soak

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	north = "north"
	south = "south"
)

// regionOf maps data centres to regions. The south has one endpoint of each plain service.
var regionOf = map[string]string{"hall-a": north, "hall-b": north, "hall-c": south}

// The initial lists of home regions. Routes and teams without a list may be served anywhere.
var (
	initialRouteRegions = map[string][]string{"once": {north, south}, "letter": {north}}
	initialTeamRegions  = map[string][]string{"oost": {south}}
)

// homeRegionLists are the lists that a change draws from; nil removes the list.
var homeRegionLists = [][]string{nil, {}, {north}, {south}, {north, south}, {"nowhere"}}

// allowsRegion reports whether the lists of q's route and of its team both allow region.
func (v *Version) allowsRegion(q *Request, region string) bool {
	return listAllows(v.RouteHomes, q.Route, region) && listAllows(v.TeamHomes, q.Team, region)
}

func listAllows(homes map[string][]string, name, region string) bool {
	list, named := homes[name]
	return !named || slices.Contains(list, region)
}

func (v *Version) servedNowhere(q *Request) bool {
	return !v.allowsRegion(q, north) && !v.allowsRegion(q, south)
}

// regionBound reports whether a version that may apply to q excludes it from a region.
func (b *Record) regionBound(q *Request) bool {
	return slices.ContainsFunc(b.possibleVersions(q.Sent, q.Done), func(v *Version) bool { return !v.allowsRegion(q, north) || !v.allowsRegion(q, south) })
}

// checkHomeRegions: no endpoint outside the home regions of a request receives it.
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

// earliestSend returns the earliest time at which r may have been sent. Instances check regions at
// each send, so this is the arrival, unless a fault may have delayed it.
func (b *Record) earliestSend(q *Request, r *Delivery) time.Time {
	for i := range b.Faults {
		if f := &b.Faults[i]; f.Endpoint == r.Endpoint && f.during(q.Sent, r.At) {
			return q.Sent
		}
	}
	return r.At
}

func (s *injection) changeHomeRegions() {
	lists, initial, name := &s.site.teamRegions, initialTeamRegions, "oost"
	if s.rng.IntN(2) == 0 {
		lists, initial = &s.site.routeRegions, initialRouteRegions
		name = sortedKeys(initial)[s.rng.IntN(len(initial))]
	}
	list := homeRegionLists[s.rng.IntN(len(homeRegionLists))]
	f := Fault{Kind: "homes changed", Planned: true, KeepsContact: true}
	s.apply(f, func() { s.site.setHomeRegions(lists, name, list) }, deploymentBounds.Propagation+s.duration, func() { s.site.setHomeRegions(lists, name, initial[name]) })
}

// setHomeRegions sets the entry of lists for name and publishes the change; a nil list removes it.
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
