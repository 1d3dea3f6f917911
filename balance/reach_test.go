package balance_test

import (
	"fmt"
	"testing"
	"time"

	"ivyridge/balance"
)

// fail makes the connection of a request to one endpoint fail.
func fail(f *fixture, b *balance.Balancer, n int) {
	p := b.Place(f.endpoints[n:n+1], &balance.Demand{Service: f.plain, LastResort: true})
	p.RecordUnreachable(true)
	p.Done(balance.Failed)
}

// probeAll answers the probes that are due.
func probeAll(b *balance.Balancer, accepted func(balance.Probe) bool) (n int) {
	probes, _ := b.TakeProbes()
	for _, p := range probes {
		b.RecordProbe(p.Incarnation, accepted(p))
	}
	return len(probes)
}

func newReachFixture(endpoints int) (*fixture, *balance.Balancer, *balance.Demand) {
	f := newFixture(endpoints)
	for _, e := range f.endpoints {
		e.DataCentre, e.Service = "near", f.plain.Name
	}
	b := f.balancer()
	d := &balance.Demand{Service: f.plain}
	b.Place(f.endpoints, d).Done(balance.Served)
	return f, b, d
}

// After a few failures without a contact in between, requests must not be tried at each of many
// endpoints in turn.
func TestManyEndpointsOutOfReachAfterAFewFailures(t *testing.T) {
	f, b, d := newReachFixture(200)
	for n := range 3 {
		if b.OutOfReach(f.endpoints, d) {
			t.Fatalf("out of reach after %d failures, want 3", n)
		}
		fail(f, b, n)
	}
	if !b.OutOfReach(f.endpoints, d) {
		t.Fatal("not out of reach after 3 failures")
	}
	if changes := b.TakeReachChanges(); len(changes) != 1 || !changes[0].Out || changes[0].DataCentre != "near" {
		t.Errorf("changes %+v, want one", changes)
	}
	sum := 0
	for range 40 {
		f.now = f.now.Add(50 * time.Millisecond)
		sum += probeAll(b, func(balance.Probe) bool { return false })
	}
	if sum == 0 || sum > 20 {
		t.Errorf("%d probes in 2 s while out of reach, want from 1 to 20", sum)
	}
	if !b.OutOfReach(f.endpoints, d) {
		t.Fatal("within reach without an accepted connection")
	}
	f.now = f.now.Add(time.Second)
	probeAll(b, func(balance.Probe) bool { return true })
	if b.OutOfReach(f.endpoints, d) {
		t.Error("still out of reach after an accepted connection")
	}
}

// A contact between failures shows that the cause is not this instance.
func TestFailuresBetweenContactsConcernTheEndpointOnly(t *testing.T) {
	f, b, d := newReachFixture(20)
	for n := range 10 {
		fail(f, b, n)
		p := b.Place(f.endpoints[19:], d)
		p.RecordStart(false)
		p.Done(balance.Served)
	}
	if b.OutOfReach(f.endpoints, d) {
		t.Error("out of reach though an endpoint responded after each failure")
	}
	if !b.PartlyOutOfReach(f.endpoints, d) {
		t.Error("10 of 20 endpoints out of reach of this instance only are not taken for a part")
	}
}

// An endpoint that rejects connections is tried with requests again only after one was accepted.
func TestEndpointOutOfReachIsProbed(t *testing.T) {
	f, b, d := newReachFixture(2)
	fail(f, b, 0)
	id := f.endpoints[0].Incarnation()
	for range 100 {
		f.now = f.now.Add(50 * time.Millisecond)
		probeAll(b, func(balance.Probe) bool { return false })
		if p := b.Place(f.endpoints, d); p.Endpoint.Incarnation() == id {
			t.Fatal("request placed at an endpoint that rejects connections")
		} else {
			p.Done(balance.Served)
		}
	}
	f.now = f.now.Add(3 * time.Second)
	probeAll(b, func(balance.Probe) bool { return true })
	got := make(map[string]bool)
	for range 10 {
		got[b.Place(f.endpoints, d).Endpoint.Incarnation()] = true
	}
	if !got[id] {
		t.Error("no request placed at an endpoint that accepts connections again")
	}
}

// A response on an earlier connection must not end the time out of reach: the instance may be cut off
// for new connections only.
func TestOldConnectionsDoNotEndTimeOutOfReach(t *testing.T) {
	f, b, d := newReachFixture(6)
	running := b.Place(f.endpoints[:1], d)
	for n := range 3 {
		fail(f, b, n)
	}
	running.RecordStart(false)
	if !b.OutOfReach(f.endpoints, d) {
		t.Error("within reach after a response on an earlier connection")
	}
	running.RecordStart(true)
	if b.OutOfReach(f.endpoints, d) {
		t.Error("out of reach after a new connection")
	}
}

// Instances that are cut off from all endpoints must not make others avoid them.
func TestReportsOfCutOffInstancesAreIgnored(t *testing.T) {
	f, b, d := newReachFixture(6)
	for id := range uint64(3) {
		_, cut, _ := newReachFixture(6)
		for n := range 6 {
			fail(f, cut, n)
		}
		cut.OutOfReach(f.endpoints, d)
		reports, _ := cut.Reports(true, 0)
		b.Merge(id+1, nil, reports, true)
	}
	for range 6 {
		p := b.Place(f.endpoints, d)
		if p == nil {
			t.Fatal("no placement")
		}
	}
	if _, refusal := b.Admit(f.endpoints, d); refusal != nil {
		t.Errorf("refused: %+v", refusal)
	}
	if got := b.Unreachable(); len(got) != 0 {
		t.Errorf("unreachable: %v, want none", got)
	}
}

// A scheduler that is cut off itself still chooses for instances that are not.
func TestSchedulerOutOfReachGrantsToOthers(t *testing.T) {
	f, b, d := newReachFixture(6)
	for n := range 6 {
		fail(f, b, n)
	}
	if !b.OutOfReach(f.endpoints, d) {
		t.Fatal("not out of reach")
	}
	got := make(map[uint32]bool)
	for range 30 {
		got[b.Grant(7, f.endpoints, d).Endpoint] = true
	}
	if len(got) != 6 || got[0] {
		t.Errorf("granted %d endpoints, want all 6", len(got))
	}
}

// A silent endpoint is probed once a response is overdue, unless it has responded to others since.
func TestOverdueResponseCausesProbe(t *testing.T) {
	for _, contact := range []bool{false, true} {
		t.Run(fmt.Sprint("contact ", contact), func(t *testing.T) {
			f, b, d := newReachFixture(1)
			p := b.Place(f.endpoints, d)
			f.now = f.now.Add(100 * time.Millisecond)
			if contact {
				other := b.Place(f.endpoints, d)
				other.RecordStart(false)
			}
			p.RecordOverdue()
			if probes, _ := b.TakeProbes(); (len(probes) == 1) == contact {
				t.Errorf("%d probes, contact %v", len(probes), contact)
			}
		})
	}
}
