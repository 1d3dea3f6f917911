package gossip

// This file sends placement requests to schedulers, and handles those of other instances.

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/discovery"
	"ivyridge/quota"
)

const (
	// Backoff for a scheduler that didn't respond. It doubles with each timeout.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// A backoff is the pause in requests to a scheduler that didn't respond.
type backoff struct {
	until    time.Time
	duration time.Duration
}

// Place chooses an endpoint for a request, or refuses it. A scheduler makes the choice if this
// instance uses one, and this instance itself does otherwise, or if no scheduler responds in time.
// Both results are nil if no endpoint may take the request.
func (g *Gossip) Place(ctx context.Context, endpoints []*discovery.Endpoint, d *balance.Demand) (*balance.Placement, *balance.Refusal) {
	if !d.LastResort && g.Balancer.OutOfReach(endpoints, d) {
		return nil, &balance.Refusal{Cause: balance.OutOfReach}
	}
	p, refusal := g.placeWithPermits(ctx, endpoints, d)
	if refusal != nil && refusal.Scheduler == "" && refusal.Cause != balance.RetryBudgetExhausted {
		refusal.Partial = g.Balancer.PartlyOutOfReach(endpoints, d)
	}
	if refusal == nil || refusal.Cause != balance.RetryBudgetExhausted || !g.borrow(ctx, d) {
		return p, refusal
	}
	charged := *d
	charged.Retry = balance.NoRetry
	return g.placeWithPermits(ctx, endpoints, &charged)
}

// placeWithPermits is Place without borrowed retries. If the best endpoint is rate-limited it
// requests a permit and chooses again, without endpoints whose permit was denied.
func (g *Gossip) placeWithPermits(ctx context.Context, endpoints []*discovery.Endpoint, d *balance.Demand) (*balance.Placement, *balance.Refusal) {
	for range maxPermitRequests {
		p, refusal, charged := g.choose(ctx, endpoints, d)
		if refusal == nil || refusal.Cause != balance.PermitWanted {
			return p, refusal
		}
		permit := g.requestPermit(ctx, refusal.Limited, refusal.Urgency)
		if charged {
			d = withoutCharges(d)
		}
		withPermit := *d
		withPermit.Counted, withPermit.Permit = true, permit
		d = &withPermit
	}
	final := *d
	final.Permitted = true
	p, refusal, _ := g.choose(ctx, endpoints, &final)
	return p, refusal
}

// choose has a scheduler or the local balancer choose an endpoint. It reports whether a scheduler
// has already charged the request.
func (g *Gossip) choose(ctx context.Context, endpoints []*discovery.Endpoint, d *balance.Demand) (p *balance.Placement, refusal *balance.Refusal, charged bool) {
	if scheduler, grant, ok := g.requestPlacement(ctx, d); ok {
		if grant.Refusal != nil {
			g.Count("granted-refusal")
			grant.Refusal.Scheduler = scheduler
			return nil, grant.Refusal, true
		}
		p, permitRefusal := g.Balancer.AcceptGrant(grant, endpoints, d)
		if p != nil {
			g.Count("granted")
			p.Scheduler = scheduler
			return p, nil, true
		}
		if permitRefusal != nil {
			g.Count("grant-needs-permit")
			return nil, permitRefusal, true
		}
		g.Count("grant-not-used")
		d, charged = withoutCharges(d), true
	}
	p, refusal = g.Balancer.Admit(endpoints, d)
	return p, refusal, charged
}

// withoutCharges returns a copy of d that charges no retry budget: a scheduler has already done so.
func withoutCharges(d *balance.Demand) *balance.Demand {
	uncharged := *d
	uncharged.Deposit, uncharged.Retry = quota.DepositNone, balance.NoRetry
	return &uncharged
}

// requiredProtocol returns the protocol version that a scheduler must support to place d.
func requiredProtocol(d *balance.Demand) int {
	switch {
	case d.Software != 0:
		return protocolSoftware
	case d.Retry != balance.NoRetry:
		return protocolRetries
	case d.Residency.Restricted():
		return protocolResidency
	}
	return 0
}

// requestPlacement asks the first scheduler not in backoff, and returns its address and grant.
func (g *Gossip) requestPlacement(ctx context.Context, d *balance.Demand) (string, balance.Grant, bool) {
	g.mu.Lock()
	scheduler := g.nextScheduler(g.Now())
	supported := scheduler != "" && g.members.byAddress[scheduler].protocol >= requiredProtocol(d)
	timeout := g.responseTimeout.timeout(d.Objective)
	g.mu.Unlock()
	if !supported {
		return "", balance.Grant{}, false
	}
	sentAt := g.Now()
	grant, outcome := g.requestFrom(ctx, scheduler, g.newRequest(d), timeout)
	switch outcome {
	case requestAnswered:
		g.schedulerResponded(scheduler, g.Now().Sub(sentAt))
	case requestTimedOut:
		g.schedulerTimedOut(scheduler)
	}
	return scheduler, grant, outcome == requestAnswered && (grant.Endpoint != 0 || grant.Refusal != nil)
}

type requestOutcome uint8

const (
	requestNotSent  requestOutcome = iota // not sent, or the caller was cancelled
	requestTimedOut                       // no response in time
	requestAnswered
)

// requestFrom sends request to address, and waits up to timeout for the response.
func (g *Gossip) requestFrom(ctx context.Context, address string, request *PlacementRequest, timeout time.Duration) (balance.Grant, requestOutcome) {
	g.mu.Lock()
	to, ok := g.resolve(address)
	g.requestNumber++
	request.Number = g.requestNumber
	reply := make(chan balance.Grant, 1)
	g.pending[request.Number] = reply
	g.mu.Unlock()
	defer g.dropPending(request.Number)
	if !ok {
		return balance.Grant{}, requestNotSent
	}
	m := Message{Sender: g.id, DataCentre: g.DataCentre, PlacementRequest: request}
	if _, err := g.conn.WriteToUDPAddrPort(m.Append(make([]byte, 0, requestBytes)), to); err != nil {
		g.Count("send-failed")
		return balance.Grant{}, requestNotSent
	}
	g.Count("asked")
	grant, answered := awaitResponse(ctx, reply, timeout)
	switch {
	case answered:
		return grant, requestAnswered
	case ctx.Err() != nil:
		return balance.Grant{}, requestNotSent
	}
	return balance.Grant{}, requestTimedOut
}

// requestBytes is the buffer size that fits most requests and responses.
const requestBytes = 256

func (g *Gossip) newRequest(d *balance.Demand) *PlacementRequest {
	return &PlacementRequest{
		Service: d.Service.Name, Priority: d.Priority, Objective: d.Objective, MaxGap: d.MaxGap, Deadline: d.Deadline,
		Prompt: d.Prompt, Output: d.Output, Parts: d.Parts, AlreadySent: d.Sent,
		Team: d.Team, Residency: d.Residency, Bytes: d.Bytes, Retry: d.Retry, Deposit: d.Deposit, Suspect: d.Suspect, Software: d.Software,
		Avoid: slices.Concat(g.Balancer.Unreachable(), g.Balancer.ClosedEndpoints(d), d.Avoid),
	}
}

func (g *Gossip) dropPending(number uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pending, number)
}

