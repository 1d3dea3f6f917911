package memory_test

import (
	"sync"
	"testing"

	"pgregory.net/rapid"

	"ivyridge/memory"
)

const mb = 1 << 20

// As memory fills up, requests are refused by priority, and before that those of a large team.
func TestAdmission(t *testing.T) {
	for _, c := range []struct {
		name     string
		used     int64
		team     uint64
		teamHeld int64
		priority int
		want     memory.Cause
	}{
		{"low use", 10, 1, 0, 9, ""},
		{"large team, low use", 10, 1, 30, 9, ""},
		{"large team, medium use", 55, 1, 30, 0, memory.TeamOverLimit},
		{"sole team", 55, 1, 55, 0, ""},
		{"other team, medium use", 55, 2, 0, 0, ""},
		{"no team, medium use", 55, 0, 0, 0, ""},
		{"lowest priority", 76, 2, 0, 3, memory.OverLimit},
		{"second lowest priority", 76, 2, 0, 2, ""},
		{"second highest priority", 86, 2, 0, 1, memory.OverLimit},
		{"highest priority", 86, 2, 0, 0, ""},
		{"highest priority, full", 91, 2, 0, 0, memory.OverLimit},
	} {
		a := memory.New(100 * mb * 100 / 85) // 0.15 of the limit is reserved for Buffered
		if a.Reserve(memory.Buffered, 17*mb) == nil {
			t.Fatalf("%s: setup: Buffered memory of 17 MB refused", c.name)
		}
		if c.teamHeld > 0 {
			if r, cause := a.Admit(1, 0, c.teamHeld*mb); r == nil {
				t.Fatalf("%s: setup: first request of the team refused with cause %s", c.name, cause)
			}
		}
		if c.used > c.teamHeld { // held by another team
			r, _ := a.Admit(7, 0, mb)
			if r == nil || !r.Grow(memory.Bodies, (c.used-c.teamHeld-1)*mb) {
				t.Fatalf("%s: setup: request or memory of another team refused", c.name)
			}
		}
		if _, got := a.Admit(c.team, c.priority, mb/10); got != c.want {
			t.Errorf("%s: Admit returned cause %q, want %q", c.name, got, c.want)
		}
	}
}

// A team that is alone leaves room for a request of another team.
func TestSoleTeamLeavesRoom(t *testing.T) {
	a := memory.New(100 * mb)
	for n := 0; ; n++ {
		if r, _ := a.Admit(1, 0, mb); r == nil {
			break
		}
		if n > 100 {
			t.Fatal("no request of the team is refused")
		}
	}
	if _, cause := a.Admit(2, 0, mb); cause != "" {
		t.Errorf("the first request of another team is refused: %s", cause)
	}
}

// Heads take a quarter of the limit at most, and leave the rest to requests.
func TestHeadsLeaveRoom(t *testing.T) {
	a := memory.New(100 * mb)
	heads := a.Reserve(memory.Connections, 0)
	if !heads.Grow(memory.Heads, 25*mb) {
		t.Fatal("a quarter of the limit refused to heads")
	}
	if heads.Grow(memory.Heads, 1) {
		t.Error("more than a quarter of the limit granted to heads")
	}
	if r, cause := a.Admit(1, 3, 30*mb); r == nil {
		t.Errorf("request refused beside heads: %s", cause)
	}
	heads.Shrink(memory.Heads, mb)
	if !heads.Grow(memory.Heads, mb) {
		t.Error("memory released by heads refused")
	}
}

// Long heads and events of endpoints take a quarter of the limit at most.
func TestResponsesLeaveRoom(t *testing.T) {
	a := memory.New(100 * mb)
	responses, _ := a.Admit(1, 0, 0)
	if !responses.Grow(memory.Responses, 25*mb) {
		t.Fatal("a quarter of the limit refused to responses")
	}
	if responses.Grow(memory.Responses, 1) {
		t.Error("more than a quarter of the limit granted to responses")
	}
	if r, cause := a.Admit(2, 3, 30*mb); r == nil {
		t.Errorf("request refused beside responses: %s", cause)
	}
}

// In any sequence of operations the limit is not exceeded, and closing all reservations frees all
// memory.
func TestAccountStatsAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1000).Draw(t, "limit")
		a := memory.New(limit)
		var open []*memory.Reservation
		held := make(map[*memory.Reservation][8]int64)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			n := rapid.Int64Range(0, 200).Draw(t, "n")
			switch step := rapid.IntRange(0, 5).Draw(t, "step"); {
			case step == 0:
				if r, _ := a.Admit(rapid.Uint64Range(0, 3).Draw(t, "team"), rapid.IntRange(-1, 5).Draw(t, "priority"), n); r != nil {
					open = append(open, r)
					held[r] = [8]int64{memory.Requests: n}
				}
			case len(open) == 0:
			case step == 1:
				at := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				open[at].Close()
				open[at].Close() // has no effect
				delete(held, open[at])
				open = append(open[:at], open[at+1:]...)
			default:
				r := open[rapid.IntRange(0, len(open)-1).Draw(t, "which")]
				k := memory.Kind(rapid.IntRange(0, 7).Draw(t, "kind"))
				sums := held[r]
				if step < 4 && r.Grow(k, n) {
					sums[k] += n
				} else if step >= 4 {
					n = min(n, sums[k])
					r.Shrink(k, n)
					sums[k] -= n
				}
				held[r] = sums
			}
			checkStats(t, a, held)
		}
		for _, r := range open {
			r.Close()
		}
		if s := a.Stats(); s.Used != 0 || s.Teams != 0 {
			t.Fatalf("after closing all reservations: %+v, want no memory in use and no teams", s)
		}
	})
}

func checkStats(t *rapid.T, a *memory.Account, held map[*memory.Reservation][8]int64) {
	s := a.Stats()
	var want, kinds int64
	for _, sums := range held {
		for _, n := range sums {
			want += n
		}
	}
	for _, n := range s.Held {
		kinds += n
	}
	if s.Used != want || kinds != want || s.Used > s.Limit {
		t.Fatalf("%d bytes used, %d by kind, want %d for both, within the limit of %d", s.Used, kinds, want, s.Limit)
	}
}

func TestConcurrentUseStaysWithinLimit(t *testing.T) {
	a := memory.New(1000)
	var wg sync.WaitGroup
	for n := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 2000 {
				r, _ := a.Admit(uint64(n%3), n%4, int64(i%90))
				if r == nil {
					continue
				}
				r.Grow(memory.Buffered, int64(i%200))
				r.Close()
			}
		}()
	}
	wg.Wait()
	if s := a.Stats(); s.Peak > s.Limit || s.Used != 0 || s.Teams != 0 {
		t.Errorf("at the end: %+v, want the peak within the limit, no memory in use and no teams", s)
	}
}
