package entry

// This file handles one request from its arrival to its response.

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/clock"
	"ivyridge/forward"
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

	attempts           int
	refusedConnections int      // attempts whose endpoint refused the connection
	tried              []string // IDs of the endpoints that the request was sent to
	avoid              []uint32 // hashes of their incarnations
	placement          *balance.Placement
	scheduler          string // instance that last chose an endpoint or refused; empty: this one
	placedAt           time.Time

	bodyRead   bool // the whole body
	bodySlow   bool // the caller stopped sending the body
	bodyUnread bool // the error response was sent before the end of the body

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

	stream       streamOrigin
	peerSoftware catalog.SoftwareID // version of the endpoint at which another instance ran the request; zero: not known

	forwarded   *forward.Head // set if another instance forwarded the request
	forwardedTo string        // address of the instance that the request was last forwarded to; empty: none

	inFlight     *inFlightRequest // element of Proxy.inFlight
	poisonID     poison.ID        // see requestPoisonID; zero: not computed yet
	partsCleared bool             // the prompt's parts count as answered by the current endpoint
	answerBegun  bool             // the current endpoint has sent an event
	suspected    bool             // an endpoint crashed while it was running the same request
	trials       []poison.ID      // suspects that are being tried with this request

	headSent       bool // the response head has been sent to the caller
	truncated      bool // the response was begun and could not be completed
	status         int
	firstByteAfter time.Duration
	err            *verdict.Error
}

func (ex *exchange) serve() {
	ex.awaitConfiguration()
	if err := ex.admit(); err != nil {
		ex.refuse(err)
		return
	}
	if err := ex.checkHeader(); err != nil {
		ex.refuse(err)
		return
	}
	ex.initRetries()
	ex.setDeadline()
	ctx, cancel := ex.register()
	defer cancel()
	if err := ex.reserveMemory(); err != nil {
		ex.refuse(err)
		return
	}
	defer ex.releaseMemory()
	if err := ex.readBody(); err != nil {
		ex.refuse(err)
		return
	}
	if !ex.proxy.acquireRunning() {
		ex.refuse(ex.proxy.overloaded())
		return
	}
	defer ex.proxy.releaseRunning()
	ex.connection().SetRunning(true)
	defer ex.connection().SetRunning(false)
	ex.run(ctx)
}

// configurationWait is how long a request waits for the first configuration.
const configurationWait = 150 * time.Millisecond

func (ex *exchange) awaitConfiguration() {
	if ex.proxy.State.View().Catalog != nil {
		return
	}
	if ex.proxy.OnConfigurationWait != nil {
		ex.proxy.OnConfigurationWait()
	}
	timer := time.NewTimer(configurationWait)
	defer timer.Stop()
	for ex.proxy.State.View().Catalog == nil {
		changed := ex.proxy.State.Changed()
		if ex.proxy.State.View().Catalog != nil {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ex.r.Context().Done():
			return
		}
	}
}

// admit resolves the request's route, team and service, or returns why it is rejected. It is
// called again before every retry, as the configuration may have changed.
func (ex *exchange) admit() *verdict.Error {
	p := ex.proxy
	view := p.State.View()
	age, validated := p.State.Age()
	if view.Catalog == nil || !validated {
		return verdict.Refuse(verdict.NoConfiguration, "no configuration is known yet").WithRetryAfter(retryAfterLong)
	}
	ex.version, ex.configAge = view.Catalog.Version(), age
	if ex.forwarded != nil && ex.version < ex.forwarded.Version {
		return verdict.Refuse(verdict.StaleState, "configuration %d is older than that of %s, %d", ex.version, ex.forwarded.From, ex.forwarded.Version).WithRetryAfter(retryAfterShort)
	}
	ex.route = view.Catalog.Route(ex.call.Host, ex.call.Path)
	if ex.route == nil {
		return ex.retryableIfStale(verdict.Refuse(verdict.UnknownRoute, "no route"))
	}
	ex.team = view.Catalog.Team(ex.call.Key)
	if ex.team == nil && view.Catalog.NeedsKey(ex.route) {
		return ex.retryableIfStale(verdict.Refuse(verdict.Unauthenticated, "the key is not known"))
	}
	if ex.team != nil && !p.configFresh() {
		return verdict.Refuse(verdict.StaleState, "keys were proved %s ago", age).WithRetryAfter(retryAfterLong)
	}
	ex.service = view.Catalog.Service(ex.route.Target(xxhash.Sum64String(ex.targetKey())))
	return nil
}

// retryableIfStale returns refusal, or a retryable error if the configuration is so old that a newer
// one may differ.
func (ex *exchange) retryableIfStale(refusal *verdict.Error) *verdict.Error {
	if ex.configAge <= ex.proxy.limits.Load().Propagation {
		return refusal
	}
	return verdict.Refuse(verdict.StaleState, "%s, as of %s ago", refusal.Detail, ex.configAge).WithRetryAfter(retryAfterLong)
}

