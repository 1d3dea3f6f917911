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
	h.SetEndpoints(0, list(endpoints))
	heard(h, endpoints)
	return h
}

// heard lets all endpoints report.
func heard(h *home.Home, n int) {
	for i := range n {
		h.Report(0, home.Load{Endpoint: fmt.Sprintf("e%d", i)})
	}
}

func list(n int) []home.Endpoint {
	out := make([]home.Endpoint, n)
	for i := range out {
		out[i] = home.Endpoint{Name: fmt.Sprintf("e%d", i), Addr: "x", DataCentre: "d"}
	}
	return out
}

func ask(seq uint64, class string) home.Ask {
	return home.Ask{Key: home.Key{Entry: "n1", Seq: seq}, Class: class, Team: "a"}
}

func TestGrantsUpToTheLimit(t *testing.T) {
	h := newHome(t, 2)
	for i := range uint64(6) {
		h.Ask(0, ask(i, "letter"))
	}
	if n := len(h.Take()); n != 4 {
		t.Errorf("%d were decided on two endpoints of two slots", n)
	}
	h.Done(time.Second, home.Release{Key: home.Key{Entry: "n1", Seq: 0}, Whole: true, Tokens: 10})
	if n := len(h.Take()); n != 1 {
		t.Errorf("%d were granted after one ended", n)
	}
}

func TestVerdictGoesBeforeLetters(t *testing.T) {
	h := newHome(t, 1)
	h.Ask(0, ask(1, "letter"))
	h.Ask(0, ask(2, "letter"))
	h.Ask(0, ask(3, "letter"))
	h.Ask(time.Millisecond, ask(4, "verdict"))
	h.Take()
	h.Done(2*time.Millisecond, home.Release{Key: home.Key{Entry: "n1", Seq: 1}, Whole: true, Tokens: 1})
	if d := h.Take(); len(d) != 1 || d[0].Seq != 4 {
		t.Errorf("after a slot came free: %+v; want the verdict's grant", d)
	}
}

func TestLeavingEndpointGetsNothing(t *testing.T) {
	h := newHome(t, 2)
	eps := list(2)
	eps[0].Leaving = true
	h.SetEndpoints(0, eps)
	for i := range uint64(2) {
		h.Ask(0, ask(i, "letter"))
	}
	for _, d := range h.Take() {
		if d.Endpoint == "e0" {
			t.Error("a leaving endpoint was granted")
		}
	}
	eps[0].Leaving = false
	h.SetEndpoints(0, eps) // a list that went back
	h.Ask(0, ask(9, "letter"))
	for _, d := range h.Take() {
		if d.Endpoint == "e0" {
			t.Error("an endpoint that had left was granted again")
		}
	}
}

func TestNoEndpointIsNotRun(t *testing.T) {
	h := newHome(t, 0)
	h.Ask(0, ask(1, "verdict"))
	d := h.Take()
	if len(d) != 1 || d[0].Refusal == nil || d[0].Refusal.Verdict != verdict.NotRun || d[0].Refusal.RetryAfter == 0 {
		t.Errorf("got %+v; want a refusal that says when to come back", d)
	}
}

// A request that is given up gets its answer at once, not near its deadline.
func TestGivenUpAtOnce(t *testing.T) {
	h := newHome(t, 1)
	for i := range uint64(80) {
		h.Ask(0, ask(i, "verdict"))
	}
	refused := 0
	for _, d := range h.Take() {
		if d.Refusal != nil {
			refused++
		}
	}
	if refused == 0 {
		t.Error("none of 80 verdicts on two slots was refused at once")
	}
}

