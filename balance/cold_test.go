package balance_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/balance"
	"ivyridge/catalog"
)

// coldFixture returns n endpoints that are cold for a minute and sustain 13 requests/s.
func coldFixture(n int) (*fixture, *catalog.Service) {
	f := newFixture(n)
	service := *f.plain
	service.ColdRate = 13
	for _, e := range f.endpoints {
		e.ColdUntil = f.now.Add(time.Minute)
	}
	return f, &service
}

// Without a share, an instance sends nothing to cold endpoints, not even as a last resort.
func TestColdEndpointsNeedAShare(t *testing.T) {
	f, service := coldFixture(2)
	f.endpoints[1].ColdUntil = time.Time{}
	b := f.balancer()
	for range 40 {
		if p := b.Place(f.endpoints, &balance.Demand{Service: service}); p == nil || p.Endpoint.ID != "e1" {
			t.Fatalf("placed at %+v, want the endpoint that is not cold", p)
		}
	}
	if p := b.Place(f.endpoints[:1], &balance.Demand{Service: service}); p != nil {
		t.Fatalf("placed at %s, which is cold", p.Endpoint.ID)
	}
	f.endpoints[0].ColdUntil = f.now
	if b.Place(f.endpoints[:1], &balance.Demand{Service: service}) == nil {
		t.Fatal("endpoint that is no longer cold is ineligible")
	}
}

func TestColdShareExpires(t *testing.T) {
	f, service := coldFixture(1)
	b := f.balancer()
	b.SetColdBounds(balance.ColdBounds{Over: 1.5, Slack: 5})
	b.SetColdShare(1)
	f.now = f.now.Add(1100 * time.Millisecond)
	if p := b.Place(f.endpoints, &balance.Demand{Service: service}); p != nil {
		t.Fatal("placed at a cold endpoint with an expired share")
	}
}

// A grant of a cold endpoint is accepted, since the scheduler has charged it.
func TestGrantOfAColdEndpointIsAccepted(t *testing.T) {
	f, service := coldFixture(1)
	scheduler, other := f.balancer(), f.balancer()
	scheduler.SetColdBounds(balance.ColdBounds{Over: 1.5, Slack: 5})
	scheduler.SetColdShare(1.0 / 3)
	d := &balance.Demand{Service: service}
	c := scheduler.Grant(7, f.endpoints, d)
	if p, _ := other.AcceptGrant(c, f.endpoints, d); p == nil || !p.Cold {
		t.Fatalf("accepted %+v, want a cold endpoint", p)
	}
	if again := scheduler.Grant(7, f.endpoints, d); again.Endpoint != 0 {
		t.Fatal("scheduler grants two requests at once to a cold endpoint, want one")
	}
}

// The bound holds for any division of the rate, and while two instances hold the same share.
func TestColdBoundHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, service := coldFixture(1)
		service.ColdRate = rapid.Float64Range(1, 40).Draw(rt, "rate")
		bounds := balance.ColdBounds{Over: rapid.Float64Range(1, 2).Draw(rt, "over"), Slack: rapid.Float64Range(0, 10).Draw(rt, "slack")}
		holders := rapid.IntRange(1, 18).Draw(rt, "holders")
		duplicates := 0
		if holders >= 5 { // with a share of a fifth or less, one may be held twice
			duplicates = 1
		}
		var balancers []*balance.Balancer
		for range holders + duplicates {
			b := f.balancer()
			b.SetColdBounds(bounds)
			balancers = append(balancers, b)
		}
		var sent []time.Time
		for step := range 120 {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(rt, "ms")) * time.Millisecond)
			b := balancers[rapid.IntRange(0, len(balancers)-1).Draw(rt, "who")]
			b.SetColdShare(1 / float64(holders))
			for range rapid.IntRange(1, 8).Draw(rt, "requests") {
				if p := b.Place(f.endpoints, &balance.Demand{Service: service}); p != nil {
					p.Done(balance.Served)
					sent = append(sent, f.now)
				}
			}
			since := f.now.Add(-time.Second)
			n := 0
			for _, at := range sent {
				if at.After(since) {
					n++
				}
			}
			if allowed := bounds.Over*service.ColdRate + bounds.Slack; float64(n) > allowed {
				rt.Fatalf("step %d: %d requests within a second, want at most %.1f", step, n, allowed)
			}
		}
	})
}
