package balance_test

import (
	"testing"
	"time"

	"ivyridge/balance"
	"ivyridge/discovery"
)

// place places requests until one is refused, at most limit, and returns them.
func place(f *fixture, b *balance.Balancer, limit int) (out []*balance.Placement) {
	for range limit {
		p, _ := b.Admit(f.endpoints, &balance.Demand{Service: f.plain})
		if p == nil {
			return out
		}
		out = append(out, p)
	}
	return out
}

// A brittle endpoint gets no more requests than it has slots, and others as many as before.
func TestBrittleEndpointGetsNoMoreThanItsSlots(t *testing.T) {
	for _, brittle := range []bool{false, true} {
		f, b, _ := newReachFixture(1)
		f.endpoints[0].Slots = 6
		first := place(f, b, 1)[0]
		first.RecordBrittle(brittle)
		first.Done(balance.Served)
		got := len(place(f, b, 20))
		if brittle && got != 6 || !brittle && got != 20 {
			t.Errorf("brittle %v: %d of 20 requests placed, want 6 if brittle, otherwise all", brittle, got)
		}
	}
}

// What one instance learns of a brittle endpoint applies to others, and to its next process.
func TestBrittleEndpointIsReported(t *testing.T) {
	f, reporter, d := newReachFixture(1)
	f.endpoints[0].Slots = 6
	receiver := f.balancer()
	p := reporter.Place(f.endpoints, d)
	p.RecordBrittle(true)
	p.RecordFull()
	reports, _ := reporter.Reports(true, 0)
	receiver.Place(f.endpoints, d).Done(balance.Served)
	receiver.Merge(1, nil, reports, true)
	if _, refusal := receiver.Admit(f.endpoints, d); refusal == nil || refusal.Cause != balance.OverCapacity || refusal.RetryAfter <= 0 {
		t.Errorf("refusal %+v right after another instance was turned away, want OverCapacity with a time to retry", refusal)
	}
	f.now = f.now.Add(time.Second)
	restarted := *f.endpoints[0]
	restarted.Born = 77
	previous := f.endpoints
	f.endpoints = []*discovery.Endpoint{&restarted}
	if got := len(place(f, reporter, 20)); got != 6 {
		t.Errorf("%d requests placed at a process that has not responded yet, want 6", got)
	}
	f.endpoints = previous
	f.now = f.now.Add(11 * time.Second)
	if got := len(place(f, receiver, 20)); got != 20 {
		t.Errorf("%d of 20 requests placed long after the endpoint was brittle, want all", got)
	}
}

// Other instances may report for a while that an endpoint is brittle which has said otherwise.
func TestEndpointThatIsNoLongerBrittle(t *testing.T) {
	f, reporter, d := newReachFixture(1)
	f.endpoints[0].Slots = 6
	receiver := f.balancer()
	reporter.Place(f.endpoints, d).RecordBrittle(true)
	reports, _ := reporter.Reports(true, 0)
	p := receiver.Place(f.endpoints, d)
	receiver.Merge(1, nil, reports, true)
	if !p.RecordBrittle(false) {
		t.Error("no change, want the end of what another instance reported")
	}
	receiver.Merge(1, nil, reports, true)
	if p.RecordBrittle(false) {
		t.Error("a report outweighs what the endpoint has just said")
	}
	if got := len(place(f, receiver, 20)); got != 20 {
		t.Errorf("%d of 20 requests placed, want all", got)
	}
}
