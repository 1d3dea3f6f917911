// Package experiment compares scheduling policies by discrete-event simulation.
//
// It runs the scheduler (package home) in virtual time on models of endpoints
// (package engine) and a generated workload (package load). Results depend only on
// scenario, policy and seed. There is one scheduler per pool and no network.
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
	Endpoint int           // index in each model pool
	Slow     float64       // factor on the iteration time; zero for no change
	Crash    bool
}

// A Scenario is the input of a simulation. Concurrent runs may share it.
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
	// The rate of SurgeClass, if any, surges between From and To.
	SurgeClass string
	From, To   time.Duration
}

// A Result is the outcome of a scenario under one policy and seed.
type Result struct {
	Classes        []ClassResult
	Goodput        float64 // tokens per second in on-time responses
	ComputedTokens int64   // tokens in all responses, complete or not
	OnTimeTokens   int64   // tokens in on-time responses
	// Gaps is the fraction of complete responses of several tokens that met the
	// class's target for the mean time between tokens.
	Gaps float64
	// RecoveryTime counts from the end of the surge to the end of the last second in
	// which less than 90 % of the arrivals were served on time.
	RecoveryTime time.Duration
	Slow         int64 // number of times that an endpoint was detected as slow
}

// A ClassResult counts requests of a class. Each is one of OnTime, Late, Refused,
// Failed and Unfinished (at the end of the run); Served is OnTime plus Late.
type ClassResult struct {
	Class                                                      string
	Offered, Served, OnTime, Late, Refused, Failed, Unfinished int
	Attainment                                                 float64 // OnTime / Offered
	SurgeOffered, SurgeOnTime                                  int     // arrivals during the surge
	Teams                                                      map[string]*TeamResult
}

// A TeamResult counts one team's requests of a class.
type TeamResult struct{ Offered, OnTime int }

// Wasted returns the fraction of the computed tokens outside of on-time responses.
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

// Run simulates the scenario without modifying it.
func (s *Scenario) Run(policy home.Policy, seed uint64) *Result {
	sim := newSimulation(s, policy, seed)
	sim.run()
	return sim.result()
}

// Capacity returns the tokens per second of a model pool at the largest batch size
// that meets the token-gap targets of all classes.
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
