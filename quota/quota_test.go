package quota_test

import (
	"fmt"
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

// ledger checks the bound on retries: within any window, a share of the requests and a
// number beyond.
type ledger struct{ requests, retries int }

// A bucketEvent is one step of the model of buckets.
type bucketEvent int

const (
	request bucketEvent = iota // of a holder
	retry
	lose // the holder's part lapses, or the holder dies; what follows is a new one
	bucketEvents
)

// Over all interleavings of requests, retries and losses of two holders, what is spent
// within any window is at most what both may hold and what was earned within it. A window
// that begins later is one of another interleaving: it begins with what is held then.
func TestEarnedBucketsKeepTheBound(t *testing.T) {
	const (
		earns = 0.5
		most  = 1.5
		steps = 7
	)
	var explore func(left int, held [2]quota.Earned, path string, windows []ledger)
	seen := 0
	explore = func(left int, held [2]quota.Earned, path string, windows []ledger) {
		seen++
		windows = append(windows[:len(windows):len(windows)], ledger{})
		for i, w := range windows {
			if float64(w.retries) > earns*float64(w.requests)+2*most {
				t.Fatalf("%s: %d retries of %d requests since step %d", path, w.retries, w.requests, i)
			}
		}
		if left == 0 {
			return
		}
		for holder := range held {
			for event := range bucketEvents {
				next, counted := held, append([]ledger(nil), windows...)
				has := next[holder].Has(most, 0)
				switch event {
				case request:
					next[holder].Earn(earns, most)
				case retry:
					if !has {
						continue
					}
					next[holder].Spend(most)
				case lose:
					next[holder] = quota.Earned{}
				}
				for i := range counted {
					if event == request {
						counted[i].requests++
					}
					if event == retry {
						counted[i].retries++
					}
				}
				explore(left-1, next, path+fmt.Sprint(" ", holder, ":", int(event)), counted)
			}
		}
	}
	explore(steps, [2]quota.Earned{}, "", nil)
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
