package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/limit"
)

var start = time.Unix(1000, 0)

// A response that may predate the limit doesn't lift it.
func TestNewestStateWins(t *testing.T) {
	var s limit.State
	if s.Known() || s.Lift(start) {
		t.Error("Known() or Lift() of a zero State is true, want false")
	}
	if !s.SetLimit(1.2, start) || s.SetLimit(1.2, start.Add(time.Second)) {
		t.Error("SetLimit must report a change for a new limit, and none for the same limit again")
	}
	if s.Lift(start.Add(500 * time.Millisecond)) {
		t.Error("a response to a request sent before the limit was stated lifts it")
	}
	if !s.SetLimit(0.5, start.Add(2*time.Second)) || s.Rate != 0.5 {
		t.Error("a lower limit is not reported as a change")
	}
	other := s
	if !s.Lift(start.Add(3*time.Second)) || s.Limited {
		t.Error("a response to a later request does not lift the limit")
	}
	if s.Merge(other) {
		t.Error("Merge adopts an older State")
	}
	if !other.Merge(s) || other.Limited {
		t.Error("Merge does not adopt a newer State without a limit")
	}
}

// Guards against a State that is relayed in circles and appears newer each time.
func TestRelayedStatesDoNotOutliveNewerOnes(t *testing.T) {
	var a, b limit.State
	a.SetLimit(2, start)
	const delay = 200 * time.Millisecond
	now := start
	for range 1000 {
		age := now.Sub(a.AsOf)
		now = now.Add(delay)
		b.Merge(limit.Received(a.Limited, a.Rate, age, now))
		age = now.Sub(b.AsOf)
		now = now.Add(delay)
		a.Merge(limit.Received(b.Limited, b.Rate, age, now))
	}
	if !a.Lift(start.Add(time.Second)) || !b.Merge(a) {
		t.Errorf("States as of %v and %v are not replaced by one as of a second after the limit was announced", a.AsOf, b.AsOf)
	}
}

func TestStatesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := make([]limit.State, rapid.IntRange(1, 6).Draw(t, "words"))
		for i := range states {
			// Two different responses don't have the same time.
			states[i] = limit.State{Limited: rapid.Bool().Draw(t, "named"), AsOf: start.Add(time.Duration(i+1) * time.Second)}
			if states[i].Limited {
				states[i].Rate = float64(i) // each is different
			}
		}
		newest := states[len(states)-1]
		for range 2 {
			var s limit.State
			for _, i := range rapid.Permutation(indexes(len(states))).Draw(t, "order") {
				s.Merge(states[i])
				if rapid.Bool().Draw(t, "twice") {
					s.Merge(states[i])
				}
			}
			if s.Limited != newest.Limited || s.Rate != newest.Rate {
				t.Fatalf("merged State is %+v, want the newest, %+v", s, newest)
			}
		}
	})
}

func indexes(n int) (out []int) {
	for i := range n {
		out = append(out, i)
	}
	return out
}

// A client is an instance that requests again after the delay of the decision.
type client struct {
	next  time.Time
	level int
}

type result struct {
	granted  []time.Time
	byLevel  [limit.Levels]int
	requests int
}

// simulate has clients request permits for duration. A client waits for pause after each request,
// or for the delay that it is told if that is longer.
func simulate(allocator *limit.Allocator, rate, share float64, clients []client, pause, duration time.Duration, rng *rand.Rand) (out result) {
	state := limit.State{Limited: true, Rate: rate, AsOf: start}
	for now := start; now.Before(start.Add(duration)); now = now.Add(2 * time.Millisecond) {
		for i := range clients {
			c := &clients[i]
			if now.Before(c.next) {
				continue
			}
			out.requests++
			decision := allocator.Allocate(7, state, share, c.level, now, rng.Float64())
			c.next = now.Add(pause + 2*time.Millisecond)
			if decision.Granted {
				out.granted = append(out.granted, now)
				out.byLevel[c.level]++
			} else if later := now.Add(decision.Wait); later.After(c.next) {
				c.next = later
			}
		}
	}
	return out
}

