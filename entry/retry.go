package entry

// This file charges retries to budgets.
//
// A retry is charged to the instance's own budget. If that is exhausted, the next placement
// asks for one from the fleet's budget, and succeeds only if that grants it. A request whose
// retry is denied fails with the error of its last attempt, so that its verdict does not
// claim less than what endpoints may have done.

import (
	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/quota"
	"ivyridge/verdict"
)

// Budgets that pay for retries, as counted and logged.
const (
	payerInstance = "own"
	payerFleet    = "fleet"
	payerNone     = "denied"
)

// A retryState describes the next attempt if it is a retry.
type retryState struct {
	cause *verdict.Error // error of the attempt before; nil: not a retry
	payer string         // empty: no charge, since the request did not reach an endpoint
	kind  balance.Retry  // requested from the fleet's budget
}

// reserveRetry charges the retry after err to the instance's own budget, or has the next
// placement request it from the fleet's.
func (f *exchange) reserveRetry(err *verdict.Error) {
	f.retry = retryState{cause: err, payer: payerInstance}
	if !f.entry.retryBudgets.spend(f.service.Name) {
		f.retry.payer, f.retry.kind = payerFleet, f.retryKind()
	}
}

// attemptDeposit returns what the current attempt adds to the fleet's retry budget.
func (f *exchange) attemptDeposit() quota.DepositKind {
	if f.attempts > 1 {
		return quota.DepositNone
	}
	return f.deposit
}

// retryKind returns the kind of the retry, by which the fleet's budget ranks retries.
func (f *exchange) retryKind() balance.Retry {
	switch {
	case f.headSent:
		return balance.RetryStream
	case f.route.Objective == 0 || f.entry.Now().Sub(f.arrived) < f.route.Objective:
		return balance.RetryInTime
	}
	return balance.RetryLate
}

// retryGranted records that the request was placed, and counts the retry if it is one.
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
	f.retryPayer = r.payer
	f.entry.Counters.retryPaid(r.payer, f.service.Name)
	if f.entry.retryBudgets.noteGranted(f.service.Name) {
		f.entry.Log.Info("retry budget available again", zap.String("service", f.service.Name))
	}
}

// retryDenied records that the fleet's budget denied the retry, and returns the error of the
// refused placement.
func (f *exchange) retryDenied(refusal *balance.Refusal) *verdict.Error {
	f.attempts--
	f.retryPayer = payerNone
	f.scheduler = refusal.Scheduler
	f.entry.Counters.retryPaid(payerNone, f.service.Name)
	if f.entry.retryBudgets.noteDenied(f.service.Name) {
		f.entry.Log.Warn("retry budget exhausted", zap.String("service", f.service.Name), zap.String("scheduler", refusal.Scheduler))
	}
	return placementError(f.service.Name, refusal)
}
