package entry

// This file handles one request from its arrival to its response.

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/clock"
	"ivyridge/memory"
	"ivyridge/poison"
	"ivyridge/quota"
	"ivyridge/verdict"
)

// Values for verdict.Error.RetryAfter.
const (
	retryAfterShort = 50 * time.Millisecond
	retryAfterLong  = 400 * time.Millisecond
)

// defaultTimeout applies if neither the caller nor the route sets a timeout.
const defaultTimeout = time.Minute

// An exchange is one request and its response.
type exchange struct {
	proxy    *Proxy
	w        http.ResponseWriter
	r        *http.Request
	call     *Call
	arrived  time.Time
	deadline time.Time // the earlier of the caller's and the route's

	route     *catalog.Route
	team      *catalog.Team
	service   *catalog.Service
	version   int64
	configAge time.Duration // age of the configuration that the request was last admitted by

	attempts  int
	tried     []string // IDs of the endpoints that the request was sent to
	avoid     []uint32 // hashes of their incarnations
	placement *balance.Placement
	scheduler string // instance that last chose an endpoint or refused; empty: this one
	placedAt  time.Time

	mem          *memory.Reservation // memory reserved for this request
	peakBuffered int                 // peak size of the relay buffer, in bytes

	firstEventAfter time.Duration // time from the choice of the endpoint to the first event
	longestPause    time.Duration // between two events

	responseStarted func()        // cancels the response timeout of the current attempt
	backoff         time.Duration // requested by the last endpoint; zero: none
	rateLimit       *Rate         // stated by the last endpoint; nil: none

	deposit       quota.DepositKind // what the first attempt adds to the shared retry budget
	retry         retryState
	chargedBudget string // budget that paid for the last retry; empty: no retry

	mayHaveRun bool // on an endpoint of an earlier attempt

	inFlight  *inFlightRequest // element of Proxy.inFlight
	poisonID  poison.ID        // see requestPoisonID; zero: not computed yet
	suspected bool             // an endpoint crashed while it was running the same request

	headSent       bool // the response head has been sent to the caller
	truncated      bool // the response was begun and could not be completed
	status         int
	firstByteAfter time.Duration
	err            *verdict.Error
}

func (f *exchange) serve() {
	f.awaitConfiguration()
	if err := f.admit(); err != nil {
		f.refuse(err)
		return
	}
	f.deposit = f.proxy.retryBudgets.deposit(f.service.Name)
	f.setDeadline()
	ctx, cancel := f.register()
	defer cancel()
	if err := f.reserveMemory(); err != nil {
		f.refuse(err)
		return
	}
	defer f.releaseMemory()
	if err := f.readBody(); err != nil {
		f.refuse(err)
		return
	}
	if !f.proxy.acquireRunning() {
		f.refuse(f.proxy.overloaded())
		return
	}
	defer f.proxy.releaseRunning()
	if err := f.reserveExchangeMemory(); err != nil {
		f.refuse(err)
		return
	}
	f.run(ctx)
}

// configurationWait is how long a request waits for the first configuration.
const configurationWait = 150 * time.Millisecond

func (f *exchange) awaitConfiguration() {
	if f.proxy.State.View().Catalog != nil {
		return
	}
	if f.proxy.OnConfigurationWait != nil {
		f.proxy.OnConfigurationWait()
	}
	timer := time.NewTimer(configurationWait)
	defer timer.Stop()
	for f.proxy.State.View().Catalog == nil {
		changed := f.proxy.State.Changed()
		if f.proxy.State.View().Catalog != nil {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-f.r.Context().Done():
			return
		}
	}
}

// admit resolves the request's route, team and service, or returns why it is rejected. It is
// called again before every retry, as the configuration may have changed.
func (f *exchange) admit() *verdict.Error {
	e := f.proxy
	view := e.State.View()
	age, validated := e.State.Age()
	if view.Catalog == nil || !validated {
		return verdict.Refuse(verdict.NoConfiguration, "no configuration is known yet").WithRetryAfter(retryAfterLong)
	}
	f.version, f.configAge = view.Catalog.Version(), age
	f.route = view.Catalog.Route(f.call.Host, f.call.Path)
	if f.route == nil {
		return f.retryableIfStale(verdict.Refuse(verdict.UnknownRoute, "no route"))
	}
	f.team = view.Catalog.Team(f.call.Key)
	if f.team == nil && view.Catalog.NeedsKey(f.route) {
		return f.retryableIfStale(verdict.Refuse(verdict.Unauthenticated, "the key is not known"))
	}
	if f.team != nil && !e.configFresh() {
		return verdict.Refuse(verdict.StaleState, "keys were proved %s ago", age).WithRetryAfter(retryAfterLong)
	}
	f.service = view.Catalog.Service(f.route.Target(xxhash.Sum64String(f.call.ID)))
	return nil
}

