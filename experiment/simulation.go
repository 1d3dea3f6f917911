package experiment

import (
	"container/heap"
	"time"

	"ivyridge/decl"
	"ivyridge/home"
	"ivyridge/load"
)

const (
	tickInterval     = 20 * time.Millisecond
	progressInterval = 100 * time.Millisecond
	reportInterval   = 500 * time.Millisecond
	networkLatency   = time.Millisecond // one way
)

// An event is a callback at a virtual time. Events of equal time run in order of seq.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// events is a heap ordered by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type request struct {
	*load.Arrival
	spec       *decl.Class
	pool       *pool
	key        home.Key
	firstToken time.Duration // time of the first token or the service's response
	end        time.Duration
	grantedAt  time.Duration
	lastToken  time.Duration // time of the last token
	tokens     int
	endpoint   *endpoint // nil until granted
	avoid      string    // endpoint that failed the previous attempt
	outcome    outcome
	attempts   int
}

type outcome int

const (
	unfinished outcome = iota // at the end of the run
	served
	refused
	failed
)

type simulation struct {
	scenario *Scenario
	now      time.Duration
	seq      uint64
	events   events
	pools    map[string]*pool
	requests []*request
	byKey    map[home.Key]*request
	lastKey  uint64
	computed int64 // tokens
	end      time.Duration
}

func newSimulation(s *Scenario, policy home.Policy, seed uint64) *simulation {
	sim := &simulation{scenario: s, pools: make(map[string]*pool), byKey: make(map[home.Key]*request)}
	sim.end = s.Workload.Duration + s.Workload.Drain
	for i := range s.Set.Pools {
		p := &s.Set.Pools[i]
		sim.pools[p.Name] = newPool(sim, p, policy)
	}
	arrivals := s.Workload.Arrivals(seed)
	for i := range arrivals {
		a := &arrivals[i]
		r := &request{Arrival: a, spec: s.Set.Class(a.Class.Name), pool: sim.pools[a.Class.Model+a.Class.Service]}
		sim.requests = append(sim.requests, r)
		sim.after(a.At, func() { sim.submit(r) })
	}
	for _, f := range s.Faults {
		sim.after(f.At, func() { sim.injectFault(f) })
	}
	return sim
}

// after schedules f to run once, d from now.
func (sim *simulation) after(d time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.events, event{sim.now + d, sim.seq, f})
}

// every schedules f to run at intervals of d, the first time d from now.
func (sim *simulation) every(d time.Duration, f func()) {
	var tick func()
	tick = func() {
		f()
		sim.after(d, tick)
	}
	sim.after(d, tick)
}

