package entry

// This file charges retries to the instance's own budget or, if that is exhausted, to the fleet's
// with the next placement. If both deny it, the request fails with the error of its last attempt,
// whose verdict covers what endpoints may have run.

import (
	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/quota"
	"ivyridge/verdict"
)

// Budgets that pay for retries, as counted and logged.
const (
	budgetInstance = "own"
	budgetFleet    = "fleet"
	budgetDenied   = "denied"
)

// A retryState describes the next attempt if it is a retry.
type retryState struct {
	cause  *verdict.Error // error of the attempt before; nil: not a retry
	budget string         // empty: no charge, since the request did not reach an endpoint
	kind   balance.Retry  // requested from the fleet's budget
}

// reserveRetry charges the instance's budget, or has the next placement charge the fleet's.
func (f *exchange) reserveRetry(err *verdict.Error) {
	f.retry = retryState{cause: err, budget: budgetInstance}
	if !f.proxy.retryBudgets.spend(f.service.Name) {
		f.retry.budget, f.retry.kind = budgetFleet, f.retryKind()
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
	case f.route.Objective == 0 || f.proxy.Now().Sub(f.arrived) < f.route.Objective:
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
	f.proxy.Counters.retried(r.cause.Reason)
	if r.budget == "" {
		return
	}
	f.chargedBudget = r.budget
	f.proxy.Counters.retryCharged(r.budget, f.service.Name)
	if f.proxy.retryBudgets.recordGranted(f.service.Name) {
		f.proxy.Log.Info("retry budget available again", zap.String("service", f.service.Name))
	}
}

// retryDenied counts a retry that the fleet's budget denied, and returns the placement error.
func (f *exchange) retryDenied(refusal *balance.Refusal) *verdict.Error {
	f.attempts--
	f.chargedBudget = budgetDenied
	f.scheduler = refusal.Scheduler
	f.proxy.Counters.retryCharged(budgetDenied, f.service.Name)
	if f.proxy.retryBudgets.recordDenied(f.service.Name) {
		f.proxy.Log.Warn("retry budget exhausted", zap.String("service", f.service.Name), zap.String("scheduler", refusal.Scheduler))
	}
	return placementError(f.service.Name, refusal)
}
