package experiment

import (
	"fmt"
	"sort"
	"time"

	"ivyridge/decl"
	"ivyridge/engine"
	"ivyridge/home"
)

type pool struct {
	sim       *simulation
	spec      *decl.Pool
	scheduler *home.Home
	endpoints []*endpoint
	byName    map[string]*endpoint
}

type endpoint struct {
	sim         *simulation
	pool        *pool
	name        string
	engine      *engine.Engine
	iterating   bool // an engine iteration is in progress
	crashed     bool
	busyWorkers int                           // busy workers of a service
	queue       []*request                    // requests that wait for a worker
	running     map[*request]*engine.Sequence // requests on an engine
	tokens      int                           // generated since the last progress report
	gapTime     time.Duration                 // sum of the gaps before those tokens
	loadReports []home.Load                   // oldest first
}

func newPool(sim *simulation, d *decl.Pool, policy home.Policy) *pool {
	p := &pool{sim: sim, spec: d, scheduler: home.New(sim.scenario.Set, d, policy), byName: make(map[string]*endpoint)}
	n := sim.scenario.Services
	if d.Kind == decl.Model {
		n = sim.scenario.Engines
	}
	var specs []home.Endpoint
	for i := range n {
		e := &endpoint{sim: sim, pool: p, name: fmt.Sprintf("%s-%d", d.Name, i+1), running: make(map[*request]*engine.Sequence)}
		if d.Kind == decl.Model {
			e.engine = engine.New(sim.scenario.Params)
		}
		p.endpoints = append(p.endpoints, e)
		p.byName[e.name] = e
		specs = append(specs, home.Endpoint{Name: e.name, Addr: e.name})
	}
	p.scheduler.SetEndpoints(0, specs)
	p.reportLoads() // a new scheduler polls its endpoints at once
	sim.every(tickInterval, func() { p.scheduler.Tick(sim.now); p.applyDecisions() })
	sim.every(progressInterval, p.reportProgress)
	sim.every(reportInterval, p.reportLoads)
	return p
}

func (p *pool) applyDecisions() {
	decisions := append([]home.Decision(nil), p.scheduler.TakeDecisions()...)
	for _, d := range decisions {
		r := p.sim.byKey[d.Key]
		if r == nil {
			continue
		}
		if d.Refusal != nil {
			delete(p.sim.byKey, d.Key)
			r.outcome, r.end = refused, p.sim.now
			continue
		}
		r.grantedAt, r.endpoint = p.sim.now, p.byName[d.Endpoint]
		p.sim.after(2*networkLatency, func() { r.endpoint.start(r) })
	}
}

func (p *pool) reportProgress() {
	for _, e := range p.endpoints {
		if e.tokens > 0 {
			p.scheduler.Progress(p.sim.now, home.Progress{Endpoint: e.name, Tokens: e.tokens, Elapsed: e.gapTime})
			e.tokens, e.gapTime = 0, 0
		}
	}
	p.applyDecisions()
}

// reportLoads sends the scheduler delayed load reports and the requests in progress.
func (p *pool) reportLoads() {
	lagReports := int(p.sim.scenario.Lag / reportInterval)
	var active []home.ActiveRun
	for _, e := range p.endpoints {
		if e.crashed {
			p.scheduler.Unreachable(p.sim.now, e.name)
			continue
		}
		e.loadReports = append(e.loadReports, e.load())
		p.scheduler.Report(p.sim.now, e.loadReports[max(0, len(e.loadReports)-1-lagReports)])
	}
	for key, r := range p.sim.byKey {
		if r.pool == p && r.endpoint != nil {
			active = append(active, home.ActiveRun{Seq: key.Seq, Endpoint: r.endpoint.name, Class: r.Class.Name})
		}
	}
	p.scheduler.Sync(p.sim.now, "entry", active)
	p.applyDecisions()
}

func (e *endpoint) load() home.Load {
	if e.engine != nil {
		return home.Load{Endpoint: e.name, Running: e.engine.Running(), Waiting: e.engine.Waiting()}
	}
	return home.Load{Endpoint: e.name, Running: e.busyWorkers, Waiting: len(e.queue)}
}

func (e *endpoint) start(r *request) {
	if e.crashed {
		r.handleEndpointLoss(e.sim, true)
		return
	}
	if e.engine == nil {
		e.queue = append(e.queue, r)
		e.startQueued()
		return
	}
	s := &engine.Sequence{Priority: r.spec.Tier, Prompt: r.Class.Prompt, Length: r.Length, Tag: r, Prefix: r.prefix(), PrefixLen: r.Class.Shared}
	e.running[r] = s
	e.engine.Add(s)
	if !e.iterating {
		e.step()
	}
}

func (e *endpoint) startQueued() {
	for len(e.queue) > 0 && e.busyWorkers < e.sim.scenario.Workers {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.busyWorkers++
		e.sim.after(e.sim.scenario.Work, func() {
			e.busyWorkers--
			r.firstToken = e.sim.now
			r.finish(e.sim, served)
			e.startQueued()
		})
	}
}

// step starts an engine iteration, and the next when it ends.
func (e *endpoint) step() {
	if e.engine.Idle() || e.crashed {
		e.iterating = false
		return
	}
	e.iterating = true
	duration, out := e.engine.Step()
	e.sim.after(duration, func() {
		if e.crashed {
			return
		}
		for _, s := range out {
			e.deliverToken(s)
		}
		e.step()
	})
}

func (e *endpoint) deliverToken(s *engine.Sequence) {
	r := s.Tag.(*request)
	e.sim.computed++
	r.tokens++
	if r.tokens == 1 {
		r.firstToken = e.sim.now
	} else {
		e.tokens++
		e.gapTime += e.sim.now - r.lastToken
	}
	r.lastToken = e.sim.now
	if s.Produced == s.Length {
		delete(e.running, r)
		r.finish(e.sim, served)
	}
}

func (e *endpoint) crash() {
	e.crashed = true
	var lost []*request
	for r := range e.running {
		lost = append(lost, r)
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].key.Seq < lost[j].key.Seq }) // deterministic order
	clear(e.running)
	for _, r := range lost {
		r.handleEndpointLoss(e.sim, false)
	}
}
