package balance_test

import (
	"testing"
	"time"

	"ivyridge/balance"
)

// Suspects are placed at separate, lightly loaded endpoints, also by different instances.
func TestSuspectsAreKeptApart(t *testing.T) {
	for _, service := range []string{"engines", "plain"} {
		f := newFixture(6)
		a, b := f.balancer(), f.balancer()
		suspect := func() *balance.Demand {
			if service == "plain" {
				return &balance.Demand{Service: f.plain, Objective: time.Second, Suspect: true}
			}
			d := f.stream()
			d.Suspect = true
			return d
		}
		// Three endpoints are busy.
		for _, e := range f.endpoints[:3] {
			for range 20 {
				a.AcceptGrant(balance.Grant{Endpoint: balance.EndpointHash(e.ID)}, f.endpoints, &balance.Demand{Service: suspect().Service})
			}
		}
		b.Place(f.endpoints, &balance.Demand{Service: suspect().Service}).Done(balance.Served)
		reports, _ := a.Reports(true, 0)
		b.Merge(1, nil, reports, true)
		seen := make(map[string]bool)
		for n := range 2 {
			from, to := a, b
			if n == 1 {
				from, to = b, a
			}
			p := from.Place(f.endpoints, suspect())
			if p.Endpoint.ID < "e3" {
				t.Errorf("%s: suspect placed at %s, which runs 20 other requests", service, p.Endpoint.ID)
			}
			if seen[p.Endpoint.ID] {
				t.Errorf("%s: two suspects placed at %s", service, p.Endpoint.ID)
			}
			seen[p.Endpoint.ID] = true
			to.Merge(9, from.TakeNotices(), nil, false)
		}
		// Granted suspects count too.
		c := a.Grant(7, f.endpoints[3:], suspect())
		if p := a.Place(f.endpoints[3:], suspect()); balance.EndpointHash(p.Endpoint.ID) == c.Endpoint {
			t.Errorf("%s: suspect placed at the endpoint just granted to another suspect", service)
		}
	}
}