// nextScheduler returns the address of the scheduler to ask, "" if none. The caller holds g.mu.
func (g *Gossip) nextScheduler(now time.Time) string {
	for _, m := range g.members.currentRoles(now).schedulerOrder {
		if b := g.backoffs[m.Address]; b == nil || !now.Before(b.until) {
			return m.Address
		}
	}
	return ""
}

func (g *Gossip) schedulerResponded(scheduler string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.responseTimeout.observe(took)
	if g.backoffs[scheduler] != nil {
		delete(g.backoffs, scheduler)
		g.Log.Info("scheduler responds again", zap.String("address", scheduler))
	}
}

func (g *Gossip) schedulerTimedOut(scheduler string) {
	g.Count("ask-unanswered")
	g.mu.Lock()
	defer g.mu.Unlock()
	g.responseTimeout.recordTimeout()
	s := g.backoffs[scheduler]
	if s == nil {
		s = new(backoff)
		g.backoffs[scheduler] = s
		g.Log.Warn("scheduler did not respond in time", zap.String("address", scheduler))
	}
	now := g.Now()
	if now.Before(s.until) {
		return // a concurrent request has already extended the backoff
	}
	s.duration = clamp(2*s.duration, minBackoff, maxBackoff)
	s.until = now.Add(s.duration)
}

func (g *Gossip) handlePlacementRequest(to netip.AddrPort, instance uint64, request *PlacementRequest) {
	m := Message{Sender: g.id, DataCentre: g.DataCentre, PlacementResponse: &PlacementResponse{Number: request.Number}}
	view := g.State.View()
	if view.Catalog != nil {
		service := view.Catalog.Service(request.Service)
		switch {
		case service == nil:
		case request.ChargeRetry:
			m.PlacementResponse.Grant.RetryCharged = g.Balancer.ChargeRetry(request.Service, request.Retry)
		default:
			endpoints := view.Endpoints(request.Service)
			d := &balance.Demand{
				Service: service, Priority: request.Priority, Objective: request.Objective, MaxGap: request.MaxGap, Deadline: request.Deadline,
				Prompt: request.Prompt, Output: request.Output, Parts: request.Parts, Avoid: request.Avoid, Sent: request.AlreadySent,
				Team: request.Team, Residency: request.Residency, Bytes: request.Bytes, Retry: request.Retry, Deposit: request.Deposit, Suspect: request.Suspect, Software: request.Software,
			}
			m.PlacementResponse.Grant = g.Balancer.Grant(instance, endpoints, d)
		}
	}
	if _, err := g.conn.WriteToUDPAddrPort(m.Append(make([]byte, 0, requestBytes)), to); err != nil {
		g.Count("send-failed")
		return
	}
	g.Count("grants")
}

// handlePlacementResponse passes a response to the request that waits for it.
func (g *Gossip) handlePlacementResponse(response *PlacementResponse) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if reply := g.pending[response.Number]; reply != nil {
		select {
		case reply <- response.Grant:
		default: // duplicate response
		}
		return
	}
	g.Count("grant-late")
}
