package balance_test

import (
	"testing"
	"time"

	"ivyridge/balance"
)

// Guards against confining prompts with a popular first part to the few engines that cache it.
func TestPopularPartUsesAllEngines(t *testing.T) {
	f := newFixture(20)
	b := f.balancer()
	used := make(map[string]int)
	var running []*balance.Placement
	for i := range 3000 {
		f.now = f.now.Add(10 * time.Millisecond) // prefill load of eight engines
		p := b.Place(f.endpoints, f.long(uint64(100+i)))
		used[p.Endpoint.ID]++
		running = append(running, p)
		if len(running) > 60 {
			running[0].Done(balance.Served)
			running = running[1:]
		}
	}
	busiest := 0
	for _, n := range used {
		busiest = max(busiest, n)
	}
	if len(used) < 17 || busiest > 200 {
		t.Errorf("%d of 20 engines used for 3000 requests, %d at the busiest, want at least 17 and at most 200: %v", len(used), busiest, used)
	}
}

func TestRarePartStaysAtOneEngine(t *testing.T) {
	f := newFixture(20)
	b := f.balancer()
	used := make(map[string]int)
	for range 50 {
		f.now = f.now.Add(500 * time.Millisecond)
		p := b.Place(f.endpoints, f.long(100))
		used[p.Endpoint.ID]++
		p.Done(balance.Served)
	}
	if len(used) > 1 {
		t.Errorf("prompts of one session by engine: %v, want all at one", used)
	}
}
