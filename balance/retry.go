package balance

// This file manages the retry budget shared by the instances that a scheduler chooses for.
//
// A retry is placed like any request, so it is charged with the placement and needs no extra
// message. A scheduler sees all requests of its data centre, so its budget pools what individual
// instances could not use: the streams lost with one engine belong to few instances, whose own
// budgets cover only some of them.

import (
	"time"

	"ivyridge/quota"
)

// A Retry is the kind of retry charged to the shared budget. Its number is sent between instances.
type Retry uint8

// The kinds of retries, by the share of the budget that is reserved from them.
const (
	NoRetry     Retry = iota // no retry is charged
	RetryLate                // request that has missed its objective
	RetryStream              // stream that has begun and can only be completed by a retry
	RetryInTime              // request that can still meet its objective
)

// retryReserve is the share of a full bucket reserved from each kind of retry, for kinds that gain
// more. It is small, since a busy service refills its bucket within a second and an engine failure
// makes most requests late: a larger reserve denies retries while budget is left.
var retryReserve = [...]float64{RetryLate: 0.25, RetryStream: 0.1, RetryInTime: 0}

// reserve returns the share of a full bucket that r may not use.
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
// number of data centres that divide the retries. The remaining budget of an expired share is
// lost.
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
	for _, p := range r.buckets {
		p.RetryBudget = quota.RetryBudget{}
	}
}

// capacity returns the capacity of a bucket at now.
func (r *retries) capacity(now time.Time) float64 {
	return r.bound.PooledCapacity(r.share.Share(now), r.dataCentres, r.instances)
}

func (r *retries) bucket(service string) *retryBucket {
	p := r.buckets[service]
	if p == nil {
		p = new(retryBucket)
		r.buckets[service] = p
	}
	return p
}

// refuse returns a refusal if the request needs a retry and its service's budget is exhausted, or
// nil.
func (r *retries) refuse(d *Demand, now time.Time) *Refusal {
	if d.Retry == NoRetry {
		return nil
	}
	p := r.bucket(d.Service.Name)
	if p.CanSpend(r.capacity(now), d.Retry.reserve(), now) {
		return nil
	}
	p.denied++
	return &Refusal{Cause: RetryBudgetExhausted}
}

// account records a placement: it earns budget, and a retry is charged. It reports whether the
// budget covers another retry of the request.
func (r *retries) account(d *Demand, now time.Time) (available bool) {
	most := r.capacity(now)
	if most <= 0 {
		return false
	}
	p := r.bucket(d.Service.Name)
	p.Deposit(r.bound.PooledDeposit(d.Deposit), most, now)
	if d.Retry != NoRetry {
		p.Spend(most, now)
		p.granted++
	}
	return p.CanSpend(most, RetryLate.reserve(), now)
}

// ChargeRetry charges a retry for a request that another instance has placed. It reports whether
// the budget covered it.
func (b *Balancer) ChargeRetry(service string, r Retry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.retries.bucket(service)
	now := b.now()
	most := b.retries.capacity(now)
	if r == NoRetry || !p.CanSpend(most, r.reserve(), now) {
		p.denied++
		return false
	}
	p.Spend(most, now)
	p.granted++
	return true
}

// QuotaShares are an instance's shares of limits that apply to all instances together.
type QuotaShares struct {
	ColdShare   float64               `json:"cold_part"` // share of the rate of cold endpoints
	RetryShare  float64               `json:"part"`      // share of retries
	DataCentres int                   `json:"data_centres"`
	Instances   int                   `json:"instances"` // that share endpoints' connections
	Retries     map[string]RetryShare `json:"retries"`   // by service name
}

// A RetryShare is an instance's retry budget for a service, with counts of retries.
type RetryShare struct {
	Available float64 `json:"left"`
	Capacity  float64 `json:"most"` // capacity, without what busy services earn
	Granted   int64   `json:"granted"`
	Denied    int64   `json:"denied"`
}

// QuotaShares returns the current shares.
func (b *Balancer) QuotaShares() QuotaShares {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	s := QuotaShares{ColdShare: b.coldShare.Share(now), RetryShare: b.retries.share.Share(now), DataCentres: b.retries.dataCentres, Instances: b.instances, Retries: make(map[string]RetryShare)}
	most := b.retries.capacity(now)
	for service, p := range b.retries.buckets {
		s.Retries[service] = RetryShare{Available: p.Available(most, now), Capacity: most, Granted: p.granted, Denied: p.denied}
	}
	return s
}
