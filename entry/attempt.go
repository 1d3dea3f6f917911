package entry

// This file sends a request to one endpoint and decides whether it may be
// retried on another.

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

// mayRetry reports whether the request may be retried after err, given that
// the retry budget allows it.
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
		return f.attempts < maxUnsentChoices
	}
	return len(f.tried) < f.route.MaxAttempts
}

// maxConnectAttempts bounds the attempts that end before the request is sent,
// because the endpoint is unreachable or its address belongs to another.
const maxConnectAttempts = 4

// maxUnsentChoices bounds the choices of a request whose chosen endpoints ask for a
// back-off just before it is sent. Such an endpoint is excluded from the next choice.
const maxUnsentChoices = 16

// attempt sends the request to one endpoint and relays the response. It
// returns nil if the caller has received a complete response.
func (f *exchange) attempt(ctx context.Context) *verdict.Error {
	f.attempts++
	view := f.entry.State.View()
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
	f.entry.Counters.placed(f.placement)
	f.placedAt = f.entry.Now()
	f.inFlight.location.Store(f.currentLocation())
	timeout := f.responseTimeout()
	overdueTimer := time.AfterFunc(timeout, f.placement.RecordOverdue)
	defer overdueTimer.Stop()
	attemptCtx, cancel := f.withResponseTimeout(ctx, timeout)
	defer cancel()
	x, err := f.entry.Pool.Do(attemptCtx, f.upstreamRequest(f.placement.Endpoint), f.mismatched)
	overdueTimer.Stop()
	if err != nil {
		e := verdict.Of(err)
		if errors.Is(context.Cause(attemptCtx), errResponseTimeout) && ctx.Err() == nil {
			e = verdict.Fail(e.Verdict, verdict.EndpointSilent, "%s: no answer in %s", f.placement.Endpoint.ID, timeout)
		}
		switch e.Reason {
		case verdict.EndpointInBackoff:
			f.entry.Counters.feedback(feedbackNotSent, f.service.Name)
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

// currentLocation returns the endpoint that the request is sent to.
func (f *exchange) currentLocation() *location {
	p := &location{service: f.service.Name, endpoint: f.placement.Endpoint.ID}
	if f.team != nil {
		p.team = f.team.Name
	}
	return p
}

// markSent records that the request was sent to the chosen endpoint.
func (f *exchange) markSent() {
	f.tried = append(f.tried, f.placement.Endpoint.ID)
	f.avoid = append(f.avoid, balance.EndpointHash(f.placement.Endpoint.Incarnation()))
}

// unmarkSent reverts markSent: a different endpoint received the request and did not run it.
func (f *exchange) unmarkSent() {
	f.tried = f.tried[:len(f.tried)-1]
	f.avoid = f.avoid[:len(f.avoid)-1]
}

// refusalReasons maps the cause of a refused placement to the reason sent to callers.
var refusalReasons = map[balance.Cause]verdict.Reason{
	balance.OverCapacity:         verdict.OverCapacity,
	balance.TeamOverShare:        verdict.TeamLimit,
	balance.RetryBudgetExhausted: verdict.RetryBudget,

	balance.EndpointsInBackoff: verdict.EndpointsInBackoff,
	balance.EndpointsLimited:   verdict.EndpointsLimited,
}

// placementError returns the error of a request that was refused an endpoint. Causes that
// this build does not know, from a newer instance, map to OverCapacity. A refusal without
// RetryAfter gets a default.
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

// noEndpointError returns the error of a request that no endpoint may serve.
func noEndpointError(demand *balance.Demand) *verdict.Error {
	if demand.Residency.Restricted() {
		return verdict.Refuse(verdict.NoHomeEndpoint, "service %s has no endpoint in %v, where the request may be served",
			demand.Service.Name, demand.Residency.Regions()).WithRetryAfter(retryAfterLong)
	}
	return verdict.Refuse(verdict.NoEndpoint, "service %s has no endpoint", demand.Service.Name).WithRetryAfter(retryAfterLong)
}

// Response timeouts, as factors of the route's objective.
const (
	timeoutRepeatable    = 0.9
	timeoutNonRepeatable = 1.0
	timeoutDefault       = 2 * time.Second // for routes without an objective
)

// responseTimeout returns how long the endpoint may take to begin its response
// before that counts as a failure.
func (f *exchange) responseTimeout() time.Duration {
	if f.route.Objective == 0 {
		return timeoutDefault
	}
	if f.canReroute() && f.service.Engine == nil {
		return time.Duration(timeoutRepeatable * float64(f.route.Objective))
	}
	return time.Duration(timeoutNonRepeatable * float64(f.route.Objective))
}

// canReroute reports whether the request may be retried elsewhere if its
// endpoint does not respond.
func (f *exchange) canReroute() bool {
	return f.route.Retryable() && !f.headSent && len(f.tried)+1 < f.route.MaxAttempts
}

// errResponseTimeout is the cancellation cause of an attempt that timed out.
var errResponseTimeout = errors.New("the endpoint keeps silent")

// withResponseTimeout returns a context for one attempt. If the request can
// be rerouted and a retry is available, the context is cancelled once the
// endpoint has not responded within timeout; f.responseStarted stops the timer.
//
// A model request is rerouted only away from an endpoint that fails other
// requests too: rerouting discards the prompt processing done so far, and
// engines are slowest to respond when the whole fleet is busy.
func (f *exchange) withResponseTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	stop := func() { cancel(nil) }
	f.responseStarted = func() {}
	if !f.canReroute() || !f.placement.RetryAvailable && !f.entry.retryBudgets.available(f.service.Name) {
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
			if !isModel || placement.Suspect() {
				cancel(errResponseTimeout)
				return
			}
			timer.Reset(suspectCheckInterval)
		}
	}()
	return attemptCtx, stop
}

// suspectCheckInterval is how often an endpoint that timed out on a model
// request is checked for other failures.
const suspectCheckInterval = 100 * time.Millisecond

// outcome returns the outcome to record for an endpoint whose attempt failed:
// unknown if the caller disconnected before the endpoint was late, failed
// otherwise.
func (f *exchange) outcome(ctx context.Context) balance.Outcome {
	waited := f.entry.Now().Sub(f.placedAt)
	if errors.Is(ctx.Err(), context.Canceled) && (f.headSent || waited < f.route.Objective) {
		return balance.Unknown
	}
	return balance.Failed
}

// mismatched reports whether a response belongs to another request.
func (f *exchange) mismatched(h http.Header) bool {
	id := f.entry.Codec.DecodeResponse(http.StatusOK, h).RequestID
	return id != "" && id != f.call.ID
}

func (f *exchange) upstreamRequest(endpoint *discovery.Endpoint) *upstream.Request {
	forward := Forward{
		Endpoint:    endpoint.ID,
		Remaining:   f.deadline.Sub(f.entry.Now()),
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
		Header:   f.entry.Codec.Encode(f.call, forward),
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
		Deadline:  f.deadline.Sub(f.entry.Now()),
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
			d.Parts = append(d.Parts, balance.Part{ID: p.ID, Tokens: p.Tokens})
		}
	}
	return d
}
