package gossip

import (
	"fmt"
	"testing"
	"time"

	"ivyridge/balance"
	"ivyridge/belief"
	"ivyridge/catalog"
)

// sumOf returns how many requests n thinks that a data centre's instances run at an
// endpoint, by its sums and by what its schedulers tell of themselves.
func (n *node) sumOf(dataCentre, endpoint string) int {
	told := map[uint64]bool{sumsKey(dataCentre): true}
	for _, other := range n.world.nodes {
		told[other.id] = told[other.id] || other.DataCentre == dataCentre
	}
	sums, _ := n.Balancer.Sums(func(id uint64) bool { return told[id] }, true, 0)
	for _, s := range sums {
		if s.Endpoint == balance.EndpointHash(endpoint) {
			return s.Requests
		}
	}
	return 0
}

// What the instances of a data centre run is known to all schedulers of the others, each
// request once, and forgotten when it has ended; also after its first scheduler is lost.
func TestSumsReachOtherDataCentres(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 60, 3)
	endpoints := []*belief.Endpoint{{Endpoint: catalog.Endpoint{ID: "e", Slots: 8}}}
	d := &balance.Demand{Service: &catalog.Service{Name: "s"}}
	for _, n := range w.nodes {
		n.Balancer.Place(endpoints, d).Done(balance.Served) // all know the endpoint
	}
	w.run(8 * time.Second)
	var running []*balance.Placement
	for i, n := range w.nodes {
		if _, schedules := n.Schedulers(); n.DataCentre == "dc0" && !schedules {
			for range i%3 + 1 {
				running = append(running, n.Balancer.Place(endpoints, d))
			}
		}
	}
	check := func(what string, want int) {
		t.Helper()
		for i, n := range w.nodes {
			others, schedules := n.Schedulers()
			if n.dead || !schedules || n.DataCentre == "dc0" {
				continue
			}
			if got := n.sumOf("dc0", "e"); got != want {
				t.Errorf("%s: scheduler %d of %s (%d others) thinks %d run in dc0, want %d", what, i, n.DataCentre, len(others), got, want)
			}
		}
	}
	w.run(time.Second)
	check("placed", len(running))
	w.nodes[0].dead = true // the first scheduler of dc0
	w.run(6 * time.Second)
	check("first scheduler lost", len(running))
	for _, p := range running {
		p.Done(balance.Served)
	}
	w.run(time.Second)
	check("ended", 0)
}

// Sums of many endpoints need several datagrams, which add up.
func TestSumsOfManyEndpoints(t *testing.T) {
	t.Parallel()
	const endpoints = 300
	w := newWorld(t, 30, 3)
	d := &balance.Demand{Service: &catalog.Service{Name: "s"}}
	var all []*belief.Endpoint
	for e := range endpoints {
		all = append(all, &belief.Endpoint{Endpoint: catalog.Endpoint{ID: fmt.Sprint(e), Slots: 8}})
	}
	for _, n := range w.nodes {
		n.Balancer.Forget(func(string) bool { return true })
		for e := range all {
			n.Balancer.Place(all[e:e+1], d).Done(balance.Served)
		}
	}
	w.run(4 * time.Second)
	ordinary := w.nodes[27] // of dc0
	for e := range all {
		ordinary.Balancer.Place(all[e:e+1], d)
	}
	w.run(6 * time.Second)
	for _, n := range w.nodes {
		if _, schedules := n.Schedulers(); !schedules || n.DataCentre == "dc0" {
			continue
		}
		for e := range all {
			if got := n.sumOf("dc0", fmt.Sprint(e)); got != 1 {
				t.Fatalf("a scheduler of %s thinks %d run at endpoint %d, want 1", n.DataCentre, got, e)
			}
		}
	}
}
