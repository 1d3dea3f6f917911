package balance_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/balance"
	"ivyridge/discovery"
	"ivyridge/limit"
)

// urgency of the requests in these tests.
const urgency = 0

func (f *fixture) announceLimit(b *balance.Balancer, endpoint int, rate float64) {
	p := b.Place(f.endpoints[endpoint:endpoint+1], f.stream())
	p.RecordLimit(rate)
	p.Done(balance.Served)
	f.now = f.now.Add(time.Millisecond)
}

// An endpoint with a rate limit is chosen only with a permit, and each permit is for one request.
func TestLimitedEndpointNeedsAPermit(t *testing.T) {
	f := newFixture(1)
	b := f.balancer()
	f.announceLimit(b, 0, 1.2)
	p, refusal := b.Admit(f.endpoints, f.stream())
	if p != nil || refusal.Cause != balance.PermitWanted || refusal.Limited != f.endpoints[0] {
		t.Fatalf("got %+v, %+v, want refusal with cause PermitWanted", p, refusal)
	}
	endpoint, known, ok := b.BeginPermitRequest(refusal.Limited, urgency)
	if !ok || !known.Limited || known.Rate != 1.2 {
		t.Fatalf("BeginPermitRequest returned limit %+v, ok %v, want a limit of 1.2 and true", known, ok)
	}
	if _, _, again := b.BeginPermitRequest(refusal.Limited, urgency); again {
		t.Error("BeginPermitRequest allows a second request while one is in flight")
	}
	b.EndPermitRequest(endpoint, urgency, limit.Decision{Granted: true}, "a", f.now)
	p, refusal = b.Admit(f.endpoints, f.stream())
	if refusal != nil || !p.MaySend() {
		t.Fatalf("request got refusal %+v while a permit is held, want none", refusal)
	}
	if p.MaySend() {
		t.Error("request may be sent a second time with one permit")
	}
	if _, refusal = b.Admit(f.endpoints, f.stream()); refusal == nil || refusal.Cause != balance.PermitWanted {
		t.Errorf("second request got %+v, want cause PermitWanted", refusal)
	}
}

// After a denial other endpoints are chosen. If there are none, retry times grow with the refusals.
func TestDeniedPermits(t *testing.T) {
	f := newFixture(2)
	b := f.balancer()
	f.announceLimit(b, 0, 1.2)
	endpoint, _, _ := b.BeginPermitRequest(f.endpoints[0], urgency)
	b.EndPermitRequest(endpoint, urgency, limit.Decision{Wait: 700 * time.Millisecond}, "a", f.now)
	for range 10 {
		if p, refusal := b.Admit(f.endpoints, f.stream()); refusal != nil || p.Endpoint != f.endpoints[1] {
			t.Fatalf("got refusal %+v, want a placement at the endpoint without a limit", refusal)
		}
	}
	if got := b.ClosedEndpoints(f.stream()); len(got) != 1 || got[0] != endpoint {
		t.Errorf("ClosedEndpoints() = %v, want the closed endpoint", got)
	}
	var longest time.Duration
	for range 100 {
		_, refusal := b.Admit(f.endpoints[:1], f.stream())
		if refusal == nil || refusal.Cause != balance.EndpointsLimited || refusal.Wait != 700*time.Millisecond || refusal.RetryAfter < refusal.Wait {
			t.Fatalf("got %+v, want cause EndpointsLimited, a wait of 700ms and no earlier retry", refusal)
		}
		longest = max(longest, refusal.RetryAfter)
	}
	if longest < 2*time.Second {
		t.Errorf("a hundred refused callers are told to retry within %v, want at least 2s", longest)
	}
	f.now = f.now.Add(700 * time.Millisecond)
	if _, refusal := b.Admit(f.endpoints[:1], f.stream()); refusal == nil || refusal.Cause != balance.PermitWanted {
		t.Errorf("after the wait a request got %+v, want cause PermitWanted", refusal)
	}
}

