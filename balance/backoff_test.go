package balance_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/balance"
	"ivyridge/belief"
)

// spread is by how much a rest of some seconds is stretched at most.
const spread = 300 * time.Millisecond

// askRest has the endpoint that a request is placed at ask for rest.
func (f *fixture) askRest(b *balance.Balancer, endpoint int, d time.Duration) *balance.Placement {
	p := b.Place(f.endpoints[endpoint:endpoint+1], f.stream())
	p.Rests(d)
	p.Done(balance.Refused)
	return p
}

func TestRestingEndpointIsNoChoice(t *testing.T) {
	f := newFixture(2)
	b := f.balancer()
	f.askRest(b, 0, 3*time.Second)
	for end := f.now.Add(3 * time.Second); f.now.Before(end); f.now = f.now.Add(50 * time.Millisecond) {
		if p := b.Place(f.endpoints, f.stream()); p.Endpoint != f.endpoints[1] {
			t.Fatalf("%s before its end, a request is placed at an endpoint that rests", end.Sub(f.now))
		} else {
			p.Done(balance.Served)
		}
	}
	f.now = f.now.Add(spread)
	if p := b.Place(f.endpoints[:1], f.stream()); p == nil {
		t.Error("an endpoint whose rest is over is no choice")
	}
}

// The first request after a rest goes alone until it is answered, or most would have been.
func TestFirstRequestAfterARestGoesAlone(t *testing.T) {
	for _, answered := range []bool{true, false} {
		f := newFixture(1)
		b := f.balancer()
		f.askRest(b, 0, time.Second)
		f.now = f.now.Add(time.Second + spread)
		first, second := b.Place(f.endpoints, f.stream()), b.Place(f.endpoints, f.stream())
		if !first.MaySend() || second.MaySend() {
			t.Fatal("not one request alone goes after a rest")
		}
		second.Done(balance.Unknown)
		if answered {
			first.Started()
		} else {
			f.now = f.now.Add(200 * time.Millisecond)
		}
		if p := b.Place(f.endpoints, f.stream()); p == nil || !p.MaySend() {
			t.Errorf("answered %v: nothing goes after the first request", answered)
		}
	}
}

// Answers come in any order, and while requests are placed that have not left yet.
func TestRestsAskedForMeanwhile(t *testing.T) {
	f := newFixture(1)
	b := f.balancer()
	placed := b.Place(f.endpoints, f.stream())
	if !placed.MaySend() {
		t.Fatal("a request may not be sent to an endpoint that asked for nothing")
	}
	f.askRest(b, 0, 2*time.Second)
	f.askedAgain(t, placed, 500*time.Millisecond) // a shorter one takes nothing back
	if placed.MaySend() {
		t.Error("a request that was placed before may be sent while its endpoint rests")
	}
	f.now = f.now.Add(1500 * time.Millisecond)
	f.askedAgain(t, placed, 2*time.Second) // a longer one counts
	f.now = f.now.Add(1900 * time.Millisecond)
	if p := b.Place(f.endpoints, f.stream()); p != nil {
		t.Error("the second rest is not kept")
	}
	f.now = f.now.Add(100*time.Millisecond + spread)
	if p := b.Place(f.endpoints, f.stream()); p == nil || !p.MaySend() {
		t.Error("a rest lasts beyond its end")
	}
}

func (f *fixture) askedAgain(t *testing.T, p *balance.Placement, d time.Duration) {
	if p.Rests(d) {
		t.Error("rest that is asked for again while it lasts is news")
	}
}

