package gossip

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/balance"
	"ivyridge/belief"
	"ivyridge/catalog"
)

// drawRegion leaves out Held, which is added for each receiver.
func drawRegion(t *rapid.T) RegionMessage {
	return RegionMessage{
		RegionOf:  rapid.StringMatching(`[a-z]{0,5}`).Draw(t, "region"),
		HearsHome: rapid.IntRange(0, 1000).Draw(t, "hears at home"),
		Stays:     rapid.Bool().Draw(t, "stays"),
	}
}

// While a scheduler of an older version is heard, which does not pass on, all are told as within
// a region.
func TestOlderSchedulersAreToldAll(t *testing.T) {
	for _, level := range []int{levelHomes, levelRegions} {
		s := newMembers(Member{Address: "10.0.0.1:1", ID: 1, DataCentre: "dc0"}, nil)
		s.setRegions(oneEach)
		now := time.Unix(1000, 0)
		for i := range 3 {
			m := &Message{Sender: uint64(i + 2), DataCentre: "dc1", Level: levelRegions, Next: time.Second}
			if i == 1 {
				m.Level = level
			}
			s.heard(now, fmt.Sprint("10.0.1.", i, ":1"), m, time.Time{})
		}
		r := s.current(now)
		divided := level >= levelRegions
		told := 3 // schedulers told directly
		if divided {
			told = 0
		}
		if r.divided != divided || r.gateway != divided || len(r.home) != told {
			t.Errorf("level %d: divided %v, gateway %v, %d schedulers told directly, want %v, %v, %d", level, r.divided, r.gateway, len(r.home), divided, divided, told)
		}
	}
}

func (w *world) countLink(data []byte) {
	m, err := Decode(data)
	if err != nil {
		w.t.Fatal(err)
	}
	w.linkBytes[m.kind()] += len(data)
}

// linkSum returns all bytes that crossed regions, and forgets them.
func (w *world) linkSum() (sum int, byKind string) {
	byKind = fmt.Sprint(w.linkBytes)
	for kind, bytes := range w.linkBytes {
		sum += bytes
		delete(w.linkBytes, kind)
	}
	return sum, byKind
}

// Layouts of data centres in regions.
var (
	twoAlike  = map[string]string{"dc0": "a", "dc1": "b", "dc2": "a", "dc3": "b", "dc4": "a", "dc5": "b"}
	oneThree  = map[string]string{"dc0": "a", "dc1": "b", "dc2": "b", "dc3": "b"}
	three     = map[string]string{"dc0": "a", "dc1": "b", "dc2": "c", "dc3": "a", "dc4": "b", "dc5": "c"}
	oneEach   = map[string]string{"dc0": "a", "dc1": "b"}
	allByName = []struct {
		name    string
		regions map[string]string
	}{{"two alike", twoAlike}, {"one to three", oneThree}, {"three", three}, {"a data centre each", oneEach}}
)

// wantRegionsAgree fails the test unless each region has one gateway, which knows those of the
// others, and all instances count all, and schedulers know all schedulers.
func (w *world) wantRegionsAgree(when string) {
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
		r := n.members.current(w.now)
		if r.schedules {
			schedulers++
		}
		if r.gateway {
			gateways[w.regions[n.DataCentre]]++
		}
	}
	for region := range names {
		if gateways[region] != 1 {
			w.t.Errorf("%s: region %s has %d gateways, want 1", when, region, gateways[region])
		}
	}
	for i, n := range w.nodes {
		r := n.members.current(w.now)
		switch {
		case n.dead:
			continue
		case n.count != live:
			w.t.Errorf("%s: instance %d counts %d instances, want %d", when, i, n.count, live)
		case r.schedules && len(r.schedulers) != schedulers-1:
			w.t.Errorf("%s: scheduler %d knows %d schedulers, want %d", when, i, len(r.schedulers), schedulers-1)
		case r.gateway && len(r.others) != len(names)-1:
			w.t.Errorf("%s: gateway %d knows %d others, want %d", when, i, len(r.others), len(names)-1)
		}
	}
}

