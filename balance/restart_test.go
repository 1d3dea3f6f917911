package balance_test

import (
	"testing"
	"time"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/discovery"
)

// restarted returns the fixture's endpoints with the first one restarted under its ID.
func (f *fixture) restarted(born int64) []*discovery.Endpoint {
	out := append([]*discovery.Endpoint(nil), f.endpoints...)
	e := *f.endpoints[0]
	out[0] = &discovery.Endpoint{Endpoint: e.Endpoint}
	out[0].Born = born
	return out
}

// State and reports of an endpoint's process don't apply to the next process with the same ID.
func TestRestartedProcessStartsFresh(t *testing.T) {
	f := newFixture(1)
	previous := f.restarted(1000)
	b := f.balancer()
	f.now = f.now.Add(time.Second)
	running := b.Place(previous, f.long(55))
	running.RecordStart(true)
	f.now = f.now.Add(time.Second)
	if p := b.Place(previous, f.long(55)); p.Cached == 0 {
		t.Fatal("no part of a repeated prompt is presumed cached")
	}
	next := f.restarted(2000)
	before := b.Place(next, f.long(55))
	if before.Cached != 0 {
		t.Errorf("%d tokens presumed cached at the restarted process, want 0", before.Cached)
	}
	if before.Backlog > 0 {
		t.Errorf("backlog of %s at the restarted process, want 0", before.Backlog)
	}
	before.Done(balance.Unknown)

	// Requests of the previous process that end now, with their failures, are attributed to it.
	running.RecordUnreachable(true)
	running.Done(balance.Failed)
	if got := b.Unreachable(); len(got) != 1 || got[0] != balance.EndpointHash(previous[0].Incarnation()) {
		t.Errorf("unreachable: %v, want only the previous process", got)
	}
	if p := b.Place(next, f.long(55)); p == nil || p.Endpoint.Born != 2000 {
		t.Errorf("placed %+v, want a placement at the restarted process", p)
	}

	// Reports about the previous process are ignored.
	other := f.balancer()
	other.Place(next, f.long(1)).Done(balance.Served)
	other.Merge(7, []balance.Notice{{Endpoint: balance.EndpointHash(previous[0].Incarnation()), Uncached: 90_000, Parts: []balance.PromptPart{{ID: 1, Tokens: 2500}}}},
		[]balance.Report{{Endpoint: balance.EndpointHash(previous[0].Incarnation()), Replaced: time.Second, Running: balance.Running{Requests: 64}}}, true)
	f.now = f.now.Add(10 * time.Second)
	if p := other.Place(next, &balance.Demand{Service: f.engines, Objective: time.Second, Prompt: 100, Output: 10}); p == nil || p.Backlog > 0 {
		t.Errorf("placed %+v, want no backlog, since reports were about the previous process", p)
	}

	// A grant made by an instance that only knows the previous process is not accepted.
	grant := b.Grant(7, previous, f.long(9))
	if p, _ := other.AcceptGrant(grant, next, f.long(9)); p != nil {
		t.Errorf("accepted %+v, want none, since the previous process was chosen", p)
	}
}

// The incarnation of a process without a known start time is its ID.
func TestIncarnations(t *testing.T) {
	e := catalog.Endpoint{ID: "e"}
	if got := e.Incarnation(); got != "e" {
		t.Errorf("incarnation %q without a start time, want e", got)
	}
	e.Born = 1784010890952
	later := e
	later.Born++
	if e.Incarnation() == "e" || e.Incarnation() == later.Incarnation() {
		t.Errorf("incarnations %q and %q of two start times, want distinct ones other than e", e.Incarnation(), later.Incarnation())
	}
}