// An endpoint that asked for a very long rest gets one request before its end, and is not lost.
func TestLongRestIsProbedOnce(t *testing.T) {
	f := newFixture(1)
	b := f.balancer()
	f.askRest(b, 0, time.Hour)
	sent := 0
	for end := f.now.Add(time.Hour); f.now.Before(end); f.now = f.now.Add(time.Second) {
		if p := b.Place(f.endpoints, f.stream()); p != nil {
			if p.MaySend() {
				sent++
			}
			p.Started()
			p.Done(balance.Served)
		}
	}
	if sent != 1 {
		t.Errorf("%d requests were sent in a rest of an hour, want 1", sent)
	}
	f.now = f.now.Add(spread)
	if b.Place(f.endpoints, f.stream()) == nil {
		t.Error("the endpoint is lost")
	}
}

// Over drawn rests, answers and times, an endpoint gets at most one request in each rest that
// it asked for, whichever of many requests was placed when, and whatever the list shows.
func TestRestsAreKept(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(3)
		b := f.balancer()
		type window struct {
			endpoint *belief.Endpoint
			end      time.Time
			sent     int
		}
		var windows []*window
		var placed []*balance.Placement
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1:
				if p := b.Place(f.endpoints, f.stream()); p != nil {
					placed = append(placed, p)
				}
			case 2:
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(rt, "ms")) * time.Millisecond)
			case 3:
				if rapid.Bool().Draw(rt, "listed") {
					b.Forget(func(string) bool { return true })
				} else {
					b.Forget(func(string) bool { return false })
				}
				f.endpoints = append([]*belief.Endpoint(nil), f.endpoints...) // a new view
			default:
				if len(placed) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(placed)-1).Draw(rt, "which")
				p := placed[i]
				placed = append(placed[:i], placed[i+1:]...)
				if p.MaySend() {
					for _, w := range windows {
						if w.endpoint.ID == p.Endpoint.ID && f.now.Before(w.end) {
							w.sent++
						}
					}
					if rapid.Bool().Draw(rt, "refuses") {
						d := time.Duration(rapid.IntRange(1, 100_000).Draw(rt, "rest")) * time.Millisecond
						p.Rests(d)
						windows = append(windows, &window{endpoint: p.Endpoint, end: f.now.Add(d)})
					} else {
						p.Started()
					}
				}
				p.Done(balance.Unknown)
			}
		}
		for _, w := range windows {
			if w.sent > 1 {
				rt.Fatalf("%s got %d requests in a rest that it had asked for", w.endpoint.ID, w.sent)
			}
		}
	})
}

// Where all rest, a request is told when the first of them is free.
func TestAllRest(t *testing.T) {
	f := newFixture(3)
	b := f.balancer()
	for i, d := range []time.Duration{3 * time.Second, time.Second, 2 * time.Second} {
		f.askRest(b, i, d)
	}
	p, refusal := b.Admit(f.endpoints, f.stream())
	if p != nil || refusal == nil || refusal.Cause != balance.EndpointsRest {
		t.Fatalf("placed %v, refusal %+v", p, refusal)
	}
	if refusal.Wait < time.Second || refusal.Wait > time.Second+spread || refusal.RetryAfter < refusal.Wait {
		t.Errorf("a wait of %v, come back after %v", refusal.Wait, refusal.RetryAfter)
	}
	if got := len(b.Absences()); got != 3 {
		t.Errorf("operators see %d endpoints that rest", got)
	}
	if _, refusal := b.Admit(nil, f.stream()); refusal != nil {
		t.Errorf("where there are no endpoints, the refusal is %+v", refusal)
	}
}

