package gossip

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"ivyridge/balance"
)

// Schedulers don't grant endpoints that asked an instance to back off: at first its requests name
// them, and then its load reports do.
func TestSchedulersSkipBackedOffEndpoints(t *testing.T) {
	d := newDataCentre(t)
	var rejected atomic.Int64
	d.client.Count = func(event string) {
		if event == "grant-not-used" {
			rejected.Add(1)
		}
	}
	go d.scheduler.receive()
	go d.client.receive()
	const backoff = 3 * time.Second
	for _, e := range d.endpoints[:3] {
		p := d.client.Balancer.Place(d.endpoints, &balance.Demand{Service: d.demand.Service, Avoid: otherHashes(d, e.ID)})
		p.RecordBackoff(backoff)
		p.Done(balance.Refused)
	}
	d.wantLastEndpoint(t, "named in requests")
	// Later requests no longer name them.
	time.Sleep(1100 * time.Millisecond)
	if named := d.client.newRequest(d.demand).Avoid; len(named) != 0 {
		t.Fatalf("requests still name %d endpoints to avoid, want none", len(named))
	}
	reports, _ := d.client.Balancer.Reports(true, 0)
	m, err := Decode((&Message{Sender: d.client.id, Reports: reports, Complete: true}).Append(nil))
	if err != nil {
		t.Fatal(err)
	}
	d.scheduler.Balancer.Merge(m.Sender, nil, m.Reports, m.Complete)
	d.wantLastEndpoint(t, "in load reports")
	if n := rejected.Load(); n > 0 {
		t.Errorf("%d grants rejected, want none", n)
	}
}

// otherHashes returns the hashes of all endpoints but the one with the given ID.
func otherHashes(d *dataCentre, id string) (out []uint32) {
	for _, e := range d.endpoints {
		if e.ID != id {
			out = append(out, balance.EndpointHash(e.Incarnation()))
		}
	}
	return out
}

// wantLastEndpoint places requests that only the last endpoint may serve.
func (d *dataCentre) wantLastEndpoint(t *testing.T, why string) {
	t.Helper()
	for range 10 {
		p, refusal := d.client.Place(context.Background(), d.endpoints, d.demand)
		if p == nil || !p.Granted || p.Endpoint != d.endpoints[3] {
			t.Fatalf("%s: placement %+v, refusal %+v, want a grant of the endpoint that is not backed off", why, p, refusal)
		}
		p.Done(balance.Served)
	}
}
