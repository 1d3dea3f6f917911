package balance

// This file manages the retry budget shared by the instances that a scheduler chooses for.
//
// A retry is placed like any request, so it is charged with the placement and needs no extra
// message. The budget is pooled because the streams lost with one engine belong to few instances,
// whose own budgets cover only some of them.

import (
	"time"

	"ivyridge/quota"
)

// A Retry is the kind of retry charged to the shared budget. Its number is sent between instances.
type Retry uint8

// Kinds of retries. Each may use a larger share of the budget than the one before.
const (
	NoRetry     Retry = iota // no retry is charged
	RetryLate                // request that has missed its objective
	RetryStream              // stream that has begun and can only be completed by a retry
	RetryInTime              // request that can still meet its objective
)

// retryReserve is the share of a full bucket that a kind of retry may not use. A busy service
// refills its bucket within a second, so a larger reserve denies retries while budget is left.
var retryReserve = [...]float64{RetryLate: 0.25, RetryStream: 0.1, RetryInTime: 0}

func (r Retry) reserve() float64 { return retryReserve[min(r, RetryInTime)] }

// retries is the retry budget of this instance.
type retries struct {
	bound       quota.RetryLimit
	share       quota.Lease
	dataCentres int
	instances   int                     // instances in the membership list
	buckets     map[string]*retryBucket // by service name
}

// A retryBucket is the remaining budget of one service, with counts of retries.
type retryBucket struct {
	quota.RetryBudget
	granted, denied int64
}

// SetRetries sets the bound on retries of all instances together.
func (b *Balancer) SetRetries(bound quota.RetryLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.bound = bound
}

// SetRetryShare sets the share of all retries that this instance may grant, valid from now, and the
// number of data centres that divide the retries. An expired share loses its remaining budget.
func (b *Balancer) SetRetryShare(share float64, dataCentres int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.setShare(share, dataCentres, b.now())
}

func (r *retries) setShare(share float64, dataCentres int, now time.Time) {
	r.dataCentres = dataCentres
	if !r.share.Renew(share, now) {
		return
	}
	for _, budget := range r.buckets {
		budget.RetryBudget = quota.RetryBudget{}
	}
}

func (r *retries) capacity(now time.Time) float64 {
	return r.bound.PooledCapacity(r.share.Share(now), r.dataCentres, r.instances)
}

func (r *retries) bucket(service string) *retryBucket {
	budget := r.buckets[service]
	if budget == nil {
		budget = new(retryBucket)
		r.buckets[service] = budget
	}
	return budget
}

// refuse returns a refusal if the request is a retry that the budget does not cover, or nil.
func (r *retries) refuse(d *Demand, now time.Time) *Refusal {
	if d.Retry == NoRetry {
		return nil
	}
	budget := r.bucket(d.Service.Name)
	if budget.CanSpend(r.capacity(now), d.Retry.reserve(), now) {
		return nil
	}
	budget.denied++
	return &Refusal{Cause: RetryBudgetExhausted}
}

// recordPlacement deposits what the placement of d earns, and charges the budget if d is a retry.
// It reports whether the budget covers another retry of the request.
func (r *retries) recordPlacement(d *Demand, now time.Time) (available bool) {
	bucketSize := r.capacity(now)
	if bucketSize <= 0 {
		return false
	}
	budget := r.bucket(d.Service.Name)
	budget.Deposit(r.bound.PooledDeposit(d.Deposit), bucketSize, now)
	if d.Retry != NoRetry {
		budget.Spend(bucketSize, now)
		budget.granted++
	}
	return budget.CanSpend(bucketSize, RetryLate.reserve(), now)
}

// ChargeRetry charges a retry for a request that another instance has placed. It reports whether
// the budget covered it.
func (b *Balancer) ChargeRetry(service string, r Retry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.retries.bucket(service)
	now := b.now()
	bucketSize := b.retries.capacity(now)
	if r == NoRetry || !budget.CanSpend(bucketSize, r.reserve(), now) {
		budget.denied++
		return false
	}
	budget.Spend(bucketSize, now)
	budget.granted++
	return true
}

// QuotaShares are an instance's shares of limits that apply to all instances together.
type QuotaShares struct {
	ColdShare   float64               `json:"cold_part"` // share of the rate of cold endpoints
	RetryShare  float64               `json:"part"`      // share of retries
	DataCentres int                   `json:"data_centres"`
	Instances   int                   `json:"instances"` // number of instances that share the endpoints' connections, this one included
	Retries     map[string]RetryShare `json:"retries"`   // by service name
}

// A RetryShare is an instance's retry budget for a service, with counts of retries.
type RetryShare struct {
	Available float64 `json:"left"`
	Capacity  float64 `json:"most"` // base capacity, which recent deposits raise
	Granted   int64   `json:"granted"`
	Denied    int64   `json:"denied"`
}

// QuotaShares returns the current shares.
func (b *Balancer) QuotaShares() QuotaShares {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	s := QuotaShares{ColdShare: b.coldShare.Share(now), RetryShare: b.retries.share.Share(now), DataCentres: b.retries.dataCentres, Instances: b.instances, Retries: make(map[string]RetryShare)}
	bucketSize := b.retries.capacity(now)
	for service, budget := range b.retries.buckets {
		s.Retries[service] = RetryShare{Available: budget.Available(bucketSize, now), Capacity: bucketSize, Granted: budget.granted, Denied: budget.denied}
	}
	return s
}
