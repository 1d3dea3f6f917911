package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"ivyridge/balance"
)

// A slowFleet simulates instances that share a few endpoints. Each learns an endpoint's slowness
// only from its own responses, and the load of others only from reports.
type slowFleet struct {
	*fixture
	balancers   []*balance.Balancer
	slowdown    float64 // of the first endpoint
	completions []slowCompletion
}

type slowCompletion struct {
	at        time.Time
	placement *balance.Placement
	slow      float64
}

const (
	slowFleetStep           = 5 * time.Millisecond
	slowFleetReportInterval = 100 * time.Millisecond
)

// run simulates d with each requests per step. It returns the share of requests placed at the
// first endpoint in each tenth of a second.
func (f *slowFleet) run(d time.Duration, each int, rng *rand.Rand) (shares []float64) {
	atSlow, total := 0, 0
	for n := 0; time.Duration(n)*slowFleetStep < d; n++ {
		f.now = f.now.Add(slowFleetStep)
		f.complete()
		for range each {
			b := f.balancers[rng.IntN(len(f.balancers))]
			p := b.Place(f.endpoints, &balance.Demand{Service: f.plain, Objective: 100 * time.Millisecond})
			slow := 1.0
			if p.Endpoint == f.endpoints[0] {
				slow = f.slowdown
				atSlow++
			}
			total++
			f.completions = append(f.completions, slowCompletion{f.now.Add(time.Duration(20 * slow * float64(time.Millisecond))), p, slow})
		}
		f.exchangeReports(n)
		if f.now.UnixNano()%int64(slowFleetReportInterval) == 0 {
			shares = append(shares, float64(atSlow)/float64(max(1, total)))
			atSlow, total = 0, 0
		}
	}
	return shares
}

// complete ends the requests that are done.
func (f *slowFleet) complete() {
	running := f.completions[:0]
	for _, e := range f.completions {
		if e.at.After(f.now) {
			running = append(running, e)
			continue
		}
		e.placement.RecordLoad(balance.ReportedLoad{Slots: 8, Slowness: e.slow})
		e.placement.Done(balance.Served)
	}
	f.completions = running
}

// exchangeReports reports each instance's load to the others, at staggered times.
func (f *slowFleet) exchangeReports(step int) {
	for i, from := range f.balancers {
		if (step+i)%int(slowFleetReportInterval/slowFleetStep) != 0 {
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

// Guards against all instances returning at once to an endpoint that recovered.
func TestRecoveredEndpointIsNotOverloaded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	f := &slowFleet{fixture: newFixture(4), slowdown: 1}
	for range 58 {
		f.balancers = append(f.balancers, f.balancer())
	}
	const each = 2 // 400 requests/s
	f.run(3*time.Second, each, rng)
	f.slowdown = 4
	slow := means(f.run(3*time.Second, each, rng))
	f.slowdown = 1
	recovered := means(f.run(5*time.Second, each, rng))
	t.Logf("share of requests per half second: %.2f while slow, then %.2f", slow, recovered)
	for _, share := range slow {
		if share > 0.2 {
			t.Errorf("the slow endpoint got a fraction of %.2f of the requests within half a second, want at most 0.2", share)
		}
	}
	for i, share := range recovered {
		if share > 0.5 {
			t.Errorf("the recovering endpoint got a fraction of %.2f of the requests within half a second, want at most 0.5", share)
		}
		if i >= 3 && share < 0.15 {
			t.Errorf("from 1.5 s after recovery the endpoint got a fraction of %.2f of the requests within half a second, want at least 0.15", share)
		}
	}
}

// means returns the means of consecutive groups of five shares.
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
