package gossip

// This file checks the bound on the retries of simulated fleets that retry as often as they may.

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/discovery"
	"ivyridge/quota"
)

const (
	retryWindow = 10 * time.Second
	retryStep   = 100 * time.Millisecond
)

var retryBound = quota.RetryLimit{Ratio: 0.2, Extra: 180}

// A retryFleet is a fleet in which all instances receive requests, and retry where they can.
type retryFleet struct {
	*simulation
	service    *catalog.Service
	endpoints  []*discovery.Endpoint
	ownBuckets map[*node]*quota.RetryBudget
	maxSeen    map[*node]int // largest fleet size that each instance saw
	paused     map[*node]bool
	counts     []stepCounts // one per retryStep
	granted    int
}

// stepCounts counts requests and retries within a step.
type stepCounts struct{ requests, retries int }

func newRetryFleet(t testing.TB, n, dataCentres int) *retryFleet {
	s := &retryFleet{
		simulation: newSimulation(t, n, dataCentres), service: &catalog.Service{Name: "s"},
		ownBuckets: make(map[*node]*quota.RetryBudget), maxSeen: make(map[*node]int), paused: make(map[*node]bool),
	}
	s.endpoints = []*discovery.Endpoint{{Endpoint: catalog.Endpoint{ID: "e", DataCentre: "dc0"}}}
	for _, n := range s.nodes {
		s.configure(n, dataCentres)
	}
	return s
}

// configure applies the settings to an instance that starts.
func (s *retryFleet) configure(n *node, dataCentres int) {
	n.DataCentres = dataCentres
	n.OnFleetSize = n.Balancer.SetInstances
	n.Balancer.SetRetries(retryBound)
	s.ownBuckets[n] = new(quota.RetryBudget)
}

// placingNode returns the instance that places a request of n, or nil if it is unreachable.
func (s *retryFleet) placingNode(n *node) *node {
	n.mu.Lock()
	address := n.nextScheduler(s.now)
	n.mu.Unlock()
	if address == "" {
		return n
	}
	for _, other := range s.nodes {
		if other.address.String() != address {
			continue
		}
		if other.dead || s.paused[other] || s.lost != nil && (s.lost(n, other) || s.lost(other, n)) {
			return nil
		}
		return other
	}
	return nil
}

// ownBucket returns what a request adds to n's own retry bucket, and the bucket's capacity.
func (s *retryFleet) ownBucket(n *node) (deposit, capacity float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fleetSize > 1 {
		s.maxSeen[n] = max(s.maxSeen[n], n.fleetSize)
	}
	return retryBound.InstanceBudget(s.maxSeen[n])
}

// serve processes requests at n and, if retriesAllowed is set, sends all retries it may.
func (s *retryFleet) serve(n *node, requests int, retriesAllowed bool) {
	step := &s.counts[len(s.counts)-1]
	deposit, capacity := s.ownBucket(n)
	placingNode := s.placingNode(n)
	place := func(d *balance.Demand) bool {
		if placingNode == nil {
			return false
		}
		p, _ := placingNode.Balancer.Admit(s.endpoints, d)
		if p != nil {
			p.Done(balance.Served)
		}
		return p != nil
	}
	for range requests {
		step.requests++
		d := &balance.Demand{Service: s.service, Deposit: quota.DepositFull}
		if capacity > 0 {
			s.ownBuckets[n].Deposit(deposit, capacity, s.now)
			d.Deposit = quota.DepositRemainder
		}
		place(d)
	}
	for retriesAllowed && s.ownBuckets[n].CanSpend(capacity, 0, s.now) {
		s.ownBuckets[n].Spend(capacity, s.now)
		step.retries++
	}
	for retriesAllowed && place(&balance.Demand{Service: s.service, Retry: balance.RetryInTime}) {
		step.retries++
		s.granted++
	}
	for _, lender := range s.nodes { // all live share holders that n reaches
		for retriesAllowed && !lender.dead && !s.paused[lender] && (s.lost == nil || !s.lost(n, lender)) && lender.Balancer.ChargeRetry("s", balance.RetryInTime) {
			step.retries++
			s.granted++
		}
	}
}

// advance advances time, with the given number of requests per instance in each step.
func (s *retryFleet) advance(d time.Duration, requests int, retriesAllowed func() bool) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.run(retryStep)
		s.counts = append(s.counts, stepCounts{})
		allowed := retriesAllowed()
		for _, n := range s.nodes {
			if !n.dead && !s.paused[n] {
				s.serve(n, requests, allowed)
			}
		}
	}
}

