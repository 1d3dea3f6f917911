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
	feedbackBrittle     = "brittle"    // it says, or no longer says, that it is brittle
	feedbackInvalidLoad = "odd-load"   // its load could not be parsed
	feedbackNotSent     = "unsent"     // a request was not sent because of a back-off asked for after the choice
	feedbackWaited      = "awaited"    // a request waited for a back-off to end
)

func (ex *exchange) applyFeedback(head *ResponseHead) {
	ex.backoff, ex.rateLimit = head.Backoff, head.RateLimit
	if head.Misdirected {
		return // sent by a different endpoint
	}
	ex.applyLimit(head)
	ex.applyLoad(head)
	ex.applyBrittle(head)
	if head.Leaving && ex.placement.RecordDraining() {
		ex.proxy.Counters.feedback(feedbackLeaving, ex.service.Name)
		ex.proxy.Log.Info("endpoint announced its shutdown", zap.String("id", ex.placement.Endpoint.ID), zap.String("service", ex.service.Name), zap.String("request", ex.call.ID))
	}
	if head.Backoff == 0 {
		return
	}
	ex.proxy.Counters.feedback(feedbackBackoff, ex.service.Name)
	if ex.placement.RecordBackoff(head.Backoff) {
		ex.proxy.Log.Info("endpoint asked for a back-off", zap.String("id", ex.placement.Endpoint.ID), zap.String("service", ex.service.Name), zap.Duration("rest", head.Backoff), zap.String("request", ex.call.ID))
	}
}

// applyLimit applies a rate limit. Only a response of the endpoint itself can lift one.
func (ex *exchange) applyLimit(head *ResponseHead) {
	switch {
	case head.RateLimit != nil:
		ex.proxy.Counters.feedback(feedbackLimit, ex.service.Name)
		if ex.placement.RecordLimit(float64(*head.RateLimit)) {
			ex.logLimitChange("endpoint announced a rate limit", zap.Float64("per_second", float64(*head.RateLimit)))
		}
	case head.Sealed || head.NotRun:
		if ex.placement.RecordNoLimit() {
			ex.proxy.Counters.feedback(feedbackLimitLifted, ex.service.Name)
			ex.logLimitChange("endpoint withdrew its rate limit")
		}
	}
}

// applyBrittle applies whether the endpoint is brittle, which only its own responses tell.
func (ex *exchange) applyBrittle(head *ResponseHead) {
	if !head.Sealed && !head.NotRun {
		return
	}
	if ex.placement.RecordBrittle(head.Brittle) {
		ex.proxy.Counters.feedback(feedbackBrittle, ex.service.Name)
		ex.proxy.Log.Info("endpoint changed whether it is brittle", zap.String("id", ex.placement.Endpoint.ID), zap.String("service", ex.service.Name), zap.Bool("brittle", head.Brittle), zap.String("request", ex.call.ID))
	}
	if head.NotRun {
		ex.placement.RecordFull()
	}
}

func (ex *exchange) applyLoad(head *ResponseHead) {
	if head.Load != nil {
		ex.placement.RecordLoad(*head.Load)
	}
	if !head.InvalidLoad {
		return
	}
	ex.proxy.Counters.feedback(feedbackInvalidLoad, ex.service.Name)
	ex.proxy.invalidLoadLogged.Do(func() {
		ex.proxy.Log.Warn("endpoint sent an invalid load header", zap.String("id", ex.placement.Endpoint.ID), zap.String("service", ex.service.Name), zap.String("request", ex.call.ID))
	})
}

func (ex *exchange) logLimitChange(message string, extra ...zap.Field) {
	fields := append(extra, zap.String("id", ex.placement.Endpoint.ID), zap.String("service", ex.service.Name), zap.String("request", ex.call.ID))
	ex.proxy.Log.Info(message, fields...)
}

const (
	// backoffWaitShare is the share of the route's objective that a request waits for an endpoint.
	// A request that waits this long and is then served at once is in time, and a refused caller
	// could not return sooner.
	backoffWaitShare = 0.125
	// priorityWaitStep is added per priority level, so that more urgent requests are placed first.
	priorityWaitStep = 2 * time.Millisecond
)

// place chooses an endpoint. If all have asked for a back-off or are at their rate limits, it waits
// for the first one to become available, if that is soon.
func (ex *exchange) place(ctx context.Context, endpoints []*discovery.Endpoint, d *balance.Demand) (*balance.Placement, *balance.Refusal) {
	waitUntil := ex.proxy.Now().Add(time.Duration(backoffWaitShare * float64(ex.route.Objective)))
	for {
		p, refusal := ex.proxy.Placer.Place(ctx, endpoints, d)
		if refusal == nil || refusal.Cause != balance.EndpointsInBackoff && refusal.Cause != balance.EndpointsLimited {
			return p, refusal
		}
		wait := refusal.Wait + time.Duration(d.Priority)*priorityWaitStep
		if ex.proxy.Now().Add(wait).After(waitUntil) || !sleep(ctx, wait) {
			return p, refusal
		}
		ex.proxy.Counters.feedback(feedbackWaited, ex.service.Name)
		d.Counted = refusal.Cause == balance.EndpointsLimited
		endpoints = ex.currentEndpoints()
		d.Service = ex.service
		d.Deadline = ex.deadline.Sub(ex.proxy.Now())
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
