package balance_test

import (
	"testing"
	"time"

	"ivyridge/balance"
	"ivyridge/quota"
)

// retryFixture returns a scheduler that holds the whole budget of 45 retries and has filled its
// bucket: 0.7 x 45 / 3 = 10.5.
func retryFixture() (*fixture, *balance.Balancer) {
	f := newFixture(2)
	b := f.balancer()
	b.SetRetries(quota.RetryLimit{Ratio: 1, Extra: 45})
	b.SetRetryShare(1, 1)
	f.earn(b, 20)
	return f, b
}

// earn places requests that earn budget, and waits until these no longer raise its capacity.
func (f *fixture) earn(b *balance.Balancer, requests int) {
	for range requests {
		b.Grant(7, f.endpoints, &balance.Demand{Service: f.plain, Deposit: quota.DepositFull})
	}
	for range 7 {
		f.now = f.now.Add(900 * time.Millisecond)
		b.SetRetryShare(1, 1)
	}
}

// granted returns how many retries of the given kind are granted until one is denied.
func (f *fixture) granted(t *testing.T, b *balance.Balancer, kind balance.Retry) int {
	t.Helper()
	for n := 0; ; n++ {
		c := b.Grant(7, f.endpoints, &balance.Demand{Service: f.plain, Retry: kind, Sent: true})
		if c.Endpoint != 0 {
			continue
		}
		if c.Refusal == nil || c.Refusal.Cause != balance.RetryBudgetExhausted {
			t.Fatalf("denied retry got refusal %+v, want cause RetryBudgetExhausted", c.Refusal)
		}
		return n
	}
}

// A quarter of a full bucket is reserved from late requests, and a tenth from streams.
func TestRetryReserve(t *testing.T) {
	f, b := retryFixture()
	for _, c := range []struct {
		kind balance.Retry
		want int
	}{{balance.RetryLate, 7}, {balance.RetryStream, 2}, {balance.RetryInTime, 1}} {
		if got := f.granted(t, b, c.kind); got != c.want {
			t.Errorf("%d retries of kind %d granted, want %d", got, c.kind, c.want)
		}
	}
	if s := b.QuotaShares().Retries["p"]; s.Granted != 10 || s.Denied != 3 {
		t.Errorf("counted %+v, want 10 granted and 3 denied", s)
	}
}

// A retry is charged only if it is placed, and a request earns budget only once.
func TestRetriesAreChargedOnce(t *testing.T) {
	f, b := retryFixture()
	d := &balance.Demand{Service: f.plain, Retry: balance.RetryInTime, Sent: true}
	for range 20 {
		if c := b.Grant(7, nil, d); c.Endpoint != 0 || c.Refusal != nil {
			t.Fatalf("granted %+v without endpoints, want neither endpoint nor refusal", c)
		}
	}
	for range 20 {
		b.Grant(7, f.endpoints, &balance.Demand{Service: f.plain})
	}
	if got := f.granted(t, b, balance.RetryInTime); got != 10 {
		t.Errorf("%d retries granted, want 10", got)
	}
}

// Another instance may have taken over an expired share and spent its budget.
func TestExpiredShareLosesBudget(t *testing.T) {
	for _, c := range []struct {
		name   string
		expire func(*fixture, *balance.Balancer)
	}{
		{"paused", func(f *fixture, _ *balance.Balancer) { f.now = f.now.Add(quota.LeaseDuration + time.Millisecond) }},
		{"cut off", func(_ *fixture, b *balance.Balancer) { b.SetRetryShare(0, 1) }},
	} {
		f, b := retryFixture()
		c.expire(f, b)
		if b.ChargeRetry("p", balance.RetryInTime) {
			t.Errorf("%s: retry granted without a share", c.name)
		}
		b.SetRetryShare(1, 1)
		if got := f.granted(t, b, balance.RetryInTime); got != 0 {
			t.Errorf("%s: %d retries granted with a new share, want 0", c.name, got)
		}
		f.earn(b, 20)
		if got := f.granted(t, b, balance.RetryInTime); got != 10 {
			t.Errorf("%s: %d retries granted later, want 10", c.name, got)
		}
	}
}

// Guards against one engine having to prefill all streams lost with another in sequence.
func TestLostStreamsAreSpread(t *testing.T) {
	f := newFixture(9)
	b := f.balancer()
	b.SetRetries(quota.RetryLimit{Ratio: 1, Extra: 1000})
	b.SetRetryShare(1, 1)
	var resumedAt []string
	for i := range 360 {
		d := f.stream()
		d.Parts[2].ID = uint64(i + 100)
		d.Deposit = quota.DepositFull
		b.Admit(f.endpoints, d)
	}
	lost := f.endpoints[0]
	for i := range 40 {
		d := f.stream()
		d.Parts[2].ID = uint64(i + 1000)
		d.Retry, d.Sent, d.Avoid = balance.RetryStream, true, []uint32{balance.EndpointHash(lost.ID)}
		p, refusal := b.Admit(f.endpoints, d)
		if p == nil {
			t.Fatalf("stream %d got refusal %+v, want it resumed at another endpoint", i, refusal)
		}
		resumedAt = append(resumedAt, p.Endpoint.ID)
	}
	perEndpoint := make(map[string]int)
	for _, id := range resumedAt {
		perEndpoint[id]++
	}
	for id, n := range perEndpoint {
		if n > 2*len(resumedAt)/(len(f.endpoints)-1) || id == lost.ID {
			t.Errorf("%d of %d streams resumed at %s, want at most twice an even share, and none at the lost endpoint", n, len(resumedAt), id)
		}
	}
	t.Logf("%v", perEndpoint)
}
