package gossip

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/discovery"
)

// drawRegion omits TokenHeld, which is appended for each receiver.
func drawRegion(t *rapid.T) RegionMessage {
	return RegionMessage{
		Region:     rapid.StringMatching(`[a-z]{0,5}`).Draw(t, "region"),
		RegionSize: rapid.IntRange(0, 1000).Draw(t, "region size"),
		Restricted: rapid.Bool().Draw(t, "stays"),
	}
}

// A live scheduler whose version doesn't forward keeps gateways from being used.
func TestGatewaysUnusedWithOldSchedulers(t *testing.T) {
	for _, protocol := range []int{protocolResidency, protocolRegions} {
		s := newMembers(Member{Address: "10.0.0.1:1", ID: 1, DataCentre: "dc0"}, nil)
		s.setRegions(twoByOne)
		now := time.Unix(1000, 0)
		for i := range 3 {
			m := &Message{Sender: uint64(i + 2), DataCentre: "dc1", Protocol: protocolRegions, NextWithin: time.Second}
			if i == 1 {
				m.Protocol = protocol
			}
			s.observe(now, fmt.Sprint("10.0.1.", i, ":1"), m, time.Time{})
		}
		r := s.currentRoles(now)
		useGateways := protocol >= protocolRegions
		direct := 3 // schedulers of the other region that get messages directly instead of through a gateway
		if useGateways {
			direct = 0
		}
		if r.useGateways != useGateways || r.isGateway != useGateways || len(r.regionSchedulers) != direct {
			t.Errorf("protocol %d: gateways used %v, is gateway %v, %d schedulers sent to directly, want %v, %v, %d", protocol, r.useGateways, r.isGateway, len(r.regionSchedulers), useGateways, useGateways, direct)
		}
	}
}

func (w *simulation) countCrossRegionBytes(data []byte) {
	m, err := Decode(data)
	if err != nil {
		w.t.Fatal(err)
	}
	w.linkBytes[m.kind()] += len(data)
}

// takeLinkBytes returns the bytes that crossed regions since the last call.
func (w *simulation) takeLinkBytes() (sum int, byKind string) {
	byKind = fmt.Sprint(w.linkBytes)
	for kind, bytes := range w.linkBytes {
		sum += bytes
		delete(w.linkBytes, kind)
	}
	return sum, byKind
}

// Assignments of data centres to regions.
var (
	twoByThree    = map[string]string{"dc0": "a", "dc1": "b", "dc2": "a", "dc3": "b", "dc4": "a", "dc5": "b"}
	oneAndThree   = map[string]string{"dc0": "a", "dc1": "b", "dc2": "b", "dc3": "b"}
	threeByTwo    = map[string]string{"dc0": "a", "dc1": "b", "dc2": "c", "dc3": "a", "dc4": "b", "dc5": "c"}
	twoByOne      = map[string]string{"dc0": "a", "dc1": "b"}
	regionLayouts = []struct {
		name    string
		regions map[string]string
	}{{"two regions of three", twoByThree}, {"one and three", oneAndThree}, {"three regions of two", threeByTwo}, {"two regions of one", twoByOne}}
)

// wantGatewaysAgree fails the test unless regions have one gateway each, gateways know each other,
// instances count all instances, and schedulers know all schedulers.
func (w *simulation) wantGatewaysAgree(when string) {
	w.t.Helper()
	live, schedulers := 0, 0
	gateways := make(map[string]int)
	names := make(map[string]bool)
	for _, n := range w.nodes {
		if n.dead {
			continue
		}
		live++
		names[w.regions[n.DataCentre]] = true
		r := n.members.currentRoles(w.now)
		if r.isScheduler {
			schedulers++
		}
		if r.isGateway {
			gateways[w.regions[n.DataCentre]]++
		}
	}
	for region := range names {
		if gateways[region] != 1 {
			w.t.Errorf("%s: region %s has %d gateways, want 1", when, region, gateways[region])
		}
	}
	for i, n := range w.nodes {
		r := n.members.currentRoles(w.now)
		switch {
		case n.dead:
			continue
		case n.fleetSize != live:
			w.t.Errorf("%s: instance %d counts %d instances, want %d", when, i, n.fleetSize, live)
		case r.isScheduler && len(r.schedulers) != schedulers-1:
			w.t.Errorf("%s: scheduler %d knows %d schedulers, want %d", when, i, len(r.schedulers), schedulers-1)
		case r.isGateway && len(r.otherGateways) != len(names)-1:
			w.t.Errorf("%s: gateway %d knows %d others, want %d", when, i, len(r.otherGateways), len(names)-1)
		}
	}
}

