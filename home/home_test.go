package home_test

import (
	"fmt"
	"testing"
	"time"

	"ivyridge/decl"
	"ivyridge/home"
	"ivyridge/verdict"
)

const declarations = `
classes:
  - {name: verdict, tier: 0, whole: 4s, token_gap: 40ms, repeatable: false}
  - {name: letter, tier: 2, whole: 60s, token_gap: 40ms, repeatable: true, finish_late: true, guaranteed_share: 0.05}
pools:
  - {name: m, kind: model, slots: 2, max_slots: 8}
teams:
  - {name: a, class: verdict, classes: [letter], max_waiting: 50}
`

func newHome(t testing.TB, endpoints int) *home.Home {
	t.Helper()
	set, err := decl.Parse("d.yaml", []byte(declarations))
	if err != nil {
		t.Fatal(err)
	}
	p, err := home.ParsePolicy(home.Full)
	if err != nil {
		t.Fatal(err)
	}
	h := home.New(set, set.Pool("m"), p)
	h.SetEndpoints(0, endpointList(endpoints))
	reportAll(h, endpoints)
	return h
}

func reportAll(h *home.Home, n int) {
	for i := range n {
		h.Report(0, home.Load{Endpoint: fmt.Sprintf("e%d", i)})
	}
}

func endpointList(n int) []home.Endpoint {
	out := make([]home.Endpoint, n)
	for i := range out {
		out[i] = home.Endpoint{Name: fmt.Sprintf("e%d", i), Addr: "x", DataCentre: "d"}
	}
	return out
}

func newRequest(seq uint64, class string) home.Request {
	return home.Request{Key: home.Key{Entry: "n1", Seq: seq}, Class: class, Team: "a"}
}

func TestGrantsUpToLimit(t *testing.T) {
	h := newHome(t, 2)
	for i := range uint64(6) {
		h.Submit(0, newRequest(i, "letter"))
	}
	if n := len(h.TakeDecisions()); n != 4 {
		t.Errorf("got %d decisions on two endpoints of two slots; want 4", n)
	}
	h.Done(time.Second, home.Release{Key: home.Key{Entry: "n1", Seq: 0}, Complete: true, Tokens: 10})
	if n := len(h.TakeDecisions()); n != 1 {
		t.Errorf("got %d grants after one run ended; want 1", n)
	}
}

func TestHigherTierFirst(t *testing.T) {
	h := newHome(t, 1)
	h.Submit(0, newRequest(1, "letter"))
	h.Submit(0, newRequest(2, "letter"))
	h.Submit(0, newRequest(3, "letter"))
	h.Submit(time.Millisecond, newRequest(4, "verdict"))
	h.TakeDecisions()
	h.Done(2*time.Millisecond, home.Release{Key: home.Key{Entry: "n1", Seq: 1}, Complete: true, Tokens: 1})
	if d := h.TakeDecisions(); len(d) != 1 || d[0].Seq != 4 {
		t.Errorf("after a run ended: got %+v; want a grant of the tier 0 request", d)
	}
}

func TestLeavingEndpointNotGranted(t *testing.T) {
	h := newHome(t, 2)
	eps := endpointList(2)
	eps[0].Leaving = true
	h.SetEndpoints(0, eps)
	for i := range uint64(2) {
		h.Submit(0, newRequest(i, "letter"))
	}
	for _, d := range h.TakeDecisions() {
		if d.Endpoint == "e0" {
			t.Error("got a grant on e0, which is leaving; want none")
		}
	}
	eps[0].Leaving = false
	h.SetEndpoints(0, eps) // an outdated list
	h.Submit(0, newRequest(9, "letter"))
	for _, d := range h.TakeDecisions() {
		if d.Endpoint == "e0" {
			t.Error("got a grant on e0 after an outdated list said that it is not leaving; want none")
		}
	}
}

func TestRefusalWithoutEndpoints(t *testing.T) {
	h := newHome(t, 0)
	h.Submit(0, newRequest(1, "verdict"))
	d := h.TakeDecisions()
	if len(d) != 1 || d[0].Refusal == nil || d[0].Refusal.Verdict != verdict.NotRun || d[0].Refusal.RetryAfter == 0 {
		t.Errorf("got %+v; want a NotRun refusal with RetryAfter", d)
	}
}

func TestOverloadRefusedOnArrival(t *testing.T) {
	h := newHome(t, 1)
	for i := range uint64(80) {
		h.Submit(0, newRequest(i, "verdict"))
	}
	refused := 0
	for _, d := range h.TakeDecisions() {
		if d.Refusal != nil {
			refused++
		}
	}
	if refused == 0 {
		t.Error("0 of 80 requests on two slots were refused on arrival; want at least 1")
	}
}

