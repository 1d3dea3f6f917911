package balance

// This file protects brittle endpoints: those that announce that they fall over when they turn away
// too many requests for want of room.
//
// A brittle endpoint gets no more requests of all instances together than it has slots, since it may
// let none wait. One that turned a request away all the same is left alone by all instances for a
// while: each of many instances alone would turn to it again too soon.

import (
	"math/rand/v2"
	"time"

	"ivyridge/catalog"
	"ivyridge/discovery"
)

const (
	// brittleTTL is how long an endpoint counts as brittle after it last said so. It exceeds the
	// pauses between responses of an endpoint in use.
	brittleTTL = 10 * time.Second
	// reportDelay is how old reports of other instances may be.
	reportDelay = 2 * time.Second
	// fullRest is how long a brittle endpoint gets nothing after it turned a request away.
	fullRest = 500 * time.Millisecond
)

// RecordBrittle records that the endpoint said, or no longer says, that it is brittle.
func (p *Placement) RecordBrittle(brittle bool) (changed bool) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now, l := b.now(), p.load
	changed = brittle != l.brittle(now)
	if brittle {
		l.notBrittleAt = time.Time{}
		l.setBrittle(now.Add(brittleTTL))
	} else {
		l.brittleUntil, l.notBrittleAt = time.Time{}, now
	}
	if changed {
		b.markChanged(l)
	}
	return changed
}

// RecordFull records that the endpoint turned the request away. It matters only if it is brittle.
func (p *Placement) RecordFull() {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := b.now(); p.load.brittle(now) {
		p.load.fullUntil = now.Add(fullRest)
		b.markChanged(p.load)
	}
}

// setBrittle records that the endpoint counts as brittle until the given time.
func (l *load) setBrittle(until time.Time) {
	l.brittleUntil = latest(l.brittleUntil, until)
	if l.group != nil {
		ls := l.group.listing
		ls.brittleUntil = latest(ls.brittleUntil, until)
	}
}

// brittle reports whether the endpoint counts as brittle. One that has not responded yet, as after a
// restart, does if others of its service do.
func (l *load) brittle(now time.Time) bool {
	if now.Before(l.brittleUntil) {
		return true
	}
	return !l.saidOtherwise(now) && l.group != nil && now.Before(l.group.listing.brittleUntil)
}

// saidOtherwise reports whether the endpoint said so lately that it is not brittle that what others
// report may be older.
func (l *load) saidOtherwise(now time.Time) bool { return now.Sub(l.notBrittleAt) < reportDelay }

// hasRoom reports whether a brittle endpoint has a free slot for this instance, as far as known.
// Others always do. Reports are some time old, so beyond half of the slots each instance uses its
// equal part only.
func (b *Balancer) hasRoom(e *discovery.Endpoint, l *load, s *catalog.Service, now time.Time) bool {
	if !l.brittle(now) {
		return true
	}
	slots := e.Slots
	if s.Engine != nil {
		slots = s.Engine.Slots
	}
	total := l.running + l.others.Requests
	return !now.Before(l.fullUntil) && (2*total < slots || total < slots && l.running < max(1, slots/b.instances))
}

// fullRefusal returns a refusal if some brittle endpoint has no room for the request, or nil. The
// caller holds b.mu.
func (b *Balancer) fullRefusal(endpoints []*discovery.Endpoint, d *Demand, now time.Time) *Refusal {
	ls := b.workingSet(d.Service.Name, endpoints)
	for i, e := range ls.endpoints {
		if l := ls.loads[i]; !b.hasRoom(e, l, d.Service, now) && !b.excluded(e, l, d, now) {
			return &Refusal{Cause: OverCapacity, Pressure: 1, RetryAfter: minRetryAfter + time.Duration(rand.Float64()*float64(retryAfterSpread))}
		}
	}
	return nil
}

// mergeBrittle merges what another instance reports: for how long the endpoint counts as brittle, and
// gets nothing.
func (l *load) mergeBrittle(r *Report, now time.Time) {
	if r.Brittle > 0 && !l.saidOtherwise(now) {
		l.setBrittle(now.Add(min(r.Brittle, brittleTTL)))
	}
	l.fullUntil = latest(l.fullUntil, now.Add(min(r.Full, fullRest)))
}

// reportBrittle sets what other instances should know.
func (l *load) reportBrittle(r *Report, now time.Time) {
	r.Brittle, r.Full = max(0, l.brittleUntil.Sub(now)), max(0, l.fullUntil.Sub(now))
}
