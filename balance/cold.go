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
	// coldPartFor is how long a part holds that was worked out from whom the instance
	// hears: one that was paused has none until it has looked again.
	coldPartFor = time.Second
)

// A coldPart is this instance's part of the rate of cold endpoints.
type coldPart struct {
	part   float64 // from 0 to 1
	until  time.Time
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
	b.cold.part, b.cold.until = part, b.now().Add(coldPartFor)
}

// rate returns how many requests a second this instance may send to a cold endpoint of a
// service, beside coldBurst. Zero or less: none at all.
func (c *coldPart) rate(s *catalog.Service, now time.Time) float64 {
	if now.After(c.until) || c.part <= 0 {
		return 0
	}
	allowed := c.bounds.Over*s.ColdRate + c.bounds.Slack
	return min(c.part*s.ColdRate, c.part*coldSafe*allowed-coldBurst)
}

// A coldCount holds what this instance may still send to a cold endpoint.
type coldCount struct {
	left float64 // requests
	at   time.Time
}

// available returns what may be sent at now where so many a second may.
func (c *coldCount) available(rate float64, now time.Time) float64 {
	if c.at.IsZero() {
		return coldBurst
	}
	return min(coldBurst, c.left+rate*now.Sub(c.at).Seconds())
}

// bears reports whether an endpoint may be sent a request: it is not cold, or this
// instance has a part of its rate left. The caller holds b.mu.
func (b *Balancer) bears(e *belief.Endpoint, l *load, s *catalog.Service, now time.Time) bool {
	if s.ColdRate <= 0 || !e.Cold(now) {
		return true
	}
	rate := b.cold.rate(s, now)
	return rate > 0 && l.cold.available(rate, now) >= 1
}

// spend counts a request that is sent to an endpoint. The caller holds b.mu.
func (b *Balancer) spend(e *belief.Endpoint, l *load, s *catalog.Service, now time.Time) {
	if s.ColdRate <= 0 || !e.Cold(now) {
		return
	}
	l.cold.left = l.cold.available(b.cold.rate(s, now), now) - 1
	l.cold.at = now
}
