package balance_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/balance"
)

// level returns the demand of a short request for a model of an urgency.
func (f *fixture) level(priority int) *balance.Demand {
	d := f.stream()
	d.Priority = priority
	return d
}

// crowd places n long prompts that share no part of their own.
func (f *fixture) crowd(b *balance.Balancer, n uint64) {
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
			t.Fatalf("got %+v and %+v", p, refusal)
		case refusal != nil:
			refused++
			if refusal.RetryAfter < 300*time.Millisecond || refusal.RetryAfter > time.Minute {
				t.Fatalf("told to come back in %s", refusal.RetryAfter)
			}
		}
	}
	return refused
}

func TestNothingIsRefusedWhereNothingWaits(t *testing.T) {
	f := newFixture(3)
	b := f.balancer()
	long := f.long(1)
	long.Prompt = 90_000 // takes longer than its objective wherever it is read
	long.Parts = nil
	for _, d := range []*balance.Demand{long, f.level(0), f.level(1), f.level(2)} {
		p, refusal := b.Admit(f.endpoints, d)
		if refusal != nil {
			t.Fatalf("refused at idle engines: %+v", refusal)
		}
		p.First(time.Millisecond)
		p.Done(balance.Served)
		f.now = f.now.Add(10 * time.Second)
	}
}

// Beyond what the engines can begin in time, requests are refused, and those
// that are admitted still begin in time.
func TestDemandBeyondTheEnginesIsRefused(t *testing.T) {
	f := newFixture(4)
	b := f.balancer()
	part := uint64(0)
	refused := admit(t, f, b, 200, func() *balance.Demand {
		part++
		return f.long(1000 + part)
	})
	if refused < 100 || refused > 190 {
		t.Errorf("%d of 200 long prompts at once refused by four engines", refused)
	}
	if p := b.Place(f.endpoints, f.long(5)); p.Backlog > 1500*time.Millisecond {
		t.Errorf("%s wait at the best engine; the objective is 1.2 s", p.Backlog)
	}
}

func TestLessUrgentRequestsGiveWay(t *testing.T) {
	f := newFixture(2)
	b := f.balancer()
	urgent := func() *balance.Demand { return f.level(0) }
	// Streams hold all the slots, and some more wait for one.
	for refused := 0; refused == 0; {
		refused = admit(t, f, b, 1, urgent)
	}
	later := admit(t, f, b, 50, func() *balance.Demand {
		d := f.level(2)
		d.Objective = 10 * time.Second // that would be met after all
		return d
	})
	if later != 50 {
		t.Errorf("%d of 50 less urgent requests refused while urgent ones are", later)
	}
}

// Urgent requests do not wait for slots that less urgent ones hold: they go
// first there.
func TestLessUrgentSlotsDoNotHoldUrgentRequests(t *testing.T) {
	f := newFixture(2)
	b := f.balancer()
	var placed []*balance.Placement
	for range 150 {
		placed = append(placed, b.Place(f.endpoints, f.level(2)))
	}
	for _, p := range placed {
		p.First(10 * time.Millisecond) // all prompts are read
	}
	f.now = f.now.Add(time.Second)
	if refused := admit(t, f, b, 5, func() *balance.Demand { return f.level(0) }); refused != 0 {
		t.Errorf("%d of 5 urgent requests refused for slots that less urgent ones hold", refused)
	}
	if refused := admit(t, f, b, 5, func() *balance.Demand { return f.level(2) }); refused != 5 {
		t.Errorf("%d of 5 requests refused behind 150 of their own urgency in 128 slots", refused)
	}
}

// What has been sent to an engine is not refused any more.
func TestSentRequestsAreNotRefused(t *testing.T) {
	f := newFixture(1)
	b := f.balancer()
	f.crowd(b, 100)
	if _, refusal := b.Admit(f.endpoints, f.long(8)); refusal == nil {
		t.Fatal("admitted behind 100 prompts")
	}
	d := f.long(8)
	d.Sent = true
	if p, refusal := b.Admit(f.endpoints, d); p == nil {
		t.Errorf("a request that an engine has had is refused: %+v", refusal)
	}
}

// Refused callers are told different times, so that they don't come back at once
// together.
func TestCallersComeBackSpread(t *testing.T) {
	f := newFixture(1)
	b := f.balancer()
	f.crowd(b, 200)
	var least, most time.Duration
	for range 100 {
		_, refusal := b.Admit(f.endpoints, f.long(8))
		if refusal == nil {
			t.Fatal("admitted behind 200 prompts")
		}
		if least == 0 || refusal.RetryAfter < least {
			least = refusal.RetryAfter
		}
		most = max(most, refusal.RetryAfter)
	}
	if most-least < 500*time.Millisecond {
		t.Errorf("100 callers are told to come back between %s and %s", least, most)
	}
}

// However much was refused before, nothing is once nothing waits and under half of the
// slots are taken. (While some engines are full and one rests, requests give way to more
// urgent ones all the same: the slot that one takes now is held when these need it.)
func TestNothingIsRefusedWhileNothingWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(rapid.IntRange(2, 6).Draw(t, "engines"))
		b := f.balancer()
		var running []*balance.Placement
		for range rapid.IntRange(0, 300).Draw(t, "placed") {
			d := f.level(rapid.IntRange(0, 2).Draw(t, "level"))
			d.Prompt = rapid.IntRange(100, 12_000).Draw(t, "prompt")
			if p, _ := b.Admit(f.endpoints, d); p != nil {
				running = append(running, p)
			}
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond)
		}
		f.now = f.now.Add(time.Duration(rapid.IntRange(10, 500).Draw(t, "later")) * time.Millisecond)
		for i, p := range running {
			p.First(100 * time.Millisecond) // its prompt is read
			if i >= 32*len(f.endpoints)-1 {
				p.Done(balance.Served)
			}
		}
		f.now = f.now.Add(100 * time.Millisecond) // what others told late has come
		if p, refusal := b.Admit(f.endpoints, f.level(rapid.IntRange(0, 2).Draw(t, "level"))); p == nil {
			t.Fatalf("refused (%+v) with %d engines", refusal, len(f.endpoints))
		}
	})
}
