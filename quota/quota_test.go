package quota_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/quota"
)

var start = time.Unix(1000, 0)

func TestLeaseExpiresUnlessRenewed(t *testing.T) {
	var lease quota.Lease
	if !lease.Renew(0.5, start) {
		t.Error("the first Renew reports that a share was held before")
	}
	at := start.Add(900 * time.Millisecond)
	if lease.Share(at) != 0.5 || lease.Renew(0.25, at) {
		t.Error("a share has expired 0.9 s after it was renewed, want it valid for 1 s")
	}
	at = at.Add(1100 * time.Millisecond)
	if lease.Share(at) != 0 || !lease.Renew(0.25, at) {
		t.Error("a share is valid 1.1 s after it was renewed, want it expired after 1 s")
	}
}

type bucketEvent int

const (
	request bucketEvent = iota // is served by a holder
	retry
	loss  // the holder dies or its share expires, and a new bucket replaces it
	delay // time passes for all holders
	bucketEvents
)

type bucketStep struct {
	at    time.Time
	event bucketEvent
}

// In every interleaving of events at two holders, the retries within any window are at most both
// base capacities plus the ratio of the requests in it, or in the window before.
func TestRetryBudgetsStayWithinLimit(t *testing.T) {
	const (
		deposit = 3 // large, so that a few steps can reach the limit
		base    = 0.3
		steps   = 7
	)
	states := 0
	var path []bucketStep
	check := func() {
		states++
		end := path[len(path)-1].at
		for i, first := range path {
			if end.Sub(first.at) > 10*time.Second {
				continue
			}
			var now, before, retries int
			for k, s := range path {
				switch {
				case k >= i && s.event == request:
					now++
				case k >= i && s.event == retry:
					retries++
				case s.event == request && first.at.Sub(s.at) <= 10*time.Second:
					before++
				}
			}
			if float64(retries) > deposit*float64(max(now, before))+2*base {
				t.Fatalf("%v: %d retries since step %d, with %d requests since then and %d in the 10 s before, want at most 3 times the larger number plus 0.6", path, retries, i, now, before)
			}
		}
	}
	var explore func(left int, budgets [2]quota.RetryBudget, now time.Time)
	explore = func(left int, budgets [2]quota.RetryBudget, now time.Time) {
		if left == 0 {
			return
		}
		for holder := range budgets {
			for event := range bucketEvents {
				next, at := budgets, now
				switch event {
				case request:
					next[holder].Deposit(deposit, base, at)
				case retry:
					if !next[holder].CanSpend(base, 0, at) {
						continue
					}
					next[holder].Spend(base, at)
				case loss:
					next[holder] = quota.RetryBudget{}
				case delay:
					at = at.Add(2 * time.Second)
				}
				path = append(path, bucketStep{at, event})
				check()
				explore(left-1, next, at)
				path = path[:len(path)-1]
			}
		}
	}
	explore(steps, [2]quota.RetryBudget{}, start)
	t.Logf("%d states", states)
}

// All buckets together hold at most the extra, and a request deposits at most the ratio, even while
// shares are duplicated and two halves of the fleet have started separately.
func TestRetriesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := quota.RetryLimit{Ratio: rapid.Float64Range(0, 1).Draw(t, "ratio"), Extra: rapid.Float64Range(0, 1000).Draw(t, "extra")}
		instances := rapid.IntRange(1, 400).Draw(t, "instances")
		dataCentres := rapid.IntRange(1, 8).Draw(t, "data centres")
		separate := rapid.IntRange(0, instances/2).Draw(t, "started apart")
		_, separateCapacity := limit.InstanceBudget(separate)
		instanceDeposit, instanceCapacity := limit.InstanceBudget(instances - separate)
		pooled := limit.PooledCapacity(1, dataCentres, instances)
		total := separateCapacity*float64(separate) + instanceCapacity*float64(instances-separate) + pooled*quota.MaxTotalShare(dataCentres)
		if total > limit.Extra+1e-9 {
			t.Fatalf("%v: capacity of all buckets is %.2f, want at most Extra", limit, total)
		}
		if pooledDeposit, fullDeposit := limit.PooledDeposit(quota.DepositRemainder), limit.PooledDeposit(quota.DepositFull); instanceDeposit+pooledDeposit > limit.Ratio || fullDeposit > limit.Ratio {
			t.Fatalf("%v: a request deposits %.3f in two buckets (DepositRemainder) or %.3f in one (DepositFull), want at most Ratio each", limit, instanceDeposit+pooledDeposit, fullDeposit)
		}
	})
}