// retryableIfStale returns refusal, or a retryable error if the configuration is so old that a newer
// one may differ.
func (f *exchange) retryableIfStale(refusal *verdict.Error) *verdict.Error {
	if f.configAge <= f.proxy.limits.Load().Propagation {
		return refusal
	}
	return verdict.Refuse(verdict.StaleState, "%s, as of %s ago", refusal.Detail, f.configAge).WithRetryAfter(retryAfterLong)
}

func (f *exchange) setDeadline() {
	limit := f.call.Deadline
	if t := f.route.Timeout; t > 0 && (limit == 0 || t < limit) {
		limit = t
	}
	if limit == 0 {
		limit = defaultTimeout
	}
	f.deadline = f.arrived.Add(limit)
	f.setWriteDeadline(f.arrived)
}

// setWriteDeadline bounds writes, so that a caller that does not read cannot block the handler. It
// allows stallTimeout after the request's deadline, or after now if that is later, so that a
// complete response can still be delivered.
func (f *exchange) setWriteDeadline(now time.Time) {
	deadline := f.deadline
	if now.After(deadline) {
		deadline = now
	}
	_ = http.NewResponseController(f.w).SetWriteDeadline(clock.Deadline(f.proxy.Now, deadline.Add(f.proxy.stallTimeout())))
}

// run makes attempts until one succeeds or no retry is allowed.
func (f *exchange) run(ctx context.Context) {
	if refusal := f.checkPoison(); refusal != nil {
		f.fail(refusal)
		return
	}
	for {
		err := f.attempt(ctx)
		if err == nil {
			f.clearSuspect()
			return
		}
		crash := f.trackCrash(ctx, err)
		if err.Reason == verdict.RetryBudget && f.retry.cause != nil {
			f.finish(ctx, f.retry.cause)
			return
		}
		if ctx.Err() != nil || !f.mayRetry(err) {
			f.finish(ctx, err)
			return
		}
		f.mayHaveRun = f.mayHaveRun || err.Verdict != verdict.NotRun
		crash.wait(ctx)
		if refusal := f.checkPoison(); refusal != nil {
			f.fail(refusal)
			return
		}
		if err.Reason == verdict.EndpointConnect || err.Reason == verdict.EndpointInBackoff {
			f.retry = retryState{cause: err} // nothing was sent: no budget is charged
		} else {
			f.reserveRetry(err)
		}
		if rejected := f.admit(); rejected != nil {
			f.fail(rejected)
			return
		}
	}
}

// finish fails the request with the last attempt's error, or the context's if that is done.
func (f *exchange) finish(ctx context.Context, err *verdict.Error) {
	if ctx.Err() != nil {
		err = f.contextError(err)
	}
	f.fail(err)
}

// contextError returns err with the reason that the deadline has passed or the caller has
// disconnected.
func (f *exchange) contextError(err *verdict.Error) *verdict.Error {
	if err.Reason == verdict.CallerSlow {
		return err
	}
	reason := verdict.TimeLimit
	if f.r.Context().Err() != nil {
		reason = verdict.CallerGone
	} else if err.Verdict == verdict.NotRun {
		reason = verdict.DeadlineMissed
	}
	return verdict.Fail(err.Verdict, reason, "%s", err.Detail)
}

// fail sends an error response, or truncates the response if it was begun.
func (f *exchange) fail(err *verdict.Error) {
	if f.mayHaveRun && err.Verdict == verdict.NotRun {
		// The last endpoint did not run the request; an earlier one may have.
		reason := verdict.EndpointCut
		if err.Reason == verdict.CrashesEndpoints {
			reason = verdict.CrashedEndpoints
		}
		err = verdict.Fail(verdict.MayHaveRun, reason, "%s", err.Detail)
	}
	if f.headSent {
		f.err = err
		f.truncated = true
		f.proxy.Counters.refused(err.Reason)
		return
	}
	if err.Reason == verdict.CallerGone {
		f.err = err
		f.truncated = true // nobody reads a response
		f.proxy.Counters.refused(err.Reason)
		return
	}
	if err.Verdict == verdict.NotRun && err.Reason == verdict.EndpointConnect {
		// A 502 would not tell the caller that a retry is safe.
		err = verdict.Refuse(verdict.NoEndpoint, "%s", err.Detail).WithRetryAfter(retryAfterShort)
	}
	f.refuse(err)
}

