package balance_test

import (
	"testing"
	"time"

	"ivyridge/balance"
)

func TestGrantsCountUntilTheyAreReported(t *testing.T) {
	f := newFixture(3)
	scheduler, other := f.balancer(), f.balancer()
	demand := &balance.Demand{Service: f.plain}
	count := make(map[uint32]int)
	for range 30 {
		count[scheduler.Grant(7, f.endpoints, demand).Endpoint]++
	}
	for hash, n := range count {
		if n != 10 {
			t.Fatalf("30 concurrent grants by endpoint: %v, want 10 each, also at %d", count, hash)
		}
	}
	placement, _ := other.AcceptGrant(balance.Grant{Endpoint: balance.EndpointHash("e0")}, f.endpoints, demand)
	reports, _ := other.Reports(true, 0)
	scheduler.Merge(7, nil, reports, true)
	if got := scheduler.Grant(8, f.endpoints, demand).Endpoint; got == balance.EndpointHash("e0") {
		t.Fatal("granted e0, the only endpoint in use, want an idle one")
	}
	placement.Done(balance.Served)
	reports, _ = other.Reports(false, 0)
	if len(reports) != 1 || reports[0].Requests != 0 {
		t.Fatalf("reports after completion: %+v, want one without requests", reports)
	}
}

func TestGrantsAreAnnounced(t *testing.T) {
	f := newFixture(4)
	a, b := f.balancer(), f.balancer()
	b.Place(f.endpoints, f.long(5)).Done(balance.Served) // makes the endpoints known to b
	b.TakeNotices()
	c := a.Grant(7, f.endpoints, f.long(77))
	b.Merge(1, a.TakeNotices(), nil, false)
	f.now = f.now.Add(time.Second) // changes the last part
	if got := b.Grant(9, f.endpoints, f.long(77)); got.Endpoint != c.Endpoint || got.Cached != 6200 {
		t.Fatalf("granted %+v, want the endpoint of %+v with 6200 tokens cached", got, c)
	}
}

func TestGrantedPlacementIsNotAnnouncedAgain(t *testing.T) {
	f := newFixture(4)
	b := f.balancer()
	if p, _ := b.AcceptGrant(balance.Grant{Endpoint: balance.EndpointHash("e1")}, f.endpoints, f.long(5)); p == nil || !p.Granted {
		t.Fatalf("got %+v, want a placement chosen by another instance", p)
	}
	if notices := b.TakeNotices(); len(notices) != 0 {
		t.Fatalf("notices %+v, want none", notices)
	}
}

// AcceptGrant rejects a grant that conflicts with the instance's own information.
func TestAcceptGrantPrefersLocalKnowledge(t *testing.T) {
	f := newFixture(3)
	b := f.balancer()
	b.Place(f.endpoints[:1], f.long(1)).RecordUnreachable(true)
	f.endpoints[1].Draining = true
	demand := f.long(2)
	demand.Avoid = []uint32{balance.EndpointHash("e2")}
	for _, id := range []string{"e0", "e1", "e2", "e3"} {
		if p, _ := b.AcceptGrant(balance.Grant{Endpoint: balance.EndpointHash(id)}, f.endpoints, demand); p != nil {
			t.Errorf("accepted %s, which is known to be ineligible", id)
		}
	}
}

func TestReportsAreIncremental(t *testing.T) {
	f := newFixture(3)
	b := f.balancer()
	p := b.Place(f.endpoints[:1], f.long(1))
	_, seen := b.Reports(false, 0)
	if reports, _ := b.Reports(false, seen); len(reports) != 0 {
		t.Fatalf("reports without changes: %+v, want none", reports)
	}
	p.Done(balance.Served)
	if reports, _ := b.Reports(false, seen); len(reports) != 1 {
		t.Fatalf("reports after one completion: %+v, want one", reports)
	}
}

// An endpoint whose address one instance finds in use by another is skipped by all.
func TestGoneEndpointIsReported(t *testing.T) {
	f := newFixture(2)
	a, b := f.balancer(), f.balancer()
	d := &balance.Demand{Service: f.plain}
	b.Place(f.endpoints, d).Done(balance.Served) // makes the endpoints known to b
	b.Place(f.endpoints, d).Done(balance.Served)
	p := a.Place(f.endpoints[:1], d)
	p.RecordReplaced()
	p.Done(balance.Refused)
	for _, full := range []bool{true, false} {
		reports, _ := a.Reports(full, 0)
		if len(reports) != 1 || reports[0].Replaced <= 0 {
			t.Fatalf("full %v: reports %+v, want one of an endpoint that was replaced", full, reports)
		}
		b.Merge(1, nil, reports, full)
	}
	f.now = f.now.Add(4 * time.Second)
	for range 4 {
		if p := b.Place(f.endpoints, d); p.Endpoint.ID != "e1" {
			t.Fatal("request placed at an endpoint that another instance reported as replaced, want e1")
		}
	}
	if p := b.Place(f.endpoints[:1], d); p != nil {
		t.Fatal("request placed at an endpoint that was replaced, as a last resort")
	}
	// Repeated reports between instances don't extend the time.
	for range 20 {
		f.now = f.now.Add(100 * time.Millisecond)
		for _, pair := range [][2]*balance.Balancer{{a, b}, {b, a}} {
			reports, _ := pair[0].Reports(true, 0)
			pair[1].Merge(1, nil, reports, true)
		}
	}
	if p := b.Place(f.endpoints[:1], d); p == nil {
		t.Fatal("endpoint is still skipped 6 s after it was found replaced, in spite of replacedTTL")
	}
}

// An endpoint is skipped only after two instances failed to connect to it, and only for a while.
func TestUnreachableEndpointNeedsQuorum(t *testing.T) {
	f := newFixture(2)
	scheduler := f.balancer()
	d := &balance.Demand{Service: f.plain}
	scheduler.Place(f.endpoints, d).Done(balance.Served)
	scheduler.Place(f.endpoints, d).Done(balance.Served)
	unreachable := func() *balance.Balancer {
		b := f.balancer()
		p := b.Place(f.endpoints[:1], d)
		p.RecordUnreachable(true)
		p.Done(balance.Failed)
		return b
	}
	first := unreachable()
	if down := first.Unreachable(); len(down) != 1 || down[0] != balance.EndpointHash("e0") {
		t.Fatalf("unreachable endpoints %v, want e0", down)
	}
	report := func(id uint64, b *balance.Balancer) {
		reports, _ := b.Reports(false, 0)
		scheduler.Merge(id, nil, reports, false)
	}
	report(1, first)
	got := make(map[string]bool)
	for range 6 {
		got[scheduler.Place(f.endpoints, d).Endpoint.ID] = true
	}
	if !got["e0"] {
		t.Fatal("endpoint that only one instance can't reach got none of 6 requests")
	}
	report(2, unreachable())
	for range 6 {
		if p := scheduler.Place(f.endpoints, d); p.Endpoint.ID == "e0" {
			t.Fatal("request placed at an endpoint that two instances can't reach")
		}
	}
	f.now = f.now.Add(3 * time.Second)
	if p := scheduler.Place(f.endpoints[:1], d); p == nil {
		t.Fatal("endpoint is still skipped 3 s after two instances could not reach it")
	}
	if down := first.Unreachable(); len(down) != 0 {
		t.Fatalf("endpoints %v still count as unreachable after 3 s, want none", down)
	}
}