// A denial to a less urgent request does not block permit requests of more urgent ones.
func TestUrgentRequestsMayAskAfterDenial(t *testing.T) {
	f := newFixture(1)
	b := f.balancer()
	f.announceLimit(b, 0, 1.2)
	endpoint, _, _ := b.BeginPermitRequest(f.endpoints[0], 4)
	b.EndPermitRequest(endpoint, 4, limit.Decision{Wait: time.Second}, "a", f.now)
	if _, refusal := b.Admit(f.endpoints, f.long(9)); refusal == nil || refusal.Cause != balance.EndpointsLimited {
		t.Errorf("less urgent request got %+v, want cause EndpointsLimited", refusal)
	}
	if _, refusal := b.Admit(f.endpoints, f.stream()); refusal == nil || refusal.Cause != balance.PermitWanted {
		t.Errorf("more urgent request got %+v, want cause PermitWanted", refusal)
	}
}

// A limit applies to placed requests too, and an unused permit passes to the next request.
func TestPermitsAreReturnedAndExpire(t *testing.T) {
	f := newFixture(1)
	b := f.balancer()
	early, _ := b.Admit(f.endpoints, f.stream())
	f.announceLimit(b, 0, 1.2)
	if early.MaySend() {
		t.Error("request placed before the limit was announced may be sent without a permit")
	}
	endpoint, _, _ := b.BeginPermitRequest(f.endpoints[0], urgency)
	b.EndPermitRequest(endpoint, urgency, limit.Decision{Granted: true}, "a", f.now)
	p, _ := b.Admit(f.endpoints, f.stream())
	p.Done(balance.Unknown) // connection failed
	p, refusal := b.Admit(f.endpoints, f.stream())
	if refusal != nil {
		t.Fatalf("request got refusal %+v, want the unused permit of an earlier request", refusal)
	}
	f.now = f.now.Add(time.Second)
	if p.MaySend() {
		t.Error("request may be sent with a permit that is a second old")
	}
}

// A limit is lifted only by a response to a request sent after the limit was announced.
func TestLimitIsLifted(t *testing.T) {
	f := newFixture(1)
	b := f.balancer()
	early, _ := b.Admit(f.endpoints, f.stream())
	f.now = f.now.Add(time.Millisecond)
	f.announceLimit(b, 0, 1.2)
	if early.RecordNoLimit() {
		t.Error("response that may predate the limit lifts it")
	}
	endpoint, _, _ := b.BeginPermitRequest(f.endpoints[0], urgency)
	b.EndPermitRequest(endpoint, urgency, limit.Decision{Granted: true}, "a", f.now)
	p, _ := b.Admit(f.endpoints, f.stream())
	f.now = f.now.Add(2 * time.Second)
	if !p.RecordNoLimit() {
		t.Error("response without a limit does not lift it")
	}
	if _, refusal := b.Admit(f.endpoints, f.stream()); refusal != nil {
		t.Errorf("request refused after the limit was lifted: %+v", refusal)
	}
}

func TestLimitsAreReported(t *testing.T) {
	f := newFixture(1)
	b, other := f.balancer(), f.balancer()
	other.Place(f.endpoints, f.stream()).Done(balance.Served)
	f.announceLimit(b, 0, 1.2)
	report := func() {
		reports, _ := b.Reports(true, 0)
		other.Merge(1, nil, reports, true)
	}
	report()
	if _, refusal := other.Admit(f.endpoints, f.stream()); refusal == nil || refusal.Cause != balance.PermitWanted {
		t.Errorf("another instance got %+v, want cause PermitWanted", refusal)
	}
	if sums, _ := other.AggregateReports(func(uint64) bool { return true }, true, 0); len(sums) != 1 || !sums[0].Limit.Limited {
		t.Errorf("sums %+v, want one with the limit", sums)
	}
	endpoint, _, _ := b.BeginPermitRequest(f.endpoints[0], urgency)
	b.EndPermitRequest(endpoint, urgency, limit.Decision{Granted: true}, "a", f.now)
	f.now = f.now.Add(400 * time.Millisecond)
	p, _ := b.Admit(f.endpoints, f.stream())
	p.RecordNoLimit()
	f.now = f.now.Add(time.Second)
	p, _ = b.Admit(f.endpoints, f.stream()) // reported limits count as older than they are
	p.RecordNoLimit()
	report()
	if _, refusal := other.Admit(f.endpoints, f.stream()); refusal != nil {
		t.Errorf("request refused after the limit was lifted: %+v", refusal)
	}
}