// maxWithin returns the highest number of elements of at within any interval of length span.
func maxWithin(at []time.Time, span time.Duration) (n int) {
	first := 0
	for i := range at {
		for at[i].Sub(at[first]) >= span {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// Permits stay within the limit in every span of 4 s and use most of it, with few permit requests.
func TestPermitsUseLimitWithoutExceedingIt(t *testing.T) {
	const span, duration = 4 * time.Second, 60 * time.Second
	for _, rate := range []float64{0, 0.5, 1.2, 6, 50, 200} {
		for _, clients := range []int{1, 3, 18, 390} {
			t.Run(fmt.Sprintf("%v per second, %d clients", rate, clients), func(t *testing.T) {
				got := simulate(new(limit.Allocator), rate, 1, make([]client, clients), 0, duration, rand.New(rand.NewPCG(1, 2)))
				if n := maxWithin(got.granted, span); float64(n) > 1.2*rate*span.Seconds()+4 {
					t.Errorf("%d permits within %v, want at most 1.2 times the limit plus 4", n, span)
				}
				if used := float64(len(got.granted)) / duration.Seconds(); used < 0.9*rate || rate == 0 && used < 0.4 {
					t.Errorf("%.2f permits per second, want at least 0.9 of the rate, or 0.4 at a rate of 0", used)
				}
				if requests := float64(got.requests) / duration.Seconds(); requests > max(1000, 8*rate) {
					t.Errorf("%.0f permit requests per second, want at most the larger of 1000 and 8 times the rate", requests)
				}
			})
		}
	}
}

func TestUrgentRequestsGetPermitsFirst(t *testing.T) {
	clients := make([]client, 6)
	for i := range clients {
		clients[i].level = i % 2
	}
	got := simulate(new(limit.Allocator), 6, 1, clients, 0, 60*time.Second, rand.New(rand.NewPCG(1, 2)))
	if n := len(got.granted); got.byLevel[0] < n*95/100 {
		t.Errorf("the more urgent half of the clients got %d of %d permits, want at least 0.95", got.byLevel[0], n)
	}
	// With one urgent request every two seconds, less urgent ones get the other permits.
	for i := range clients {
		clients[i] = client{level: 1}
	}
	clients[0].level = 0
	allocator := new(limit.Allocator)
	state := limit.State{Limited: true, Rate: 6, AsOf: start}
	urgent, other := 0, 0
	next := start
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(5 * time.Millisecond) {
		if !now.Before(next) {
			if a := allocator.Allocate(7, state, 1, 0, now, 0); a.Granted {
				urgent++
				next = now.Add(2 * time.Second)
			} else {
				next = now.Add(a.Wait)
			}
		}
		if allocator.Allocate(7, state, 1, 2, now, 0).Granted {
			other++
		}
	}
	if urgent < 13 || urgent+other < 160 {
		t.Errorf("%d permits for urgent requests and %d for others in 30 s at 6 per second, want at least 13, and 160 together", urgent, other)
	}
}

// An allocator without a share grants nothing, unless the endpoint has no limit.
func TestAllocatorWithoutShare(t *testing.T) {
	allocator := new(limit.Allocator)
	if a := allocator.Allocate(7, limit.State{Limited: true, Rate: 50, AsOf: start}, 0, 0, start.Add(time.Minute), 0); a.Granted || a.Wait != limit.NoShareWait {
		t.Errorf("decision without a share: %+v, want no permit and a wait of NoShareWait", a)
	}
	if a := allocator.Allocate(7, limit.State{AsOf: start.Add(time.Second)}, 0, 0, start.Add(time.Minute), 0); !a.Granted || a.State.Limited {
		t.Errorf("decision for an endpoint without a limit: %+v, want a permit and a State without a limit", a)
	}
}

// The allocator is in the endpoint's data centre if possible, doesn't depend on the order of the
// candidates, and changes only if it is removed itself.
func TestAllocatorOfIsConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := make([]limit.Candidate, rapid.IntRange(1, 18).Draw(t, "candidates"))
		for i := range all {
			all[i] = limit.Candidate{ID: uint64(i + 1), DataCentre: fmt.Sprint("dc", rapid.IntRange(0, 5).Draw(t, "data centre"))}
		}
		endpoint, dataCentre := rapid.Uint32().Draw(t, "endpoint"), fmt.Sprint("dc", rapid.IntRange(0, 5).Draw(t, "home"))
		first := all[limit.AllocatorOf(endpoint, dataCentre, all)]
		for _, c := range all {
			if c.DataCentre == dataCentre && first.DataCentre != dataCentre {
				t.Fatalf("%+v allocates a limit of %s although %+v is there", first, dataCentre, c)
			}
		}
		shuffled := rapid.Permutation(all).Draw(t, "order")
		if again := shuffled[limit.AllocatorOf(endpoint, dataCentre, shuffled)]; again != first {
			t.Fatalf("allocator is %+v in one order of candidates, %+v in another, want the same", first, again)
		}
		for i, c := range all {
			if c == first {
				continue
			}
			left := append(append([]limit.Candidate(nil), all[:i]...), all[i+1:]...)
			if again := left[limit.AllocatorOf(endpoint, dataCentre, left)]; again != first {
				t.Fatalf("without %+v the allocator is %+v, want %+v", c, again, first)
			}
		}
	})
	if limit.AllocatorOf(1, "a", nil) >= 0 {
		t.Error("AllocatorOf without candidates returns an index, want -1")
	}
}

func BenchmarkAsk(b *testing.B) {
	allocator := new(limit.Allocator)
	state := limit.State{Limited: true, Rate: 1.2, AsOf: start}
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		allocator.Allocate(uint32(i%690), state, 1, i%limit.Levels, now, 0.5)
	}
}
