package experiment

// This file models the endpoints of a pool around its home.

import (
	"fmt"
	"sort"
	"time"

	"ivyridge/decl"
	"ivyridge/engine"
	"ivyridge/home"
)

type pool struct {
	w         *world
	decl      *decl.Pool
	home      *home.Home
	endpoints []*endpoint
	byName    map[string]*endpoint
}

type endpoint struct {
	w       *world
	pool    *pool
	name    string
	engine  *engine.Engine
	busy    bool // an iteration is under way
	crashed bool
	// A service has workers, and a line of those that wait for one.
	working int
	line    []*request
	held    map[*request]*engine.Sequence
	tokens  int // since the last progress
	elapsed time.Duration
	reports []home.Load
}

func newPool(w *world, d *decl.Pool, policy home.Policy) *pool {
	p := &pool{w: w, decl: d, home: home.New(w.s.Set, d, policy), byName: make(map[string]*endpoint)}
	n := w.s.Services
	if d.Kind == decl.Model {
		n = w.s.Engines
	}
	var specs []home.Endpoint
	for i := range n {
		e := &endpoint{w: w, pool: p, name: fmt.Sprintf("%s-%d", d.Name, i+1), held: make(map[*request]*engine.Sequence)}
		if d.Kind == decl.Model {
			e.engine = engine.New(w.s.Params)
		}
		p.endpoints = append(p.endpoints, e)
		p.byName[e.name] = e
		specs = append(specs, home.Endpoint{Name: e.name, Addr: e.name})
	}
	p.home.SetEndpoints(0, specs)
	p.report() // a new home asks its endpoints at once
	w.every(tickEvery, func() { p.home.Tick(w.now); p.deliver() })
	w.every(progressEvery, p.progress)
	w.every(reportEvery, p.report)
	return p
}

// deliver acts on the home's decisions.
func (p *pool) deliver() {
	ds := append([]home.Decision(nil), p.home.Take()...)
	for _, d := range ds {
		r := p.w.byKey[d.Key]
		if r == nil {
			continue
		}
		if d.Refusal != nil {
			delete(p.w.byKey, d.Key)
			r.outcome, r.end = refused, p.w.now
			continue
		}
		r.granted, r.at = p.w.now, p.byName[d.Endpoint]
		p.w.after(2*hop, func() { r.at.take(r) })
	}
}

func (p *pool) progress() {
	for _, e := range p.endpoints {
		if e.tokens > 0 {
			p.home.Progress(p.w.now, home.Progress{Endpoint: e.name, Tokens: e.tokens, Elapsed: e.elapsed})
			e.tokens, e.elapsed = 0, 0
		}
	}
	p.deliver()
}

// report gives the home the endpoints' reports of a while ago, and renews
// what their entries run.
func (p *pool) report() {
	back := int(p.w.s.Lag / reportEvery)
	var runs []home.Running
	for _, e := range p.endpoints {
		if e.crashed {
			p.home.Unreachable(p.w.now, e.name)
			continue
		}
		e.reports = append(e.reports, e.load())
		p.home.Report(p.w.now, e.reports[max(0, len(e.reports)-1-back)])
	}
	for key, r := range p.w.byKey {
		if r.pool == p && r.at != nil {
			runs = append(runs, home.Running{Seq: key.Seq, Endpoint: r.at.name, Class: r.Class.Name})
		}
	}
	p.home.Sync(p.w.now, "entry", runs)
	p.deliver()
}

func (e *endpoint) load() home.Load {
	if e.engine != nil {
		return home.Load{Endpoint: e.name, Running: e.engine.Running(), Waiting: e.engine.Waiting()}
	}
	return home.Load{Endpoint: e.name, Running: e.working, Waiting: len(e.line)}
}

// take begins a granted request.
func (e *endpoint) take(r *request) {
	if e.crashed {
		r.lost(e.w, true)
		return
	}
	if e.engine == nil {
		e.line = append(e.line, r)
		e.work()
		return
	}
	s := &engine.Sequence{Priority: r.spec.Tier, Prompt: r.Class.Prompt, Length: r.Length, Tag: r, Prefix: r.prefix(), PrefixLen: r.Class.Shared}
	e.held[r] = s
	e.engine.Add(s)
	if !e.busy {
		e.step()
	}
}

// work starts a service's waiting requests as workers are free.
func (e *endpoint) work() {
	for len(e.line) > 0 && e.working < e.w.s.Workers {
		r := e.line[0]
		e.line = e.line[1:]
		e.working++
		e.w.after(e.w.s.Work, func() {
			e.working--
			r.first = e.w.now
			r.finish(e.w, served)
			e.work()
		})
	}
}

// step runs one iteration and delivers its tokens when it ends.
func (e *endpoint) step() {
	if e.engine.Idle() || e.crashed {
		e.busy = false
		return
	}
	e.busy = true
	took, out := e.engine.Step()
	e.w.after(took, func() {
		if e.crashed {
			return
		}
		for _, s := range out {
			e.token(s)
		}
		e.step()
	})
}

func (e *endpoint) token(s *engine.Sequence) {
	r := s.Tag.(*request)
	e.w.computed++
	r.tokens++
	if r.tokens == 1 {
		r.first = e.w.now
	} else {
		e.tokens++
		e.elapsed += e.w.now - r.last
	}
	r.last = e.w.now
	if s.Produced == s.Length {
		delete(e.held, r)
		r.finish(e.w, served)
	}
}

func (e *endpoint) crash() {
	e.crashed = true
	var held []*request
	for r := range e.held {
		held = append(held, r)
	}
	sort.Slice(held, func(i, j int) bool { return held[i].key.Seq < held[j].key.Seq })
	clear(e.held)
	for _, r := range held {
		r.lost(e.w, false)
	}
}