// excess returns the largest excess over the bound of any window. The requests counted are the
// larger number of the window and the one before.
func (s *retryFleet) excess() float64 {
	worst := -retryBound.Extra
	n := int(retryWindow / retryStep)
	sum := func(from, to int) (sum stepCounts) {
		for _, c := range s.counts[max(0, from):max(0, to)] {
			sum.requests += c.requests
			sum.retries += c.retries
		}
		return sum
	}
	for end := range len(s.counts) + 1 {
		window, before := sum(end-n, end), sum(end-2*n, end-n)
		worst = max(worst, float64(window.retries)-retryBound.Ratio*float64(max(window.requests, before.requests))-retryBound.Extra)
	}
	return worst
}

// Retries stay within the bound under random faults. Run more cases with -rapid.checks=400.
func TestRetryBoundUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		dataCentres := rapid.IntRange(2, 5).Draw(rt, "data centres")
		s := newRetryFleet(t, dataCentres*rapid.IntRange(2, 5).Draw(rt, "each"), dataCentres)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		randomNode := func(what string) *node { return s.nodes[rapid.IntRange(0, s.size-1).Draw(rt, what)] }
		requests := rapid.IntRange(1, 12).Draw(rt, "requests")
		retries := func() bool { return rng.IntN(40) == 0 }
		s.advance(9*time.Second, requests, retries)
		for range 3 {
			switch rapid.IntRange(0, 5).Draw(rt, "trouble") {
			case 0:
				for range rapid.IntRange(1, s.size/2).Draw(rt, "deaths") {
					randomNode("dies").dead = true
				}
			case 1:
				s.restart(rng.Uint64, dataCentres)
			case 2:
				isolated := map[*node]bool{}
				for range rapid.IntRange(1, s.size/2).Draw(rt, "cuts") {
					isolated[randomNode("cut off")] = true
				}
				s.lost = func(a, b *node) bool { return isolated[a] || isolated[b] || rng.IntN(50) == 0 }
			case 3:
				half := rapid.Uint64().Draw(rt, "half")
				s.lost = func(a, b *node) bool { return half>>(a.id%64)&1 != half>>(b.id%64)&1 }
			case 4:
				half := rapid.IntRange(1, dataCentres-1).Draw(rt, "data centres cut off")
				s.lost = func(a, b *node) bool {
					return int(a.DataCentre[2]-'0') < half != (int(b.DataCentre[2]-'0') < half)
				}
			case 5:
				n := randomNode("pauses")
				n.dead, s.paused[n] = true, true
			}
			s.advance(time.Duration(rapid.IntRange(1, 6).Draw(rt, "s"))*time.Second, requests, retries)
			for n := range s.paused { // resume paused instances
				n.dead = false
				delete(s.paused, n)
			}
		}
		if over := s.excess(); over > 0 {
			rt.Fatalf("%.1f retries over the bound within a window, want none", over)
		}
	})
}

func (s *retryFleet) restart(id func() uint64, dataCentres int) {
	for i, n := range s.nodes {
		if n.dead && !s.paused[n] {
			s.start(i, id()|1, n.DataCentre, n.Cores)
			s.configure(s.nodes[i], dataCentres)
		}
	}
}

// A settled fleet grants most of the retry budget wherever the requests that need it arrive.
func TestRetriesAvailableWhereNeeded(t *testing.T) {
	t.Parallel()
	s := newRetryFleet(t, 70, 6)
	s.advance(30*time.Second, 2, func() bool { return false })
	s.counts = append(s.counts, stepCounts{})
	for _, n := range s.nodes {
		if n.DataCentre == "dc3" {
			s.serve(n, 0, true)
		}
	}
	if got := s.counts[len(s.counts)-1].retries; got < 90 {
		t.Errorf("instances of one data centre were granted %d retries at once, want at least half of 180", got)
	}
	if over := s.excess(); over > 0 {
		t.Errorf("%.1f retries over the bound within a window, want none", over)
	}
}

