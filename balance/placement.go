package balance

// This file tracks a request at the endpoint that was chosen for it.

import (
	"time"

	"ivyridge/discovery"
)

// An Outcome says how an endpoint served a request.
type Outcome uint8

const (
	Served  Outcome = iota
	Refused         // the endpoint said that it did not run the request
	Failed          // error, broken connection or timeout
	Unknown         // the caller left, or the outcome is unknown
)

// A Placement is a request at an endpoint, until Done is called. Its methods are safe for
// concurrent use.
type Placement struct {
	Endpoint        *discovery.Endpoint
	Cost            float64
	Cached          int                 // prompt tokens presumed cached at the endpoint, or fetched by it
	Fetched         int                 // tokens of Cached to fetch from Donor
	Donor           *discovery.Endpoint // nil: nothing is fetched
	Backlog         time.Duration       // estimated time of prefill queued at the endpoint
	BacklogTokens   float64             // Backlog in tokens
	Pace            Pace                // estimated speed of the endpoint; zero without an engine
	Granted         bool                // chosen by another instance
	Scheduler       string              // that instance; empty: this one
	RetryAvailable  bool                // the scheduler's retry budget covers another retry of the request
	Cold            bool                // the endpoint was cold when the request was placed there
	Distance        Distance            // from the instance that chose to the endpoint
	CrossRegionCost float64             // share of Cost for leaving the region
	failureRate     float64             // failure rate of the service
	excessFailures  float64             // failure rate of the endpoint above that of the service, if another instance chose
	outputTokens    int                 // expected tokens
	prefillTime     float64             // prefill time of the request in ms
	Wait            float64             // ms before prefill of the prompt starts, for a slot or queued prompts
	balancer        *Balancer
	load            *load
	donor           *load // load of Donor; nil if there is none or another instance chose the endpoint
	charge          charge
	startedAt       time.Time
	permit          time.Time     // expiry of the permit for a rate-limited endpoint; zero: none, or used
	plainStats      *serviceStats // statistics of a service without an engine; nil for engines
	suspect         bool
	done            bool
	prefilled       bool // the response has begun
	overdue         bool // already recorded as a failure
}

// Done ends the placement and records its outcome. Calls after the first have no effect.
func (p *Placement) Done(o Outcome) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.done {
		return
	}
	p.markPrefilled()
	p.done = true
	p.returnPermit()
	p.load.running--
	if p.suspect {
		p.load.suspects--
	}
	b.markChanged(p.load)
	p.load.own.remove(p.charge)
	if p.plainStats != nil {
		p.plainStats.recordPlain(b.now(), b.now().Sub(p.startedAt), o)
	}
	if !p.overdue || o == Served {
		p.load.recordOutcome(b.now(), o)
	}
}

// RecordStart records that the endpoint has begun its response, on a new connection if dialled.
func (p *Placement) RecordStart(dialled bool) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordContact(p.load, dialled, b.now())
	if p.load.directive != nil {
		p.load.directive.endTrial(b.now())
	}
}

// RecordOverdue records that the endpoint has not responded in time. It counts as a failure
// immediately, before the request has ended.
func (p *Placement) RecordOverdue() {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.done || p.overdue {
		return
	}
	p.overdue = true
	p.load.recordOutcome(b.now(), Failed)
	b.markChanged(p.load)
	if p.load.contactAt.Before(p.startedAt) {
		b.scheduleProbe(p.load, b.now())
	}
}

// Lost reports whether the endpoint is out of reach, so that no response is to be expected.
func (p *Placement) Lost() bool {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	return p.load.outOfReach(b.now())
}

// failingExcess is the failure rate above the service's from which an endpoint counts as failing.
const failingExcess = 0.12

// FailsOften reports whether the endpoint fails significantly more often than its service.
func (p *Placement) FailsOften() bool {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	p.load.refresh(b.now())
	return max(p.excessFailures, p.load.observed.excess(p.failureRate)) > failingExcess
}

// RecordUnreachable records that the endpoint did not accept a connection. It is skipped for a
// while, with exponential back-off. Unless it refused the connection, a probe shows whether it is out
// of reach or the connection only took long.
func (p *Placement) RecordUnreachable(refused bool) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordFailure(p.load, refused, b.now())
}

// RecordReplaced records that another endpoint has this one's address. This one is skipped for
// replacedTTL, also by other instances, which learn of it from reports.
func (p *Placement) RecordReplaced() {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	p.load.replacedUntil = b.now().Add(replacedTTL)
	b.markChanged(p.load)
}
