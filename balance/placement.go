package balance

// This file holds what becomes of a request at the endpoint that was chosen for it.

import (
	"time"

	"ivyridge/belief"
)

// An Outcome says how an endpoint served a request.
type Outcome uint8

// The outcomes.
const (
	Served  Outcome = iota
	Refused         // it said that it did not run the request
	Failed          // it failed the request, broke off, or kept silent
	Unknown         // the caller left, or nothing can be said
)

// A Placement is a request at an endpoint, until Done is called.
type Placement struct {
	Endpoint *belief.Endpoint
	Cost     float64
	Cached   int              // tokens of the prompt that the endpoint is thought to hold, or to fetch
	Fetched  int              // those of them that it is to fetch from Donor
	Donor    *belief.Endpoint // nil: nothing is fetched
	Backlog  time.Duration    // reading of prompts that is thought to wait there
	Ahead    float64          // the same in tokens
	Pace     Pace             // of the endpoint, as the chooser knew it; zero for a plain one
	Granted  bool             // another instance chose the endpoint
	Chooser  string           // that instance; empty if this one chose
	Spare    bool             // the chooser had a retry left, should the request have to be sent again
	Cold     bool             // the endpoint was cold when it was chosen
	Distance Distance         // of the endpoint from the instance that chose
	Crossing float64          // the part of Cost that is for leaving the region
	failing  float64          // the share of failures at the service
	excess   float64          // of failures at the endpoint, as the chooser knew it
	output   int              // tokens expected
	reading  float64          // of the own prompt, in ms
	Wait     float64          // before the prompt is read, for a slot or for other prompts, in ms
	balancer *Balancer
	load     *load
	donor    *load // nil: nothing is fetched, or another instance chose
	charge   charge
	began    time.Time
	permit   time.Time // to send to an endpoint that names a limit, until then; zero: none, or used
	plain    *figures  // of a plain endpoint's service; nil for an engine
	suspect  bool
	done     bool
	read     bool // its answer has begun
	overdue  bool // its failure has been counted
}

// Done ends a placement. Only its first call counts.
func (p *Placement) Done(o Outcome) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.done {
		return
	}
	p.begun()
	p.done = true
	p.keepPermit()
	p.load.running--
	if p.suspect {
		p.load.suspects--
	}
	b.change(p.load)
	p.load.own.remove(p.charge)
	if p.plain != nil {
		p.plain.plainEnded(b.now(), b.now().Sub(p.began), o)
	}
	if !p.overdue || o == Served {
		p.load.record(b.now(), o)
	}
}

// Started says that the endpoint has begun to answer.
func (p *Placement) Started() {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	p.load.answered(b.now())
	if p.load.said != nil {
		p.load.said.tried(b.now())
	}
}

// Overdue says that the endpoint has kept silent for too long. It counts as a
// failure at once, before the request has ended.
func (p *Placement) Overdue() {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.done || p.overdue {
		return
	}
	p.overdue = true
	p.load.record(b.now(), Failed)
	b.change(p.load)
}

// suspectExcess is how many more of an endpoint's requests than of its service's
// fail for it to be suspect.
const suspectExcess = 0.12

// Suspect reports whether the endpoint fails clearly more than its service.
func (p *Placement) Suspect() bool {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	p.load.refresh(b.now())
	return max(p.excess, p.load.lately.excess(p.failing)) > suspectExcess
}

// Unreachable says that an endpoint did not accept a connection. It is left
// alone for a while, longer each time.
func (p *Placement) Unreachable() {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	p.load.unreachable(b.now())
	if p.load.downUntil.After(b.downUntil) {
		b.downUntil = p.load.downUntil
	}
	b.change(p.load)
}

// Gone says that another endpoint has the address: this one is not there any more, since
// every start has an ID of its own. All instances are told.
func (p *Placement) Gone() {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	p.load.goneUntil = b.now().Add(goneFor)
	b.change(p.load)
}
