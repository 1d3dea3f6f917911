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
func (ex *exchange) mayRetry(err *verdict.Error) bool {
	switch err.Reason {
	case verdict.NoEndpoint, verdict.EndpointsOutOfReach, verdict.NoHomeEndpoint, verdict.SoftwareGone, verdict.EndpointsInBackoff, verdict.EndpointsLimited, verdict.OverCapacity, verdict.TeamLimit, verdict.RetryBudget, verdict.ResponseNoMemory, verdict.CallerGone, verdict.CallerSlow, verdict.Leaving:
		return false
	}
	if err.Verdict != verdict.NotRun && !ex.route.Retryable() || ex.attempts >= maxAttempts {
		return false
	}
	if ex.headSent && !ex.canContinue() {
		return false
	}
	switch err.Reason {
	case verdict.EndpointConnect, verdict.EndpointGone:
		return ex.attempts < maxConnectAttempts
	case verdict.EndpointInBackoff:
		return ex.attempts < maxUnsentAttempts
	}
	return len(ex.tried) < ex.route.MaxAttempts
}

// maxConnectAttempts bounds attempts at endpoints that are unreachable or whose address was reused.
const maxConnectAttempts = 4

// maxUnsentAttempts bounds attempts that are not sent because the endpoint has just asked for a back-off.
const maxUnsentAttempts = 16

// maxAttempts bounds the attempts of a request of any kind. The bounds on their kinds are lower.
const maxAttempts = 24

// attempt sends the request to one endpoint and relays the response. It returns nil if the
// response was relayed completely.
func (ex *exchange) attempt(ctx context.Context) *verdict.Error {
	if err := ex.canEnd(); err != nil {
		return err
	}
	ex.attempts++
	if ex.refusedConnections >= refusalsBeforeForward {
		if taken, err := ex.forward(ctx); taken {
			return err
		}
	}
	endpoints := ex.currentEndpoints()
	d := ex.demand()
	placement, refusal := ex.place(ctx, endpoints, d)
	if refusal != nil && (refusal.Cause == balance.OutOfReach || refusal.Partial) {
		if taken, err := ex.forward(ctx); taken {
			return err
		}
	}
	if refusal != nil && refusal.Cause == balance.OutOfReach && ex.forwarded == nil {
		d.LastResort = true
		placement, refusal = ex.place(ctx, endpoints, d)
	}
	if refusal != nil && refusal.Cause == balance.RetryBudgetExhausted && ex.retry.cause != nil {
		return ex.retryDenied(refusal)
	}
	ex.placement = placement
	if refusal != nil {
		ex.scheduler = refusal.Scheduler
		return placementError(ex.service.Name, refusal)
	}
	if ex.placement == nil {
		return noEndpointError(d)
	}
	ex.retryGranted()
	ex.scheduler = ex.placement.Scheduler
	ex.proxy.Counters.placed(ex.placement)
	ex.placedAt, ex.partsCleared, ex.answerBegun = ex.proxy.Now(), false, false
	ex.inFlight.assignment.Store(ex.currentAssignment())
	timeout := ex.responseTimeout()
	overdueTimer := time.AfterFunc(timeout, ex.placement.RecordOverdue)
	defer overdueTimer.Stop()
	attemptCtx, cancel := ex.withResponseTimeout(ctx, timeout)
	defer cancel()
	x, err := ex.proxy.Pool.Do(attemptCtx, ex.upstreamRequest(ex.placement.Endpoint), ex.mismatched)
	overdueTimer.Stop()
	if err != nil {
		e := verdict.Of(err)
		if errors.Is(context.Cause(attemptCtx), errResponseTimeout) && ctx.Err() == nil {
			e = verdict.Fail(e.Verdict, verdict.EndpointSilent, "%s: no answer in %s", ex.placement.Endpoint.ID, timeout)
		}
		switch e.Reason {
		case verdict.EndpointInBackoff:
			ex.proxy.Counters.feedback(feedbackNotSent, ex.service.Name)
			ex.placement.Done(balance.Unknown)
			return e.WithRetryAfter(retryAfterShort)
		case verdict.EndpointConnect:
			refused := upstream.Refused(err)
			if refused {
				ex.refusedConnections++
			}
			ex.placement.RecordUnreachable(refused)
		default:
			ex.markSent()
		}
		ex.placement.Done(ex.outcome(ctx))
		return e
	}
	ex.markSent()
	ex.placement.RecordStart(x.Dialled)
	ex.responseStarted()
	return ex.handleResponse(ctx, x)
}

// currentEndpoints returns the service's endpoints and updates ex.service to the same view, unless the
// service was removed. The view may have changed since the request was admitted, and settings that
// protect a newly listed endpoint, such as its cold rate, may be as new as the endpoint.
func (ex *exchange) currentEndpoints() []*discovery.Endpoint {
	view := ex.proxy.State.View()
	if service := view.Catalog.Service(ex.service.Name); service != nil {
		ex.service = service
	}
	return view.Endpoints(ex.service.Name)
}

func (ex *exchange) currentAssignment() *assignment {
	a := &assignment{service: ex.service.Name, endpoint: ex.placement.Endpoint.ID}
	if ex.team != nil {
		a.team = ex.team.Name
	}
	return a
}

func (ex *exchange) markSent() {
	ex.tried = append(ex.tried, ex.placement.Endpoint.ID)
	ex.avoid = append(ex.avoid, balance.EndpointHash(ex.placement.Endpoint.Incarnation()))
}

// unmarkSent reverts markSent if a different endpoint received the request and did not run it.
func (ex *exchange) unmarkSent() {
	ex.tried = ex.tried[:len(ex.tried)-1]
	ex.avoid = ex.avoid[:len(ex.avoid)-1]
}

