package entry

// This file applies the state that endpoints report in response headers, and makes requests wait
// if all endpoints are unavailable for a short time.

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

func (f *exchange) applyFeedback(head *ResponseHead) {
	f.backoff, f.rateLimit = head.Backoff, head.RateLimit
	if head.Misdirected {
		return // sent by a different endpoint
	}
	f.applyLimit(head)
	f.applyLoad(head)
	if head.Leaving && f.placement.RecordDraining() {
		f.proxy.Counters.feedback(feedbackLeaving, f.service.Name)
		f.proxy.Log.Info("endpoint announced its shutdown", zap.String("id", f.placement.Endpoint.ID), zap.String("service", f.service.Name), zap.String("request", f.call.ID))
	}
	if head.Backoff == 0 {
		return
	}
	f.proxy.Counters.feedback(feedbackBackoff, f.service.Name)
	if f.placement.RecordBackoff(head.Backoff) {
		f.proxy.Log.Info("endpoint asked for a back-off", zap.String("id", f.placement.Endpoint.ID), zap.String("service", f.service.Name), zap.Duration("rest", head.Backoff), zap.String("request", f.call.ID))
	}
}

// applyLimit applies a rate limit. Only a response of the endpoint itself can lift one.
func (f *exchange) applyLimit(head *ResponseHead) {
	switch {
	case head.RateLimit != nil:
		f.proxy.Counters.feedback(feedbackLimit, f.service.Name)
		if f.placement.RecordLimit(float64(*head.RateLimit)) {
			f.logLimitChange("endpoint announced a rate limit", zap.Float64("per_second", float64(*head.RateLimit)))
		}
	case head.Sealed || head.NotRun:
		if f.placement.RecordNoLimit() {
			f.proxy.Counters.feedback(feedbackLimitLifted, f.service.Name)
			f.logLimitChange("endpoint withdrew its rate limit")
		}
	}
}

func (f *exchange) applyLoad(head *ResponseHead) {
	if head.Load != nil {
		f.placement.RecordLoad(*head.Load)
	}
	if !head.InvalidLoad {
		return
	}
	f.proxy.Counters.feedback(feedbackInvalidLoad, f.service.Name)
	f.proxy.invalidLoadLogged.Do(func() {
		f.proxy.Log.Warn("endpoint sent an invalid load header", zap.String("id", f.placement.Endpoint.ID), zap.String("service", f.service.Name), zap.String("request", f.call.ID))
	})
}

func (f *exchange) logLimitChange(message string, extra ...zap.Field) {
	fields := append(extra, zap.String("id", f.placement.Endpoint.ID), zap.String("service", f.service.Name), zap.String("request", f.call.ID))
	f.proxy.Log.Info(message, fields...)
}

const (
	// backoffWaitShare is the share of the route's objective that a request waits for an endpoint.
	backoffWaitShare = 0.125
	// priorityWaitStep is added per priority level, so that more urgent requests are placed first.
	priorityWaitStep = 2 * time.Millisecond
)

// place chooses an endpoint. If all have asked for a back-off or are at their rate limits, it waits
// for the first one to become available, if that is soon.
func (f *exchange) place(ctx context.Context, endpoints []*discovery.Endpoint, d *balance.Demand) (*balance.Placement, *balance.Refusal) {
	waitUntil := f.proxy.Now().Add(time.Duration(backoffWaitShare * float64(f.route.Objective)))
	for {
		p, refusal := f.proxy.Placer.Place(ctx, endpoints, d)
		if refusal == nil || refusal.Cause != balance.EndpointsInBackoff && refusal.Cause != balance.EndpointsLimited {
			return p, refusal
		}
		wait := refusal.Wait + time.Duration(d.Priority)*priorityWaitStep
		if f.proxy.Now().Add(wait).After(waitUntil) || !sleep(ctx, wait) {
			return p, refusal
		}
		f.proxy.Counters.feedback(feedbackWaited, f.service.Name)
		d.Counted = refusal.Cause == balance.EndpointsLimited
		endpoints = f.proxy.State.View().Endpoints(f.service.Name)
		d.Deadline = f.deadline.Sub(f.proxy.Now())
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
