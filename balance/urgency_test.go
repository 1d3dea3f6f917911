package balance_test

import (
	"slices"
	"testing"
	"time"

	"ivyridge/balance"
)

// mediumRequest returns a request between a stream and a long prompt in urgency and length.
func (f *fixture) mediumRequest() *balance.Demand {
	d := f.stream()
	d.Priority, d.Objective, d.Prompt, d.Output = 1, 500*time.Millisecond, 2400, 25
	return d
}

// fillWithLong admits long prompts until one is refused, and returns how many were admitted.
func (f *fixture) fillWithLong(t *testing.T, b *balance.Balancer) (admitted int) {
	t.Helper()
	for part := uint64(1000); part < 2000; part++ {
		if _, refusal := b.Admit(f.endpoints, f.long(part)); refusal != nil {
			return admitted
		}
		admitted++
	}
	t.Fatal("1000 concurrent long prompts admitted, want one refused")
	return 0
}

// mixedLoad admits n rounds of a stream, a medium request and a long prompt, and counts refusals.
// Streams and medium requests use half the time of the engines and start before the next round.
func (f *fixture) mixedLoad(b *balance.Balancer, n int, tokensPerMS float64) (streams, medium, long int) {
	var started []*balance.Placement
	interval := time.Duration(5000 / tokensPerMS / float64(len(f.endpoints)) * float64(time.Millisecond))
	for part := range uint64(n) {
		f.now = f.now.Add(interval)
		for _, p := range started {
			p.RecordFirstEvent(interval)
		}
		started = started[:0]
		started = f.admitOrCount(b, f.stream(), &streams, started)
		started = f.admitOrCount(b, f.mediumRequest(), &medium, started)
		f.admitOrCount(b, f.long(5000+part), &long, nil)
	}
	return streams, medium, long
}

// admitOrCount admits a request and appends it to placed, or counts it as refused.
func (f *fixture) admitOrCount(b *balance.Balancer, d *balance.Demand, refused *int, placed []*balance.Placement) []*balance.Placement {
	p, _ := b.Admit(f.endpoints, d)
	if p == nil {
		*refused++
		return placed
	}
	return append(placed, p)
}

// Guards against refusing streams, and then medium requests that yield to them, because their wait
// was computed behind less urgent prompts that they overtake.
func TestUrgentRequestsDoNotWaitForLessUrgentOnes(t *testing.T) {
	for _, engines := range []int{2, 6, 20} {
		for _, speed := range []float64{25, 50, 100} {
			f := newFleet(slices.Repeat([]float64{speed}, engines)...)
			f.sendRequests(60, 500*time.Millisecond/time.Duration(engines)) // learn the speed
			f.deliver(f.now.Add(time.Minute))
			f.now = f.now.Add(time.Minute)
			admitted := f.fillWithLong(t, f.b)
			rounds := int(speed) * engines / 10 // half a second
			streams, medium, long := f.mixedLoad(f.b, rounds, speed)
			if streams > 0 || medium > 0 {
				t.Errorf("%d engines of %.0f tokens/ms, %d long prompts: %d streams and %d medium requests refused, want none", engines, speed, admitted, streams, medium)
			}
			if long < rounds/4 {
				t.Errorf("%d engines of %.0f tokens/ms: %d of %d long prompts refused under overload, want at least a quarter", engines, speed, long, rounds)
			}
		}
	}
}

// Guards against ignoring the urgency of long prompts that another instance placed and reported.
func TestRemoteUrgencyIsReported(t *testing.T) {
	for _, via := range []string{"notices", "reports"} {
		f := newFixture(4)
		other, b := f.balancer(), f.balancer()
		b.Place(f.endpoints, f.mediumRequest()).Done(balance.Served) // makes the endpoints known to b
		f.fillWithLong(t, other)
		reports, _ := other.Reports(true, 0)
		if via == "notices" {
			reports = nil
		}
		b.Merge(1, other.TakeNotices(), reports, true)
		if via == "reports" {
			f.now = f.now.Add(100 * time.Millisecond) // the notices have expired
		}
		if streams, medium, _ := f.mixedLoad(b, 10, 50); streams > 0 || medium > 0 {
			t.Errorf("long prompts reported by %s: %d streams and %d medium requests refused, want none", via, streams, medium)
		}
	}
}

// Medium requests that fill the engines yield to streams, but only after long prompts do.
func TestLeastUrgentYieldFirst(t *testing.T) {
	f := newFixture(4)
	b := f.balancer()
	for refused := 0; refused == 0; {
		refused = admit(t, f, b, 1, f.mediumRequest)
	}
	long := func() *balance.Demand { return f.long(9000) }
	if refused := admit(t, f, b, 20, long); refused != 20 {
		t.Errorf("%d of 20 long prompts refused while medium requests are, want all", refused)
	}
	if refused := admit(t, f, b, 20, f.stream); refused > 0 {
		t.Errorf("%d of 20 streams refused behind medium requests, want 0", refused)
	}
	if refused := admit(t, f, b, 20, f.mediumRequest); refused < 19 {
		t.Errorf("%d of 20 medium requests refused while their own level is under pressure, want at least 19", refused)
	}
}

// Guards against refusing medium requests at the start of a rush while long prompts are still
// admitted: long prompts yield as soon as medium requests wait for a fifth of what their objective
// allows, before these are refused.
func TestLongPromptsYieldToShortWaitsOfMediumRequests(t *testing.T) {
	for _, engines := range []int{2, 6, 20} {
		f := newFixture(engines)
		b := f.balancer()
		for range engines { // 90 ms of prefill at each engine
			prompt := f.long(1)
			prompt.Prompt, prompt.Parts = 4500, nil
			b.Place(f.endpoints, prompt)
		}
		for range 100 {
			p, refusal := b.Admit(f.endpoints, f.mediumRequest())
			if refusal != nil {
				t.Fatalf("%d engines: medium request got refusal %+v, want none", engines, refusal)
			}
			p.Done(balance.Unknown)
		}
		if _, refusal := b.Admit(f.endpoints, f.long(2)); refusal == nil {
			t.Errorf("%d engines: long prompt admitted while medium requests wait for a fifth of their objective, want it refused", engines)
		}
		if _, refusal := b.Admit(f.endpoints, f.stream()); refusal != nil {
			t.Errorf("%d engines: stream got refusal %+v, want none", engines, refusal)
		}
	}
}
