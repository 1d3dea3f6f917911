package balance_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/balance"
	"ivyridge/belief"
	"ivyridge/limit"
)

// urgency is that of the requests.
const urgency = 0

// named has the endpoint that a request is placed at name a limit.
func (f *fixture) named(b *balance.Balancer, endpoint int, rate float64) {
	p := b.Place(f.endpoints[endpoint:endpoint+1], f.stream())
	p.Limits(rate)
	p.Done(balance.Served)
	f.now = f.now.Add(time.Millisecond)
}

// An endpoint that names a limit is chosen once a permit for it is in hand, and one permit is for
// one request.
func TestEndpointWithALimitNeedsAPermit(t *testing.T) {
	f := newFixture(1)
	b := f.balancer()
	f.named(b, 0, 1.2)
	p, refusal := b.Admit(f.endpoints, f.stream())
	if p != nil || refusal.Cause != balance.PermitWanted || refusal.Limited != f.endpoints[0] {
		t.Fatalf("got %+v, %+v", p, refusal)
	}
	endpoint, word, ok := b.WantPermit(refusal.Limited, urgency)
	if !ok || !word.Named || word.Rate != 1.2 {
		t.Fatalf("got %+v, %v", word, ok)
	}
	if _, _, again := b.WantPermit(refusal.Limited, urgency); again {
		t.Error("two requests ask for a permit at the same time")
	}
	b.TakePermit(endpoint, urgency, limit.Answer{Granted: true}, "a", f.now)
	p, refusal = b.Admit(f.endpoints, f.stream())
	if refusal != nil || !p.MaySend() {
		t.Fatalf("with a permit a request is refused: %+v", refusal)
	}
	if p.MaySend() {
		t.Error("a permit is used twice")
	}
	if _, refusal = b.Admit(f.endpoints, f.stream()); refusal == nil || refusal.Cause != balance.PermitWanted {
		t.Errorf("a second request got %+v", refusal)
	}
}

// Where it is denied, others are chosen at once; where there are none, callers are told when
// permits are asked for again, and later the more are refused.
func TestDeniedPermits(t *testing.T) {
	f := newFixture(2)
	b := f.balancer()
	f.named(b, 0, 1.2)
	endpoint, _, _ := b.WantPermit(f.endpoints[0], urgency)
	b.TakePermit(endpoint, urgency, limit.Answer{Wait: 700 * time.Millisecond}, "a", f.now)
	for range 10 {
		if p, refusal := b.Admit(f.endpoints, f.stream()); refusal != nil || p.Endpoint != f.endpoints[1] {
			t.Fatalf("got %+v", refusal)
		}
	}
	if got := b.Resting(f.stream()); len(got) != 1 || got[0] != endpoint {
		t.Errorf("asks of schedulers name %v as closed", got)
	}
	var longest time.Duration
	for range 100 {
		_, refusal := b.Admit(f.endpoints[:1], f.stream())
		if refusal == nil || refusal.Cause != balance.EndpointsLimited || refusal.Wait != 700*time.Millisecond || refusal.RetryAfter < refusal.Wait {
			t.Fatalf("got %+v", refusal)
		}
		longest = max(longest, refusal.RetryAfter)
	}
	if longest < 2*time.Second {
		t.Errorf("a hundred refused at 1.2 a second are told to come back within %v", longest)
	}
	f.now = f.now.Add(700 * time.Millisecond)
	if _, refusal := b.Admit(f.endpoints[:1], f.stream()); refusal == nil || refusal.Cause != balance.PermitWanted {
		t.Errorf("after the wait a request got %+v", refusal)
	}
}

