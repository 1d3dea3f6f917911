package entry

// This file carries one request from its arrival to its answer.

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

// When refused callers are told to come back.
const (
	retryAfterShort = 50 * time.Millisecond
	retryAfterLong  = 400 * time.Millisecond
)

// defaultTime bounds a request for which neither caller nor operator names a
// time.
const defaultTime = time.Minute

// An exchange is one request in hand and its answer.
type exchange struct {
	entry   *Entry
	w       http.ResponseWriter
	r       *http.Request
	call    *Call
	arrived time.Time
	ends    time.Time // when the caller or the operator gives it up

	route   *catalog.Route
	team    *catalog.Team
	service *catalog.Service
	version int64
	age     time.Duration // of the beliefs it was admitted by

	attempts  int
	tried     []string // IDs of endpoints that it was sent to
	avoid     []uint32 // hashes of their incarnations
	placement *balance.Placement
	scheduler string // the instance that chose or refused last; empty if this one did
	placed    time.Time

	hold  *memory.Holding // of the instance's memory
	ahead int             // bytes of the answer that waited for the caller, at most

	heardAfter   time.Duration // the first event came so long after the endpoint was chosen
	longestPause time.Duration // between two events

	heard func()        // the endpoint has begun to answer
	rest  time.Duration // that the last endpoint asked for; zero: none
	limit *Rate         // that the last endpoint named; nil: none

	earning quota.Earning // for those who choose endpoints, by its first placement
	retry   retryState
	paidBy  string // the last retry; empty: there was none

	mayHaveRun bool // at an endpoint that it was sent to before

	held      *held     // among the requests in hand
	same      poison.ID // see identity; zero: not worked out
	suspected bool      // an endpoint ended that had the same request in hand

	started bool // the head of an answer has been passed on
	cut     bool // an answer that was begun could not be finished
	status  int
	first   time.Duration
	err     *verdict.Error
}

// serve runs the request to its end.
func (f *exchange) serve() {
	f.awaitConfiguration()
	if err := f.admit(); err != nil {
		f.refuse(err)
		return
	}
	f.earning = f.entry.budgets.request(f.service.Name)
	f.setEnd()
	ctx, cancel := f.untilEnd()
	defer cancel()
	if err := f.letIn(); err != nil {
		f.refuse(err)
		return
	}
	defer f.letGo()
	if err := f.readBody(); err != nil {
		f.refuse(err)
		return
	}
	if !f.entry.begin() {
		f.refuse(f.entry.overloaded())
		return
	}
	defer f.entry.done()
	if err := f.startRun(); err != nil {
		f.refuse(err)
		return
	}
	f.run(ctx)
}

// startWithin is how long a request waits for the first configuration.
const startWithin = 150 * time.Millisecond

