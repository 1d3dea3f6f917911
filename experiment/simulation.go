package experiment

// This file runs the events of a scenario.

import (
	"container/heap"
	"time"

	"ivyridge/decl"
	"ivyridge/home"
	"ivyridge/load"
)

// Times of the modelled system.
const (
	tickEvery     = 20 * time.Millisecond
	progressEvery = 100 * time.Millisecond
	reportEvery   = 500 * time.Millisecond
	hop           = time.Millisecond // from entry to home or endpoint
)

// An event is something to do at an instant; equal ones keep their order.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

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

// A request is one arrival on its way.
type request struct {
	*load.Arrival
	spec     *decl.Class
	pool     *pool
	key      home.Key
	first    time.Duration
	end      time.Duration
	granted  time.Duration
	last     time.Duration // of its last token
	tokens   int
	at       *endpoint
	avoid    string
	outcome  outcome
	attempts int
}

type outcome int

const (
	left outcome = iota // not answered when the run ended
	served
	refused
	failed
)

type world struct {
	s        *Scenario
	now      time.Duration
	seq      uint64
	events   events
	pools    map[string]*pool
	requests []*request
	byKey    map[home.Key]*request
	keys     uint64
	computed int64
	end      time.Duration
}

func newWorld(s *Scenario, policy home.Policy, seed uint64) *world {
	w := &world{s: s, pools: make(map[string]*pool), byKey: make(map[home.Key]*request)}
	w.end = s.Workload.Duration + s.Workload.Drain
	for i := range s.Set.Pools {
		p := &s.Set.Pools[i]
		w.pools[p.Name] = newPool(w, p, policy)
	}
	arrivals := s.Workload.Arrivals(seed)
	for i := range arrivals {
		a := &arrivals[i]
		r := &request{Arrival: a, spec: s.Set.Class(a.Class.Name), pool: w.pools[a.Class.Model+a.Class.Service]}
		w.requests = append(w.requests, r)
		w.after(a.At, func() { w.ask(r) })
	}
	for _, f := range s.Faults {
		w.after(f.At, func() { w.fault(f) })
	}
	return w
}

// after plans f at a time from now.
func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + d, w.seq, f})
}

// every plans f again and again.
func (w *world) every(d time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		w.after(d, again)
	}
	w.after(d, again)
}

func (w *world) run() {
	for len(w.events) > 0 && w.events[0].at <= w.end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

func (w *world) fault(f Fault) {
	for _, p := range w.pools {
		if p.decl.Kind != decl.Model {
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

// ask sends a request to its pool's home.
func (w *world) ask(r *request) {
	w.keys++
	r.key = home.Key{Entry: "entry", Seq: w.keys}
	r.attempts++
	w.byKey[r.key] = r
	w.after(hop, func() {
		r.pool.home.Ask(w.now, home.Ask{
			Key: r.key, Class: r.Class.Name, Team: r.Team.Name, Prompt: r.Class.Prompt,
			Age: w.now - r.At, Prefix: r.prefix(), Avoid: r.avoid,
		})
		r.pool.deliver()
	})
}

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

// finish ends a request and releases its run.
func (r *request) finish(w *world, o outcome) {
	r.outcome, r.end = o, w.now
	rel := home.Release{
		Key: r.key, Team: r.Team.Name, Tokens: r.tokens, Held: w.now - r.granted,
		Failed: o == failed, Whole: o == served, Late: !r.onTime(),
	}
	if r.first > 0 {
		rel.FirstToken = r.first - r.granted
	}
	w.release(r, rel)
}

func (w *world) release(r *request, rel home.Release) {
	delete(w.byKey, r.key)
	w.after(hop, func() {
		r.pool.home.Done(w.now, rel)
		r.pool.deliver()
	})
}

// onTime reports whether r was answered within its targets.
func (r *request) onTime() bool {
	return r.outcome == served &&
		(r.Class.FirstToken == 0 || r.first-r.At <= r.Class.FirstToken) &&
		(r.Class.Whole == 0 || r.end-r.At <= r.Class.Whole)
}

// gapMet reports whether r's mean time between tokens met its target.
func (r *request) gapMet() bool {
	return r.tokens < 2 || r.spec.TokenGap == 0 || (r.last-r.first)/time.Duration(r.tokens-1) <= r.spec.TokenGap
}

// lost retries or fails a request whose endpoint broke.
func (r *request) lost(w *world, unsent bool) {
	const attempts = 4
	if (r.spec.Repeatable || unsent) && r.attempts < attempts {
		w.release(r, home.Release{Key: r.key, Team: r.Team.Name, Failed: true})
		r.avoid, r.at = r.at.name, nil
		r.first, r.tokens = 0, 0
		w.ask(r)
		return
	}
	r.finish(w, failed)
}

func (w *world) result() *Result {
	res := &Result{Computed: w.computed}
	gaps, answers := 0, 0
	for i := range w.s.Workload.Classes {
		res.Classes = append(res.Classes, ClassResult{Class: w.s.Workload.Classes[i].Name, Teams: make(map[string]*TeamResult)})
	}
	for _, r := range w.requests {
		c := res.Class(r.Class.Name)
		c.add(w.s, r)
		if r.onTime() {
			res.Good += int64(r.tokens)
		}
		if r.outcome == served && r.tokens > 1 {
			answers++
			if r.gapMet() {
				gaps++
			}
		}
	}
	for i := range res.Classes {
		if c := &res.Classes[i]; c.Offered > 0 {
			c.Attainment = float64(c.OnTime) / float64(c.Offered)
		}
	}
	res.Goodput = float64(res.Good) / w.s.Workload.Duration.Seconds()
	res.Gaps = float64(gaps) / float64(max(1, answers))
	res.Normal = w.normal()
	for _, p := range w.pools {
		res.Slow += p.home.Counts.SlowSeen
	}
	return res
}

// normal returns how long after the surge the last second ended in which
// fewer than normalShare of the arrivals were answered on time.
func (w *world) normal() time.Duration {
	const normalShare = 0.9
	if w.s.To == 0 {
		return 0
	}
	seconds := int((w.s.Workload.Duration - w.s.To) / time.Second)
	offered, onTime := make([]int, seconds+1), make([]int, seconds+1)
	for _, r := range w.requests {
		if r.At < w.s.To {
			continue
		}
		offered[(r.At-w.s.To)/time.Second]++
		if r.onTime() {
			onTime[(r.At-w.s.To)/time.Second]++
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
		c.Left++
	}
}