// apart returns whether two instances are in different regions.
func (w *world) apart(a, b *node) bool { return w.regions[a.DataCentre] != w.regions[b.DataCentre] }

// Regions agree on their gateways after the start, and again within 5 s after they lost each
// other for 20 s, in both directions or in one, without a storm: what crosses in these 5 s
// is at most three times what crosses otherwise.
func TestRegionsFindEachOtherAgain(t *testing.T) {
	t.Parallel()
	for _, c := range allByName {
		for _, oneWay := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, ", one way: ", oneWay), func(t *testing.T) {
				t.Parallel()
				w := newRegionsWorld(t, 36, len(c.regions), c.regions, true)
				w.run(15 * time.Second)
				w.wantRegionsAgree("started")
				w.linkSum()
				w.run(10 * time.Second)
				calm, kinds := w.linkSum()
				w.cut = func(from, to *node) bool {
					return w.apart(from, to) && (!oneWay || w.regions[from.DataCentre] == "a")
				}
				w.run(20 * time.Second)
				w.linkSum()
				w.cut = nil
				w.run(5 * time.Second)
				healed, healedKinds := w.linkSum()
				w.wantRegionsAgree("5 s after the cut")
				t.Logf("calm %d B/s %s, after the cut %d B/s %s", calm/10, kinds, healed/5, healedKinds)
				if healed/5 > 3*calm/10 {
					t.Errorf("%d B/s cross after the cut (%s), want at most three times the usual %d (%s)", healed/5, healedKinds, calm/10, kinds)
				}
			})
		}
	}
}

// A region's gateway is lost: the next one takes over, and what the region runs is known
// beyond it.
func TestGatewayIsReplaced(t *testing.T) {
	t.Parallel()
	w := newRegionsWorld(t, 60, 6, twoAlike, true)
	w.run(15 * time.Second)
	for _, n := range w.nodes {
		if n.members.current(w.now).gateway {
			n.dead = true
		}
	}
	w.run(6 * time.Second)
	w.wantRegionsAgree("after the loss of both gateways")
}

// requests plays traffic: each step, some instances have a request placed by a scheduler of
// their data centre, and end it after a second.
type requests struct {
	w         *world
	endpoints []*belief.Endpoint
	service   *catalog.Service
	open      []*balance.Placement
	placed    int
}

func (w *world) newRequests(endpoints int) *requests {
	q := &requests{w: w, service: &catalog.Service{Name: "s", Engine: &catalog.Engine{Slots: 64, MemoryTokens: 300_000}}}
	for i := range endpoints {
		q.endpoints = append(q.endpoints, &belief.Endpoint{Endpoint: catalog.Endpoint{ID: fmt.Sprint("e", i), DataCentre: fmt.Sprint("dc", i%len(w.regions))}})
	}
	for _, n := range w.nodes {
		n.Balancer.SetRegions(n.Regions)
		n.Balancer.Place(q.endpoints, q.demand()).Done(balance.Served) // all know the endpoints
		n.Balancer.Placed()
	}
	return q
}

func (q *requests) demand() *balance.Demand {
	q.placed++
	return &balance.Demand{
		Service: q.service, Priority: q.placed % 3, Objective: 2 * time.Second, Prompt: 9000, Output: 100, Bytes: 9000,
		Parts: []balance.Part{{ID: uint64(q.placed%200 + 1), Tokens: 6300}, {ID: uint64(q.placed) << 20, Tokens: 2700}},
	}
}

// run lets time pass with so many requests a second.
func (q *requests) run(d time.Duration, rate int) {
	each := rate * int(worldStep) / int(time.Second)
	for range d / worldStep {
		for range each {
			q.request(q.w.nodes[q.placed%len(q.w.nodes)])
		}
		if most := rate; len(q.open) > most {
			for _, p := range q.open[:len(q.open)-most] {
				p.Done(balance.Served)
			}
			q.open = q.open[len(q.open)-most:]
		}
		q.w.run(worldStep)
	}
}