var refusalReasons = map[balance.Cause]verdict.Reason{
	balance.OverCapacity:         verdict.OverCapacity,
	balance.TeamOverShare:        verdict.TeamLimit,
	balance.RetryBudgetExhausted: verdict.RetryBudget,

	balance.EndpointsInBackoff: verdict.EndpointsInBackoff,
	balance.EndpointsLimited:   verdict.EndpointsLimited,
	balance.OutOfReach:         verdict.EndpointsOutOfReach,
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
	case balance.OutOfReach:
		return verdict.Refuse(reason, "service %s: no endpoint accepts connections of this instance", service).WithRetryAfter(retryAfter)
	case balance.TeamOverShare:
		return verdict.Refuse(reason, "service %s: the team uses %.1f times its share", service, refusal.Pressure).WithRetryAfter(retryAfter)
	}
	return verdict.Refuse(reason, "service %s: %s to wait at best, pressure %.2f", service,
		refusal.Wait.Round(time.Millisecond), refusal.Pressure).WithRetryAfter(retryAfter)
}

func noEndpointError(demand *balance.Demand) *verdict.Error {
	if demand.Software != 0 {
		return verdict.Refuse(verdict.SoftwareGone, "service %s has no endpoint of the software version that began the stream", demand.Service.Name).WithRetryAfter(retryAfterLong)
	}
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
func (ex *exchange) responseTimeout() time.Duration {
	if ex.route.Objective == 0 {
		return defaultResponseTimeout
	}
	if ex.canReroute() && ex.service.Engine == nil {
		return time.Duration(reroutableTimeoutFactor * float64(ex.route.Objective))
	}
	return time.Duration(timeoutFactor * float64(ex.route.Objective))
}

// canReroute reports whether the request may be sent to another endpoint after this one.
func (ex *exchange) canReroute() bool {
	return ex.route.Retryable() && !ex.headSent && len(ex.tried)+1 < ex.route.MaxAttempts
}

// errResponseTimeout is the cancellation cause of an attempt that timed out.
var errResponseTimeout = errors.New("the endpoint keeps silent")

// withResponseTimeout returns a context that is cancelled if the endpoint does not respond within
// timeout and the request can be retried elsewhere. A model request is cancelled only if the
// endpoint fails other requests too, since a retry discards the prompt processing done so far.
func (ex *exchange) withResponseTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	stop := func() { cancel(nil) }
	ex.responseStarted = func() {}
	if !ex.canReroute() || !ex.placement.RetryAvailable && !ex.proxy.retryBudgets.available(ex.service.Name) {
		return attemptCtx, stop
	}
	placement, isModel := ex.placement, ex.service.Engine != nil
	started := make(chan struct{})
	ex.responseStarted = sync.OnceFunc(func() { close(started) })
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
			if !isModel || placement.FailsOften() || placement.Lost() {
				cancel(errResponseTimeout)
				return
			}
			timer.Reset(failureCheckInterval)
		}
	}()
	return attemptCtx, stop
}

// failureCheckInterval is how often a late endpoint is checked for failures of other requests.
const failureCheckInterval = 100 * time.Millisecond

// outcome returns the outcome of a failed attempt: Unknown if the caller disconnected before the
// endpoint was late, Failed otherwise.
func (ex *exchange) outcome(ctx context.Context) balance.Outcome {
	waited := ex.proxy.Now().Sub(ex.placedAt)
	if errors.Is(ctx.Err(), context.Canceled) && (ex.headSent || waited < ex.route.Objective) {
		return balance.Unknown
	}
	return balance.Failed
}

// mismatched reports whether a response belongs to another request.
func (ex *exchange) mismatched(h http.Header) bool {
	id := ex.proxy.Codec.DecodeResponse(http.StatusOK, h).RequestID
	return id != "" && id != ex.call.ID
}

func (ex *exchange) upstreamRequest(endpoint *discovery.Endpoint) *upstream.Request {
	forward := ForwardOptions{
		Endpoint:    endpoint.ID,
		Remaining:   ex.deadline.Sub(ex.proxy.Now()),
		Rank:        catalog.Rank(ex.route, ex.team),
		LastEventID: ex.call.LastEventID,
	}
	if ex.team != nil {
		forward.Team = ex.team.Name
	}
	if donor := ex.placement.Donor; donor != nil {
		forward.FetchFrom = donor.Address
	}
	return &upstream.Request{
		Endpoint: endpoint.Incarnation(),
		Address:  endpoint.Address,
		Method:   ex.call.Method,
		Host:     ex.call.Host,
		Target:   ex.call.Target,
		Header:   ex.proxy.Codec.Encode(ex.call, forward),
		Body:     ex.call.Body,
		MaySend:  ex.placement.MaySend,
		Reserve:  ex.reserveHead,
	}
}

func (ex *exchange) demand() *balance.Demand {
	d := &balance.Demand{
		Service:   ex.service,
		Residency: catalog.ResidencyOf(ex.route, ex.team),
		Priority:  ex.route.Priority,
		Deposit:   ex.attemptDeposit(),
		Retry:     ex.retry.kind,
		Sent:      ex.headSent || len(ex.tried) > 0 || ex.call.LastEventID != "",
		Objective: ex.route.Objective,
		MaxGap:    ex.route.PauseObjective,
		Deadline:  ex.deadline.Sub(ex.proxy.Now()),
		Bytes:     len(ex.call.Body),
		Suspect:   ex.suspected,
		Software:  ex.stream.software,
	}
	if ex.team != nil {
		d.Team = balance.TeamHash(ex.team.Name)
	}
	d.Avoid = append(d.Avoid, ex.avoid...)
	if g := ex.call.Generation; g != nil {
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