// A permit that was denied to a less urgent request may be there for a more urgent one.
func TestUrgentRequestsAskAgain(t *testing.T) {
	f := newFixture(1)
	b := f.balancer()
	f.named(b, 0, 1.2)
	endpoint, _, _ := b.WantPermit(f.endpoints[0], 4)
	b.TakePermit(endpoint, 4, limit.Answer{Wait: time.Second}, "a", f.now)
	if _, refusal := b.Admit(f.endpoints, f.long(9)); refusal == nil || refusal.Cause != balance.EndpointsLimited {
		t.Errorf("a less urgent request got %+v", refusal)
	}
	if _, refusal := b.Admit(f.endpoints, f.stream()); refusal == nil || refusal.Cause != balance.PermitWanted {
		t.Errorf("a more urgent request got %+v", refusal)
	}
}

// A limit that is named while a request is on its way to the endpoint holds for it; a permit that is
// not used goes to the next request, and none holds for long.
func TestPermitsAreKeptAndLapse(t *testing.T) {
	f := newFixture(1)
	b := f.balancer()
	early, _ := b.Admit(f.endpoints, f.stream())
	f.named(b, 0, 1.2)
	if early.MaySend() {
		t.Error("a request leaves without a permit")
	}
	endpoint, _, _ := b.WantPermit(f.endpoints[0], urgency)
	b.TakePermit(endpoint, urgency, limit.Answer{Granted: true}, "a", f.now)
	p, _ := b.Admit(f.endpoints, f.stream())
	p.Done(balance.Unknown) // its connection failed
	p, refusal := b.Admit(f.endpoints, f.stream())
	if refusal != nil {
		t.Fatalf("a permit that was not used is lost: %+v", refusal)
	}
	f.now = f.now.Add(time.Second)
	if p.MaySend() {
		t.Error("a permit holds for a second")
	}
}

// Only an answer to a request that was sent since the limit was named ends it.
func TestLimitIsOver(t *testing.T) {
	f := newFixture(1)
	b := f.balancer()
	early, _ := b.Admit(f.endpoints, f.stream())
	f.now = f.now.Add(time.Millisecond)
	f.named(b, 0, 1.2)
	if early.Unlimited() {
		t.Error("an answer that may be older ends a limit")
	}
	endpoint, _, _ := b.WantPermit(f.endpoints[0], urgency)
	b.TakePermit(endpoint, urgency, limit.Answer{Granted: true}, "a", f.now)
	p, _ := b.Admit(f.endpoints, f.stream())
	f.now = f.now.Add(2 * time.Second)
	if !p.Unlimited() {
		t.Error("an answer without a limit does not end it")
	}
	if _, refusal := b.Admit(f.endpoints, f.stream()); refusal != nil {
		t.Errorf("after a limit a request got %+v", refusal)
	}
}

// What one instance heard all know, also that it is over.
func TestLimitsAreTold(t *testing.T) {
	f := newFixture(1)
	b, other := f.balancer(), f.balancer()
	other.Place(f.endpoints, f.stream()).Done(balance.Served)
	f.named(b, 0, 1.2)
	tell := func() {
		reports, _ := b.Reports(true, 0)
		other.Merge(1, nil, reports, true)
	}
	tell()
	if _, refusal := other.Admit(f.endpoints, f.stream()); refusal == nil || refusal.Cause != balance.PermitWanted {
		t.Errorf("another instance got %+v", refusal)
	}
	if sums, _ := other.Sums(func(uint64) bool { return true }, true, 0); len(sums) != 1 || !sums[0].Limit.Named {
		t.Errorf("it passes on %+v", sums)
	}
	endpoint, _, _ := b.WantPermit(f.endpoints[0], urgency)
	b.TakePermit(endpoint, urgency, limit.Answer{Granted: true}, "a", f.now)
	f.now = f.now.Add(400 * time.Millisecond)
	p, _ := b.Admit(f.endpoints, f.stream())
	p.Unlimited()
	f.now = f.now.Add(time.Second)
	p, _ = b.Admit(f.endpoints, f.stream()) // what is told counts as older than it is
	p.Unlimited()
	tell()
	if _, refusal := other.Admit(f.endpoints, f.stream()); refusal != nil {
		t.Errorf("after the limit another instance got %+v", refusal)
	}
}