func (q *requests) request(n *node) {
	d := q.demand()
	asked := n.members.current(q.w.now).asked
	if len(asked) == 0 {
		q.open = append(q.open, n.Balancer.Place(q.endpoints, d))
		return
	}
	for _, other := range q.w.nodes {
		if other.Address == asked[0].Address && !other.dead {
			if p, _ := n.Balancer.Adopt(other.Balancer.Grant(n.id, q.endpoints, d), q.endpoints, d); p != nil {
				q.open = append(q.open, p)
			}
			return
		}
	}
}

// What schedulers tell each other crosses the link between two regions once: see the figures
// logged, by kind, for instances that don't know regions and for those that do.
func TestControlCrossesRegionsOnce(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ instances, endpoints, rate int }{{70, 140, 600}, {300, 140, 600}} {
		if testing.Short() && c.instances > 100 {
			continue
		}
		var sum [2]int
		for i, divided := range []bool{false, true} {
			w := newRegionsWorld(t, c.instances, 6, twoAlike, divided)
			q := w.newRequests(c.endpoints)
			w.run(10 * time.Second)
			q.run(time.Second, c.rate)
			w.linkSum()
			q.run(2*time.Second, c.rate)
			var kinds string
			sum[i], kinds = w.linkSum()
			t.Logf("%d instances, regions known: %v: %d KB/s cross, %s", c.instances, divided, sum[i]/2000, kinds)
		}
		if 4*sum[1] > sum[0] {
			t.Errorf("%d instances: %d bytes cross between regions, want less than a quarter of %d", c.instances, sum[1], sum[0])
		}
	}
}

// The parts of cold endpoints' rates are one whole at most while regions have lost each other,
// in both directions or one, and when they find each other again.
func TestColdPartsWhileRegionsAreApart(t *testing.T) {
	t.Parallel()
	for _, c := range allByName {
		for _, oneWay := range []bool{false, true} {
			w := newRegionsWorld(t, 24, len(c.regions), c.regions, true)
			w.run(12 * time.Second)
			if sum, _ := w.coldParts(); sum < 0.99 {
				t.Errorf("%s: parts of %.2f once settled, want one whole", c.name, sum)
			}
			w.cut = func(from, to *node) bool {
				return w.apart(from, to) && (!oneWay || w.regions[from.DataCentre] == "a")
			}
			w.coldPartsNever(1, 15*time.Second)
			if sum, _ := w.coldParts(); sum < 0.99 {
				t.Errorf("%s: parts of %.2f while regions are apart, want both to serve on", c.name, sum)
			}
			w.cut = nil
			w.coldPartsNever(1, 8*time.Second)
		}
	}
}

// Parts of a prompt that may be known in one region only are not passed on to another; others
// are known to all schedulers there.
func TestBoundPartsStayInTheirRegion(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		homes []string // nil: not bound
		known bool
	}{{nil, true}, {[]string{"a"}, false}} {
		w := newRegionsWorld(t, 36, 6, twoAlike, true)
		q := w.newRequests(6)
		w.run(10 * time.Second)
		d := &balance.Demand{Service: q.service, Objective: time.Second, Prompt: 9000, Parts: []balance.Part{{ID: 1 << 50, Tokens: 6300}, {ID: 1 << 51, Tokens: 2700}}}
		if c.homes != nil {
			d.Homes = catalog.NewHomes(c.homes)
		}
		placed := 0
		for _, n := range w.nodes {
			// The gateway's own placements and those of another scheduler of its region.
			if r := n.members.current(w.now); n.DataCentre == "dc0" && r.schedules && n.Balancer.Place(q.endpoints[:1], d) != nil {
				placed++
			}
		}
		w.run(time.Second)
		d.Homes = catalog.Homes{}
		for i, n := range w.nodes {
			if r := n.members.current(w.now); !r.schedules {
				continue
			}
			home := w.regions[n.DataCentre] == "a"
			cached := n.Balancer.Place(q.endpoints[:1], d).Cached
			if want := home || c.known; (cached > 0) != want || placed != 3 {
				t.Errorf("homes %v: scheduler %d of %s knows %d tokens, want some: %v", c.homes, i, n.DataCentre, cached, want)
			}
		}
	}
}

