package gossip

// This file checks how many permits simulated fleets grant in virtual time.

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/balance"
	"ivyridge/limit"
)

// Permits that may be granted for a rate-limited endpoint within any window.
const (
	permitWindow    = 4 * time.Second
	permitTolerance = 1.5
	permitSlack     = 5.0
)

// permitClients are a fleet whose instances request permits for one endpoint.
type permitClients struct {
	w        *simulation
	rng      *rand.Rand
	rate     float64 // limit that the endpoint announced
	demand   func(n *node) bool
	retryAt  map[*node]time.Time
	permits  []time.Time
	requests int
}

const permitEndpoint = 4711

func newPermitClients(w *simulation, rate float64, seed uint64) *permitClients {
	return &permitClients{w: w, rng: rand.New(rand.NewPCG(seed, 1)), rate: rate, retryAt: make(map[*node]time.Time), demand: func(*node) bool { return true }}
}

// run advances time. Each instance with demand requests a permit when it may.
func (c *permitClients) run(d time.Duration) {
	for end := c.w.now.Add(d); c.w.now.Before(end); {
		c.w.run(simulationStep)
		for _, n := range c.w.nodes {
			if !n.dead && !n.paused && c.demand(n) && !c.w.now.Before(c.retryAt[n]) {
				c.request(n)
			}
		}
	}
}

// request has n request a permit from the allocator that it knows, and follow redirects.
func (c *permitClients) request(n *node) {
	req := &PermitRequest{Endpoint: permitEndpoint, DataCentre: "dc1", Urgency: 2, Limit: balance.ReportedLimit{Known: true, Limited: true, Rate: c.rate}}
	n.mu.Lock()
	to := n.limitAllocator(c.w.now, req.Endpoint, req.DataCentre)
	n.mu.Unlock()
	decision := limit.Decision{Wait: limit.NoShareWait}
	for range maxPermitHops {
		other := c.w.byAddress(to)
		if other == nil || !c.w.reaches(n, other) || !c.w.reaches(other, n) {
			break
		}
		c.requests++
		decision, to = other.allocate(req)
		if to == "" {
			break
		}
	}
	if decision.Granted {
		c.permits = append(c.permits, c.w.now)
		return
	}
	c.retryAt[n] = c.w.now.Add(decision.Wait)
}

// byAddress returns the live instance at address, or nil.
func (w *simulation) byAddress(address string) *node {
	for _, n := range w.nodes {
		if n.address.String() == address && !n.dead && !n.paused {
			return n
		}
	}
	return nil
}

// reaches reports whether a datagram of from would arrive at to.
func (w *simulation) reaches(from, to *node) bool {
	return from == to || w.lost == nil || !w.lost(from, to)
}