func (ex *exchange) setDeadline() {
	limit := ex.call.Deadline
	if t := ex.route.Timeout; t > 0 && (limit == 0 || t < limit) {
		limit = t
	}
	if limit == 0 {
		limit = defaultTimeout
	}
	ex.deadline = ex.arrived.Add(limit)
	ex.setWriteDeadline(ex.arrived)
}

// setWriteDeadline bounds writes, so that a caller that does not read cannot block the handler. It
// allows stallTimeout after the request's deadline, or after now if that is later, so that a
// complete response can still be delivered.
func (ex *exchange) setWriteDeadline(now time.Time) {
	deadline := ex.deadline
	if now.After(deadline) {
		deadline = now
	}
	_ = http.NewResponseController(ex.w).SetWriteDeadline(clock.Deadline(ex.proxy.Now, deadline.Add(ex.proxy.StallTimeout())))
}

// run makes attempts until one succeeds or no retry is allowed.
func (ex *exchange) run(ctx context.Context) {
	if refusal := ex.checkPoison(ctx); refusal != nil {
		ex.fail(refusal)
		return
	}
	if refusal := ex.initStream(ctx); refusal != nil {
		ex.fail(refusal)
		return
	}
	for {
		err := ex.attempt(ctx)
		if err == nil {
			ex.clearSuspect()
			ex.endTrials()
			return
		}
		crash := ex.trackCrash(ctx, err)
		ex.endTrialsAfter(crash)
		if err.Reason == verdict.RetryBudget && ex.retry.cause != nil {
			if !ex.retry.inherited {
				err = ex.retry.cause
			}
			ex.finish(ctx, err)
			return
		}
		if ctx.Err() != nil || !ex.mayRetry(err) {
			ex.finish(ctx, err)
			return
		}
		ex.mayHaveRun = ex.mayHaveRun || err.Verdict != verdict.NotRun
		crash.wait(ctx)
		ex.endTrials()
		if refusal := ex.checkPoison(ctx); refusal != nil {
			ex.fail(refusal)
			return
		}
		if err.Reason == verdict.EndpointConnect || err.Reason == verdict.EndpointInBackoff {
			ex.retry = retryState{cause: err} // nothing was sent: no budget is charged
		} else {
			ex.reserveRetry(err)
		}
		if rejected := ex.admit(); rejected != nil {
			ex.fail(rejected)
			return
		}
	}
}

// finish fails the request with the last attempt's error, or the context's if that is done.
func (ex *exchange) finish(ctx context.Context, err *verdict.Error) {
	if ctx.Err() != nil {
		err = ex.contextError(err)
	}
	ex.fail(err)
}

// contextError returns err with the reason that the deadline has passed, the caller has disconnected or the
// instance stops.
func (ex *exchange) contextError(err *verdict.Error) *verdict.Error {
	if err.Reason == verdict.CallerSlow {
		return err
	}
	notRun := err.Verdict == verdict.NotRun
	switch {
	case ex.r.Context().Err() != nil:
		return verdict.Fail(err.Verdict, verdict.CallerGone, "%s", err.Detail)
	case notRun && ex.proxy.ending.Err() != nil:
		return leavingError()
	case notRun:
		return verdict.Fail(err.Verdict, verdict.DeadlineMissed, "%s", err.Detail)
	}
	return verdict.Fail(err.Verdict, verdict.TimeLimit, "%s", err.Detail)
}

// fail sends an error response, or truncates the response if it was begun.
func (ex *exchange) fail(err *verdict.Error) {
	if ex.mayHaveRun && err.Verdict == verdict.NotRun {
		// The last endpoint did not run the request; an earlier one may have.
		reason := verdict.EndpointCut
		if err.Reason == verdict.CrashesEndpoints {
			reason = verdict.CrashedEndpoints
		}
		err = verdict.Fail(verdict.MayHaveRun, reason, "%s", err.Detail)
	}
	if ex.headSent {
		ex.err = err
		ex.truncated = true
		ex.proxy.Counters.refused(err.Reason)
		return
	}
	if err.Reason == verdict.CallerGone {
		ex.err = err
		ex.truncated = true // nobody reads a response
		ex.proxy.Counters.refused(err.Reason)
		return
	}
	if err.Verdict == verdict.NotRun && err.Reason == verdict.EndpointConnect {
		// A 502 would not tell the caller that a retry is safe.
		err = verdict.Refuse(verdict.NoEndpoint, "%s", err.Detail).WithRetryAfter(retryAfterShort)
	}
	ex.refuse(err)
}

// refuse sends an error response and counts it.
func (ex *exchange) refuse(err *verdict.Error) {
	ex.err = err
	ex.status = err.Reason.Status()
	ex.proxy.Counters.refused(err.Reason)
	id := ""
	if ex.call != nil {
		id = ex.call.ID
	}
	ex.drain()
	ex.encodeResult(err)
	ex.proxy.Codec.WriteError(ex.w, id, err)
}