func (sim *simulation) run() {
	for len(sim.events) > 0 && sim.events[0].at <= sim.end {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
}

func (sim *simulation) injectFault(f Fault) {
	for _, p := range sim.pools {
		if p.spec.Kind != decl.Model {
			continue
		}
		e := p.endpoints[f.Endpoint]
		if f.Slow > 0 {
			e.engine.Slowness = f.Slow
		}
		if f.Crash {
			e.crash()
		}
	}
}

func (sim *simulation) submit(r *request) {
	sim.lastKey++
	r.key = home.Key{Entry: "entry", Seq: sim.lastKey}
	r.attempts++
	sim.byKey[r.key] = r
	sim.after(networkLatency, func() {
		r.pool.scheduler.Submit(sim.now, home.Request{
			Key: r.key, Class: r.Class.Name, Team: r.Team.Name, Prompt: r.Class.Prompt,
			Age: sim.now - r.At, Prefix: r.prefix(), Avoid: r.avoid,
		})
		r.pool.applyDecisions()
	})
}

// prefix returns an FNV-1a hash of the team, or zero if the class shares no prefix.
func (r *request) prefix() uint64 {
	if r.Class.Shared == 0 {
		return 0
	}
	h := uint64(14695981039346656037)
	for _, b := range []byte(r.Team.Name) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}

func (r *request) finish(sim *simulation, o outcome) {
	r.outcome, r.end = o, sim.now
	rel := home.Release{
		Key: r.key, Team: r.Team.Name, Tokens: r.tokens, Duration: sim.now - r.grantedAt,
		Failed: o == failed, Complete: o == served, Late: !r.onTime(),
	}
	if r.firstToken > 0 {
		rel.FirstToken = r.firstToken - r.grantedAt
	}
	sim.release(r, rel)
}

func (sim *simulation) release(r *request, rel home.Release) {
	delete(sim.byKey, r.key)
	sim.after(networkLatency, func() {
		r.pool.scheduler.Done(sim.now, rel)
		r.pool.applyDecisions()
	})
}

func (r *request) onTime() bool {
	return r.outcome == served &&
		(r.Class.FirstToken == 0 || r.firstToken-r.At <= r.Class.FirstToken) &&
		(r.Class.Whole == 0 || r.end-r.At <= r.Class.Whole)
}

func (r *request) tokenGapMet() bool {
	return r.tokens < 2 || r.spec.TokenGap == 0 || (r.lastToken-r.firstToken)/time.Duration(r.tokens-1) <= r.spec.TokenGap
}

// handleEndpointLoss retries a request if it is repeatable or unsent, or fails it.
func (r *request) handleEndpointLoss(sim *simulation, unsent bool) {
	const maxAttempts = 4
	if (r.spec.Repeatable || unsent) && r.attempts < maxAttempts {
		sim.release(r, home.Release{Key: r.key, Team: r.Team.Name, Failed: true})
		r.avoid, r.endpoint = r.endpoint.name, nil
		r.firstToken, r.tokens = 0, 0
		sim.submit(r)
		return
	}
	r.finish(sim, failed)
}

func (sim *simulation) result() *Result {
	res := &Result{ComputedTokens: sim.computed}
	gapsMet, streamed := 0, 0
	for i := range sim.scenario.Workload.Classes {
		res.Classes = append(res.Classes, ClassResult{Class: sim.scenario.Workload.Classes[i].Name, Teams: make(map[string]*TeamResult)})
	}
	for _, r := range sim.requests {
		c := res.Class(r.Class.Name)
		c.add(sim.scenario, r)
		if r.onTime() {
			res.OnTimeTokens += int64(r.tokens)
		}
		if r.outcome == served && r.tokens > 1 {
			streamed++
			if r.tokenGapMet() {
				gapsMet++
			}
		}
	}
	for i := range res.Classes {
		if c := &res.Classes[i]; c.Offered > 0 {
			c.Attainment = float64(c.OnTime) / float64(c.Offered)
		}
	}
	res.Goodput = float64(res.OnTimeTokens) / sim.scenario.Workload.Duration.Seconds()
	res.Gaps = float64(gapsMet) / float64(max(1, streamed))
	res.RecoveryTime = sim.recoveryTime()
	for _, p := range sim.pools {
		res.Slow += p.scheduler.Counts.SlowSeen
	}
	return res
}

func (sim *simulation) recoveryTime() time.Duration {
	const normalShare = 0.9
	if sim.scenario.To == 0 {
		return 0
	}
	seconds := int((sim.scenario.Workload.Duration - sim.scenario.To) / time.Second)
	offered, onTime := make([]int, seconds+1), make([]int, seconds+1)
	for _, r := range sim.requests {
		if r.At < sim.scenario.To {
			continue
		}
		offered[(r.At-sim.scenario.To)/time.Second]++
		if r.onTime() {
			onTime[(r.At-sim.scenario.To)/time.Second]++
		}
	}
	last := 0
	for i := range offered {
		if float64(onTime[i]) < normalShare*float64(offered[i]) {
			last = i + 1
		}
	}
	return time.Duration(last) * time.Second
}

func (c *ClassResult) add(s *Scenario, r *request) {
	t := c.Teams[r.Team.Name]
	if t == nil {
		t = new(TeamResult)
		c.Teams[r.Team.Name] = t
	}
	c.Offered++
	t.Offered++
	inSurge := r.At >= s.From && r.At < s.To
	if inSurge {
		c.SurgeOffered++
	}
	switch {
	case r.onTime():
		c.Served++
		c.OnTime++
		t.OnTime++
		if inSurge {
			c.SurgeOnTime++
		}
	case r.outcome == served:
		c.Served++
		c.Late++
	case r.outcome == refused:
		c.Refused++
	case r.outcome == failed:
		c.Failed++
	default:
		c.Unfinished++
	}
}
