package entry

// This file sends a request to one endpoint, and decides whether another may
// have it.

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ivyridge/balance"
	"ivyridge/belief"
	"ivyridge/catalog"
	"ivyridge/upstream"
	"ivyridge/verdict"
)

// mayRetry reports whether another endpoint may be sent the request, if there is a retry
// for it.
func (f *exchange) mayRetry(err *verdict.Error) bool {
	switch err.Reason {
	case verdict.NoEndpoint, verdict.NoHomeEndpoint, verdict.EndpointsRest, verdict.EndpointsLimited, verdict.DemandBeyond, verdict.TeamLimit, verdict.RetryBudget, verdict.AnswerNoMemory, verdict.CallerGone, verdict.CallerSlow:
		return false
	}
	if err.Verdict != verdict.NotRun && !f.route.MayRepeat() {
		return false
	}
	if f.started && !f.route.Resumable {
		return false
	}
	switch err.Reason {
	case verdict.EndpointConnect, verdict.EndpointGone:
		return f.attempts < maxConnects
	case verdict.EndpointRests:
		return f.attempts < maxUnsent
	}
	return len(f.tried) < f.route.MaxAttempts
}

// maxConnects bounds the endpoints that are tried in vain, since they can't be reached
// or are gone, before one has the request.
const maxConnects = 4

// maxUnsent bounds the choices of a request whose endpoints asked for rest just before it left
// for them, so that it ends. Each is given up only for an answer that came in between, which
// takes that endpoint out of the next choice.
const maxUnsent = 16

// attempt sends the request to one endpoint and passes its answer on. Nil
// means that the caller has a final answer.
func (f *exchange) attempt(ctx context.Context) *verdict.Error {
	f.attempts++
	view := f.entry.Beliefs.View()
	d := f.demand()
	placement, refusal := f.place(ctx, view.Endpoints(f.service.Name), d)
	if refusal != nil && refusal.Cause == balance.RetriesSpent && f.retry.cause != nil {
		return f.retryDenied(refusal)
	}
	f.placement = placement
	if refusal != nil {
		f.scheduler = refusal.Chooser
		return refused(f.service.Name, refusal)
	}
	if f.placement == nil {
		return nowhere(d)
	}
	f.retryGranted()
	f.scheduler = f.placement.Chooser
	f.entry.Counters.placed(f.placement)
	f.placed = f.entry.Now()
	f.held.at.Store(f.whereabouts())
	overdue := f.responseTimeout()
	watch := time.AfterFunc(overdue, f.placement.Overdue)
	defer watch.Stop()
	call, cancel := f.silenceTimeout(ctx, overdue)
	defer cancel()
	x, err := f.entry.Pool.Do(call, f.request(f.placement.Endpoint), f.unexpected)
	watch.Stop()
	if err != nil {
		e := verdict.Of(err)
		if errors.Is(context.Cause(call), errSilent) && ctx.Err() == nil {
			e = verdict.Fail(e.Verdict, verdict.EndpointSilent, "%s: no answer in %s", f.placement.Endpoint.ID, overdue)
		}
		switch e.Reason {
		case verdict.EndpointRests:
			f.entry.Counters.said(unsent, f.service.Name)
			f.placement.Done(balance.Unknown)
			return e.After(retryAfterShort)
		case verdict.EndpointConnect:
			f.placement.Unreachable()
		default:
			f.sent()
		}
		f.placement.Done(f.outcome(ctx))
		return e
	}
	f.sent()
	f.placement.Started()
	f.heard()
	return f.answer(ctx, x)
}

// whereabouts returns where the request is now.
func (f *exchange) whereabouts() *place {
	p := &place{service: f.service.Name, endpoint: f.placement.Endpoint.ID}
	if f.team != nil {
		p.team = f.team.Name
	}
	return p
}

// sent takes up that the chosen endpoint has the request.
func (f *exchange) sent() {
	f.tried = append(f.tried, f.placement.Endpoint.ID)
	f.avoid = append(f.avoid, balance.EndpointHash(f.placement.Endpoint.Incarnation()))
}

// notSent takes that back: whom the request was meant for has not had it.
func (f *exchange) notSent() {
	f.tried = f.tried[:len(f.tried)-1]
	f.avoid = f.avoid[:len(f.avoid)-1]
}

// reasons gives what a refusal's cause is called towards callers.
var reasons = map[balance.Cause]verdict.Reason{
	balance.BeyondFleet:  verdict.DemandBeyond,
	balance.TeamShare:    verdict.TeamLimit,
	balance.RetriesSpent: verdict.RetryBudget,

	balance.EndpointsRest:    verdict.EndpointsRest,
	balance.EndpointsLimited: verdict.EndpointsLimited,
}

// refused returns the error of a request that was refused an endpoint. A cause that this
// instance does not know, from a newer one, is told as demand beyond the fleet. One that
// names no time, as that of a retry, is told with one.
func refused(service string, r *balance.Refusal) *verdict.Error {
	reason, ok := reasons[r.Cause]
	if !ok {
		reason = verdict.DemandBeyond
	}
	after := r.RetryAfter
	if after <= 0 {
		after = retryAfterLong
	}
	switch r.Cause {
	case balance.EndpointsRest:
		return verdict.Refuse(reason, "service %s: all endpoints rest, the first for %s more", service, r.Wait.Round(time.Millisecond)).After(after)
	case balance.EndpointsLimited:
		return verdict.Refuse(reason, "service %s: no endpoint has a permit left within its limit, the first is asked in %s", service, r.Wait.Round(time.Millisecond)).After(after)
	case balance.TeamShare:
		return verdict.Refuse(reason, "service %s: the team uses %.1f times its share", service, r.Pressure).After(after)
	}
	return verdict.Refuse(reason, "service %s: %s to wait at best, pressure %.2f", service,
		r.Wait.Round(time.Millisecond), r.Pressure).After(after)
}