// maxInWindow returns the largest number of permits granted within any permitWindow.
func (c *permitClients) maxInWindow() (n int) {
	first := 0
	for i, at := range c.permits {
		for at.Sub(c.permits[first]) >= permitWindow {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

func (c *permitClients) allowed() float64 {
	return permitTolerance*c.rate*permitWindow.Seconds() + permitSlack
}

// used returns the fraction of the limit that was granted after since.
func (c *permitClients) used(since time.Time) float64 {
	n := 0
	for _, at := range c.permits {
		if at.After(since) {
			n++
		}
	}
	return float64(n) / (c.rate * c.w.now.Sub(since).Seconds())
}

// limitFleetSize is the largest fleet of TestLimitUtilization; IVYRIDGE_INSTANCES overrides it.
func limitFleetSize() int {
	if n, err := strconv.Atoi(os.Getenv("IVYRIDGE_INSTANCES")); err == nil {
		return n
	}
	return 30
}

// At least 90% of a limit is used if all instances have demand, and at least 80% if one does.
func TestLimitUtilization(t *testing.T) {
	t.Parallel()
	all := []float64{0.5, 1.2, 50}
	for _, c := range []struct {
		n, dataCentres int
		rates          []float64
	}{{1, 1, all}, {4, 2, all}, {6, 3, all}, {limitFleetSize(), 6, all[1:2]}} {
		for _, rate := range c.rates {
			t.Run(fmt.Sprintf("%d instances, %v a second", c.n, rate), func(t *testing.T) {
				w := newSimulation(t, c.n, c.dataCentres)
				if c.n == 1 {
					w.nodes[0].SetSeeds([]string{w.nodes[0].Address})
				}
				w.run(10 * time.Second)
				clients := newPermitClients(w, rate, 1)
				began, sent := w.now, 0
				clients.run(20 * time.Second)
				sent = clients.requests
				if used := clients.used(began); used < 0.9 || used > 1.1 {
					t.Errorf("clients used %.2f of the limit, want 0.9 to 1.1", used)
				}
				if perSecond := float64(sent) / 20; perSecond > 1000 {
					t.Errorf("%.0f permit requests per second, want at most 1000", perSecond)
				}
				for _, only := range []*node{w.nodes[0], w.nodes[c.n-1]} {
					clients.demand = func(n *node) bool { return n == only }
					began = w.now
					clients.run(10 * time.Second)
					if used := clients.used(began); used < 0.8 {
						t.Errorf("%.2f of the limit used with all demand at one instance, want at least 0.8", used)
					}
				}
				if n := clients.maxInWindow(); float64(n) > clients.allowed() {
					t.Errorf("%d permits granted within 4 s, want at most %.0f", n, clients.allowed())
				}
			})
		}
	}
}

// Limits stay in use after their allocator is lost, and while an instance joins.
func TestLimitUtilizationDuringChurn(t *testing.T) {
	t.Parallel()
	w := newSimulation(t, 24, 3)
	w.run(10 * time.Second)
	clients := newPermitClients(w, 1.2, 1)
	clients.run(5 * time.Second)
	for range 3 {
		n := w.nodes[0]
		n.mu.Lock()
		allocator := n.limitAllocator(w.now, permitEndpoint, "dc1")
		n.mu.Unlock()
		lost := w.byAddress(allocator)
		lost.dead = true
		clients.run(4 * time.Second)
		began := w.now
		clients.run(10 * time.Second)
		if used := clients.used(began); used < 0.9 {
			t.Errorf("%.2f of the limit used from 4 s after the allocator was lost, want at least 0.9", used)
		}
		began = w.now
		w.start(slices.Index(w.nodes, lost), clients.rng.Uint64()|1, lost.DataCentre, lost.Cores)
		clients.run(12 * time.Second)
		if used := clients.used(began); used < 0.85 {
			t.Errorf("%.2f of the limit used while an instance joins, want at least 0.85", used)
		}
	}
	if n := clients.maxInWindow(); float64(n) > clients.allowed() {
		t.Errorf("%d permits granted within 4 s, want at most %.0f", n, clients.allowed())
	}
}

// The regions' parts of a limit are used but never exceed it, also during a long partition.
func TestRegionsSplitLimits(t *testing.T) {
	t.Parallel()
	regions := map[string]string{"dc0": "east", "dc1": "east", "dc2": "west", "dc3": "west"}
	w := newRegionSimulation(t, 24, 4, regions, true)
	w.run(12 * time.Second)
	clients := newPermitClients(w, 5, 1)
	began := w.now
	clients.run(20 * time.Second)
	if used := clients.used(began); used < 0.9 || used > 1.1 {
		t.Errorf("clients used %.2f of the limit, want 0.9 to 1.1", used)
	}
	w.lost = func(a, b *node) bool { return regions[a.DataCentre] != regions[b.DataCentre] }
	clients.run(10 * time.Second)
	began = w.now
	clients.run(60 * time.Second)
	if used := clients.used(began); used < 0.9 || used > 1.1 {
		t.Errorf("%.2f of the limit used while the regions are partitioned, want 0.9 to 1.1", used)
	}
	w.lost = nil
	clients.run(10 * time.Second)
	if n := clients.maxInWindow(); float64(n) > clients.allowed() {
		t.Errorf("%d permits granted within 4 s, want at most %.0f", n, clients.allowed())
	}
}

// The permits granted within any 4 s stay within the bound under random faults. Run more cases
// with -rapid.checks=400.
func TestLimitsUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) { checkPermitsUnderFaults(t, rt) })
}

func checkPermitsUnderFaults(t *testing.T, rt *rapid.T) {
	dataCentres := rapid.IntRange(1, 5).Draw(rt, "data centres")
	w := newSimulation(t, dataCentres*rapid.IntRange(1, 6).Draw(rt, "each"), dataCentres)
	w.setDataCentres(dataCentres)
	rate := rapid.SampledFrom([]float64{0, 0.5, 1.2, 6, 50}).Draw(rt, "rate")
	clients := newPermitClients(w, rate, rapid.Uint64().Draw(rt, "seed"))
	lost := func(a, b *node) bool { return clients.rng.IntN(50) == 0 }
	w.lost = lost
	w.duplicate = func() bool { return clients.rng.IntN(50) == 0 }
	clients.run(8 * time.Second)
	for range 4 {
		switch rapid.IntRange(0, 4).Draw(rt, "trouble") {
		case 0: // crash some instances
			for range rapid.IntRange(1, max(1, w.size/2)).Draw(rt, "deaths") {
				w.nodes[rapid.IntRange(0, w.size-1).Draw(rt, "dies")].dead = true
			}
		case 1: // restart crashed instances
			for i, n := range w.nodes {
				if n.dead {
					w.start(i, clients.rng.Uint64()|1, n.DataCentre, n.Cores)
				}
			}
			w.setDataCentres(dataCentres)
		case 2: // partition the fleet by data centre
			side := make(map[string]int)
			for i := range dataCentres {
				side[fmt.Sprint("dc", i)] = rapid.IntRange(0, 2).Draw(rt, "side")
			}
			w.lost = func(a, b *node) bool { return side[a.DataCentre] != side[b.DataCentre] || lost(a, b) }
		case 3: // heal partitions
			w.lost = lost
		default: // pause or resume some instances
			for _, n := range w.nodes {
				n.paused = clients.rng.IntN(4) == 0
			}
		}
		clients.run(time.Duration(rapid.IntRange(1, 6).Draw(rt, "s")) * time.Second)
		if n := clients.maxInWindow(); float64(n) > clients.allowed() {
			rt.Fatalf("%d permits granted within 4 s, want at most %.0f", n, clients.allowed())
		}
	}
}