// Rest is asked of one instance: whoever chooses for it doesn't choose that endpoint, and
// chooses it for others.
func TestRestHoldsForItsInstance(t *testing.T) {
	f := newFixture(1)
	asks, scheduler := f.balancer(), f.balancer()
	scheduler.Place(f.endpoints, f.stream()).Done(balance.Served)
	f.askRest(asks, 0, 3*time.Second)
	if got := asks.Resting(f.stream()); len(got) != 1 || got[0] != balance.EndpointHash("e0") {
		t.Errorf("an ask names %v as resting", got)
	}
	reports, _ := asks.Reports(false, 0)
	scheduler.Merge(7, nil, reports, false)
	if c := scheduler.Grant(7, f.endpoints, f.stream()); c.Endpoint != 0 || c.Refusal != nil {
		t.Errorf("granted %+v where the endpoint rests for the asker", c)
	}
	if c := scheduler.Grant(8, f.endpoints, f.stream()); c.Endpoint == 0 {
		t.Error("not granted to another instance")
	} else if p, _ := asks.Adopt(c, f.endpoints, f.stream()); p != nil {
		t.Error("an instance uses a grant of an endpoint that asked it for rest")
	}
	f.now = f.now.Add(3*time.Second + spread)
	if c := scheduler.Grant(7, f.endpoints, f.stream()); c.Endpoint == 0 {
		t.Error("not granted once the rest is over")
	}
}

// The next process under an ID has asked for nothing, unless it may be the one that asked.
func TestRestAndBirths(t *testing.T) {
	for _, c := range []struct {
		after time.Duration // the birth is known so long after the answer
		holds bool
	}{{time.Second, true}, {4 * time.Second, false}} {
		f := newFixture(1)
		first, next := f.reborn(1000), f.reborn(2000)
		b := f.balancer()
		p := b.Place(first, f.stream())
		p.Rests(10 * time.Second)
		p.Leaves()
		p.Done(balance.Refused)
		f.now = f.now.Add(c.after)
		b.Forget(func(string) bool { return false })
		if got := b.Place(next, f.stream()) == nil; got != c.holds {
			t.Errorf("a birth that is known %v after the answer: it holds %v", c.after, got)
		}
	}
	f := newFixture(1)
	b := f.balancer()
	old := b.Place(f.reborn(1000), f.stream())
	next := f.reborn(2000)
	if b.Place(next, f.stream()) == nil {
		t.Fatal("the next process is no choice")
	}
	old.Rests(time.Second) // an answer of either
	if b.Place(next, f.stream()) != nil {
		t.Error("the answer may be that of the next process, which gets requests")
	}
}

func TestLeavingIsTold(t *testing.T) {
	f := newFixture(2)
	knows, hears := f.balancer(), f.balancer()
	hears.Place(f.endpoints, f.stream()).Done(balance.Served)
	p := knows.Place(f.endpoints[:1], f.stream())
	if !p.Leaves() || p.Leaves() {
		t.Error("what is said first is not news, or what is said again is")
	}
	p.Done(balance.Served)
	tell := func() {
		reports, _ := knows.Reports(true, 0)
		hears.Merge(7, nil, reports, true)
	}
	tell()
	if knows.Place(f.endpoints[:1], f.stream()) != nil || hears.Place(f.endpoints[:1], f.stream()) != nil {
		t.Error("an endpoint that leaves is chosen")
	}
	sums, _ := hears.Sums(func(uint64) bool { return false }, true, 0)
	for _, s := range sums {
		if s.Leaves {
			t.Error("what was told by one data centre is told as another's own")
		}
	}
	f.now = f.now.Add(20 * time.Second)
	if knows.Place(f.endpoints[:1], f.stream()) != nil {
		t.Error("what the endpoint said is forgotten")
	}
	if hears.Place(f.endpoints[:1], f.stream()) == nil {
		t.Error("what another instance said holds though it says it no more")
	}
}

func BenchmarkPlaceBesideResting(bench *testing.B) {
	for _, n := range []int{12, 690} {
		bench.Run(fmt.Sprint(n), func(bench *testing.B) {
			f := newFixture(n)
			b := f.balancer()
			for i := 0; i < n; i += 3 {
				f.askRest(b, i, time.Hour)
			}
			d := f.long(9)
			bench.ReportAllocs()
			for bench.Loop() {
				f.now = f.now.Add(time.Microsecond)
				b.Place(f.endpoints, d).Done(balance.Served)
				b.Placed()
			}
		})
	}
}
