package quota_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/quota"
)

var start = time.Unix(1000, 0)

// A holder's part lapses when it is not renewed, and what is said of the time before tells
// whether what was left is lost.
func TestPartLapses(t *testing.T) {
	var p quota.Part
	if !p.Hold(0.5, start) {
		t.Error("a part before the first one is said to have held")
	}
	at := start.Add(900 * time.Millisecond)
	if p.Share(at) != 0.5 || p.Hold(0.25, at) {
		t.Error("a part does not hold for 0.9 s")
	}
	at = at.Add(1100 * time.Millisecond)
	if p.Share(at) != 0 || !p.Hold(0.25, at) {
		t.Error("a part holds for 1.1 s")
	}
}

// A bucketEvent is one step of the model of buckets.
type bucketEvent int

const (
	request bucketEvent = iota // of a holder
	retry
	lose // the holder's part lapses, or the holder dies; what follows is a new one
	pass // some seconds pass, for all
	bucketEvents
)

// A bucketStep is what a step of the model brought.
type bucketStep struct {
	at    time.Time
	event bucketEvent
}

// Over all interleavings of requests, retries, losses of two holders and time that passes,
// what is spent within any window is at most both parts and the share of the requests in it,
// or in the one before it.
func TestEarnedBucketsKeepTheBound(t *testing.T) {
	const (
		earns = 3 // so that few steps can pass the bound
		most  = 0.3
		steps = 7
	)
	seen := 0
	var path []bucketStep
	check := func() {
		seen++
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
			if float64(retries) > earns*float64(max(now, before))+2*most {
				t.Fatalf("%v: %d retries since step %d, %d requests, and %d before", path, retries, i, now, before)
			}
		}
	}
	var explore func(left int, held [2]quota.Earned, now time.Time)
	explore = func(left int, held [2]quota.Earned, now time.Time) {
		if left == 0 {
			return
		}
		for holder := range held {
			for event := range bucketEvents {
				next, at := held, now
				switch event {
				case request:
					next[holder].Earn(earns, most, at)
				case retry:
					if !next[holder].Has(most, 0, at) {
						continue
					}
					next[holder].Spend(most, at)
				case lose:
					next[holder] = quota.Earned{}
				case pass:
					at = at.Add(2 * time.Second)
				}
				path = append(path, bucketStep{at, event})
				check()
				explore(left-1, next, at)
				path = path[:len(path)-1]
			}
		}
	}
	explore(steps, [2]quota.Earned{}, start)
	t.Logf("%d states", seen)
}

// However many instances and data centres there are, all buckets together hold no more than
// the extra, also where two data centres count twice and two halves of the fleet have
// started apart, and they earn no more than the share.
func TestRetriesDivideTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := quota.Retries{Ratio: rapid.Float64Range(0, 1).Draw(t, "ratio"), Extra: rapid.Float64Range(0, 1000).Draw(t, "extra")}
		instances := rapid.IntRange(1, 400).Draw(t, "instances")
		dataCentres := rapid.IntRange(1, 8).Draw(t, "data centres")
		apart := rapid.IntRange(0, instances/2).Draw(t, "started apart")
		_, ownApart := bound.Own(apart)
		ownEarns, own := bound.Own(instances - apart)
		pooled := bound.Pooled(1, dataCentres, instances)
		held := ownApart*float64(apart) + own*float64(instances-apart) + pooled*quota.Wholes(dataCentres)
		if held > bound.Extra+1e-9 {
			t.Fatalf("%v: %.2f held", bound, held)
		}
		if rest, whole := bound.Earns(quota.EarnsRest), bound.Earns(quota.EarnsWhole); ownEarns+rest > bound.Ratio || whole > bound.Ratio {
			t.Fatalf("%v: %.3f and %.3f earned", bound, ownEarns+rest, whole)
		}
	})
}