func (w *simulation) inDifferentRegions(a, b *node) bool {
	return w.regions[a.DataCentre] != w.regions[b.DataCentre]
}

// Regions agree on their gateways after the start, and again within 5 s after a 20 s partition in
// one or both directions. The traffic in these 5 s is at most three times the usual rate.
func TestRegionsRejoinAfterPartition(t *testing.T) {
	t.Parallel()
	for _, c := range regionLayouts {
		for _, oneWay := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, ", one way: ", oneWay), func(t *testing.T) {
				t.Parallel()
				w := newRegionSimulation(t, 36, len(c.regions), c.regions, true)
				w.run(15 * time.Second)
				w.wantGatewaysAgree("started")
				w.takeLinkBytes()
				w.run(10 * time.Second)
				usual, usualKinds := w.takeLinkBytes()
				w.lost = func(from, to *node) bool {
					return w.inDifferentRegions(from, to) && (!oneWay || w.regions[from.DataCentre] == "a")
				}
				w.run(20 * time.Second)
				w.takeLinkBytes()
				w.lost = nil
				w.run(5 * time.Second)
				rejoin, rejoinKinds := w.takeLinkBytes()
				w.wantGatewaysAgree("5 s after the partition")
				t.Logf("before %d B/s %s, after the partition %d B/s %s", usual/10, usualKinds, rejoin/5, rejoinKinds)
				if rejoin/5 > 3*usual/10 {
					t.Errorf("%d B/s between regions after the partition (%s), want at most three times the usual %d (%s)", rejoin/5, rejoinKinds, usual/10, usualKinds)
				}
			})
		}
	}
}

// If a region's gateway is lost the next one takes over.
func TestGatewayFailover(t *testing.T) {
	t.Parallel()
	w := newRegionSimulation(t, 60, 6, twoByThree, true)
	w.run(15 * time.Second)
	for _, n := range w.nodes {
		if n.members.currentRoles(w.now).isGateway {
			n.dead = true
		}
	}
	w.run(6 * time.Second)
	w.wantGatewaysAgree("after the loss of both gateways")
}

// A trafficGenerator has instances place requests through a scheduler of their data centre. Each
// request ends after about a second.
type trafficGenerator struct {
	w         *simulation
	endpoints []*discovery.Endpoint
	service   *catalog.Service
	open      []*balance.Placement
	placed    int
}

func (w *simulation) newTraffic(endpoints int) *trafficGenerator {
	traffic := &trafficGenerator{w: w, service: &catalog.Service{Name: "s", Engine: &catalog.Engine{Slots: 64, MemoryTokens: 300_000}}}
	for i := range endpoints {
		traffic.endpoints = append(traffic.endpoints, &discovery.Endpoint{Endpoint: catalog.Endpoint{ID: fmt.Sprint("e", i), DataCentre: fmt.Sprint("dc", i%len(w.regions))}})
	}
	for _, n := range w.nodes {
		n.Balancer.SetRegions(n.Regions)
		n.Balancer.Place(traffic.endpoints, traffic.demand()).Done(balance.Served) // makes the endpoints known to all instances
		n.Balancer.TakeNotices()
	}
	return traffic
}

func (g *trafficGenerator) demand() *balance.Demand {
	g.placed++
	return &balance.Demand{
		Service: g.service, Priority: g.placed % 3, Objective: 2 * time.Second, Prompt: 9000, Output: 100, Bytes: 9000,
		Parts: []balance.PromptPart{{ID: uint64(g.placed%200 + 1), Tokens: 6300}, {ID: uint64(g.placed) << 20, Tokens: 2700}},
	}
}

