package gossip

// This file requests permits from the instance that allocates an endpoint's rate limit, and
// answers such requests.
//
// Each active scheduler may allocate limits, and announces that in each message; package limit
// decides which one allocates the limit of an endpoint. An instance that receives a request and
// knows a better allocator names it, so that an ordinary instance, which rarely hears from
// schedulers of other data centres, finds the right one with its second request. Each region
// allocates its own part of a limit: a round trip to another region takes longer than most
// requests may wait, and regions that lose contact each keep their part.

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
	// Endpoints whose permit is denied are closed for following requests.
	maxPermitRequests = 6
	// maxPermitHops is how many instances are contacted for one permit: the second is the
	// allocator that the first names.
	maxPermitHops = 2
)

// requestPermit requests a permit for an endpoint and passes the answer to the balancer. It
// returns the hash of the endpoint if the permit was granted, and zero otherwise.
func (g *Gossip) requestPermit(ctx context.Context, e *discovery.Endpoint, urgency int) uint32 {
	endpoint, rateLimit, ok := g.Balancer.BeginPermitRequest(e, urgency)
	if !ok {
		return 0
	}
	requestedAt := g.Now()
	g.mu.Lock()
	allocator := g.limitAllocator(requestedAt, endpoint, e.DataCentre)
	g.mu.Unlock()
	request := &PermitRequest{Endpoint: endpoint, DataCentre: e.DataCentre, Urgency: urgency, Limit: limitAt(&rateLimit, requestedAt)}
	answer := limit.Answer{Wait: limit.NoShareWait}
	for range maxPermitHops {
		if allocator == "" {
			g.Count("permit-nobody")
			break
		}
		if allocator == g.Address {
			answer, _ = g.allocate(request)
			g.Count("permit-own")
			break
		}
		p, answered := g.requestPermitFrom(ctx, allocator, request)
		if !answered {
			g.Count("permit-unanswered")
			break
		}
		answer = limit.Answer{Granted: p.Granted, Wait: p.Wait, State: rateLimit}
		if p.Limit.Known {
			answer.State = p.Limit.State(g.Now())
		}
		if p.Allocator == "" || p.Allocator == allocator {
			break
		}
		g.Count("permit-redirected")
		allocator = p.Allocator
	}
	g.Balancer.EndPermitRequest(endpoint, urgency, answer, allocator, requestedAt)
	if !answer.Granted {
		g.Count("permit-denied")
		return 0
	}
	g.Count("permit-granted")
	return endpoint
}

// An abandonedRequest is a permit request whose caller stopped waiting for the answer.
type abandonedRequest struct {
	request   PermitRequest
	allocator string // address that it was sent to
	sentAt    time.Time
}

// expired reports whether a permit that answers the request would no longer be valid.
func (p *abandonedRequest) expired(now time.Time) bool {
	return now.Sub(p.sentAt) > balance.PermitDuration
}

// finishPermitRequest removes a pending request. A request that was sent and not answered is
// remembered, since the allocator may have charged a permit for it.
func (g *Gossip) finishPermitRequest(a *PermitRequest, allocator string, sentAt time.Time, unanswered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.limits.pending, a.Number)
	now := g.Now()
	for number, p := range g.limits.abandoned {
		if p.expired(now) {
			delete(g.limits.abandoned, number)
		}
	}
	if unanswered {
		g.limits.abandoned[a.Number] = abandonedRequest{request: *a, allocator: allocator, sentAt: sentAt}
	}
}

// requestPermitFrom sends a permit request to an address, and reports whether it was answered in
// time.
func (g *Gossip) requestPermitFrom(ctx context.Context, address string, a *PermitRequest) (p PermitResponse, answered bool) {
	g.mu.Lock()
	to, ok := g.resolve(address)
	member := g.members.byAddress[address]
	ok = ok && member != nil && member.protocol >= protocolLimits // older versions would take the request for a heartbeat
	g.requestNumber++
	a.Number = g.requestNumber
	reply := make(chan PermitResponse, 1)
	g.limits.pending[a.Number] = reply
	g.mu.Unlock()
	sentAt := g.Now()
	sent := false
	defer func() { g.finishPermitRequest(a, address, sentAt, sent && !answered) }()
	if !ok || !g.sendDirect(&Message{Sender: g.id, DataCentre: g.DataCentre, PermitRequest: a}, to) {
		return PermitResponse{}, false
	}
	sent = true
	timer := time.NewTimer(requestTimeout)
	defer timer.Stop()
	select {
	case p := <-reply:
		return p, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return PermitResponse{}, false
}

// sendDirect sends a request or an answer to one instance.
func (g *Gossip) sendDirect(m *Message, to netip.AddrPort) bool {
	if _, err := g.conn.WriteToUDPAddrPort(m.Append(make([]byte, 0, requestBytes)), to); err != nil {
		g.Count("send-failed")
		return false
	}
	return true
}

// allocate answers a permit request, and returns the address of the allocator if that is another
// instance.
func (g *Gossip) allocate(a *PermitRequest) (answer limit.Answer, allocator string) {
	now := g.Now()
	rateLimit := a.Limit.State(now)
	rateLimit.Merge(g.Balancer.LimitState(a.Endpoint))
	g.mu.Lock()
	defer g.mu.Unlock()
	allocator = g.limitAllocator(now, a.Endpoint, a.DataCentre)
	if allocator != g.Address {
		return limit.Answer{Wait: limit.NoShareWait, State: rateLimit}, allocator
	}
	share := g.limitShare(now, a.DataCentre)
	return g.limits.allocator.Ask(a.Endpoint, rateLimit, share, a.Urgency, now, rand.Float64()), ""
}

// answerPermitRequest answers a permit request of another instance.
func (g *Gossip) answerPermitRequest(to netip.AddrPort, a *PermitRequest) {
	answer, allocator := g.allocate(a)
	now := g.Now()
	p := &PermitResponse{Number: a.Number, Granted: answer.Granted, Wait: answer.Wait, Allocator: allocator, Limit: limitAt(&answer.State, now)}
	g.sendDirect(&Message{Sender: g.id, DataCentre: g.DataCentre, PermitResponse: p}, to)
	g.Count("permits")
}

// deliverPermit passes an answer to the request that waits for it.
func (g *Gossip) deliverPermit(p *PermitResponse) {
	g.mu.Lock()
	if reply := g.limits.pending[p.Number]; reply != nil {
		select {
		case reply <- *p:
		default: // duplicate answer
		}
		g.mu.Unlock()
		return
	}
	abandoned, ok := g.limits.abandoned[p.Number]
	delete(g.limits.abandoned, p.Number)
	now := g.Now()
	g.mu.Unlock()
	g.Count("permit-late")
	if !ok || !p.Granted || abandoned.expired(now) {
		return
	}
	// The caller has given up, but the permit was charged to the limit. Keep it for the next
	// request.
	answer := limit.Answer{Granted: true, State: p.Limit.State(now)}
	g.Balancer.EndPermitRequest(abandoned.request.Endpoint, abandoned.request.Urgency, answer, abandoned.allocator, abandoned.sentAt)
	g.Count("permit-late-kept")
}