// A limit is that of a process: one that starts anew under the ID has named none, unless the birth
// was only not known yet.
func TestLimitOfAProcess(t *testing.T) {
	f := newFixture(1)
	b := f.balancer()
	f.named(b, 0, 1.2)
	listed := *f.endpoints[0]
	listed.Born = 1000
	known := []*belief.Endpoint{&listed}
	if _, refusal := b.Admit(known, f.stream()); refusal == nil || refusal.Cause != balance.PermitWanted {
		t.Errorf("once the birth is known a request got %+v", refusal)
	}
	f.now = f.now.Add(time.Minute)
	anew := listed
	anew.Born = 61000
	if _, refusal := b.Admit([]*belief.Endpoint{&anew}, f.stream()); refusal != nil {
		t.Errorf("at a process that has started anew a request got %+v", refusal)
	}
}

// A scheduler chooses an endpoint that names a limit for another instance, which asks for a permit
// itself; and parts of prompts are not fetched from such endpoints.
func TestGrantsOfLimitedEndpoints(t *testing.T) {
	f := newFixture(1)
	scheduler, asks := f.balancer(), f.balancer()
	asks.Place(f.endpoints, f.stream()).Done(balance.Served)
	f.named(asks, 0, 1.2)
	c := scheduler.Grant(7, f.endpoints, f.stream())
	p, refusal := asks.Adopt(c, f.endpoints, f.stream())
	if p != nil || refusal == nil || refusal.Cause != balance.PermitWanted {
		t.Fatalf("got %+v, %+v", p, refusal)
	}
	endpoint, _, _ := asks.WantPermit(f.endpoints[0], urgency)
	asks.TakePermit(endpoint, urgency, limit.Answer{Granted: true}, "a", f.now)
	if p, _ = asks.Adopt(c, f.endpoints, f.stream()); p == nil || !p.MaySend() {
		t.Error("with a permit a grant is not taken")
	}
	if p, refusal = asks.Adopt(c, f.endpoints, &balance.Demand{Service: f.stream().Service, Permitted: true}); p != nil || refusal != nil {
		t.Errorf("one that asks no more got %+v, %+v", p, refusal)
	}
}

// Over drawn requests, permits, waits and words of other instances, no request leaves for an endpoint
// that names a limit without a permit of its own that is younger than half a second.
func TestNoRequestLeavesWithoutPermit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(3)
		b := f.balancer()
		var placed []*balance.Placement
		granted := make(map[uint32][]time.Time)
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1:
				p, refusal := b.Admit(f.endpoints, f.stream())
				if p != nil {
					placed = append(placed, p)
				} else if refusal != nil && refusal.Cause == balance.PermitWanted {
					if endpoint, _, ok := b.WantPermit(refusal.Limited, urgency); ok {
						answer := limit.Answer{Granted: rapid.Bool().Draw(rt, "granted"), Wait: time.Duration(rapid.IntRange(1, 500).Draw(rt, "wait")) * time.Millisecond}
						b.TakePermit(endpoint, urgency, answer, "a", f.now)
						if answer.Granted {
							granted[endpoint] = append(granted[endpoint], f.now)
						}
					}
				}
			case 2:
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(rt, "ms")) * time.Millisecond)
			case 3:
				if len(placed) > 0 {
					placed[0].Limits(rapid.Float64Range(0, 10).Draw(rt, "rate"))
				}
			default:
				if len(placed) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(placed)-1).Draw(rt, "which")
				p := placed[i]
				placed = append(placed[:i], placed[i+1:]...)
				endpoint := balance.EndpointHash(p.Endpoint.Incarnation())
				_, _, _, limited := p.Limit()
				if p.MaySend() && limited {
					all := granted[endpoint]
					for len(all) > 0 && f.now.Sub(all[0]) > 500*time.Millisecond {
						all = all[1:]
					}
					if len(all) == 0 {
						rt.Fatalf("a request leaves for %s without a permit", p.Endpoint.ID)
					}
					granted[endpoint] = all[1:]
				}
				p.Done(balance.Unknown)
			}
		}
	})
}
