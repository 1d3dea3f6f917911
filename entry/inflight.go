package entry

// This file keeps the set of requests in progress. It serves to cancel requests whose deadlines
// passed while the machine was suspended, and to find the endpoints that run a team's requests.

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// inFlightRequests is the set of requests that have a deadline.
type inFlightRequests struct {
	mu       sync.Mutex
	requests map[*inFlightRequest]struct{}
}

type inFlightRequest struct {
	deadline   time.Time
	cancel     context.CancelFunc
	assignment atomic.Pointer[assignment] // nil: not placed yet
}

// An assignment identifies the endpoint that a request was sent to, and the request's team.
type assignment struct {
	service, team, endpoint string
}

// register adds the request to the set. The returned context is done when the caller disconnects, the
// deadline passes or EndRequests is called; the returned function removes the request.
func (ex *exchange) register() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ex.r.Context(), ex.deadline.Sub(ex.proxy.Now()))
	stopEnding := context.AfterFunc(ex.proxy.ending, cancel)
	t := &ex.proxy.inFlight
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requests == nil {
		t.requests = make(map[*inFlightRequest]struct{})
	}
	ex.inFlight = &inFlightRequest{deadline: ex.deadline, cancel: cancel}
	t.requests[ex.inFlight] = struct{}{}
	return ctx, func() {
		t.mu.Lock()
		delete(t.requests, ex.inFlight)
		t.mu.Unlock()
		stopEnding()
		cancel()
	}
}

// HandleResume must be called after the machine was suspended. It cancels requests at their
// deadlines, since the runtime's timers do not count the suspension.
func (p *Proxy) HandleResume() {
	now := p.Now()
	p.inFlight.mu.Lock()
	defer p.inFlight.mu.Unlock()
	for r := range p.inFlight.requests {
		time.AfterFunc(max(0, r.deadline.Sub(now)), r.cancel)
	}
}

// endpointsByTeam counts the endpoints of a service, except one, that run requests of each team.
func (t *inFlightRequests) endpointsByTeam(service, except string) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[assignment]bool)
	teams := make(map[string]int)
	for r := range t.requests {
		a := r.assignment.Load()
		if a == nil || a.service != service || a.endpoint == except || seen[*a] {
			continue
		}
		seen[*a] = true
		teams[a.team]++
	}
	return teams
}
