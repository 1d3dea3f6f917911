package gossip

// This file requests permits from the instance that allocates an endpoint's rate limit, and
// handles such requests.
//
// Each active scheduler announces in its messages that it may allocate limits; package limit
// chooses the allocator of an endpoint among them. The response of an instance that knows a better
// allocator names it, since ordinary instances rarely hear from schedulers of other data centres.
// Each region allocates its own part of a limit: a round trip to another region takes longer than
// most requests may wait, and regions that lose contact each keep their part.

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"ivyridge/balance"
	"ivyridge/discovery"
	"ivyridge/limit"
)

const (
	// maxPermitRequests is how many endpoints a permit is requested for on behalf of one request.
	maxPermitRequests = 6
	// maxPermitHops allows for one redirect to the allocator that the first instance names.
	maxPermitHops = 2
)

// requestPermit requests a permit for e and passes the response to the balancer. It returns the
// hash of e if the permit was granted, and zero otherwise.
func (g *Gossip) requestPermit(ctx context.Context, e *discovery.Endpoint, urgency int) uint32 {
	endpoint, rateLimit, ok := g.Balancer.BeginPermitRequest(e, urgency)
	if !ok {
		return 0
	}
	requestedAt := g.Now()
	g.mu.Lock()
	allocator := g.limitAllocator(requestedAt, endpoint, e.DataCentre)
	g.mu.Unlock()
	request := &PermitRequest{Endpoint: endpoint, DataCentre: e.DataCentre, Urgency: urgency, Limit: reportedLimit(&rateLimit, requestedAt)}
	decision := limit.Decision{Wait: limit.NoShareWait}
	for range maxPermitHops {
		if allocator == "" {
			g.Count("permit-nobody")
			break
		}
		if allocator == g.Address {
			decision, _ = g.allocate(request)
			g.Count("permit-own")
			break
		}
		response, answered := g.requestPermitFrom(ctx, allocator, request)
		if !answered {
			g.Count("permit-unanswered")
			break
		}
		decision = limit.Decision{Granted: response.Granted, Wait: response.Wait, State: rateLimit}
		if response.Limit.Known {
			decision.State = response.Limit.State(g.Now())
		}
		if response.Allocator == "" || response.Allocator == allocator {
			break
		}
		g.Count("permit-redirected")
		allocator = response.Allocator
	}
	g.Balancer.EndPermitRequest(endpoint, urgency, decision, allocator, requestedAt)
	if !decision.Granted {
		g.Count("permit-denied")
		return 0
	}
	g.Count("permit-granted")
	return endpoint
}

// An abandonedRequest is a permit request whose caller stopped waiting for the response.
type abandonedRequest struct {
	request   PermitRequest
	allocator string // address that it was sent to
	sentAt    time.Time
}

// expired reports whether a permit that a response at now grants would no longer be valid.
func (r *abandonedRequest) expired(now time.Time) bool {
	return now.Sub(r.sentAt) > balance.PermitDuration
}

// finishPermitRequest removes a pending request. unanswered is set if it was sent but got no
// response. It is then remembered, since the allocator may have charged a permit for it.
func (g *Gossip) finishPermitRequest(req *PermitRequest, allocator string, sentAt time.Time, unanswered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.limits.pending, req.Number)
	now := g.Now()
	for number, p := range g.limits.abandoned {
		if p.expired(now) {
			delete(g.limits.abandoned, number)
		}
	}
	if unanswered {
		g.limits.abandoned[req.Number] = abandonedRequest{request: *req, allocator: allocator, sentAt: sentAt}
	}
}

// requestPermitFrom sends request to address, and reports whether a response arrived in time.
func (g *Gossip) requestPermitFrom(ctx context.Context, address string, request *PermitRequest) (response PermitResponse, answered bool) {
	g.mu.Lock()
	to, ok := g.resolve(address)
	member := g.members.byAddress[address]
	ok = ok && member != nil && member.protocol >= protocolLimits // older versions would take the request for a heartbeat
	g.requestNumber++
	request.Number = g.requestNumber
	reply := make(chan PermitResponse, 1)
	g.limits.pending[request.Number] = reply
	timeout := g.responseTimeout.timeout(0)
	g.mu.Unlock()
	sentAt := g.Now()
	sent := false
	defer func() { g.finishPermitRequest(request, address, sentAt, sent && !answered) }()
	if !ok || !g.sendDirect(&Message{Sender: g.id, DataCentre: g.DataCentre, PermitRequest: request}, to) {
		return PermitResponse{}, false
	}
	sent = true
	response, answered = awaitResponse(ctx, reply, timeout)
	g.recordResponseTime(ctx, sentAt, answered)
	return response, answered
}

// recordResponseTime records the outcome of a request sent at sentAt, unless its caller cancelled it.
func (g *Gossip) recordResponseTime(ctx context.Context, sentAt time.Time, answered bool) {
	now := g.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case answered:
		g.responseTimeout.observe(now.Sub(sentAt))
	case ctx.Err() == nil:
		g.responseTimeout.recordTimeout()
	}
}

func (g *Gossip) sendDirect(m *Message, to netip.AddrPort) bool {
	if _, err := g.conn.WriteToUDPAddrPort(m.Append(make([]byte, 0, requestBytes)), to); err != nil {
		g.Count("send-failed")
		return false
	}
	return true
}

// allocate decides a permit request, or returns the allocator's address if it isn't this instance.
func (g *Gossip) allocate(request *PermitRequest) (decision limit.Decision, allocator string) {
	now := g.Now()
	rateLimit := request.Limit.State(now)
	rateLimit.Merge(g.Balancer.LimitState(request.Endpoint))
	g.mu.Lock()
	defer g.mu.Unlock()
	allocator = g.limitAllocator(now, request.Endpoint, request.DataCentre)
	if allocator != g.Address {
		return limit.Decision{Wait: limit.NoShareWait, State: rateLimit}, allocator
	}
	share := g.limitShare(now, request.DataCentre)
	return g.limits.allocator.Allocate(request.Endpoint, rateLimit, share, request.Urgency, now, rand.Float64()), ""
}

func (g *Gossip) handlePermitRequest(to netip.AddrPort, request *PermitRequest) {
	decision, allocator := g.allocate(request)
	now := g.Now()
	response := &PermitResponse{Number: request.Number, Granted: decision.Granted, Wait: decision.Wait, Allocator: allocator, Limit: reportedLimit(&decision.State, now)}
	g.sendDirect(&Message{Sender: g.id, DataCentre: g.DataCentre, PermitResponse: response}, to)
	g.Count("permits")
}

// handlePermitResponse passes a response to the request that waits for it.
func (g *Gossip) handlePermitResponse(response *PermitResponse) {
	g.mu.Lock()
	if reply := g.limits.pending[response.Number]; reply != nil {
		select {
		case reply <- *response:
		default: // duplicate response
		}
		g.mu.Unlock()
		return
	}
	abandoned, ok := g.limits.abandoned[response.Number]
	delete(g.limits.abandoned, response.Number)
	now := g.Now()
	g.mu.Unlock()
	g.Count("permit-late")
	if !ok || !response.Granted || abandoned.expired(now) {
		return
	}
	// The permit was already charged to the limit; keep it for the next request.
	decision := limit.Decision{Granted: true, State: response.Limit.State(now)}
	g.Balancer.EndPermitRequest(abandoned.request.Endpoint, abandoned.request.Urgency, decision, abandoned.allocator, abandoned.sentAt)
	g.Count("permit-late-kept")
}