// leaving reports whether the instance is shutting down and closes connections after a response.
func (ex *exchange) leaving() bool {
	leaving, _ := ex.proxy.Leaving()
	return leaving
}

// maxLoggedBytes bounds text of a caller in a log line. An ID is far shorter.
const maxLoggedBytes = 256

// loggedText returns the part of a caller's text that is logged.
func loggedText(text string) string { return text[:min(len(text), maxLoggedBytes)] }

// logRequest logs the request and counts it if it was answered.
func (ex *exchange) logRequest() {
	took := ex.proxy.Now().Sub(ex.arrived)
	if ex.err == nil {
		ex.proxy.Counters.responded(ex.status)
		ex.proxy.Counters.firstByte.record(ex.firstByteAfter)
		ex.proxy.Counters.total.record(took)
	}
	fields := make([]zap.Field, 0, 28)
	fields = append(fields, zap.String("id", loggedText(ex.call.ID)), zap.Int("status", ex.status),
		zap.Duration("took", took), zap.Int64("version", ex.version), zap.Duration("belief_age", ex.configAge))
	if ex.proxy.Settings != nil {
		fields = append(fields, zap.String("settings", ex.proxy.Settings()))
	}
	if ex.route != nil {
		fields = append(fields, zap.String("route", ex.route.Name))
	}
	if ex.team != nil {
		fields = append(fields, zap.String("team", ex.team.Name))
	}
	if ex.service != nil {
		fields = append(fields, zap.String("service", ex.service.Name), zap.Int("rank", catalog.Rank(ex.route, ex.team)), zap.Int("attempts", ex.attempts), zap.Strings("sent_to", ex.tried))
	}
	if ex.scheduler != "" {
		fields = append(fields, zap.String("scheduler", ex.scheduler))
	}
	if p := ex.placement; p != nil {
		fields = append(fields, zap.String("endpoint", p.Endpoint.ID), zap.String("endpoint_software", p.Endpoint.Software), zap.Bool("granted", p.Granted), zap.Float64("cost", p.Cost), zap.Int("cached", p.Cached), zap.Int("fetched", p.Fetched),
			zap.Duration("backlog", p.Backlog), zap.Duration("first", ex.firstByteAfter), zap.Duration("expected", p.Expected()), zap.Duration("heard_after", ex.firstEventAfter), zap.Duration("pause", ex.longestPause), zap.Float64("read_us", 1e3*p.Pace.PrefillPerToken))
	}
	if ex.stream.resumed {
		fields = append(fields, zap.String("resumes", loggedText(ex.call.Resumes)), zap.Uint32("software", uint32(ex.stream.software)))
	}
	if ex.chargedBudget != "" {
		fields = append(fields, zap.String("retry", ex.chargedBudget))
	}
	if p := ex.placement; p != nil && p.Distance == balance.OtherRegion {
		fields = append(fields, zap.Stringer("distance", p.Distance), zap.Float64("crossing", p.CrossRegionCost), zap.Int("body", len(ex.call.Body)))
	}
	if p := ex.placement; p != nil && p.Cold {
		fields = append(fields, zap.Bool("cold", true))
	}
	if p := ex.placement; p != nil && p.Donor != nil {
		fields = append(fields, zap.String("donor", p.Donor.ID))
	}
	if ex.backoff > 0 {
		fields = append(fields, zap.Duration("asked_rest", ex.backoff))
	}
	if ex.rateLimit != nil {
		fields = append(fields, zap.Float64("named_limit", float64(*ex.rateLimit)))
	}
	if p := ex.placement; p != nil {
		if rate, age, allocator, ok := p.Limit(); ok {
			fields = append(fields, zap.Float64("limit", rate), zap.Duration("limit_age", age), zap.String("limit_divider", allocator))
		}
	}
	if ex.forwardedTo != "" {
		fields = append(fields, zap.String("forwarded_to", ex.forwardedTo))
	}
	if ex.forwarded != nil {
		fields = append(fields, zap.String("forwarded_by", ex.forwarded.From))
	}
	if ex.peakBuffered > 0 {
		fields = append(fields, zap.Int("waited_bytes", ex.peakBuffered))
	}
	if ex.poisonID != (poison.ID{}) {
		fields = append(fields, zap.Stringer("same_as", ex.poisonID), zap.Bool("suspected", ex.suspected))
	}
	if ex.err != nil && ex.err.Reason == verdict.EndpointCut && ex.call.Generation != nil {
		fields = append(fields, zap.Strings("parts", ex.call.Generation.sharedPartNames()))
	}
	if ex.err != nil {
		fields = append(fields, zap.String("reason", string(ex.err.Reason)), zap.Stringer("verdict", ex.err.Verdict),
			zap.String("detail", ex.err.Detail), zap.Bool("cut", ex.truncated))
	}
	ex.proxy.Log.Info("request", fields...)
}
