package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"ivyridge/balance"
)

// A shared endpoint fleet that many instances use, in virtual time: each hears what an endpoint
// says of its speed in its own answers only, and what others run a while later.
type slowFleet struct {
	*fixture
	balancers []*balance.Balancer
	slow      float64 // of the first endpoint
	ends      []slowEnd
}

type slowEnd struct {
	at        time.Time
	placement *balance.Placement
	slow      float64
}

const (
	slowFleetStep = 5 * time.Millisecond
	slowFleetTold = 100 * time.Millisecond // what others run is told
)

// run lets time pass with so many requests a step, and returns the share that came to the first
// endpoint in each tenth of a second.
func (f *slowFleet) run(d time.Duration, each int, rng *rand.Rand) (shares []float64) {
	its, all := 0, 0
	for n := 0; time.Duration(n)*slowFleetStep < d; n++ {
		f.now = f.now.Add(slowFleetStep)
		f.settle()
		for range each {
			b := f.balancers[rng.IntN(len(f.balancers))]
			p := b.Place(f.endpoints, &balance.Demand{Service: f.plain, Objective: 100 * time.Millisecond})
			slow := 1.0
			if p.Endpoint == f.endpoints[0] {
				slow = f.slow
				its++
			}
			all++
			f.ends = append(f.ends, slowEnd{f.now.Add(time.Duration(20 * slow * float64(time.Millisecond))), p, slow})
		}
		f.tell(n)
		if f.now.UnixNano()%int64(slowFleetTold) == 0 {
			shares = append(shares, float64(its)/float64(max(1, all)))
			its, all = 0, 0
		}
	}
	return shares
}

// settle ends the requests whose time has come.
func (f *slowFleet) settle() {
	kept := f.ends[:0]
	for _, e := range f.ends {
		if e.at.After(f.now) {
			kept = append(kept, e)
			continue
		}
		e.placement.Tells(balance.ToldLoad{Slots: 8, Slowness: e.slow})
		e.placement.Done(balance.Served)
	}
	f.ends = kept
}

// tell has instances tell the others what they run, each at its own time.
func (f *slowFleet) tell(step int) {
	for i, from := range f.balancers {
		if (step+i)%int(slowFleetTold/slowFleetStep) != 0 {
			continue
		}
		reports, _ := from.Reports(true, 0)
		for j, to := range f.balancers {
			if i != j {
				to.Merge(uint64(i+1), nil, reports, true)
			}
		}
	}
}

// An endpoint that was slow gets requests again as its word grows old, and its share comes back
// without a swing: instances that heard the same word at the same time do not return together.
func TestInstancesDoNotReturnTogether(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	f := &slowFleet{fixture: newFixture(4), slow: 1}
	for range 58 {
		f.balancers = append(f.balancers, f.balancer())
	}
	const each = 2 // 400 requests a second
	f.run(3*time.Second, each, rng)
	f.slow = 4
	slow := means(f.run(3*time.Second, each, rng))
	f.slow = 1
	back := means(f.run(5*time.Second, each, rng))
	t.Logf("shares of half seconds while it is slow %.2f, and then %.2f", slow, back)
	for _, share := range slow {
		if share > 0.2 {
			t.Errorf("%.2f of the requests of half a second come to one of four endpoints while it says that it is slow", share)
		}
	}
	for i, share := range back {
		if share > 0.5 {
			t.Errorf("%.2f of the requests of half a second come to one of four endpoints as it recovers", share)
		}
		if i >= 3 && share < 0.15 {
			t.Errorf("%.2f of the requests of half a second come to it from 1.5 s after it recovers on", share)
		}
	}
}

// means returns the means of five tenths of a second each.
func means(shares []float64) (out []float64) {
	const each = 5
	for ; len(shares) >= each; shares = shares[each:] {
		sum := 0.0
		for _, share := range shares[:each] {
			sum += share
		}
		out = append(out, sum/each)
	}
	return out
}
