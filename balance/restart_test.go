package balance_test

import (
	"testing"
	"time"

	"ivyridge/balance"
	"ivyridge/belief"
	"ivyridge/catalog"
)

// reborn returns the fixture's endpoints with the first one started again under its ID.
func (f *fixture) reborn(born int64) []*belief.Endpoint {
	out := append([]*belief.Endpoint(nil), f.endpoints...)
	e := *f.endpoints[0]
	out[0] = &belief.Endpoint{Endpoint: e.Endpoint}
	out[0].Born = born
	return out
}

// What is known of an endpoint's process, and what others tell of it, is not true of the next
// one that starts under the same ID.
func TestNothingIsCarriedOverToTheNextProcess(t *testing.T) {
	f := newFixture(1)
	first := f.reborn(1000)
	b := f.balancer()
	f.now = f.now.Add(time.Second)
	held := b.Place(first, f.long(55))
	held.Started()
	f.now = f.now.Add(time.Second)
	if p := b.Place(first, f.long(55)); p.Cached == 0 {
		t.Fatal("no part is held after a prompt was read")
	}
	next := f.reborn(2000)
	before := b.Place(next, f.long(55))
	if before.Cached != 0 {
		t.Errorf("the next process is taken to hold %d tokens", before.Cached)
	}
	if before.Backlog > 0 {
		t.Errorf("prompts of the earlier process still wait at the next one: %s", before.Backlog)
	}
	before.Done(balance.Unknown)

	// Requests of the earlier process that end now are its own, and so are failures and marks.
	held.Unreachable()
	held.Done(balance.Failed)
	if got := b.Unreachable(); len(got) != 1 || got[0] != balance.EndpointHash(first[0].Incarnation()) {
		t.Errorf("unreachable: %v, want the earlier process alone", got)
	}
	if p := b.Place(next, f.long(55)); p == nil || p.Endpoint.Born != 2000 {
		t.Errorf("the next process is not used: %+v", p)
	}

	// What another instance tells of the earlier process.
	other := f.balancer()
	other.Place(next, f.long(1)).Done(balance.Served)
	other.Merge(7, []balance.Notice{{Endpoint: balance.EndpointHash(first[0].Incarnation()), Uncached: 90_000, Parts: []balance.Part{{ID: 1, Tokens: 2500}}}},
		[]balance.Report{{Endpoint: balance.EndpointHash(first[0].Incarnation()), Gone: time.Second, Running: balance.Running{Requests: 64}}}, true)
	f.now = f.now.Add(10 * time.Second)
	if p := other.Place(next, &balance.Demand{Service: f.engines, Objective: time.Second, Prompt: 100, Output: 10}); p == nil || p.Backlog > 0 {
		t.Errorf("what was told of the earlier process counts for the next one: %+v", p)
	}

	// A choice of an instance that has not heard of the next process is not taken up.
	choice := b.Grant(7, first, f.long(9))
	if p, _ := other.Adopt(choice, next, f.long(9)); p != nil {
		t.Errorf("an earlier process's place is taken at the next one: %+v", p)
	}
}

// A process that does not tell its birth is named by its ID.
func TestIncarnations(t *testing.T) {
	e := catalog.Endpoint{ID: "e"}
	if got := e.Incarnation(); got != "e" {
		t.Errorf("got %q", got)
	}
	e.Born = 1784010890952
	later := e
	later.Born++
	if e.Incarnation() == "e" || e.Incarnation() == later.Incarnation() {
		t.Errorf("got %q and %q", e.Incarnation(), later.Incarnation())
	}
}
