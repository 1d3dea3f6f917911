// Package experiment measures the policy in virtual time.
//
// It drives the real decisions (package home) with models of the endpoints
// (package engine) and a drawn workload (package load), event by event, so
// that a minute of a wave takes less than a second and gives the same result
// for the same seed on any machine. It has no network and one home a pool:
// how instances act together is measured with real processes instead.
//
// The files: experiment.go (scenarios and results), world.go (the events),
// pool.go (endpoints), bound.go (what could be served at the most), table.go.
package experiment

import (
	"time"

	"ivyridge/decl"
	"ivyridge/engine"
	"ivyridge/home"
	"ivyridge/load"
)

// A Fault is something that happens to an endpoint at a time.
type Fault struct {
	At       time.Duration
	Endpoint int // of the model pool
	Slow     float64
	Crash    bool
}

// A Scenario is one experiment.
type Scenario struct {
	Name     string
	Set      *decl.Set
	Workload *load.Workload
	Engines  int
	Services int
	Workers  int // of a service
	Work     time.Duration
	Params   engine.Params
	Lag      time.Duration // of load reports
	Faults   []Fault
	// From and To bound the surge, if there is one; SurgeClass names it.
	SurgeClass string
	From, To   time.Duration
}

// A Result is what came of a scenario under one policy and seed.
type Result struct {
	Classes  []ClassResult
	Goodput  float64 // tokens a second in answers on time
	Computed int64   // tokens
	Good     int64   // tokens in answers on time
	// Gaps is the part of streamed and whole answers whose mean time
	// between tokens met the class's target.
	Gaps float64
	// Normal is how long after the surge the arrivals of some second were
	// still not answered on time.
	Normal time.Duration
	Slow   int64 // endpoints noticed as slow
}

// A ClassResult is what came of one class.
type ClassResult struct {
	Class                                                string
	Offered, Served, OnTime, Late, Refused, Failed, Left int
	Attainment                                           float64
	// SurgeAttainment counts only arrivals within the surge.
	SurgeOffered, SurgeOnTime int
	Teams                     map[string]*TeamResult
}

// A TeamResult is what came of one team in a class.
type TeamResult struct{ Offered, OnTime int }

// Wasted is the part of the computed tokens that served nobody in time.
func (r *Result) Wasted() float64 {
	if r.Computed == 0 {
		return 0
	}
	return 1 - float64(r.Good)/float64(r.Computed)
}

// Class returns the result of a class.
func (r *Result) Class(name string) *ClassResult {
	for i := range r.Classes {
		if r.Classes[i].Class == name {
			return &r.Classes[i]
		}
	}
	return nil
}

// Run runs a scenario once.
func (s *Scenario) Run(policy home.Policy, seed uint64) *Result {
	w := newWorld(s, policy, seed)
	w.run()
	return w.result()
}

// Capacity is the tokens a second that the engines make when each is filled
// to the token gap that the classes ask for.
func (s *Scenario) Capacity() float64 {
	gap := time.Duration(0)
	for _, c := range s.Set.Classes {
		if c.TokenGap > 0 && (gap == 0 || c.TokenGap < gap) {
			gap = c.TokenGap
		}
	}
	n := float64(gap-s.Params.Base) / float64(s.Params.PerSequence)
	return float64(s.Engines) * n / gap.Seconds()
}
