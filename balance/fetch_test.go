package balance_test

import (
	"testing"
	"time"

	"ivyridge/balance"
	"ivyridge/discovery"
)

// fetchFixture returns n engines that can fetch parts from each other. e0 caches the first 6,200
// tokens of f.long(5), and the returned demand avoids it.
func fetchFixture(n int) (*fixture, *balance.Balancer, *balance.Demand) {
	f := newFixture(n)
	f.engines.Engine.TokenBytes, f.engines.Engine.LinkMbps = 18432, 550_000
	b := f.balancer()
	b.Place(f.endpoints[:1], f.long(5)).Done(balance.Served)
	b.TakeNotices()
	f.now = f.now.Add(time.Second)
	d := f.long(5)
	d.Avoid = []uint32{balance.EndpointHash("e0")}
	return f, b, d
}

// Parts cached at another engine are fetched, and count as cached at the target from then on.
func TestPartsAreFetched(t *testing.T) {
	f, b, d := fetchFixture(2)
	p := b.Place(f.endpoints, d)
	if p.Endpoint.ID != "e1" || p.Donor != f.endpoints[0] || p.Fetched != 6200 || p.Cached != 6200 {
		t.Fatalf("placed at %s with %d tokens cached, %d fetched from %v, want e1, 6200 and 6200 from e0", p.Endpoint.ID, p.Cached, p.Fetched, p.Donor)
	}
	notices := b.TakeNotices()
	if len(notices) != 1 || notices[0].Fetched != 6200 || notices[0].Uncached != 2800 {
		t.Fatalf("notices %+v, want 6200 tokens fetched and 2800 to prefill", notices)
	}
	f.now = f.now.Add(time.Second)
	if again := b.Place(f.endpoints[1:], f.long(5)); again.Cached != 6200 || again.Donor != nil {
		t.Fatalf("then %d tokens cached and donor %v, want 6200 and none", again.Cached, again.Donor)
	}
}

// Nothing is fetched from a donor that is ineligible or caches hardly more.
func TestPartsAreNotFetched(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *fixture, b *balance.Balancer, d *balance.Demand)
	}{
		{"leaves", func(f *fixture, _ *balance.Balancer, _ *balance.Demand) { f.endpoints[0].Draining = true }},
		{"is evacuated", func(f *fixture, _ *balance.Balancer, _ *balance.Demand) { f.endpoints[0].Evacuated = true }},
		{"is cold", func(f *fixture, _ *balance.Balancer, _ *balance.Demand) {
			f.endpoints[0].ColdUntil = f.now.Add(time.Second)
		}},
		{"can't be reached", func(f *fixture, b *balance.Balancer, _ *balance.Demand) {
			b.Place(f.endpoints[:1], f.long(5)).RecordUnreachable(true)
		}},
		{"is in another region", func(f *fixture, b *balance.Balancer, _ *balance.Demand) {
			f.endpoints[0].DataCentre = "far"
			b.SetRegions(map[string]string{"z": "here", "far": "there"})
		}},
		{"holds 100 tokens", func(_ *fixture, _ *balance.Balancer, d *balance.Demand) {
			d.Parts = []balance.PromptPart{{ID: 1, Tokens: 100}, {ID: 99, Tokens: 8900}}
		}},
		{"is of a service without transfers", func(f *fixture, _ *balance.Balancer, _ *balance.Demand) { f.engines.Engine.LinkMbps = 0 }},
	} {
		f, b, d := fetchFixture(2)
		c.change(f, b, d)
		if p := b.Place(f.endpoints, d); p == nil || p.Donor != nil || p.Fetched != 0 {
			t.Errorf("donor that %s: placed %+v, want nothing fetched", c.name, p)
		}
	}
}

// Donors in the same data centre are preferred and used in rotation.
func TestDonorsAreRotated(t *testing.T) {
	f, b, d := fetchFixture(5)
	f.endpoints[0].DataCentre = "y"
	for _, e := range f.endpoints[1:3] {
		b.Place([]*discovery.Endpoint{e}, f.long(5)).Done(balance.Served)
	}
	d.Avoid = append(d.Avoid, balance.EndpointHash("e1"), balance.EndpointHash("e2"))
	used := make(map[string]int)
	for range 2 {
		f.now = f.now.Add(time.Millisecond)
		p := b.Place(f.endpoints, d)
		used[p.Donor.ID]++
		d.Avoid = append(d.Avoid, balance.EndpointHash(p.Endpoint.ID))
	}
	if used["e1"] != 1 || used["e2"] != 1 {
		t.Errorf("donors used: %v, want e1 and e2 once each", used)
	}
}

// An instance that accepts a grant fetches the same parts if it knows the donor.
func TestGrantIncludesDonor(t *testing.T) {
	f, b, d := fetchFixture(2)
	c := b.Grant(7, f.endpoints, d)
	other := f.balancer()
	if p, _ := other.AcceptGrant(c, f.endpoints, d); p == nil || p.Donor != f.endpoints[0] || p.Cached != 6200 {
		t.Fatalf("accepted %+v, want 6200 tokens from e0", p)
	}
	if p, _ := f.balancer().AcceptGrant(c, f.endpoints[1:], d); p == nil || p.Donor != nil || p.Cached != 0 {
		t.Fatalf("accepted %+v without the donor, want nothing cached", p)
	}
}