// nowhere returns the error of a request that no endpoint may take.
func nowhere(d *balance.Demand) *verdict.Error {
	if d.Homes.Bound() {
		return verdict.Refuse(verdict.NoHomeEndpoint, "service %s has no endpoint in %v, where the request may be served",
			d.Service.Name, d.Homes.Regions()).After(retryAfterLong)
	}
	return verdict.Refuse(verdict.NoEndpoint, "service %s has no endpoint", d.Service.Name).After(retryAfterLong)
}

// The part of its objective after which a request that may be repeated, or
// one that may not, is overdue at an endpoint.
const (
	timeoutRepeatable = 0.9
	timeoutSingle     = 1.0
	timeoutDefault    = 2 * time.Second // where there is no objective
)

// responseTimeout returns how long an endpoint may keep silent before that counts
// as a failure.
func (f *exchange) responseTimeout() time.Duration {
	if f.route.Objective == 0 {
		return timeoutDefault
	}
	if f.mayMove() && f.service.Engine == nil {
		return time.Duration(timeoutRepeatable * float64(f.route.Objective))
	}
	return time.Duration(timeoutSingle * float64(f.route.Objective))
}

// mayMove reports whether the request may leave a silent endpoint for another.
func (f *exchange) mayMove() bool {
	return f.route.MayRepeat() && !f.started && len(f.tried)+1 < f.route.MaxAttempts
}

// errSilent ends an exchange with an endpoint that kept silent for too long.
var errSilent = errors.New("the endpoint keeps silent")

// silenceTimeout bounds the wait for the head of an answer where the request may
// move, as long as the budget has a retry. What it returns is ended by ctx, and
// by its own bound until heard is called.
//
// A request to a model leaves only an endpoint that fails others too: what was
// read of its prompt is lost, and engines are silent most when all are full.
func (f *exchange) silenceTimeout(ctx context.Context, overdue time.Duration) (context.Context, context.CancelFunc) {
	call, cancel := context.WithCancelCause(ctx)
	stop := func() { cancel(nil) }
	f.heard = func() {}
	if !f.mayMove() || !f.placement.Spare && !f.entry.budgets.has(f.service.Name) {
		return call, stop
	}
	placement, model := f.placement, f.service.Engine != nil
	heard := make(chan struct{})
	f.heard = sync.OnceFunc(func() { close(heard) })
	go func() {
		timer := time.NewTimer(overdue)
		defer timer.Stop()
		for {
			select {
			case <-call.Done():
				return
			case <-heard:
				return
			case <-timer.C:
			}
			if !model || placement.Suspect() {
				cancel(errSilent)
				return
			}
			timer.Reset(suspectAgain)
		}
	}()
	return call, stop
}

// suspectAgain is how often an endpoint that keeps silent is judged anew.
const suspectAgain = 100 * time.Millisecond

// outcome judges an endpoint that failed the request. Where the caller left
// early, nothing can be said; where time ran out, it has kept silent.
func (f *exchange) outcome(ctx context.Context) balance.Outcome {
	waited := f.entry.Now().Sub(f.placed)
	if errors.Is(ctx.Err(), context.Canceled) && (f.started || waited < f.route.Objective) {
		return balance.Unknown
	}
	return balance.Failed
}

// unexpected reports whether an answer belongs to another request.
func (f *exchange) unexpected(h http.Header) bool {
	id := f.entry.Codec.Answer(http.StatusOK, h).RequestID
	return id != "" && id != f.call.ID
}

func (f *exchange) request(to *belief.Endpoint) *upstream.Request {
	forward := Forward{
		Endpoint:  to.ID,
		Remaining: f.ends.Sub(f.entry.Now()),
		Rank:      catalog.Rank(f.route, f.team),
		LastEvent: f.call.LastEvent,
	}
	if f.team != nil {
		forward.Team = f.team.Name
	}
	if donor := f.placement.Donor; donor != nil {
		forward.FetchFrom = donor.Address
	}
	return &upstream.Request{
		Endpoint: to.Incarnation(),
		Address:  to.Address,
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
		Homes:     catalog.HomesOf(f.route, f.team),
		Priority:  f.route.Priority,
		Earns:     f.earns(),
		Retry:     f.retry.asked,
		Sent:      f.started || len(f.tried) > 0 || f.call.LastEvent != "",
		Objective: f.route.Objective,
		Pause:     f.route.PauseObjective,
		Deadline:  f.ends.Sub(f.entry.Now()),
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
		if g.Hint > 0 {
			d.Output = min(g.Hint, d.Output)
		}
		for _, p := range g.Parts {
			d.Parts = append(d.Parts, balance.Part{ID: p.ID, Tokens: p.Tokens})
		}
	}
	return d
}
