// Package experiment compares scheduling policies by discrete-event simulation.
//
// It runs the production scheduler (package home) in virtual time against
// models of endpoints (package engine) and a generated workload (package
// load). The result depends only on the scenario, the policy and the seed. The
// simulation has no network and one scheduler per pool; it does not cover the
// interaction of instances.
package experiment

import (
	"time"

	"ivyridge/decl"
	"ivyridge/engine"
	"ivyridge/home"
	"ivyridge/load"
)

// A Fault is a failure of one endpoint.
type Fault struct {
	At       time.Duration // since the start of the run
	Endpoint int           // index in the model pool
	Slow     float64       // factor on its iteration time; zero for no change
	Crash    bool
}

// A Scenario is the input of a simulation. It is not modified by Run, so that
// concurrent runs may share it.
type Scenario struct {
	Name     string
	Set      *decl.Set
	Workload *load.Workload
	Engines  int           // endpoints per model pool
	Services int           // endpoints per service pool
	Workers  int           // concurrent requests of a service endpoint
	Work     time.Duration // processing time of a service request
	Params   engine.Params
	Lag      time.Duration // age of load reports
	Faults   []Fault
	// SurgeClass is the class whose rate surges between From and To. It is
	// empty if there is no surge.
	SurgeClass string
	From, To   time.Duration
}

// A Result is the outcome of a scenario under one policy and seed.
type Result struct {
	Classes        []ClassResult
	Goodput        float64 // tokens per second in on-time responses
	ComputedTokens int64   // tokens in all responses, complete or not
	OnTimeTokens   int64   // tokens in on-time responses
	// Gaps is the fraction of the complete responses of more than one token
	// whose mean time between tokens met the class's target.
	Gaps float64
	// RecoveryTime is the time from the end of the surge until the share of
	// arrivals served on time is back to normal.
	RecoveryTime time.Duration
	Slow         int64 // number of times that an endpoint was detected as slow
}

// A ClassResult is the outcome of one class. Each offered request counts as
// exactly one of OnTime, Late, Refused, Failed or Unfinished (at the end
// of the run); Served is OnTime plus Late.
type ClassResult struct {
	Class                                                      string
	Offered, Served, OnTime, Late, Refused, Failed, Unfinished int
	Attainment                                                 float64
	// SurgeOffered and SurgeOnTime count the arrivals during the surge.
	SurgeOffered, SurgeOnTime int
	Teams                     map[string]*TeamResult
}

// A TeamResult is the outcome of one team's requests of a class.
type TeamResult struct{ Offered, OnTime int }

// Wasted returns the fraction of the computed tokens that are not part of an
// on-time response, or zero if none were computed.
func (r *Result) Wasted() float64 {
	if r.ComputedTokens == 0 {
		return 0
	}
	return 1 - float64(r.OnTimeTokens)/float64(r.ComputedTokens)
}

// Class returns the result of the named class, or nil.
func (r *Result) Class(name string) *ClassResult {
	for i := range r.Classes {
		if r.Classes[i].Class == name {
			return &r.Classes[i]
		}
	}
	return nil
}

// Run simulates the scenario once.
func (s *Scenario) Run(policy home.Policy, seed uint64) *Result {
	sim := newSimulation(s, policy, seed)
	sim.run()
	return sim.result()
}

// Capacity returns the total tokens per second of a pool's engines, each with
// the largest batch that meets the shortest token-gap target of the classes.
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
