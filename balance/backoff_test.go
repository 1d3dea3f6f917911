package balance_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/balance"
	"ivyridge/discovery"
)

// maxJitter is the maximum extension of a back-off.
const maxJitter = 300 * time.Millisecond

// requestBackoff makes an endpoint refuse a request and ask for back-off.
func (f *fixture) requestBackoff(b *balance.Balancer, endpoint int, d time.Duration) *balance.Placement {
	p := b.Place(f.endpoints[endpoint:endpoint+1], f.stream())
	p.RecordBackoff(d)
	p.Done(balance.Refused)
	return p
}

func TestEndpointInBackoffIsIneligible(t *testing.T) {
	f := newFixture(2)
	b := f.balancer()
	f.requestBackoff(b, 0, 3*time.Second)
	for end := f.now.Add(3 * time.Second); f.now.Before(end); f.now = f.now.Add(50 * time.Millisecond) {
		if p := b.Place(f.endpoints, f.stream()); p.Endpoint != f.endpoints[1] {
			t.Fatalf("endpoint in back-off was chosen %s before the back-off ended, want the other endpoint", end.Sub(f.now))
		} else {
			p.Done(balance.Served)
		}
	}
	f.now = f.now.Add(maxJitter)
	if p := b.Place(f.endpoints[:1], f.stream()); p == nil {
		t.Error("endpoint is ineligible after its back-off")
	}
}

// After a back-off, requests wait until the first one is answered or trialTimeout has passed.
func TestSingleTrialAfterBackoff(t *testing.T) {
	for _, answered := range []bool{true, false} {
		f := newFixture(1)
		b := f.balancer()
		f.requestBackoff(b, 0, time.Second)
		f.now = f.now.Add(time.Second + maxJitter)
		first, second := b.Place(f.endpoints, f.stream()), b.Place(f.endpoints, f.stream())
		if !first.MaySend() || second.MaySend() {
			t.Fatal("want exactly one request sent after a back-off")
		}
		second.Done(balance.Unknown)
		if answered {
			first.RecordStart(true)
		} else {
			f.now = f.now.Add(200 * time.Millisecond)
		}
		if p := b.Place(f.endpoints, f.stream()); p == nil || !p.MaySend() {
			t.Errorf("answered %v: no request is sent after the trial", answered)
		}
	}
}

// Back-offs may overlap, and may be requested while placed requests have not been sent yet.
func TestOverlappingBackoffs(t *testing.T) {
	f := newFixture(1)
	b := f.balancer()
	placed := b.Place(f.endpoints, f.stream())
	if !placed.MaySend() {
		t.Fatal("request may not be sent to an endpoint without back-off")
	}
	f.requestBackoff(b, 0, 2*time.Second)
	f.extendBackoff(t, placed, 500*time.Millisecond) // a shorter one has no effect
	if placed.MaySend() {
		t.Error("request placed before the back-off may be sent during it")
	}
	f.now = f.now.Add(1500 * time.Millisecond)
	f.extendBackoff(t, placed, 2*time.Second) // a longer one extends it
	f.now = f.now.Add(1900 * time.Millisecond)
	if p := b.Place(f.endpoints, f.stream()); p != nil {
		t.Error("request placed during the extended back-off")
	}
	f.now = f.now.Add(100*time.Millisecond + maxJitter)
	if p := b.Place(f.endpoints, f.stream()); p == nil || !p.MaySend() {
		t.Error("endpoint is ineligible after its back-off")
	}
}

func (f *fixture) extendBackoff(t *testing.T, p *balance.Placement, d time.Duration) {
	if p.RecordBackoff(d) {
		t.Error("extension of a back-off is reported as new")
	}
}

func TestLongBackoffIsProbedOnce(t *testing.T) {
	f := newFixture(1)
	b := f.balancer()
	f.requestBackoff(b, 0, time.Hour)
	sent := 0
	for end := f.now.Add(time.Hour); f.now.Before(end); f.now = f.now.Add(time.Second) {
		if p := b.Place(f.endpoints, f.stream()); p != nil {
			if p.MaySend() {
				sent++
			}
			p.RecordStart(true)
			p.Done(balance.Served)
		}
	}
	if sent != 1 {
		t.Errorf("%d requests sent during a back-off of an hour, want 1", sent)
	}
	f.now = f.now.Add(maxJitter)
	if b.Place(f.endpoints, f.stream()) == nil {
		t.Error("endpoint is ineligible after its back-off")
	}
}

// An endpoint is sent at most one request during each back-off.
func TestBackoffsAreKept(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(3)
		b := f.balancer()
		type window struct {
			endpoint *discovery.Endpoint
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
					b.Prune(func(string) bool { return true })
				} else {
					b.Prune(func(string) bool { return false })
				}
				f.endpoints = append([]*discovery.Endpoint(nil), f.endpoints...) // new slice invalidates the listing
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
						p.RecordBackoff(d)
						windows = append(windows, &window{endpoint: p.Endpoint, end: f.now.Add(d)})
					} else {
						p.RecordStart(true)
					}
				}
				p.Done(balance.Unknown)
			}
		}
		for _, w := range windows {
			if w.sent > 1 {
				rt.Fatalf("%s was sent %d requests during a back-off, want at most 1", w.endpoint.ID, w.sent)
			}
		}
	})
}

