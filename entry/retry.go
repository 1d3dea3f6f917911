package entry

// This file has a request's retries paid for.
//
// A request that may be sent again spends from its instance's own bucket. Where that is
// empty, it asks for one of the fleet's with its next placement, and is placed only if one
// is granted. A request that is denied ends as its last attempt did: what is said of it
// never claims less than what endpoints may have done.

import (
	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/quota"
	"ivyridge/verdict"
)

// Who pays for a retry, as counters and log lines say it.
const (
	paidByOwn   = "own"
	paidByFleet = "fleet"
	notPaid     = "denied"
)

// A retryState is what is known of a request's next attempt, if it is a retry.
type retryState struct {
	cause *verdict.Error // how the attempt before ended; nil: there was none
	payer string         // empty: nobody, since no endpoint had the request
	asked balance.Retry  // of the fleet
}

// askRetry has the retry that err makes necessary paid for: by the instance's own bucket, or
// by the fleet, which is asked with the placement.
func (f *exchange) askRetry(err *verdict.Error) {
	f.retry = retryState{cause: err, payer: paidByOwn}
	if !f.entry.budgets.retry(f.service.Name) {
		f.retry.payer, f.retry.asked = paidByFleet, f.retryKind()
	}
}

// earns returns what this attempt earns those who choose endpoints.
func (f *exchange) earns() quota.Earning {
	if f.attempts > 1 {
		return quota.EarnsNothing
	}
	return f.earning
}

// retryKind says what a retry of the request is worth beside others.
func (f *exchange) retryKind() balance.Retry {
	switch {
	case f.started:
		return balance.RetryStream
	case f.route.Objective == 0 || f.entry.Now().Sub(f.arrived) < f.route.Objective:
		return balance.RetryInTime
	}
	return balance.RetryLate
}

// retryGranted takes up that the request is placed; if that is a retry, it is granted.
func (f *exchange) retryGranted() {
	r := f.retry
	f.retry = retryState{}
	if r.cause == nil {
		return
	}
	f.entry.Counters.retried(r.cause.Reason)
	if r.payer == "" {
		return
	}
	f.paidBy = r.payer
	f.entry.Counters.paid(r.payer, f.service.Name)
	if f.entry.budgets.noteGranted(f.service.Name) {
		f.entry.Log.Info("retries available again", zap.String("service", f.service.Name))
	}
}

// retryDenied takes up that the fleet has no retry left for the request.
func (f *exchange) retryDenied(r *balance.Refusal) *verdict.Error {
	f.attempts--
	f.paidBy = notPaid
	f.scheduler = r.Chooser
	f.entry.Counters.paid(notPaid, f.service.Name)
	if f.entry.budgets.noteDenied(f.service.Name) {
		f.entry.Log.Warn("retries spent", zap.String("service", f.service.Name), zap.String("scheduler", r.Chooser))
	}
	return refused(f.service.Name, r)
}
