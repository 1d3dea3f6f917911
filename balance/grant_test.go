package balance_test

import (
	"testing"
	"time"

	"ivyridge/balance"
)

// A scheduler counts what it grants, until the instance itself reports it.
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
			t.Fatalf("30 grants at once spread as %v (%d)", count, hash)
		}
	}
	placement := other.Adopt(balance.Choice{Endpoint: balance.EndpointHash("e0")}, f.endpoints, demand)
	reports, _ := other.Reports(true, 0)
	scheduler.Heard(7, nil, reports, true)
	if got := scheduler.Grant(8, f.endpoints, demand).Endpoint; got == balance.EndpointHash("e0") {
		t.Fatal("granted the one endpoint that is in use")
	}
	placement.Done(balance.Served)
	reports, _ = other.Reports(false, 0)
	if len(reports) != 1 || reports[0].Requests != 0 {
		t.Fatalf("after the end: %+v", reports)
	}
}

func TestGrantsAreAnnounced(t *testing.T) {
	f := newFixture(4)
	a, b := f.balancer(), f.balancer()
	b.Place(f.endpoints, f.long(5)).Done(balance.Served) // b knows the endpoints
	b.Placed()
	c := a.Grant(7, f.endpoints, f.long(77))
	b.Heard(1, a.Placed(), nil, false)
	f.now = f.now.Add(time.Second) // a new last part
	if got := b.Grant(9, f.endpoints, f.long(77)); got.Endpoint != c.Endpoint || got.Cached != 6200 {
		t.Fatalf("granted %+v, want the endpoint of %+v with 6200 tokens kept", got, c)
	}
}

func TestGrantedPlacementIsNotAnnouncedAgain(t *testing.T) {
	f := newFixture(4)
	b := f.balancer()
	if p := b.Adopt(balance.Choice{Endpoint: balance.EndpointHash("e1")}, f.endpoints, f.long(5)); p == nil || !p.Granted {
		t.Fatalf("got %+v, want a placement that another instance chose", p)
	}
	if notices := b.Placed(); len(notices) != 0 {
		t.Fatalf("announced %+v", notices)
	}
}

// What an instance knows itself goes before what it is granted.
func TestAdoptKnowsBetter(t *testing.T) {
	f := newFixture(3)
	b := f.balancer()
	b.Place(f.endpoints[:1], f.long(1)).Unreachable()
	f.endpoints[1].Draining = true
	demand := f.long(2)
	demand.Avoid = []string{"e2"}
	for _, id := range []string{"e0", "e1", "e2", "e3"} {
		if p := b.Adopt(balance.Choice{Endpoint: balance.EndpointHash(id)}, f.endpoints, demand); p != nil {
			t.Errorf("adopted %s", id)
		}
	}
}

func TestReportsTellWhatChanged(t *testing.T) {
	f := newFixture(3)
	b := f.balancer()
	p := b.Place(f.endpoints[:1], f.long(1))
	_, seen := b.Reports(false, 0)
	if reports, _ := b.Reports(false, seen); len(reports) != 0 {
		t.Fatalf("nothing changed, and %+v is told", reports)
	}
	p.Done(balance.Served)
	if reports, _ := b.Reports(false, seen); len(reports) != 1 {
		t.Fatalf("one end, and %+v is told", reports)
	}
}
