package entry

// This file shuts a Proxy down without cutting requests. Until its load balancer has noticed, a leaving
// instance takes requests. After that it sends a request to an endpoint only if the request's deadline lies
// within the grace period, also one that arrived before; the others are refused as not run. Requests still in
// progress at the end of the grace period get a final response.

import (
	"time"

	"ivyridge/verdict"
)

const (
	// drainDelay is how long a leaving instance takes requests at most, until its load balancer has noticed.
	drainDelay = 2600 * time.Millisecond
	// maxDrainShare is the share of the grace period for that, so that requests have time to end.
	maxDrainShare = 1.0 / 3
)

// A departure is the schedule of a leaving Proxy.
type departure struct {
	drained time.Time // until when requests are taken whatever their deadlines
	end     time.Time // when EndRequests is called
}

// Leave makes Ready return false. Requests are taken for a while, and must end within grace, after which the
// caller calls EndRequests. Only the first call has an effect.
func (p *Proxy) Leave(grace time.Duration) {
	now := p.Now()
	drain := min(drainDelay, time.Duration(maxDrainShare*float64(grace)))
	p.departure.CompareAndSwap(nil, &departure{drained: now.Add(drain), end: now.Add(grace)})
}

// Leaving reports whether Leave was called, and whether new requests are rejected by now.
func (p *Proxy) Leaving() (leaving, drained bool) {
	d := p.departure.Load()
	if d == nil {
		return false, false
	}
	return true, p.Now().After(d.drained)
}

// EndRequests ends the requests in progress. Those whose responses have not begun get an error response.
func (p *Proxy) EndRequests() { p.endRequests() }

// canEnd returns an error if the instance is leaving and the request may not end before it is gone.
func (ex *exchange) canEnd() *verdict.Error {
	if _, drained := ex.proxy.Leaving(); !drained || !ex.deadline.After(ex.proxy.departure.Load().end) {
		return nil
	}
	return leavingError()
}

func leavingError() *verdict.Error {
	return verdict.Refuse(verdict.Leaving, "this instance stops").WithRetryAfter(retryAfterShort)
}