// A gateway passes on nothing of an instance that may not say which parts have to stay, nor parts
// of which one says so.
func TestGatewayKeepsWhatMayBeBound(t *testing.T) {
	w := newRegionsWorld(t, 12, 2, oneEach, true)
	w.run(10 * time.Second)
	for _, n := range w.nodes {
		if !n.members.current(w.now).gateway {
			continue
		}
		for _, c := range []struct {
			level       int
			stays       bool
			kept, bound int
		}{{levelHomes, false, 0, 0}, {levelRegions, false, 1, 0}, {levelRegions, true, 1, 1}} {
			n.beyond.notices = nil
			n.collect(w.now, &Message{
				DataCentre: n.DataCentre, Level: c.level, RegionMessage: RegionMessage{Stays: c.stays},
				Notices: []balance.Notice{{Endpoint: 1, Parts: []balance.Part{{ID: 2, Tokens: 3}}}},
			})
			bound := 0
			for _, told := range balance.Withhold(n.beyond.notices, "elsewhere") {
				if told.Parts == nil {
					bound++
				}
			}
			if len(n.beyond.notices) != c.kept || bound != c.bound {
				t.Errorf("level %d, stays %v: %d kept, %d without parts elsewhere, want %d and %d", c.level, c.stays, len(n.beyond.notices), bound, c.kept, c.bound)
			}
		}
	}
}

// What the only instance of a region places and runs is known in the other, and that it leaves.
func TestLoneInstanceOfARegionIsHeard(t *testing.T) {
	t.Parallel()
	w := newRegionsWorld(t, 4, 2, oneEach, true)
	w.nodes[3].dead = true
	q := w.newRequests(2)
	w.run(10 * time.Second)
	lone, other := w.nodes[1], w.nodes[0]
	d := q.demand()
	lone.Balancer.Place(q.endpoints[1:], d)
	w.run(500 * time.Millisecond)
	if p := other.Balancer.Place(q.endpoints[1:], d); p.Cached != 9000 {
		t.Errorf("%d tokens of a prompt that the other region read are known, want 9000", p.Cached)
	}
	sums, _ := other.Balancer.Sums(func(id uint64) bool { return id == regionKey("b") }, true, 0)
	if len(sums) != 1 || sums[0].Requests != 1 {
		t.Errorf("the other region is thought to run %+v, want one request", sums)
	}
	lone.Leave()
	w.run(2 * worldStep)
	for _, m := range other.Members() {
		if m.ID == lone.id && !m.Leaving {
			t.Errorf("that an instance of the other region leaves is not known")
		}
	}
}

// Schedulers measure the way to other regions, whose ends hold tokens for up to a second, and
// what waits there: here two steps of virtual time, and later four more.
func TestLinkIsMeasured(t *testing.T) {
	t.Parallel()
	w := newRegionsWorld(t, 24, 6, twoAlike, true)
	w.run(15 * time.Second)
	check := func(want time.Duration) {
		t.Helper()
		for i, n := range w.nodes {
			if r := n.members.current(w.now); r.schedules {
				if way, queue := n.link.add(w.now, time.Hour); way.Round(time.Millisecond) != 2*worldStep || queue.Round(time.Millisecond) != want {
					t.Errorf("scheduler %d measures a way of %v and a queue of %v, want %v and %v", i, way, queue, 2*worldStep, want)
				}
			}
		}
	}
	check(0)
	w.slow = func(from, to *node) int {
		if w.apart(from, to) {
			return 2
		}
		return 0
	}
	w.run(3 * time.Second)
	check(4 * worldStep)
	w.slow = nil
	w.run(3 * time.Second)
	check(0)
}
