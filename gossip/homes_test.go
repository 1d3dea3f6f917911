package gossip

import (
	"testing"
	"time"

	"ivyridge/balance"
	"ivyridge/belief"
	"ivyridge/catalog"
)

// twoRegions puts the even data centres of a world into one region and the others into another.
func (w *world) twoRegions() {
	regions := map[string]string{"dc0": "north", "dc1": "south", "dc2": "north", "dc3": "south"}
	for _, n := range w.nodes {
		n.Regions = regions
		n.Balancer.SetRegions(regions)
	}
}

// boundDemand is that of a request to a model that may be served in the regions named.
func boundDemand(homes ...string) *balance.Demand {
	return &balance.Demand{
		Service:   &catalog.Service{Name: "m", MaxConns: 1000, Engine: &catalog.Engine{Slots: 64, MemoryTokens: 300_000}},
		Homes:     catalog.NewHomes(homes),
		Objective: time.Second, Prompt: 5000, Output: 10,
		Parts: []balance.Part{{ID: 77, Tokens: 4000}, {ID: 78, Tokens: 1000}},
	}
}

// The parts of a bound prompt reach the schedulers of its homes and nobody else; what it
// weighs reaches all of them.
func TestPartsOfBoundPromptsStayAtHome(t *testing.T) {
	w := newWorld(t, 24, 4)
	w.twoRegions()
	w.run(8 * time.Second)
	endpoints := []*belief.Endpoint{
		{Endpoint: catalog.Endpoint{ID: "e-north", DataCentre: "dc0"}},
		{Endpoint: catalog.Endpoint{ID: "e-south", DataCentre: "dc1"}},
	}
	told := make(map[string]int) // notices by the region that had them
	parts := make(map[string]int)
	w.way = nil
	var scheduler *node
	for _, n := range w.nodes {
		if _, schedules := n.Schedulers(); schedules && n.DataCentre == "dc0" {
			scheduler = n
		}
	}
	if p := scheduler.Balancer.Place(endpoints, boundDemand("north")); p == nil || p.Endpoint.ID != "e-north" {
		t.Fatalf("placed at %+v", p)
	}
	scheduler.beat()
	for _, datagram := range w.way {
		m, err := Decode(datagram.data)
		if err != nil {
			t.Fatal(err)
		}
		region := scheduler.Regions[w.at[datagram.to].DataCentre]
		for _, n := range m.Notices {
			told[region]++
			parts[region] += len(n.Parts)
		}
	}
	if told["north"] == 0 || told["south"] == 0 {
		t.Errorf("notices by region: %v, want some in both", told)
	}
	if parts["north"] == 0 || parts["south"] != 0 {
		t.Errorf("parts by region: %v, want them in the north only", parts)
	}
}

// A scheduler that does not know homes is not told of a request that is bound by some.
func TestOldSchedulersAreNotAskedForBoundRequests(t *testing.T) {
	w := newWorld(t, 24, 4)
	w.twoRegions()
	w.run(8 * time.Second)
	var ordinary *node
	for _, n := range w.nodes {
		if _, schedules := n.Schedulers(); !schedules {
			ordinary = n
			break
		}
	}
	ordinary.mu.Lock()
	for _, m := range ordinary.members.all {
		m.level = levelHomes - 1
	}
	ordinary.mu.Unlock()
	w.way = nil
	if _, _, ok := ordinary.ask(t.Context(), boundDemand("north")); ok || len(w.way) != 0 {
		t.Fatalf("asked: %t, %d datagrams", ok, len(w.way))
	}
	if _, _, ok := ordinary.ask(t.Context(), &balance.Demand{Service: &catalog.Service{Name: "m"}}); ok || len(w.way) != 1 {
		t.Fatalf("a request that is not bound: answered %t, %d datagrams, want one", ok, len(w.way))
	}
}