// awaitConfiguration waits a moment if the instance has just started.
func (f *exchange) awaitConfiguration() {
	if f.entry.Beliefs.View().Catalog != nil {
		return
	}
	if f.entry.Awaited != nil {
		f.entry.Awaited()
	}
	timer := time.NewTimer(startWithin)
	defer timer.Stop()
	for f.entry.Beliefs.View().Catalog == nil {
		changed := f.entry.Beliefs.Changed()
		if f.entry.Beliefs.View().Catalog != nil {
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

// admit finds the request's route and team in what is believed now, and
// says why it may not be sent if so. It is asked again before every sending.
func (f *exchange) admit() *verdict.Error {
	e := f.entry
	view := e.Beliefs.View()
	age, proved := e.Beliefs.Age()
	if view.Catalog == nil || !proved {
		return verdict.Refuse(verdict.NoConfiguration, "no configuration is known yet").After(retryAfterLong)
	}
	f.version, f.age = view.Catalog.Version(), age
	f.route = view.Catalog.Route(f.call.Host, f.call.Path)
	if f.route == nil {
		return f.uncertain(verdict.Refuse(verdict.UnknownRoute, "no route"))
	}
	f.team = view.Catalog.Team(f.call.Key)
	if f.team == nil && view.Catalog.NeedsKey(f.route) {
		return f.uncertain(verdict.Refuse(verdict.Unauthenticated, "the key is not known"))
	}
	if f.team != nil && !e.fresh() {
		return verdict.Refuse(verdict.StaleBelief, "keys were proved %s ago", age).After(retryAfterLong)
	}
	f.service = view.Catalog.Service(f.route.Target(xxhash.Sum64String(f.call.ID)))
	return nil
}

// uncertain returns refusal, or one that claims less where a newer
// configuration may say otherwise.
func (f *exchange) uncertain(refusal *verdict.Error) *verdict.Error {
	if f.age <= f.entry.bounds.Load().Propagation {
		return refusal
	}
	return verdict.Refuse(verdict.StaleBelief, "%s, as of %s ago", refusal.Detail, f.age).After(retryAfterLong)
}

func (f *exchange) setEnd() {
	limit := f.call.Deadline
	if t := f.route.Timeout; t > 0 && (limit == 0 || t < limit) {
		limit = t
	}
	if limit == 0 {
		limit = defaultTime
	}
	f.ends = f.arrived.Add(limit)
	f.setWriteEnd(f.arrived)
}

// setWriteEnd bounds writing to the caller, at time now. A caller that does not read must
// not hold the handler. An answer that is ready is delivered late.
func (f *exchange) setWriteEnd(now time.Time) {
	by := f.ends
	if now.After(by) {
		by = now
	}
	_ = http.NewResponseController(f.w).SetWriteDeadline(clock.Deadline(f.entry.Now, by.Add(f.entry.callerStall())))
}

// run sends the request to endpoints until one answers it for good.
func (f *exchange) run(ctx context.Context) {
	if refusal := f.judge(); refusal != nil {
		f.end(refusal)
		return
	}
	for {
		err := f.attempt(ctx)
		if err == nil {
			f.answered()
			return
		}
		seen := f.brokenOff(ctx, err)
		if err.Reason == verdict.RetryBudget && f.retry.cause != nil {
			f.finish(ctx, f.retry.cause)
			return
		}
		if ctx.Err() != nil || !f.mayRetry(err) {
			f.finish(ctx, err)
			return
		}
		f.mayHaveRun = f.mayHaveRun || err.Verdict != verdict.NotRun
		seen.await(ctx)
		if refusal := f.judge(); refusal != nil {
			f.end(refusal)
			return
		}
		if err.Reason == verdict.EndpointConnect || err.Reason == verdict.EndpointRests {
			f.retry = retryState{cause: err} // nothing was sent, and so nothing counts
		} else {
			f.askRetry(err)
		}
		if again := f.admit(); again != nil {
			f.end(again)
			return
		}
	}
}

// finish gives the caller the answer that follows from the last attempt's error.
func (f *exchange) finish(ctx context.Context, err *verdict.Error) {
	if ctx.Err() != nil {
		err = f.ended(err)
	}
	f.end(err)
}

// ended returns the error of a request whose time is over or whose caller has
// left.
func (f *exchange) ended(err *verdict.Error) *verdict.Error {
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

// end gives the caller the final answer of a failed request, or cuts off the
// answer that was begun.
func (f *exchange) end(err *verdict.Error) {
	if f.mayHaveRun && err.Verdict == verdict.NotRun {
		// The last endpoint did not run it; an earlier one may have.
		reason := verdict.EndpointCut
		if err.Reason == verdict.EndsEndpoints {
			reason = verdict.EndedEndpoints
		}
		err = verdict.Fail(verdict.MayHaveRun, reason, "%s", err.Detail)
	}
	if f.started {
		f.err = err
		f.cut = true
		f.entry.Counters.refused(err.Reason)
		return
	}
	if err.Reason == verdict.CallerGone {
		f.err = err
		f.cut = true // nobody reads an answer
		f.entry.Counters.refused(err.Reason)
		return
	}
	if err.Verdict == verdict.NotRun && err.Reason == verdict.EndpointConnect {
		// No endpoint was sent anything: that is a promise, which the
		// status of a failed endpoint would not give.
		err = verdict.Refuse(verdict.NoEndpoint, "%s", err.Detail).After(retryAfterShort)
	}
	f.refuse(err)
}

// refuse answers a request that gets no answer from an endpoint.
func (f *exchange) refuse(err *verdict.Error) {
	f.err = err
	f.status = err.Reason.Status()
	f.entry.Counters.refused(err.Reason)
	id := ""
	if f.call != nil {
		id = f.call.ID
	}
	f.drain()
	f.entry.Codec.Refuse(f.w, id, err)
}

// drainMost is how much of a body that was not read is read before a refusal,
// as net/http does on connections that it keeps.
const drainMost = 256 << 10

// drain reads what is left of a short body. Where the connection is closed after
// the answer, net/http does not, and a caller that is still writing meets a
// reset in place of the answer.
func (f *exchange) drain() {
	if f.r.Close || f.leaves() {
		_, _ = io.CopyN(io.Discard, f.r.Body, drainMost)
	}
}

// leaves reports whether the instance leaves, and so closes connections.
func (f *exchange) leaves() bool {
	leaving, _ := f.entry.Leaving()
	return leaving
}

// report logs the request with what decided on it.
func (f *exchange) report() {
	took := f.entry.Now().Sub(f.arrived)
	if f.err == nil {
		f.entry.Counters.passed(f.status)
		f.entry.Counters.first.record(f.first)
		f.entry.Counters.whole.record(took)
	}
	fields := make([]zap.Field, 0, 28)
	fields = append(fields, zap.String("id", f.call.ID), zap.Int("status", f.status),
		zap.Duration("took", took), zap.Int64("version", f.version), zap.Duration("belief_age", f.age))
	if f.entry.Settings != nil {
		fields = append(fields, zap.String("settings", f.entry.Settings()))
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
			zap.Duration("backlog", p.Backlog), zap.Duration("first", f.first), zap.Duration("expected", p.Expected()), zap.Duration("heard_after", f.heardAfter), zap.Duration("pause", f.longestPause), zap.Float64("read_us", 1e3*p.Pace.ReadTime))
	}
	if f.paidBy != "" {
		fields = append(fields, zap.String("retry", f.paidBy))
	}
	if p := f.placement; p != nil && p.Distance == balance.Beyond {
		fields = append(fields, zap.Stringer("distance", p.Distance), zap.Float64("crossing", p.Crossing), zap.Int("body", len(f.call.Body)))
	}
	if p := f.placement; p != nil && p.Cold {
		fields = append(fields, zap.Bool("cold", true))
	}
	if p := f.placement; p != nil && p.Donor != nil {
		fields = append(fields, zap.String("donor", p.Donor.ID))
	}
	if f.rest > 0 {
		fields = append(fields, zap.Duration("asked_rest", f.rest))
	}
	if f.limit != nil {
		fields = append(fields, zap.Float64("named_limit", float64(*f.limit)))
	}
	if p := f.placement; p != nil {
		if rate, age, divider, ok := p.Limit(); ok {
			fields = append(fields, zap.Float64("limit", rate), zap.Duration("limit_age", age), zap.String("limit_divider", divider))
		}
	}
	if f.ahead > 0 {
		fields = append(fields, zap.Int("waited_bytes", f.ahead))
	}
	if f.same != (poison.ID{}) {
		fields = append(fields, zap.Stringer("same_as", f.same), zap.Bool("suspected", f.suspected))
	}
	if f.err != nil {
		fields = append(fields, zap.String("reason", string(f.err.Reason)), zap.Stringer("verdict", f.err.Verdict),
			zap.String("detail", f.err.Detail), zap.Bool("cut", f.cut))
	}
	f.entry.Log.Info("request", fields...)
}
