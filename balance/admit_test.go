package balance_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/balance"
)

func (f *fixture) shortRequest(priority int) *balance.Demand {
	d := f.stream()
	d.Priority = priority
	return d
}

// placeLong places n long prompts without common session parts.
func (f *fixture) placeLong(b *balance.Balancer, n uint64) {
	for part := range n {
		b.Place(f.endpoints, f.long(1000+part))
	}
}

// admit admits n requests and returns how many were refused.
func admit(t *testing.T, f *fixture, b *balance.Balancer, n int, demand func() *balance.Demand) (refused int) {
	t.Helper()
	for range n {
		p, refusal := b.Admit(f.endpoints, demand())
		switch {
		case p != nil && refusal != nil, p == nil && refusal == nil:
			t.Fatalf("got placement %+v and refusal %+v, want exactly one", p, refusal)
		case refusal != nil:
			refused++
			if refusal.RetryAfter < 300*time.Millisecond || refusal.RetryAfter > time.Minute {
				t.Fatalf("retry after %s, want 300ms to 1m", refusal.RetryAfter)
			}
		}
	}
	return refused
}

func TestIdleEnginesRefuseNothing(t *testing.T) {
	f := newFixture(3)
	b := f.balancer()
	long := f.long(1)
	long.Prompt = 90_000 // misses its objective at any endpoint
	long.Parts = nil
	for _, d := range []*balance.Demand{long, f.shortRequest(0), f.shortRequest(1), f.shortRequest(2)} {
		p, refusal := b.Admit(f.endpoints, d)
		if refusal != nil {
			t.Fatalf("request to idle engines got refusal %+v, want none", refusal)
		}
		p.RecordFirstEvent(time.Millisecond)
		p.Done(balance.Served)
		f.now = f.now.Add(10 * time.Second)
	}
}

// Under overload requests are refused, and admitted ones still start in time.
func TestOverloadIsRefused(t *testing.T) {
	f := newFixture(4)
	b := f.balancer()
	part := uint64(0)
	refused := admit(t, f, b, 200, func() *balance.Demand {
		part++
		return f.long(1000 + part)
	})
	if refused < 100 || refused > 190 {
		t.Errorf("four engines refused %d of 200 concurrent long prompts, want 100 to 190", refused)
	}
	if p := b.Place(f.endpoints, f.long(5)); p.Backlog > 1500*time.Millisecond {
		t.Errorf("backlog of %s at the best engine, want at most 1.5s", p.Backlog)
	}
}

func TestLessUrgentRequestsYield(t *testing.T) {
	f := newFixture(2)
	b := f.balancer()
	urgent := func() *balance.Demand { return f.shortRequest(0) }
	// Streams fill all slots, and some wait for one.
	for refused := 0; refused == 0; {
		refused = admit(t, f, b, 1, urgent)
	}
	later := admit(t, f, b, 50, func() *balance.Demand {
		d := f.shortRequest(2)
		d.Objective = 10 * time.Second // would be met even after the wait
		return d
	})
	if later != 50 {
		t.Errorf("%d of 50 less urgent requests refused while urgent ones are, want all", later)
	}
}

// Engines schedule urgent requests first, so slots held by less urgent ones do not delay them.
func TestLessUrgentSlotsDoNotHoldUrgentRequests(t *testing.T) {
	f := newFixture(2)
	b := f.balancer()
	var placed []*balance.Placement
	for range 150 {
		placed = append(placed, b.Place(f.endpoints, f.shortRequest(2)))
	}
	for _, p := range placed {
		p.RecordFirstEvent(10 * time.Millisecond) // prefill of all prompts is done
	}
	f.now = f.now.Add(time.Second)
	if refused := admit(t, f, b, 5, func() *balance.Demand { return f.shortRequest(0) }); refused != 0 {
		t.Errorf("%d of 5 urgent requests refused while less urgent ones hold the slots, want 0", refused)
	}
	if refused := admit(t, f, b, 5, func() *balance.Demand { return f.shortRequest(2) }); refused != 5 {
		t.Errorf("%d of 5 requests refused behind 150 of the same urgency in 128 slots, want all", refused)
	}
}

func TestSentRequestsAreNotRefused(t *testing.T) {
	f := newFixture(1)
	b := f.balancer()
	f.placeLong(b, 100)
	if _, refusal := b.Admit(f.endpoints, f.long(8)); refusal == nil {
		t.Fatal("request admitted behind 100 long prompts")
	}
	d := f.long(8)
	d.Sent = true
	if p, refusal := b.Admit(f.endpoints, d); p == nil {
		t.Errorf("request that was already sent got refusal %+v, want none", refusal)
	}
}

func TestRetryTimesAreSpread(t *testing.T) {
	f := newFixture(1)
	b := f.balancer()
	f.placeLong(b, 200)
	var least, most time.Duration
	for range 100 {
		_, refusal := b.Admit(f.endpoints, f.long(8))
		if refusal == nil {
			t.Fatal("request admitted behind 200 long prompts")
		}
		if least == 0 || refusal.RetryAfter < least {
			least = refusal.RetryAfter
		}
		most = max(most, refusal.RetryAfter)
	}
	if most-least < 500*time.Millisecond {
		t.Errorf("retry times of 100 callers range from %s to %s, want a spread of at least 500ms", least, most)
	}
}

// Nothing is refused while nothing is queued and less than half of the slots are in use. If some
// engines are full instead, requests may yield to more urgent ones that will need the free slots.
func TestNothingIsRefusedWhileNothingWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(rapid.IntRange(2, 6).Draw(t, "engines"))
		b := f.balancer()
		var running []*balance.Placement
		for range rapid.IntRange(0, 300).Draw(t, "placed") {
			d := f.shortRequest(rapid.IntRange(0, 2).Draw(t, "level"))
			d.Prompt = rapid.IntRange(100, 12_000).Draw(t, "prompt")
			if p, _ := b.Admit(f.endpoints, d); p != nil {
				running = append(running, p)
			}
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond)
		}
		f.now = f.now.Add(time.Duration(rapid.IntRange(10, 500).Draw(t, "later")) * time.Millisecond)
		for i, p := range running {
			p.RecordFirstEvent(100 * time.Millisecond) // prefill is done
			if i >= 32*len(f.endpoints)-1 {
				p.Done(balance.Served)
			}
		}
		f.now = f.now.Add(100 * time.Millisecond) // reports of others have arrived
		if p, refusal := b.Admit(f.endpoints, f.shortRequest(rapid.IntRange(0, 2).Draw(t, "level"))); p == nil {
			t.Fatalf("got refusal %+v with %d engines that have nothing queued, want none", refusal, len(f.endpoints))
		}
	})
}