// If all endpoints are in back-off, a request is told when the first back-off ends.
func TestAllEndpointsInBackoff(t *testing.T) {
	f := newFixture(3)
	b := f.balancer()
	for i, d := range []time.Duration{3 * time.Second, time.Second, 2 * time.Second} {
		f.requestBackoff(b, i, d)
	}
	p, refusal := b.Admit(f.endpoints, f.stream())
	if p != nil || refusal == nil || refusal.Cause != balance.EndpointsInBackoff {
		t.Fatalf("placement %v and refusal %+v, want cause EndpointsInBackoff", p, refusal)
	}
	if refusal.Wait < time.Second || refusal.Wait > time.Second+maxJitter || refusal.RetryAfter < refusal.Wait {
		t.Errorf("wait %v and retry after %v, want a wait of 1s to 1.3s for the first back-off to end, and no earlier retry", refusal.Wait, refusal.RetryAfter)
	}
	if got := len(b.UnavailableEndpoints()); got != 3 {
		t.Errorf("%d endpoints listed as unavailable, want 3", got)
	}
	if _, refusal := b.Admit(nil, f.stream()); refusal != nil {
		t.Errorf("got refusal %+v without endpoints, want none", refusal)
	}
}

// Schedulers do not grant an endpoint to the instance that it asked to back off, but do to others.
func TestBackoffAppliesToOneInstance(t *testing.T) {
	f := newFixture(1)
	instance, scheduler := f.balancer(), f.balancer()
	scheduler.Place(f.endpoints, f.stream()).Done(balance.Served)
	f.requestBackoff(instance, 0, 3*time.Second)
	if got := instance.ClosedEndpoints(f.stream()); len(got) != 1 || got[0] != balance.EndpointHash("e0") {
		t.Errorf("ClosedEndpoints() = %v, want e0", got)
	}
	reports, _ := instance.Reports(false, 0)
	scheduler.Merge(7, nil, reports, false)
	if c := scheduler.Grant(7, f.endpoints, f.stream()); c.Endpoint != 0 || c.Refusal != nil {
		t.Errorf("granted %+v to the instance in back-off, want neither endpoint nor refusal", c)
	}
	if c := scheduler.Grant(8, f.endpoints, f.stream()); c.Endpoint == 0 {
		t.Error("endpoint is not granted to an instance that it did not ask to back off")
	} else if p, _ := instance.AcceptGrant(c, f.endpoints, f.stream()); p != nil {
		t.Error("instance that was asked to back off accepts a grant of the endpoint")
	}
	f.now = f.now.Add(3*time.Second + maxJitter)
	if c := scheduler.Grant(7, f.endpoints, f.stream()); c.Endpoint == 0 {
		t.Error("endpoint is not granted after its back-off to the instance that it asked")
	}
}

// A restarted process is not in back-off, unless it may be the one that asked.
func TestBackoffAndRestarts(t *testing.T) {
	for _, c := range []struct {
		after   time.Duration // from the request to back off until the restarted process is listed with its start time
		applies bool
	}{{time.Second, true}, {4 * time.Second, false}} {
		f := newFixture(1)
		first, next := f.restarted(1000), f.restarted(2000)
		b := f.balancer()
		p := b.Place(first, f.stream())
		p.RecordBackoff(10 * time.Second)
		p.RecordDraining()
		p.Done(balance.Refused)
		f.now = f.now.Add(c.after)
		b.Prune(func(string) bool { return false })
		if got := b.Place(next, f.stream()) == nil; got != c.applies {
			t.Errorf("restarted process listed %v after the request to back off: back-off applies: %v, want it to apply within 3s only", c.after, got)
		}
	}
	f := newFixture(1)
	b := f.balancer()
	old := b.Place(f.restarted(1000), f.stream())
	next := f.restarted(2000)
	if b.Place(next, f.stream()) == nil {
		t.Fatal("restarted process is ineligible before any request to back off")
	}
	old.RecordBackoff(time.Second) // the response may come from either process
	if b.Place(next, f.stream()) != nil {
		t.Error("restarted process is eligible although the response may be its own")
	}
}

func TestDrainIsReported(t *testing.T) {
	f := newFixture(2)
	reporter, receiver := f.balancer(), f.balancer()
	receiver.Place(f.endpoints, f.stream()).Done(balance.Served)
	p := reporter.Place(f.endpoints[:1], f.stream())
	if !p.RecordDraining() || p.RecordDraining() {
		t.Error("RecordDraining() must report true once, then false")
	}
	p.Done(balance.Served)
	report := func() {
		reports, _ := reporter.Reports(true, 0)
		receiver.Merge(7, nil, reports, true)
	}
	report()
	if reporter.Place(f.endpoints[:1], f.stream()) != nil || receiver.Place(f.endpoints[:1], f.stream()) != nil {
		t.Error("draining endpoint is chosen")
	}
	sums, _ := receiver.AggregateReports(func(uint64) bool { return false }, true, 0)
	for _, s := range sums {
		if s.Draining {
			t.Error("drain reported by an excluded instance is included in the aggregate")
		}
	}
	f.now = f.now.Add(20 * time.Second)
	if reporter.Place(f.endpoints[:1], f.stream()) != nil {
		t.Error("draining endpoint is chosen 20 s after it announced the drain")
	}
	if receiver.Place(f.endpoints[:1], f.stream()) == nil {
		t.Error("endpoint is still ineligible 20 s after another instance last reported its drain")
	}
}

func BenchmarkPlaceWithBackoffs(bench *testing.B) {
	for _, n := range []int{12, 690} {
		bench.Run(fmt.Sprint(n), func(bench *testing.B) {
			f := newFixture(n)
			b := f.balancer()
			for i := 0; i < n; i += 3 {
				f.requestBackoff(b, i, time.Hour)
			}
			d := f.long(9)
			bench.ReportAllocs()
			for bench.Loop() {
				f.now = f.now.Add(time.Microsecond)
				b.Place(f.endpoints, d).Done(balance.Served)
				b.TakeNotices()
			}
		})
	}
}
