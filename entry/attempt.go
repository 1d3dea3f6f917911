package entry

// This file makes one attempt at an endpoint and decides whether a retry is allowed.

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/discovery"
	"ivyridge/upstream"
	"ivyridge/verdict"
)

// mayRetry reports whether a retry after err is allowed, apart from the retry budget.
func (f *exchange) mayRetry(err *verdict.Error) bool {
	switch err.Reason {
	case verdict.NoEndpoint, verdict.NoHomeEndpoint, verdict.EndpointsInBackoff, verdict.EndpointsLimited, verdict.OverCapacity, verdict.TeamLimit, verdict.RetryBudget, verdict.ResponseNoMemory, verdict.CallerGone, verdict.CallerSlow:
		return false
	}
	if err.Verdict != verdict.NotRun && !f.route.Retryable() {
		return false
	}
	if f.headSent && !f.route.Resumable {
		return false
	}
	switch err.Reason {
	case verdict.EndpointConnect, verdict.EndpointGone:
		return f.attempts < maxConnectAttempts
	case verdict.EndpointInBackoff:
		return f.attempts < maxUnsentAttempts
	}
	return len(f.tried) < f.route.MaxAttempts
}

// maxConnectAttempts bounds attempts at endpoints that are unreachable or whose address was reused.
const maxConnectAttempts = 4

// maxUnsentAttempts bounds attempts that are not sent as the endpoint just asked for a back-off.
const maxUnsentAttempts = 16

// attempt sends the request to one endpoint and relays the response. It returns nil if the
// response was relayed completely.
func (f *exchange) attempt(ctx context.Context) *verdict.Error {
	f.attempts++
	view := f.proxy.State.View()
	d := f.demand()
	placement, refusal := f.place(ctx, view.Endpoints(f.service.Name), d)
	if refusal != nil && refusal.Cause == balance.RetryBudgetExhausted && f.retry.cause != nil {
		return f.retryDenied(refusal)
	}
	f.placement = placement
	if refusal != nil {
		f.scheduler = refusal.Scheduler
		return placementError(f.service.Name, refusal)
	}
	if f.placement == nil {
		return noEndpointError(d)
	}
	f.retryGranted()
	f.scheduler = f.placement.Scheduler
	f.proxy.Counters.placed(f.placement)
	f.placedAt = f.proxy.Now()
	f.inFlight.assignment.Store(f.currentAssignment())
	timeout := f.responseTimeout()
	overdueTimer := time.AfterFunc(timeout, f.placement.RecordOverdue)
	defer overdueTimer.Stop()
	attemptCtx, cancel := f.withResponseTimeout(ctx, timeout)
	defer cancel()
	x, err := f.proxy.Pool.Do(attemptCtx, f.upstreamRequest(f.placement.Endpoint), f.mismatched)
	overdueTimer.Stop()
	if err != nil {
		e := verdict.Of(err)
		if errors.Is(context.Cause(attemptCtx), errResponseTimeout) && ctx.Err() == nil {
			e = verdict.Fail(e.Verdict, verdict.EndpointSilent, "%s: no answer in %s", f.placement.Endpoint.ID, timeout)
		}
		switch e.Reason {
		case verdict.EndpointInBackoff:
			f.proxy.Counters.feedback(feedbackNotSent, f.service.Name)
			f.placement.Done(balance.Unknown)
			return e.WithRetryAfter(retryAfterShort)
		case verdict.EndpointConnect:
			f.placement.RecordUnreachable()
		default:
			f.markSent()
		}
		f.placement.Done(f.outcome(ctx))
		return e
	}
	f.markSent()
	f.placement.RecordStart()
	f.responseStarted()
	return f.handleResponse(ctx, x)
}

func (f *exchange) currentAssignment() *assignment {
	p := &assignment{service: f.service.Name, endpoint: f.placement.Endpoint.ID}
	if f.team != nil {
		p.team = f.team.Name
	}
	return p
}

func (f *exchange) markSent() {
	f.tried = append(f.tried, f.placement.Endpoint.ID)
	f.avoid = append(f.avoid, balance.EndpointHash(f.placement.Endpoint.Incarnation()))
}

// unmarkSent reverts markSent if a different endpoint received the request and did not run it.
func (f *exchange) unmarkSent() {
	f.tried = f.tried[:len(f.tried)-1]
	f.avoid = f.avoid[:len(f.avoid)-1]
}

var refusalReasons = map[balance.Cause]verdict.Reason{
	balance.OverCapacity:         verdict.OverCapacity,
	balance.TeamOverShare:        verdict.TeamLimit,
	balance.RetryBudgetExhausted: verdict.RetryBudget,

	balance.EndpointsInBackoff: verdict.EndpointsInBackoff,
	balance.EndpointsLimited:   verdict.EndpointsLimited,
}

// placementError converts a refusal to an error. Unknown causes, which newer instances may
// send, become OverCapacity.
func placementError(service string, refusal *balance.Refusal) *verdict.Error {
	reason, ok := refusalReasons[refusal.Cause]
	if !ok {
		reason = verdict.OverCapacity
	}
	retryAfter := refusal.RetryAfter
	if retryAfter <= 0 {
		retryAfter = retryAfterLong
	}
	switch refusal.Cause {
	case balance.EndpointsInBackoff:
		return verdict.Refuse(reason, "service %s: all endpoints rest, the first for %s more", service, refusal.Wait.Round(time.Millisecond)).WithRetryAfter(retryAfter)
	case balance.EndpointsLimited:
		return verdict.Refuse(reason, "service %s: no endpoint has a permit left within its limit, the first is asked in %s", service, refusal.Wait.Round(time.Millisecond)).WithRetryAfter(retryAfter)
	case balance.TeamOverShare:
		return verdict.Refuse(reason, "service %s: the team uses %.1f times its share", service, refusal.Pressure).WithRetryAfter(retryAfter)
	}
	return verdict.Refuse(reason, "service %s: %s to wait at best, pressure %.2f", service,
		refusal.Wait.Round(time.Millisecond), refusal.Pressure).WithRetryAfter(retryAfter)
}

