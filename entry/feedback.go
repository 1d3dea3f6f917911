package entry

// This file applies what endpoints report about themselves in response headers, and makes
// requests wait for a short back-off of all endpoints to end.

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/discovery"
)

// Kinds of feedback from endpoints, as counted.
const (
	feedbackBackoff     = "rest"       // the endpoint asks for a back-off
	feedbackLeaving     = "leaving"    // it is shutting down
	feedbackLimit       = "limit"      // it states a rate limit
	feedbackLimitLifted = "limit-over" // it no longer states one
	feedbackInvalidLoad = "odd-load"   // its load could not be parsed
	feedbackNotSent     = "unsent"     // a request was not sent because of a back-off asked for after the choice
	feedbackWaited      = "awaited"    // a request waited for a back-off to end
)

// applyFeedback applies the feedback in a response head, before the next choice of an endpoint.
func (f *exchange) applyFeedback(head *ResponseHead) {
	f.backoff, f.rateLimit = head.Backoff, head.RateLimit
	if head.Misdirected {
		return // sent by a different endpoint
	}
	f.applyLimit(head)
	f.applyLoad(head)
	if head.Leaving && f.placement.RecordDraining() {
		f.entry.Counters.feedback(feedbackLeaving, f.service.Name)
		f.entry.Log.Info("endpoint announced its shutdown", zap.String("id", f.placement.Endpoint.ID), zap.String("service", f.service.Name), zap.String("request", f.call.ID))
	}
	if head.Backoff == 0 {
		return
	}
	f.entry.Counters.feedback(feedbackBackoff, f.service.Name)
	if f.placement.RecordBackoff(head.Backoff) {
		f.entry.Log.Info("endpoint asked for a back-off", zap.String("id", f.placement.Endpoint.ID), zap.String("service", f.service.Name), zap.Duration("rest", head.Backoff), zap.String("request", f.call.ID))
	}
}

// applyLimit applies the rate limit in a response head. A limit is lifted only by a response
// of the endpoint's own.
func (f *exchange) applyLimit(head *ResponseHead) {
	switch {
	case head.RateLimit != nil:
		f.entry.Counters.feedback(feedbackLimit, f.service.Name)
		if f.placement.RecordLimit(float64(*head.RateLimit)) {
			f.logLimitChange("endpoint announced a rate limit", zap.Float64("per_second", float64(*head.RateLimit)))
		}
	case head.Sealed || head.NotRun:
		if f.placement.RecordNoLimit() {
			f.entry.Counters.feedback(feedbackLimitLifted, f.service.Name)
			f.logLimitChange("endpoint withdrew its rate limit")
		}
	}
}

// applyLoad applies the load in a response head.
func (f *exchange) applyLoad(head *ResponseHead) {
	if head.Load != nil {
		f.placement.RecordLoad(*head.Load)
	}
	if !head.InvalidLoad {
		return
	}
	f.entry.Counters.feedback(feedbackInvalidLoad, f.service.Name)
	f.entry.invalidLoadLogged.Do(func() {
		f.entry.Log.Warn("endpoint sent an invalid load header", zap.String("id", f.placement.Endpoint.ID), zap.String("service", f.service.Name), zap.String("request", f.call.ID))
	})
}

func (f *exchange) logLimitChange(message string, extra ...zap.Field) {
	fields := append(extra, zap.String("id", f.placement.Endpoint.ID), zap.String("service", f.service.Name), zap.String("request", f.call.ID))
	f.entry.Log.Info(message, fields...)
}

const (
	// backoffWaitShare is the share of the route's objective for which a request waits for a
	// back-off to end. A request that is sent by then can still meet its objective.
	backoffWaitShare = 0.125
	// priorityWaitStep is the additional wait per priority level, so that more urgent
	// requests are placed first.
	priorityWaitStep = 2 * time.Millisecond
)

// place chooses an endpoint. If all are backed off or at their rate limits, it waits for
// the first one to become available, if that is soon.
func (f *exchange) place(ctx context.Context, endpoints []*discovery.Endpoint, d *balance.Demand) (*balance.Placement, *balance.Refusal) {
	waitUntil := f.entry.Now().Add(time.Duration(backoffWaitShare * float64(f.route.Objective)))
	for {
		p, refusal := f.entry.Placer.Place(ctx, endpoints, d)
		if refusal == nil || refusal.Cause != balance.EndpointsInBackoff && refusal.Cause != balance.EndpointsLimited {
			return p, refusal
		}
		wait := refusal.Wait + time.Duration(d.Priority)*priorityWaitStep
		if f.entry.Now().Add(wait).After(waitUntil) || !sleep(ctx, wait) {
			return p, refusal
		}
		f.entry.Counters.feedback(feedbackWaited, f.service.Name)
		d.Counted = refusal.Cause == balance.EndpointsLimited
		endpoints = f.entry.State.View().Endpoints(f.service.Name)
		d.Deadline = f.deadline.Sub(f.entry.Now())
	}
}

// sleep waits for d, at least a millisecond, and reports whether ctx was not done by then.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(d, time.Millisecond))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
