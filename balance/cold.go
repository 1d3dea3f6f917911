package balance

// This file bounds what is sent to endpoints that are cold.
//
// An endpoint that has just started, or whose data centre was emptied, bears a few
// requests a second, counted over all instances, and falls over above that: it takes its
// streams with it and comes back cold again. Instances can't count together what arrives
// within a second, so the rate is divided beforehand: each data centre has the same part,
// and its part belongs to the schedulers that choose for it. Whoever schedules nothing,
// has just started or is cut off has none. One owner for each endpoint, by rendezvous,
// bears as much and is wrong by the whole rate, not by a part, where two believe
// themselves the owner.

import (
	"time"

	"ivyridge/belief"
	"ivyridge/catalog"
	"ivyridge/quota"
)

// ColdBounds tell how much more than its rate a cold endpoint may be sent within a second.
type ColdBounds struct {
	Over  float64 // as a multiple of the rate
	Slack float64 // requests beyond that
}

const (
	// coldSafe is the part of what is allowed that is used at most: two schedulers of a
	// data centre may both take themselves for the first for a moment.
	coldSafe = 0.8
	// coldBurst is how many requests may be sent at once after a pause.
	coldBurst = 1.0
)

// A coldPart is this instance's part of the rate of cold endpoints.
type coldPart struct {
	quota.Part
	bounds ColdBounds
}

// SetColdBounds replaces the bounds that hold for all instances together.
func (b *Balancer) SetColdBounds(bounds ColdBounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cold.bounds = bounds
}

// SetColdPart tells which part of what cold endpoints bear this instance may send, as of
// now.
func (b *Balancer) SetColdPart(part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cold.Hold(part, b.now())
}

// rate returns how many requests a second this instance may send to a cold endpoint of a
// service, beside coldBurst. Zero or less: none at all.
func (c *coldPart) rate(s *catalog.Service, now time.Time) float64 {
	share := c.Share(now)
	if share <= 0 {
		return 0
	}
	allowed := c.bounds.Over*s.ColdRate + c.bounds.Slack
	return min(share*s.ColdRate, share*coldSafe*allowed-coldBurst)
}

// bears reports whether an endpoint may be sent a request: it is not cold, or this
// instance has a part of its rate left. The caller holds b.mu.
func (b *Balancer) bears(e *belief.Endpoint, l *load, s *catalog.Service, now time.Time) bool {
	if s.ColdRate <= 0 || !e.Cold(now) {
		return true
	}
	rate := b.cold.rate(s, now)
	return rate > 0 && l.cold.Available(rate, coldBurst, now) >= 1
}

// spend counts a request that is sent to an endpoint. The caller holds b.mu.
func (b *Balancer) spend(e *belief.Endpoint, l *load, s *catalog.Service, now time.Time) {
	if s.ColdRate <= 0 || !e.Cold(now) {
		return
	}
	l.cold.Spend(b.cold.rate(s, now), coldBurst, now)
}
