package balance

// This file limits the rate of requests sent to cold endpoints.
//
// An endpoint that has just started, or whose data centre was evacuated, sustains only a few
// requests per second from all instances together; above that it fails and restarts cold. Each data
// centre has an equal share of the rate, which belongs to its schedulers. Other instances have
// none, nor have schedulers that have just started or are partitioned. Assigning each endpoint to
// one owner would exceed the limit by the whole rate when two instances consider themselves the
// owner.

import (
	"time"

	"ivyridge/catalog"
	"ivyridge/discovery"
	"ivyridge/quota"
)

// ColdBounds limit the requests sent to a cold endpoint within any second.
type ColdBounds struct {
	Over  float64 // multiple of the endpoint's cold rate
	Slack float64 // additional requests
}

const (
	// coldMargin is the share of the bounds in use. It allows for two schedulers of a data centre
	// that briefly both consider themselves responsible.
	coldMargin = 0.8
	// coldBurst is the number of requests that may be sent at once after a pause.
	coldBurst = 1.0
)

// A coldShare is this instance's share of the rate of cold endpoints.
type coldShare struct {
	quota.Lease
	bounds ColdBounds
}

// SetColdBounds sets the bounds that apply to all instances together.
func (b *Balancer) SetColdBounds(bounds ColdBounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldShare.bounds = bounds
}

// SetColdShare sets this instance's share of the cold endpoints' rate for quota.LeaseDuration.
func (b *Balancer) SetColdShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldShare.Renew(share, b.now())
}

// rate returns how many requests/s this instance may send to a cold endpoint of a service, beyond
// coldBurst. If it is not positive, no request may be sent.
func (c *coldShare) rate(s *catalog.Service, now time.Time) float64 {
	share := c.Share(now)
	if share <= 0 {
		return 0
	}
	allowed := c.bounds.Over*s.ColdRate + c.bounds.Slack
	return min(share*s.ColdRate, share*coldMargin*allowed-coldBurst)
}

// coldAllows reports whether e is not cold, or the instance's share permits a request to it. The
// caller holds b.mu.
func (b *Balancer) coldAllows(e *discovery.Endpoint, l *load, s *catalog.Service, now time.Time) bool {
	if s.ColdRate <= 0 || !e.Cold(now) {
		return true
	}
	rate := b.coldShare.rate(s, now)
	return rate > 0 && l.cold.Available(rate, coldBurst, now) >= 1
}

// spendCold charges a request to the endpoint's rate if it is cold. The caller holds b.mu.
func (b *Balancer) spendCold(e *discovery.Endpoint, l *load, s *catalog.Service, now time.Time) {
	if s.ColdRate <= 0 || !e.Cold(now) {
		return
	}
	l.cold.Spend(b.coldShare.rate(s, now), coldBurst, now)
}