func noEndpointError(demand *balance.Demand) *verdict.Error {
	if demand.Residency.Restricted() {
		return verdict.Refuse(verdict.NoHomeEndpoint, "service %s has no endpoint in %v, where the request may be served",
			demand.Service.Name, demand.Residency.Regions()).WithRetryAfter(retryAfterLong)
	}
	return verdict.Refuse(verdict.NoEndpoint, "service %s has no endpoint", demand.Service.Name).WithRetryAfter(retryAfterLong)
}

// Response timeouts, as factors of the route's objective.
const (
	reroutableTimeoutFactor = 0.9
	timeoutFactor           = 1.0
	defaultResponseTimeout  = 2 * time.Second // for routes without an objective
)

// responseTimeout returns how long the endpoint may take to send the response head.
func (f *exchange) responseTimeout() time.Duration {
	if f.route.Objective == 0 {
		return defaultResponseTimeout
	}
	if f.canReroute() && f.service.Engine == nil {
		return time.Duration(reroutableTimeoutFactor * float64(f.route.Objective))
	}
	return time.Duration(timeoutFactor * float64(f.route.Objective))
}

// canReroute reports whether the request may be sent to another endpoint after this one.
func (f *exchange) canReroute() bool {
	return f.route.Retryable() && !f.headSent && len(f.tried)+1 < f.route.MaxAttempts
}

// errResponseTimeout is the cancellation cause of an attempt that timed out.
var errResponseTimeout = errors.New("the endpoint keeps silent")

// withResponseTimeout returns a context that is cancelled if the endpoint does not respond within
// timeout and the request can be retried elsewhere. A model request is cancelled only if the
// endpoint fails other requests too, since a retry discards the prompt processing done so far.
func (f *exchange) withResponseTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	stop := func() { cancel(nil) }
	f.responseStarted = func() {}
	if !f.canReroute() || !f.placement.RetryAvailable && !f.proxy.retryBudgets.available(f.service.Name) {
		return attemptCtx, stop
	}
	placement, isModel := f.placement, f.service.Engine != nil
	started := make(chan struct{})
	f.responseStarted = sync.OnceFunc(func() { close(started) })
	go func() {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		for {
			select {
			case <-attemptCtx.Done():
				return
			case <-started:
				return
			case <-timer.C:
			}
			if !isModel || placement.FailsOften() {
				cancel(errResponseTimeout)
				return
			}
			timer.Reset(suspectCheckInterval)
		}
	}()
	return attemptCtx, stop
}

// suspectCheckInterval is how often a late endpoint is checked for failures of other requests.
const suspectCheckInterval = 100 * time.Millisecond

// outcome returns the outcome of a failed attempt: Unknown if the caller disconnected before the
// endpoint was late, Failed otherwise.
func (f *exchange) outcome(ctx context.Context) balance.Outcome {
	waited := f.proxy.Now().Sub(f.placedAt)
	if errors.Is(ctx.Err(), context.Canceled) && (f.headSent || waited < f.route.Objective) {
		return balance.Unknown
	}
	return balance.Failed
}

// mismatched reports whether a response belongs to another request.
func (f *exchange) mismatched(h http.Header) bool {
	id := f.proxy.Codec.DecodeResponse(http.StatusOK, h).RequestID
	return id != "" && id != f.call.ID
}

func (f *exchange) upstreamRequest(endpoint *discovery.Endpoint) *upstream.Request {
	forward := ForwardOptions{
		Endpoint:    endpoint.ID,
		Remaining:   f.deadline.Sub(f.proxy.Now()),
		Rank:        catalog.Rank(f.route, f.team),
		LastEventID: f.call.LastEventID,
	}
	if f.team != nil {
		forward.Team = f.team.Name
	}
	if donor := f.placement.Donor; donor != nil {
		forward.FetchFrom = donor.Address
	}
	return &upstream.Request{
		Endpoint: endpoint.Incarnation(),
		Address:  endpoint.Address,
		Method:   f.call.Method,
		Host:     f.call.Host,
		Target:   f.call.Target,
		Header:   f.proxy.Codec.Encode(f.call, forward),
		Body:     f.call.Body,
		MaySend:  f.placement.MaySend,
	}
}

func (f *exchange) demand() *balance.Demand {
	d := &balance.Demand{
		Service:   f.service,
		Residency: catalog.ResidencyOf(f.route, f.team),
		Priority:  f.route.Priority,
		Deposit:   f.attemptDeposit(),
		Retry:     f.retry.kind,
		Sent:      f.headSent || len(f.tried) > 0 || f.call.LastEventID != "",
		Objective: f.route.Objective,
		MaxGap:    f.route.PauseObjective,
		Deadline:  f.deadline.Sub(f.proxy.Now()),
		Bytes:     len(f.call.Body),
		Suspect:   f.suspected,
	}
	if f.team != nil {
		d.Team = balance.TeamHash(f.team.Name)
	}
	d.Avoid = append(d.Avoid, f.avoid...)
	if g := f.call.Generation; g != nil {
		d.Prompt = g.PromptTokens
		d.Output = g.MaxTokens
		if g.OutputHint > 0 {
			d.Output = min(g.OutputHint, d.Output)
		}
		for _, p := range g.Parts {
			d.Parts = append(d.Parts, balance.PromptPart{ID: p.ID, Tokens: p.Tokens})
		}
	}
	return d
}
