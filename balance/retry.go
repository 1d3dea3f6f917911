package balance

// This file keeps the retries that those who choose endpoints grant.
//
// A request that has failed is sent again to another endpoint, which is placed like any
// request: so a retry is asked for with that placement, and costs no message of its own.
// Whoever chooses for a data centre sees all its requests, and its bucket holds what single
// instances could not use: 40 streams that an engine takes down belong to few instances,
// each of which would have had one retry of its own or none.

import (
	"time"

	"ivyridge/quota"
)

// A Retry says for whom one of the fleet's retries is asked. Instances tell it by its number.
type Retry uint8

// What retries are asked for, by how much of the bucket is kept from them.
const (
	NoRetry     Retry = iota // none is asked for
	RetryLate                // a request that has missed its objective
	RetryStream              // a stream that has begun, which nobody but a retry can finish
	RetryInTime              // a request whose objective can still be met
)

// retryKept is the part of a full bucket that is kept from retries of each kind, for those
// that gain more by one. Little, since a bucket is full again within a second of a busy
// service, and a moment in which engines fail makes most requests late: with a half and a
// quarter, 105 retries were denied in ten seconds while buckets were not empty (dispatch,
// scale-2, a trial).
var retryKept = [...]float64{RetryLate: 0.25, RetryStream: 0.1, RetryInTime: 0}

// kept returns the part of a full bucket that is kept from r.
func (r Retry) kept() float64 { return retryKept[min(r, RetryInTime)] }

// retries are what this instance may grant.
type retries struct {
	bound       quota.Retries
	part        quota.Part
	dataCentres int
	instances   int              // that are heard
	buckets     map[string]*pool // by the name of the service
}

// A pool is what is left for a service, and what was granted of it.
type pool struct {
	quota.Earned
	granted, denied int64
}

// SetRetries replaces the bound on retries, which holds for all instances together.
func (b *Balancer) SetRetries(bound quota.Retries) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.bound = bound
}

// SetRetryPart tells which part of all retries this instance may grant, as of now, where so
// many data centres divide them. What was left of a part that has lapsed is lost.
func (b *Balancer) SetRetryPart(part float64, dataCentres int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.hold(part, dataCentres, b.now())
}

func (r *retries) hold(part float64, dataCentres int, now time.Time) {
	r.dataCentres = dataCentres
	if !r.part.Hold(part, now) {
		return
	}
	for _, p := range r.buckets {
		p.Earned = quota.Earned{}
	}
}

// most returns what a bucket holds at most now.
func (r *retries) most(now time.Time) float64 {
	return r.bound.Pooled(r.part.Share(now), r.dataCentres, r.instances)
}

func (r *retries) of(service string) *pool {
	p := r.buckets[service]
	if p == nil {
		p = new(pool)
		r.buckets[service] = p
	}
	return p
}

// refuse returns why a request that asks for a retry gets none, or nil.
func (r *retries) refuse(d *Demand, now time.Time) *Refusal {
	if d.Retry == NoRetry {
		return nil
	}
	p := r.of(d.Service.Name)
	if p.Has(r.most(now), d.Retry.kept(), now) {
		return nil
	}
	p.denied++
	return &Refusal{Cause: RetriesSpent}
}

// settle takes up that a request is placed: the first time it earns, and a retry is
// charged. It reports whether one is left for the request after that.
func (r *retries) settle(d *Demand, now time.Time) (spare bool) {
	most := r.most(now)
	if most <= 0 {
		return false
	}
	p := r.of(d.Service.Name)
	p.Earn(r.bound.Earns(d.Earns), most, now)
	if d.Retry != NoRetry {
		p.Spend(most, now)
		p.granted++
	}
	return p.Has(most, RetryLate.kept(), now)
}

// PayRetry takes a retry of a service out for a request that another instance has placed.
// It reports whether there is one.
func (b *Balancer) PayRetry(service string, r Retry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.retries.of(service)
	now := b.now()
	most := b.retries.most(now)
	if r == NoRetry || !p.Has(most, r.kept(), now) {
		p.denied++
		return false
	}
	p.Spend(most, now)
	p.granted++
	return true
}

// Holdings are what an instance holds of the bounds that the fleet divides.
type Holdings struct {
	ColdPart    float64               `json:"cold_part"` // of what cold endpoints bear
	Part        float64               `json:"part"`      // of retries
	DataCentres int                   `json:"data_centres"`
	Instances   int                   `json:"instances"` // that share endpoints' connections
	Retries     map[string]RetryShare `json:"retries"`   // by service
}

// A RetryShare is what an instance holds of a service's retries, and what it granted.
type RetryShare struct {
	Left    float64 `json:"left"`
	Most    float64 `json:"most"` // beside what busy services earn
	Granted int64   `json:"granted"`
	Denied  int64   `json:"denied"`
}

// Holdings returns what this instance holds now.
func (b *Balancer) Holdings() Holdings {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	s := Holdings{ColdPart: b.cold.Share(now), Part: b.retries.part.Share(now), DataCentres: b.retries.dataCentres, Instances: b.instances, Retries: make(map[string]RetryShare)}
	most := b.retries.most(now)
	for service, p := range b.retries.buckets {
		s.Retries[service] = RetryShare{Left: p.Left(most, now), Most: most, Granted: p.granted, Denied: p.denied}
	}
	return s
}
