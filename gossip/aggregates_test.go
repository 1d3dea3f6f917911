package gossip

import (
	"fmt"
	"testing"
	"time"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/discovery"
)

// requestsAt returns how many requests of dataCentre's instances n counts at endpoint.
func (n *node) requestsAt(dataCentre, endpoint string) int {
	ids := map[uint64]bool{aggregateKey(dataCentre): true}
	for _, other := range n.sim.nodes {
		ids[other.id] = ids[other.id] || other.DataCentre == dataCentre
	}
	aggregates, _ := n.Balancer.AggregateReports(func(id uint64) bool { return ids[id] }, true, 0)
	for _, s := range aggregates {
		if s.Endpoint == balance.EndpointHash(endpoint) {
			return s.Requests
		}
	}
	return 0
}

// All schedulers count each request of another data centre once, until it ends, also after that
// data centre's first scheduler is lost.
func TestAggregatesReachOtherDataCentres(t *testing.T) {
	t.Parallel()
	w := newSimulation(t, 60, 3)
	endpoints := []*discovery.Endpoint{{Endpoint: catalog.Endpoint{ID: "e", Slots: 8}}}
	d := &balance.Demand{Service: &catalog.Service{Name: "s"}}
	for _, n := range w.nodes {
		n.Balancer.Place(endpoints, d).Done(balance.Served) // makes the endpoint known to all instances
	}
	w.run(8 * time.Second)
	var running []*balance.Placement
	for i, n := range w.nodes {
		if _, isScheduler := n.Schedulers(); n.DataCentre == "dc0" && !isScheduler {
			for range i%3 + 1 {
				running = append(running, n.Balancer.Place(endpoints, d))
			}
		}
	}
	check := func(what string, want int) {
		t.Helper()
		for i, n := range w.nodes {
			others, isScheduler := n.Schedulers()
			if n.dead || !isScheduler || n.DataCentre == "dc0" {
				continue
			}
			if got := n.requestsAt("dc0", "e"); got != want {
				t.Errorf("%s: scheduler %d of %s (%d others) counts %d requests in dc0, want %d", what, i, n.DataCentre, len(others), got, want)
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

// Aggregates of many endpoints are split into several datagrams, which add up.
func TestAggregatesOfManyEndpoints(t *testing.T) {
	t.Parallel()
	const endpoints = 300
	w := newSimulation(t, 30, 3)
	d := &balance.Demand{Service: &catalog.Service{Name: "s"}}
	var all []*discovery.Endpoint
	for e := range endpoints {
		all = append(all, &discovery.Endpoint{Endpoint: catalog.Endpoint{ID: fmt.Sprint(e), Slots: 8}})
	}
	for _, n := range w.nodes {
		n.Balancer.Prune(func(string) bool { return true })
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
		if _, isScheduler := n.Schedulers(); !isScheduler || n.DataCentre == "dc0" {
			continue
		}
		for e := range all {
			if got := n.requestsAt("dc0", fmt.Sprint(e)); got != 1 {
				t.Fatalf("scheduler of %s counts %d requests at endpoint %d, want 1", n.DataCentre, got, e)
			}
		}
	}
}