// run advances time with the given number of requests per second.
func (g *trafficGenerator) run(d time.Duration, rate int) {
	perStep := rate * int(simulationStep) / int(time.Second)
	for range d / simulationStep {
		for range perStep {
			g.request(g.w.nodes[g.placed%len(g.w.nodes)])
		}
		if maxOpen := rate; len(g.open) > maxOpen {
			for _, p := range g.open[:len(g.open)-maxOpen] {
				p.Done(balance.Served)
			}
			g.open = g.open[len(g.open)-maxOpen:]
		}
		g.w.run(simulationStep)
	}
}

func (g *trafficGenerator) request(n *node) {
	d := g.demand()
	schedulers := n.members.currentRoles(g.w.now).schedulerOrder
	if len(schedulers) == 0 {
		g.open = append(g.open, n.Balancer.Place(g.endpoints, d))
		return
	}
	for _, other := range g.w.nodes {
		if other.Address == schedulers[0].Address && !other.dead {
			if p, _ := n.Balancer.AcceptGrant(other.Balancer.Grant(n.id, g.endpoints, d), g.endpoints, d); p != nil {
				g.open = append(g.open, p)
			}
			return
		}
	}
}

// Control traffic crosses the link between two regions once instead of once per scheduler.
func TestControlTrafficCrossesRegionsOnce(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ instances, endpoints, rate int }{{70, 140, 600}, {300, 140, 600}} {
		if testing.Short() && c.instances > 100 {
			continue
		}
		var sum [2]int
		for i, useGateways := range []bool{false, true} {
			w := newRegionSimulation(t, c.instances, 6, twoByThree, useGateways)
			traffic := w.newTraffic(c.endpoints)
			w.run(10 * time.Second)
			traffic.run(time.Second, c.rate)
			w.takeLinkBytes()
			traffic.run(2*time.Second, c.rate)
			var kinds string
			sum[i], kinds = w.takeLinkBytes()
			t.Logf("%d instances, gateways %v: %d KB/s between regions, %s", c.instances, useGateways, sum[i]/2000, kinds)
		}
		if 4*sum[1] > sum[0] {
			t.Errorf("%d instances: %d bytes between regions with gateways, want at most a quarter of the %d without", c.instances, sum[1], sum[0])
		}
	}
}

// The shares of a cold endpoint's rate sum to at most one while regions are partitioned or rejoin.
func TestColdSharesDuringRegionPartition(t *testing.T) {
	t.Parallel()
	for _, c := range regionLayouts {
		for _, oneWay := range []bool{false, true} {
			w := newRegionSimulation(t, 24, len(c.regions), c.regions, true)
			w.run(12 * time.Second)
			if sum, _ := w.coldShares(); sum < 0.99 {
				t.Errorf("%s: cold shares sum to %.2f once settled, want 1", c.name, sum)
			}
			w.lost = func(from, to *node) bool {
				return w.inDifferentRegions(from, to) && (!oneWay || w.regions[from.DataCentre] == "a")
			}
			w.coldSharesNeverExceed(1, 15*time.Second)
			if sum, _ := w.coldShares(); sum < 0.99 {
				t.Errorf("%s: cold shares sum to %.2f during the partition, want 1: each region keeps its shares", c.name, sum)
			}
			w.lost = nil
			w.coldSharesNeverExceed(1, 8*time.Second)
		}
	}
}

// Restricted prompt parts don't leave their region; others reach the schedulers of all regions.
func TestRestrictedPromptPartsStayInRegion(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		homeRegions []string // nil: not restricted
		known       bool
	}{{nil, true}, {[]string{"a"}, false}} {
		w := newRegionSimulation(t, 36, 6, twoByThree, true)
		traffic := w.newTraffic(6)
		w.run(10 * time.Second)
		d := &balance.Demand{Service: traffic.service, Objective: time.Second, Prompt: 9000, Parts: []balance.PromptPart{{ID: 1 << 50, Tokens: 6300}, {ID: 1 << 51, Tokens: 2700}}}
		if c.homeRegions != nil {
			d.Residency = catalog.NewResidency(c.homeRegions)
		}
		placed := 0
		for _, n := range w.nodes {
			// Place from each scheduler of dc0, one of which is the region's gateway.
			if r := n.members.currentRoles(w.now); n.DataCentre == "dc0" && r.isScheduler && n.Balancer.Place(traffic.endpoints[:1], d) != nil {
				placed++
			}
		}
		w.run(time.Second)
		d.Residency = catalog.Residency{}
		for i, n := range w.nodes {
			if r := n.members.currentRoles(w.now); !r.isScheduler {
				continue
			}
			home := w.regions[n.DataCentre] == "a"
			cached := n.Balancer.Place(traffic.endpoints[:1], d).Cached
			if want := home || c.known; (cached > 0) != want || placed != 3 {
				t.Errorf("home regions %v: scheduler %d of %s knows %d cached tokens, want some: %v", c.homeRegions, i, n.DataCentre, cached, want)
			}
		}
	}
}

