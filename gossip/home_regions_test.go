package gossip

import (
	"testing"
	"time"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/discovery"
)

// assignTwoRegions assigns the data centres alternately to two regions.
func (w *simulation) assignTwoRegions() {
	regions := map[string]string{"dc0": "north", "dc1": "south", "dc2": "north", "dc3": "south"}
	for _, n := range w.nodes {
		n.Regions = regions
		n.Balancer.SetRegions(regions)
	}
}

// restrictedDemand returns a request that may only be served in the given regions.
func restrictedDemand(homes ...string) *balance.Demand {
	return &balance.Demand{
		Service:   &catalog.Service{Name: "m", MaxConns: 1000, Engine: &catalog.Engine{Slots: 64, MemoryTokens: 300_000}},
		Residency: catalog.NewResidency(homes),
		Objective: time.Second, Prompt: 5000, Output: 10,
		Parts: []balance.PromptPart{{ID: 77, Tokens: 4000}, {ID: 78, Tokens: 1000}},
	}
}

// Restricted prompt parts are only sent to schedulers of their home regions, and load to all.
func TestRestrictedPartsSentToHomeRegionOnly(t *testing.T) {
	w := newSimulation(t, 24, 4)
	w.assignTwoRegions()
	w.run(8 * time.Second)
	endpoints := []*discovery.Endpoint{
		{Endpoint: catalog.Endpoint{ID: "e-north", DataCentre: "dc0"}},
		{Endpoint: catalog.Endpoint{ID: "e-south", DataCentre: "dc1"}},
	}
	notices := make(map[string]int) // notice counts by region of the receiver
	parts := make(map[string]int)
	w.inFlight = nil
	var scheduler *node
	for _, n := range w.nodes {
		if _, isScheduler := n.Schedulers(); isScheduler && n.DataCentre == "dc0" {
			scheduler = n
		}
	}
	if p := scheduler.Balancer.Place(endpoints, restrictedDemand("north")); p == nil || p.Endpoint.ID != "e-north" {
		t.Fatalf("placement is %+v, want one at e-north", p)
	}
	scheduler.tick()
	for _, datagram := range w.inFlight {
		m, err := Decode(datagram.data)
		if err != nil {
			t.Fatal(err)
		}
		region := scheduler.Regions[w.byAddr[datagram.to].DataCentre]
		for _, n := range m.Notices {
			notices[region]++
			parts[region] += len(n.Parts)
		}
	}
	if notices["north"] == 0 || notices["south"] == 0 {
		t.Errorf("notices by region: %v, want some in both", notices)
	}
	if parts["north"] == 0 || parts["south"] != 0 {
		t.Errorf("parts by region: %v, want them in the north only", parts)
	}
}

// A scheduler whose version doesn't support home regions isn't asked to place restricted requests.
func TestOldSchedulersNotAskedForRestrictedRequests(t *testing.T) {
	w := newSimulation(t, 24, 4)
	w.assignTwoRegions()
	w.run(8 * time.Second)
	var ordinary *node
	for _, n := range w.nodes {
		if _, isScheduler := n.Schedulers(); !isScheduler {
			ordinary = n
			break
		}
	}
	ordinary.mu.Lock()
	for _, m := range ordinary.members.byAddress {
		m.protocol = protocolResidency - 1
	}
	ordinary.mu.Unlock()
	w.inFlight = nil
	if _, _, ok := ordinary.requestPlacement(t.Context(), restrictedDemand("north")); ok || len(w.inFlight) != 0 {
		t.Fatalf("restricted request: answered %t, %d datagrams sent, want false and 0", ok, len(w.inFlight))
	}
	if _, _, ok := ordinary.requestPlacement(t.Context(), &balance.Demand{Service: &catalog.Service{Name: "m"}}); ok || len(w.inFlight) != 1 {
		t.Fatalf("unrestricted request: answered %t, %d datagrams sent, want false and 1", ok, len(w.inFlight))
	}
}
