package entry

import (
	"sync"
	"time"

	"ivyridge/quota"
)

// retryBudgets holds the retries of each service that an instance may send without asking a
// scheduler. Package quota divides the bound; schedulers hold most of it, see package balance.
type retryBudgets struct {
	now func() time.Time

	mu        sync.Mutex
	bound     quota.RetryLimit
	instances int // the most ever reported; zero: unknown
	byService map[string]*serviceBudget
}

type serviceBudget struct {
	quota.RetryBudget
	exhausted  bool // retries were denied lately; for logging
	lastDenied time.Time
}

func newRetryBudgets(ratio float64, extra int, now func() time.Time) *retryBudgets {
	b := &retryBudgets{now: now, byService: make(map[string]*serviceBudget)}
	b.setLimits(ratio, extra)
	return b
}

func (b *retryBudgets) setLimits(ratio float64, extra int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bound = quota.RetryLimit{Ratio: ratio, Extra: float64(extra)}
}

// setInstances sets how many instances, including this one, share the bound. The number never
// decreases, as an instance that cannot reach the others must not spend their share.
func (b *retryBudgets) setInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(b.instances, n)
}

// instanceCount returns the number of instances, at least one.
func (b *retryBudgets) instanceCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(1, b.instances)
}

// service returns the budget of a service. The caller holds b.mu.
func (b *retryBudgets) service(service string) *serviceBudget {
	budget := b.byService[service]
	if budget == nil {
		budget = new(serviceBudget)
		b.byService[service] = budget
	}
	return budget
}

// deposit adds a request's share to the budget of its service, and returns which part of the
// deposit is left for the fleet's budget.
func (b *retryBudgets) deposit(service string) quota.DepositKind {
	b.mu.Lock()
	defer b.mu.Unlock()
	amount, limit := b.bound.InstanceBudget(b.instances)
	if limit <= 0 {
		return quota.DepositFull
	}
	b.service(service).Deposit(amount, limit, b.now())
	return quota.DepositRemainder
}

// spend takes one retry from the budget, and reports whether there was one.
func (b *retryBudgets) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, limit := b.bound.InstanceBudget(b.instances)
	budget, now := b.service(service), b.now()
	if !budget.CanSpend(limit, 0, now) {
		return false
	}
	budget.Spend(limit, now)
	return true
}

// available reports whether the budget has a retry.
func (b *retryBudgets) available(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, limit := b.bound.InstanceBudget(b.instances)
	return b.service(service).CanSpend(limit, 0, b.now())
}

// recoveryTime is how long after the last denial retries count as available again.
const recoveryTime = time.Second

// recordDenied records a denied retry, and reports whether it is the first since the last recovery.
func (b *retryBudgets) recordDenied(service string) (first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.service(service)
	first = !budget.exhausted
	budget.exhausted, budget.lastDenied = true, b.now()
	return first
}

// recordGranted records a granted retry, and reports whether it ends a period of denials.
func (b *retryBudgets) recordGranted(service string) (recovered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.service(service)
	recovered = budget.exhausted && b.now().Sub(budget.lastDenied) > recoveryTime
	if recovered {
		budget.exhausted = false
	}
	return recovered
}