// refuse sends an error response and counts it.
func (f *exchange) refuse(err *verdict.Error) {
	f.err = err
	f.status = err.Reason.Status()
	f.proxy.Counters.refused(err.Reason)
	id := ""
	if f.call != nil {
		id = f.call.ID
	}
	f.drain()
	f.proxy.Codec.WriteError(f.w, id, err)
}

// maxDrainBytes is how much of an unread body is read before an error response, as in net/http.
const maxDrainBytes = 256 << 10

// drain reads the rest of a short body if the connection closes after the response. net/http does
// not, and a caller that is still writing would get a connection reset instead of the response.
func (f *exchange) drain() {
	if f.r.Close || f.leaving() {
		_, _ = io.CopyN(io.Discard, f.r.Body, maxDrainBytes)
	}
}

// leaving reports whether the instance is shutting down and closes connections after a response.
func (f *exchange) leaving() bool {
	leaving, _ := f.proxy.Leaving()
	return leaving
}

// logRequest logs the request and counts it if it was answered.
func (f *exchange) logRequest() {
	took := f.proxy.Now().Sub(f.arrived)
	if f.err == nil {
		f.proxy.Counters.responded(f.status)
		f.proxy.Counters.firstByte.record(f.firstByteAfter)
		f.proxy.Counters.total.record(took)
	}
	fields := make([]zap.Field, 0, 28)
	fields = append(fields, zap.String("id", f.call.ID), zap.Int("status", f.status),
		zap.Duration("took", took), zap.Int64("version", f.version), zap.Duration("belief_age", f.configAge))
	if f.proxy.Settings != nil {
		fields = append(fields, zap.String("settings", f.proxy.Settings()))
	}
	if f.route != nil {
		fields = append(fields, zap.String("route", f.route.Name))
	}
	if f.team != nil {
		fields = append(fields, zap.String("team", f.team.Name))
	}
	if f.service != nil {
		fields = append(fields, zap.String("service", f.service.Name), zap.Int("rank", catalog.Rank(f.route, f.team)), zap.Int("attempts", f.attempts), zap.Strings("sent_to", f.tried))
	}
	if f.scheduler != "" {
		fields = append(fields, zap.String("scheduler", f.scheduler))
	}
	if p := f.placement; p != nil {
		fields = append(fields, zap.String("endpoint", p.Endpoint.ID), zap.Bool("granted", p.Granted), zap.Float64("cost", p.Cost), zap.Int("cached", p.Cached), zap.Int("fetched", p.Fetched),
			zap.Duration("backlog", p.Backlog), zap.Duration("first", f.firstByteAfter), zap.Duration("expected", p.Expected()), zap.Duration("heard_after", f.firstEventAfter), zap.Duration("pause", f.longestPause), zap.Float64("read_us", 1e3*p.Pace.PrefillPerToken))
	}
	if f.chargedBudget != "" {
		fields = append(fields, zap.String("retry", f.chargedBudget))
	}
	if p := f.placement; p != nil && p.Distance == balance.OtherRegion {
		fields = append(fields, zap.Stringer("distance", p.Distance), zap.Float64("crossing", p.CrossRegionCost), zap.Int("body", len(f.call.Body)))
	}
	if p := f.placement; p != nil && p.Cold {
		fields = append(fields, zap.Bool("cold", true))
	}
	if p := f.placement; p != nil && p.Donor != nil {
		fields = append(fields, zap.String("donor", p.Donor.ID))
	}
	if f.backoff > 0 {
		fields = append(fields, zap.Duration("asked_rest", f.backoff))
	}
	if f.rateLimit != nil {
		fields = append(fields, zap.Float64("named_limit", float64(*f.rateLimit)))
	}
	if p := f.placement; p != nil {
		if rate, age, allocator, ok := p.Limit(); ok {
			fields = append(fields, zap.Float64("limit", rate), zap.Duration("limit_age", age), zap.String("limit_divider", allocator))
		}
	}
	if f.peakBuffered > 0 {
		fields = append(fields, zap.Int("waited_bytes", f.peakBuffered))
	}
	if f.poisonID != (poison.ID{}) {
		fields = append(fields, zap.Stringer("same_as", f.poisonID), zap.Bool("suspected", f.suspected))
	}
	if f.err != nil {
		fields = append(fields, zap.String("reason", string(f.err.Reason)), zap.Stringer("verdict", f.err.Verdict),
			zap.String("detail", f.err.Detail), zap.Bool("cut", f.truncated))
	}
	f.proxy.Log.Info("request", fields...)
}