// A new home learns the current runs from the entries, so that it grants no slot twice.
func TestSyncRestoresRuns(t *testing.T) {
	h := newHome(t, 1)
	h.Sync(0, "n1", []home.ActiveRun{{Seq: 1, Endpoint: "e0", Class: "verdict"}, {Seq: 2, Endpoint: "e0", Class: "letter"}})
	h.Submit(0, newRequest(3, "letter"))
	if d := h.TakeDecisions(); len(d) != 0 {
		t.Errorf("got %+v on a full endpoint; want no decision", d)
	}
	h.Sync(time.Millisecond, "n2", []home.ActiveRun{{Seq: 1, Endpoint: "e0", Class: "letter"}, {Seq: 2, Endpoint: "e0", Class: "letter"}})
	if l := h.Endpoints(0)[0].Limit; l != 4 {
		t.Errorf("limit = %g; want 4, the number of runs that the previous home granted", l)
	}
	h.Sync(5*time.Second, "n2", nil)
	h.Sync(5*time.Second, "n1", nil)
	if d := h.TakeDecisions(); len(d) != 1 {
		t.Errorf("got %d decisions after the entries reported no runs; want 1", len(d))
	}
}

func TestRunLeaseExpires(t *testing.T) {
	h := newHome(t, 1)
	h.Submit(0, newRequest(1, "letter"))
	h.Tick(home.RunLease + time.Second)
	if n := h.Running(); n != 0 {
		t.Errorf("%d runs left after their lease expired; want 0", n)
	}
}

// The load reports of a slow endpoint are normal; only its inter-token gaps are not.
func TestSlowEndpointDetected(t *testing.T) {
	h := newHome(t, 3)
	for i := range 30 {
		now := time.Duration(i) * 100 * time.Millisecond
		for e := range 3 {
			gap := 20 * time.Millisecond
			if e == 0 {
				gap *= 4
			}
			h.Progress(now, home.Progress{Endpoint: fmt.Sprintf("e%d", e), Tokens: 20, Elapsed: 20 * gap})
			h.Report(now, home.Load{Endpoint: fmt.Sprintf("e%d", e)})
		}
	}
	if s := h.Endpoints(3 * time.Second)[0].State; s != "slow" {
		t.Errorf("state of the slow endpoint = %s; want slow", s)
	}
}

func TestUnknownMechanism(t *testing.T) {
	if _, err := home.ParsePolicy(home.Full, "magic"); err == nil {
		t.Error("ParsePolicy without mechanism magic succeeded; want an error, since it is unknown")
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, waiting := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) { benchDecision(b, waiting) })
	}
}

// benchDecision measures one arrival and one release in a cell of the maximum size.
func benchDecision(b *testing.B, waiting int) {
	set, err := decl.Parse("d.yaml", []byte("classes:\n  - {name: verdict, tier: 0, whole: 4s, repeatable: false}\n  - {name: letter, tier: 2, whole: 10h, repeatable: true, finish_late: true}\npools:\n  - {name: m, kind: model, slots: 2, max_slots: 8}\n"))
	if err != nil {
		b.Fatal(err)
	}
	p, _ := home.ParsePolicy(home.Full)
	h := home.New(set, set.Pool("m"), p)
	h.SetEndpoints(0, endpointList(16))
	reportAll(h, 16)
	seq := uint64(0)
	for range waiting + 32 {
		seq++
		a := newRequest(seq, "letter")
		a.Team = fmt.Sprintf("t%d", seq%200)
		h.Submit(0, a)
	}
	running := make([]home.Key, 0, 64)
	for _, d := range h.TakeDecisions() {
		if d.Refusal == nil {
			running = append(running, d.Key)
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		seq++
		a := newRequest(seq, "letter")
		a.Team = "t1"
		h.Submit(now, a)
		if len(running) > 0 {
			h.Done(now, home.Release{Key: running[0], Complete: true, Tokens: 10, Team: "t1"})
			running = running[1:]
		}
		for _, d := range h.TakeDecisions() {
			if d.Refusal == nil {
				running = append(running, d.Key)
			}
		}
	}
}

// An endpoint that has not reported may be leaving, so it gets no requests until a timeout.
func TestReportAwaitedBeforeGrant(t *testing.T) {
	h := newHome(t, 0)
	h.SetEndpoints(0, endpointList(2))
	h.Submit(0, newRequest(1, "verdict"))
	if d := h.TakeDecisions(); len(d) != 0 {
		t.Fatalf("got %+v before any load report; want no decision", d)
	}
	h.Report(time.Millisecond, home.Load{Endpoint: "e0", Leaving: true})
	if d := h.TakeDecisions(); len(d) != 0 {
		t.Fatalf("got %+v though the only endpoint that reported is leaving; want no decision", d)
	}
	h.Tick(time.Second)
	if d := h.TakeDecisions(); len(d) != 1 || d[0].Endpoint != "e1" {
		t.Errorf("got %+v; want a grant on e1, which has not reported", d)
	}
}