// A restarted process has no limit, unless it may be the same one with its start time now known.
func TestLimitAppliesToOneProcess(t *testing.T) {
	f := newFixture(1)
	b := f.balancer()
	f.announceLimit(b, 0, 1.2)
	listed := *f.endpoints[0]
	listed.Born = 1000
	known := []*discovery.Endpoint{&listed}
	if _, refusal := b.Admit(known, f.stream()); refusal == nil || refusal.Cause != balance.PermitWanted {
		t.Errorf("request got %+v once the start time is known, want cause PermitWanted", refusal)
	}
	f.now = f.now.Add(time.Minute)
	restarted := listed
	restarted.Born = 61000
	if _, refusal := b.Admit([]*discovery.Endpoint{&restarted}, f.stream()); refusal != nil {
		t.Errorf("request to a restarted process got refusal %+v, want none", refusal)
	}
}

// The instance that accepts a grant of an endpoint with a limit requests the permit.
func TestGrantsOfLimitedEndpoints(t *testing.T) {
	f := newFixture(1)
	scheduler, instance := f.balancer(), f.balancer()
	instance.Place(f.endpoints, f.stream()).Done(balance.Served)
	f.announceLimit(instance, 0, 1.2)
	c := scheduler.Grant(7, f.endpoints, f.stream())
	p, refusal := instance.AcceptGrant(c, f.endpoints, f.stream())
	if p != nil || refusal == nil || refusal.Cause != balance.PermitWanted {
		t.Fatalf("got %+v, %+v, want refusal with cause PermitWanted", p, refusal)
	}
	endpoint, _, _ := instance.BeginPermitRequest(f.endpoints[0], urgency)
	instance.EndPermitRequest(endpoint, urgency, limit.Decision{Granted: true}, "a", f.now)
	if p, _ = instance.AcceptGrant(c, f.endpoints, f.stream()); p == nil || !p.MaySend() {
		t.Error("grant is not accepted with a permit")
	}
	if p, refusal = instance.AcceptGrant(c, f.endpoints, &balance.Demand{Service: f.stream().Service, Permitted: true}); p != nil || refusal != nil {
		t.Errorf("request with Permitted set got %+v, %+v, want neither", p, refusal)
	}
}

// Each request to an endpoint with a limit uses its own permit, which is at most 500 ms old.
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
					if endpoint, _, ok := b.BeginPermitRequest(refusal.Limited, urgency); ok {
						decision := limit.Decision{Granted: rapid.Bool().Draw(rt, "granted"), Wait: time.Duration(rapid.IntRange(1, 500).Draw(rt, "wait")) * time.Millisecond}
						b.EndPermitRequest(endpoint, urgency, decision, "a", f.now)
						if decision.Granted {
							granted[endpoint] = append(granted[endpoint], f.now)
						}
					}
				}
			case 2:
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(rt, "ms")) * time.Millisecond)
			case 3:
				if len(placed) > 0 {
					placed[0].RecordLimit(rapid.Float64Range(0, 10).Draw(rt, "rate"))
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
						rt.Fatalf("request may be sent to %s without a permit granted within 500 ms", p.Endpoint.ID)
					}
					granted[endpoint] = all[1:]
				}
				p.Done(balance.Unknown)
			}
		}
	})
}
