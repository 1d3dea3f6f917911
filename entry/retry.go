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

	inherited bool // the attempt before was another instance's, which forwarded the request
}

// reserveRetry charges the instance's budget, or has the next placement charge the fleet's.
func (ex *exchange) reserveRetry(err *verdict.Error) {
	ex.retry = retryState{cause: err, budget: budgetInstance}
	if !ex.proxy.retryBudgets.spend(ex.service.Name) {
		ex.retry.budget, ex.retry.kind = budgetFleet, ex.retryKind()
	}
}

// attemptDeposit returns what the current attempt adds to the fleet's retry budget.
func (ex *exchange) attemptDeposit() quota.DepositKind {
	if ex.attempts > 1 {
		return quota.DepositNone
	}
	return ex.deposit
}

// retryKind returns the kind of the retry, by which the fleet's budget ranks retries.
func (ex *exchange) retryKind() balance.Retry {
	switch {
	case ex.headSent:
		return balance.RetryStream
	case ex.route.Objective == 0 || ex.proxy.Now().Sub(ex.arrived) < ex.route.Objective:
		return balance.RetryInTime
	}
	return balance.RetryLate
}

// retryGranted records that the request was placed, and counts the retry if it is one.
func (ex *exchange) retryGranted() {
	r := ex.retry
	ex.retry = retryState{}
	if r.cause == nil {
		return
	}
	ex.proxy.Counters.retried(r.cause.Reason)
	if r.budget == "" {
		return
	}
	ex.chargedBudget = r.budget
	ex.proxy.Counters.retryCharged(r.budget, ex.service.Name)
	if ex.proxy.retryBudgets.recordGranted(ex.service.Name) {
		ex.proxy.Log.Info("retry budget available again", zap.String("service", ex.service.Name))
	}
}

// retryDenied counts a retry that the fleet's budget denied, and returns the placement error.
func (ex *exchange) retryDenied(refusal *balance.Refusal) *verdict.Error {
	ex.attempts--
	ex.chargedBudget = budgetDenied
	ex.scheduler = refusal.Scheduler
	ex.proxy.Counters.retryCharged(budgetDenied, ex.service.Name)
	if ex.proxy.retryBudgets.recordDenied(ex.service.Name) {
		ex.proxy.Log.Warn("retry budget exhausted", zap.String("service", ex.service.Name), zap.String("scheduler", refusal.Scheduler))
	}
	return placementError(ex.service.Name, refusal)
}
