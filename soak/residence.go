package soak

// This file has routes and a team name home regions, changes the lists while requests run,
// and checks that nothing leaves its regions.

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// A region is named by settings and by lists of homes alike.
const (
	north = "north"
	south = "south"
)

// regionOf is the region of each data centre. The regions are unlike: the south has one
// endpoint of each plain service.
var regionOf = map[string]string{"hall-a": north, "hall-b": north, "hall-c": south}

// The first lists of homes. Routes and teams that they leave out may be served anywhere.
var (
	firstRouteHomes = map[string][]string{"once": {north, south}, "letter": {north}}
	firstTeamHomes  = map[string][]string{"oost": {south}}
)

// homeLists are what a list may be changed to; nil: it is left out.
var homeLists = [][]string{nil, {}, {north}, {south}, {north, south}, {"nowhere"}}

// home reports whether v lets q be served in a region: both lists have to allow it.
func (v *Version) home(q *Request, region string) bool {
	return listed(v.RouteHomes, q.Route, region) && listed(v.TeamHomes, q.Team, region)
}

func listed(homes map[string][]string, name, region string) bool {
	list, named := homes[name]
	return !named || slices.Contains(list, region)
}

// homeless reports whether v lets q be served nowhere.
func (v *Version) homeless(q *Request) bool { return !v.home(q, north) && !v.home(q, south) }

// bound reports whether a version that may be in force keeps q out of a region.
func (b *Books) bound(q *Request) bool {
	return slices.ContainsFunc(b.possible(q.Sent, q.Done), func(v *Version) bool { return !v.home(q, north) || !v.home(q, south) })
}

// resided: no endpoint outside the homes is ever sent a request, whether it runs it or not.
func (b *Books) resided() (out []string) {
	b.each(func(q *Request) {
		for _, r := range b.Runs[q.ID] {
			region, known := regionOf[r.DataCentre]
			if !known || !b.inTouch(q.Instance, q.Sent, r.At) {
				continue
			}
			inside := slices.ContainsFunc(b.possible(b.leftAt(q, &r), r.At), func(v *Version) bool { return v.home(q, region) })
			if !inside {
				out = append(out, fmt.Sprintf("%s: %s of team %s was sent to %s in %s, outside its homes, by %s", q.ID, q.Route, q.Team, r.Endpoint, region, q.Instance))
			}
		}
	})
	return out
}

// leftAt returns a time from which on r may have been on its way. An instance asks for the homes at
// each sending, so that this is its arrival, unless the endpoint's link may have held it up.
func (b *Books) leftAt(q *Request, r *Run) time.Time {
	for i := range b.Troubles {
		if t := &b.Troubles[i]; t.Endpoint == r.Endpoint && t.during(q.Sent, r.At) {
			return q.Sent
		}
	}
	return r.At
}

// moveHomes changes the list of a route or of the team for a while.
func (s *strike) moveHomes() {
	lists, first, name := &s.site.teamHomes, firstTeamHomes, "oost"
	if s.rng.IntN(2) == 0 {
		lists, first = &s.site.routeHomes, firstRouteHomes
		name = sortedKeys(first)[s.rng.IntN(len(first))]
	}
	list := homeLists[s.rng.IntN(len(homeLists))]
	t := Trouble{Kind: "homes changed", Planned: true, Spares: true}
	s.over(t, func() { s.site.setHomes(lists, name, list) }, promised.Propagation+s.last, func() { s.site.setHomes(lists, name, first[name]) })
}

// setHomes publishes a list of homes for a name; nil leaves it out.
func (s *site) setHomes(lists *map[string][]string, name string, list []string) {
	s.publish(func() {
		changed := maps.Clone(*lists) // earlier versions hold the earlier one
		delete(changed, name)
		if list != nil {
			changed[name] = list
		}
		*lists = changed
	})
}