// setEarnedRetries gives an instance the whole share of a budget of 40 retries, and the given
// number of requests that earn retries.
func setEarnedRetries(g *Gossip, earned int) {
	g.Balancer.SetRetries(quota.RetryLimit{Ratio: 1, Extra: 40})
	g.Balancer.SetRetryShare(1, 1)
	for range earned {
		g.Balancer.Grant(7, g.State.View().Endpoints("s"), &balance.Demand{Service: &catalog.Service{Name: "s"}, Deposit: quota.DepositFull})
	}
}

func grantedRetries(g *Gossip) int64 { return g.Balancer.QuotaShares().Retries["s"].Granted }

// A retryChargeCase describes who has retries and where one is expected to be charged.
type retryChargeCase struct {
	name                            string
	schedulerProtocol               int // of the scheduler
	schedulerEarned, lenderEarned   int
	unknownEndpoint                 bool  // the scheduler doesn't know the endpoint
	chargedLocally, chargedAtLender int64 // expected retries charged
}

// A retry is charged exactly once: by a scheduler whose version supports it, even if its grant
// can't be used, or by a scheduler of another data centre if the local one has none.
func TestRetryChargedOnce(t *testing.T) {
	for _, c := range []retryChargeCase{
		{name: "scheduler without retry support", schedulerProtocol: protocolResidency, schedulerEarned: 20},
		{name: "scheduler with retries", schedulerProtocol: protocolRetries, schedulerEarned: 20, chargedLocally: 1},
		{name: "unusable grant", schedulerProtocol: protocolRetries, schedulerEarned: 20, unknownEndpoint: true, chargedLocally: 1},
		{name: "scheduler without retries", schedulerProtocol: protocolRetries},
		{name: "other data centre with retries", schedulerProtocol: protocolRetries, lenderEarned: 20, chargedAtLender: 1},
		{name: "scheduler without retry support, other data centre with retries", schedulerProtocol: protocolResidency, schedulerEarned: 20, lenderEarned: 20, chargedAtLender: 1},
	} {
		// A late response costs the retry. Repeat until the responses are in time.
		late := true
		for range 5 {
			if late = c.run(t); !late {
				break
			}
		}
		if late {
			t.Errorf("%s: no response in time in five attempts", c.name)
		}
	}
}

// run places a request that asks for a retry, and reports whether a response was late.
func (c *retryChargeCase) run(t *testing.T) (late bool) {
	d := newDataCentre(t)
	var unanswered atomic.Int64
	count := func(event string) {
		if event == "ask-unanswered" || event == "grant-late" || event == "retry-not-borrowed" && c.chargedAtLender > 0 {
			unanswered.Add(1)
		}
	}
	d.client.Count = count
	d.client.members.byAddress[d.scheduler.conn.(*net.UDPConn).LocalAddr().String()].protocol = c.schedulerProtocol
	lender := listen(t, 77)
	m := &Message{Sender: 77, DataCentre: "y", NextWithin: time.Minute, Protocol: protocolRetries, RetryShare: 1}
	d.client.members.observe(time.Now(), lender.conn.(*net.UDPConn).LocalAddr().String(), m, time.Time{})
	setEarnedRetries(d.scheduler, c.schedulerEarned)
	setEarnedRetries(lender, c.lenderEarned)
	for _, g := range []*Gossip{d.scheduler, d.client, lender} {
		go g.receive()
	}
	endpoints := d.endpoints
	if c.unknownEndpoint {
		endpoints = []*discovery.Endpoint{{Endpoint: catalog.Endpoint{ID: "unknown to the scheduler"}}}
	}
	d.demand.Retry, d.demand.Sent = balance.RetryInTime, true
	p, refusal := d.client.Place(context.Background(), endpoints, d.demand)
	got, charged := grantedRetries(d.scheduler), grantedRetries(lender)
	if unanswered.Load() > 0 && got <= c.chargedLocally && charged <= c.chargedAtLender {
		return true
	}
	if c.chargedLocally+c.chargedAtLender == 0 && (refusal == nil || refusal.Cause != balance.RetryBudgetExhausted) || c.chargedLocally+c.chargedAtLender == 1 && p == nil {
		t.Errorf("%s: placement %+v, refusal %+v, want a placement only if a retry is charged", c.name, p, refusal)
	}
	if got != c.chargedLocally || charged != c.chargedAtLender {
		t.Errorf("%s: %d retries charged locally and %d at the lender, want %d and %d", c.name, got, charged, c.chargedLocally, c.chargedAtLender)
	}
	return false
}