// A new home learns from the entries what runs, and does not fill it twice.
func TestSyncRebuilds(t *testing.T) {
	h := newHome(t, 1)
	h.Sync(0, "n1", []home.Running{{Seq: 1, Endpoint: "e0", Class: "verdict"}, {Seq: 2, Endpoint: "e0", Class: "letter"}})
	h.Ask(0, ask(3, "letter"))
	if d := h.Take(); len(d) != 0 {
		t.Errorf("granted %+v though the endpoint is full", d)
	}
	h.Sync(time.Millisecond, "n2", []home.Running{{Seq: 1, Endpoint: "e0", Class: "letter"}, {Seq: 2, Endpoint: "e0", Class: "letter"}})
	if l := h.Endpoints(0)[0].Limit; l != 4 {
		t.Errorf("the limit is %g though the home before had the endpoint run 4", l)
	}
	h.Sync(5*time.Second, "n2", nil)
	h.Sync(5*time.Second, "n1", nil)
	if d := h.Take(); len(d) != 1 {
		t.Errorf("%d decisions after the entry said that its runs had ended", len(d))
	}
}

func TestSilentEntryLapses(t *testing.T) {
	h := newHome(t, 1)
	h.Ask(0, ask(1, "letter"))
	h.Tick(home.RunLease + time.Second)
	if n := h.Running(); n != 0 {
		t.Errorf("%d runs of an entry that fell silent", n)
	}
}

// A slow endpoint is noticed from its tokens, though its reports say well.
func TestSlowIsNoticed(t *testing.T) {
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
		t.Errorf("the slow endpoint is %s", s)
	}
}

func TestUnknownMechanism(t *testing.T) {
	if _, err := home.ParsePolicy(home.Full, "magic"); err == nil {
		t.Error("an unknown mechanism was accepted")
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, waiting := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) { benchDecision(b, waiting) })
	}
}

// benchDecision measures one arrival and one end in a cell of 16 endpoints,
// the most that a cell has, with letters waiting.
func benchDecision(b *testing.B, waiting int) {
	set, err := decl.Parse("d.yaml", []byte("classes:\n  - {name: verdict, tier: 0, whole: 4s, repeatable: false}\n  - {name: letter, tier: 2, whole: 10h, repeatable: true, finish_late: true}\npools:\n  - {name: m, kind: model, slots: 2, max_slots: 8}\n"))
	if err != nil {
		b.Fatal(err)
	}
	p, _ := home.ParsePolicy(home.Full)
	h := home.New(set, set.Pool("m"), p)
	h.SetEndpoints(0, list(16))
	heard(h, 16)
	seq := uint64(0)
	for range waiting + 32 {
		seq++
		a := ask(seq, "letter")
		a.Team = fmt.Sprintf("t%d", seq%200)
		h.Ask(0, a)
	}
	running := make([]home.Key, 0, 64)
	for _, d := range h.Take() {
		if d.Refusal == nil {
			running = append(running, d.Key)
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		seq++
		a := ask(seq, "letter")
		a.Team = "t1"
		h.Ask(now, a)
		if len(running) > 0 {
			h.Done(now, home.Release{Key: running[0], Whole: true, Tokens: 10, Team: "t1"})
			running = running[1:]
		}
		for _, d := range h.Take() {
			if d.Refusal == nil {
				running = append(running, d.Key)
			}
		}
	}
}

// A new home asks an endpoint before it gives it work, since it may have begun
// to leave; one that does not answer is tried after a moment.
func TestUnheardIsAskedFirst(t *testing.T) {
	h := newHome(t, 0)
	h.SetEndpoints(0, list(2))
	h.Ask(0, ask(1, "verdict"))
	if d := h.Take(); len(d) != 0 {
		t.Fatalf("decided %+v before any endpoint was heard", d)
	}
	h.Report(time.Millisecond, home.Load{Endpoint: "e0", Leaving: true})
	if d := h.Take(); len(d) != 0 {
		t.Fatalf("decided %+v though the one that was heard is leaving", d)
	}
	h.Tick(time.Second)
	if d := h.Take(); len(d) != 1 || d[0].Endpoint != "e1" {
		t.Errorf("decided %+v; want the silent endpoint", d)
	}
}