// A gateway doesn't forward restricted parts, nor notices of a version that can't mark them.
func TestGatewayWithholdsRestrictedParts(t *testing.T) {
	w := newRegionSimulation(t, 12, 2, twoByOne, true)
	w.run(10 * time.Second)
	for _, n := range w.nodes {
		if !n.members.currentRoles(w.now).isGateway {
			continue
		}
		for _, c := range []struct {
			protocol         int
			restricted       bool
			queued, redacted int
		}{{protocolResidency, false, 0, 0}, {protocolRegions, false, 1, 0}, {protocolRegions, true, 1, 1}} {
			n.crossRegion.notices = nil
			n.collectNotices(w.now, &Message{
				DataCentre: n.DataCentre, Protocol: c.protocol, RegionMessage: RegionMessage{Restricted: c.restricted},
				Notices: []balance.Notice{{Endpoint: 1, Parts: []balance.PromptPart{{ID: 2, Tokens: 3}}}},
			})
			redacted := 0
			for _, notice := range balance.RedactParts(n.crossRegion.notices, "elsewhere") {
				if notice.Parts == nil {
					redacted++
				}
			}
			if len(n.crossRegion.notices) != c.queued || redacted != c.redacted {
				t.Errorf("protocol %d, restricted %v: %d notices queued, %d without parts for the other region, want %d and %d", c.protocol, c.restricted, len(n.crossRegion.notices), redacted, c.queued, c.redacted)
			}
		}
	}
}

// Another region knows the load of a region's only instance, and that it is leaving.
func TestSingleInstanceRegionIsVisible(t *testing.T) {
	t.Parallel()
	w := newRegionSimulation(t, 4, 2, twoByOne, true)
	w.nodes[3].dead = true
	traffic := w.newTraffic(2)
	w.run(10 * time.Second)
	lone, other := w.nodes[1], w.nodes[0]
	d := traffic.demand()
	lone.Balancer.Place(traffic.endpoints[1:], d)
	w.run(500 * time.Millisecond)
	if p := other.Balancer.Place(traffic.endpoints[1:], d); p.Cached != 9000 {
		t.Errorf("%d cached tokens known of a prompt that ran in the other region, want 9000", p.Cached)
	}
	aggregates, _ := other.Balancer.AggregateReports(func(id uint64) bool { return id == regionKey("b") }, true, 0)
	if len(aggregates) != 1 || aggregates[0].Requests != 1 {
		t.Errorf("load known of the other region: %+v, want one request", aggregates)
	}
	lone.Leave()
	w.run(2 * simulationStep)
	for _, m := range other.Members() {
		if m.ID == lone.id && !m.Leaving {
			t.Errorf("the instance of the other region is not known to be leaving")
		}
	}
}

// Schedulers measure propagation and queueing delay although receivers hold tokens for up to 1 s.
func TestLinkMeasurement(t *testing.T) {
	t.Parallel()
	w := newRegionSimulation(t, 24, 6, twoByThree, true)
	w.run(15 * time.Second)
	check := func(want time.Duration) {
		t.Helper()
		for i, n := range w.nodes {
			if r := n.members.currentRoles(w.now); r.isScheduler {
				if propagation, queueing := n.link.add(w.now, time.Hour); propagation.Round(time.Millisecond) != 2*simulationStep || queueing.Round(time.Millisecond) != want {
					t.Errorf("scheduler %d measured propagation %v and queueing %v, want %v and %v", i, propagation, queueing, 2*simulationStep, want)
				}
			}
		}
	}
	check(0)
	w.delay = func(from, to *node) int {
		if w.inDifferentRegions(from, to) {
			return 2
		}
		return 0
	}
	w.run(3 * time.Second)
	check(4 * simulationStep)
	w.delay = nil
	w.run(3 * time.Second)
	check(0)
}