// Guards against exceeding a limit when instances restart in a data centre that is partitioned from
// all seeds: they can't find each other, and each would allocate the share of the data centre.
func TestInstancesRestartedOutOfReachOfSeedsAllocateNothing(t *testing.T) {
	t.Parallel()
	const dataCentres = 5
	w := newSimulation(t, 30, dataCentres) // the seeds are in dc0, dc1 and dc2
	w.setDataCentres(dataCentres)
	clients := newPermitClients(w, 50, 1)
	clients.run(8 * time.Second)
	w.lost = func(a, b *node) bool { return (a.DataCentre == "dc3") != (b.DataCentre == "dc3") }
	clients.run(6 * time.Second)
	restarting := []int{3, 8, 13}
	for _, i := range restarting {
		w.nodes[i].dead = true
	}
	clients.run(3 * time.Second) // until the others in dc3 no longer send to them
	for _, i := range restarting {
		w.start(i, uint64(1000+i), "dc3", w.nodes[i].Cores)
	}
	w.setDataCentres(dataCentres)
	clients.run(20 * time.Second)
	if n := clients.maxInWindow(); float64(n) > clients.allowed() {
		t.Errorf("%d permits granted within 4 s, want at most %.0f", n, clients.allowed())
	}
}

func (w *simulation) setDataCentres(n int) {
	for _, node := range w.nodes {
		node.DataCentres = n
	}
}

// Permit messages survive encoding and decoding; an invalid rate decodes as no limit.
func TestPermitMessageRoundTrip(t *testing.T) {
	lim := balance.ReportedLimit{Known: true, Limited: true, Rate: 1.2, Age: 1500 * time.Millisecond}
	m := &Message{Sender: 1, DataCentre: "a", AllocatesLimits: true,
		PermitRequest: &PermitRequest{Number: 7, Endpoint: 99, DataCentre: "b", Urgency: 2, Limit: lim}}
	got, err := Decode(m.Append(nil))
	if err != nil || !got.AllocatesLimits || *got.PermitRequest != *m.PermitRequest {
		t.Errorf("decoded message is %+v, error %v, want the encoded one", got, err)
	}
	m = &Message{Sender: 1, PermitResponse: &PermitResponse{Number: 7, Granted: true, Wait: time.Second, Allocator: "10.0.0.1:1", Limit: lim},
		Reports: []balance.Report{{Endpoint: 5, Limit: lim}, {Endpoint: 6}}}
	got, err = Decode(m.Append(nil))
	if err != nil || *got.PermitResponse != *m.PermitResponse || got.Reports[0].Limit != lim || got.Reports[1].Limit.Known {
		t.Errorf("decoded message is %+v, error %v, want the encoded one", got, err)
	}
	m.PermitResponse.Limit.Rate = -1
	if got, err = Decode(m.Append(nil)); err != nil || got.PermitResponse.Limit.Known {
		t.Errorf("response with a negative rate decodes to %+v, error %v, want no known limit", got.PermitResponse, err)
	}
}

// BenchmarkPermit measures decoding a permit request and sending the response in a fleet of 120.
func BenchmarkPermit(b *testing.B) {
	w := newSimulation(b, 120, 6)
	w.run(10 * time.Second)
	request := &PermitRequest{Endpoint: permitEndpoint, DataCentre: "dc1", Urgency: 2, Limit: balance.ReportedLimit{Known: true, Limited: true, Rate: 1.2, Age: time.Second}}
	allocator := w.byAddress(w.nodes[0].limitAllocator(w.now, request.Endpoint, request.DataCentre))
	data := (&Message{Sender: 7, DataCentre: "dc1", PermitRequest: request}).Append(nil)
	b.ReportAllocs()
	for b.Loop() {
		m, err := Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		allocator.handle(w.nodes[1].address, m)
		w.inFlight = w.inFlight[:0]
	}
	b.ReportMetric(float64(len(data)), "bytes/ask")
}
