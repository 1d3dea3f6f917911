package gossip

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"ivyridge/balance"
)

// Endpoints that asked an instance for rest are not granted to it, first because its asks name
// them, then because its reports do; and no grant has to be turned down for it.
func TestSchedulersGrantNoEndpointThatRests(t *testing.T) {
	d := newDataCentre(t)
	var turnedDown atomic.Int64
	d.asker.Count = func(event string) {
		if event == "grant-not-used" {
			turnedDown.Add(1)
		}
	}
	go d.scheduler.receive()
	go d.asker.receive()
	const rest = 3 * time.Second
	for _, e := range d.endpoints[:3] {
		p := d.asker.Balancer.Place(d.endpoints, &balance.Demand{Service: d.demand.Service, Avoid: others(d, e.ID)})
		p.Rests(rest)
		p.Done(balance.Refused)
	}
	d.wantLast(t, "named in asks")
	// Later they aren't named any more.
	time.Sleep(1100 * time.Millisecond)
	if named := d.asker.newAsk(d.demand).Avoid; len(named) != 0 {
		t.Fatalf("asks still name %d endpoints", len(named))
	}
	reports, _ := d.asker.Balancer.Reports(true, 0)
	m, err := Decode((&Message{Sender: d.asker.id, Reports: reports, Whole: true}).Append(nil))
	if err != nil {
		t.Fatal(err)
	}
	d.scheduler.Balancer.Merge(m.Sender, nil, m.Reports, m.Whole)
	d.wantLast(t, "told in reports")
	if n := turnedDown.Load(); n > 0 {
		t.Errorf("%d grants were turned down", n)
	}
}

// others returns the hashes of all endpoints but one.
func others(d *dataCentre, id string) (out []uint32) {
	for _, e := range d.endpoints {
		if e.ID != id {
			out = append(out, balance.EndpointHash(e.Incarnation()))
		}
	}
	return out
}

// wantLast has requests placed, which only the last endpoint may have.
func (d *dataCentre) wantLast(t *testing.T, why string) {
	t.Helper()
	for range 10 {
		p, refusal := d.asker.Place(context.Background(), d.endpoints, d.demand)
		if p == nil || !p.Granted || p.Endpoint != d.endpoints[3] {
			t.Fatalf("%s: placement %+v, refusal %+v, want a grant of the endpoint that does not rest", why, p, refusal)
		}
		p.Done(balance.Served)
	}
}
