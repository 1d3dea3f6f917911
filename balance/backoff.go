package balance

// This file tracks directives that endpoints give in responses: to back off for a while, and that
// they are draining.
//
// An endpoint that has refused requests is idle and still caches prompt parts, so counting refusals
// as failures would make it the cheapest choice again. An endpoint in back-off is therefore
// ineligible, even as a last resort, and MaySend checks again right before a request is sent.
//
// Directives are kept by endpoint ID and apply to one process. A process restarted under the same
// ID has given none, but may respond before its start time is known, so recent directives apply to
// it too.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"ivyridge/discovery"
)

const (
	// backoffJitter extends a back-off by a random share of it, up to maxBackoffJitter, so that the
	// back-offs of many instances do not end at once.
	backoffJitter    = 0.1
	maxBackoffJitter = 300 * time.Millisecond
	// trialTimeout is how long the first request after a back-off is sent alone, unless it is
	// answered sooner, so that an endpoint still overloaded refuses only one request per instance.
	trialTimeout = 200 * time.Millisecond
	// trialWindow is how long after a back-off a request counts as such a trial.
	trialWindow = time.Second
	// probeAfter is when a single request is sent during a longer back-off, to detect the recovery
	// of an endpoint that asked for too long a back-off by mistake.
	probeAfter = 30 * time.Second
	// startTimeDelay is how long a process's start time may stay unknown: two heartbeats plus delay.
	startTimeDelay = 3 * time.Second
	// drainRetention is how long a drain is remembered after the process was last listed, since it
	// may be missing from the list for a while.
	drainRetention = 10 * time.Minute
	// drainReportTTL is how long another instance's report of a drain, which it repeats, is valid.
	drainReportTTL = 5 * time.Second
)

// A directive is what one endpoint process asked of this instance in responses.
type directive struct {
	incarnation  string
	endpointID   string
	backoffAt    time.Time // last time it asked for back-off; zero: never
	backoffUntil time.Time // end of the back-off; at most one probe is sent before
	probed       bool      // the probe of a long back-off was sent
	trialUntil   time.Time // a trial request is in flight until then at the latest
	draining     bool
	lastSeen     time.Time // last time it was listed or its response seen
}

func (s *directive) backingOff(now time.Time) bool { return s.availableAt(now).After(now) }

// availableAt returns when the back-off next permits a request.
func (s *directive) availableAt(now time.Time) time.Time {
	switch {
	case s.backoffAt.IsZero():
		return now
	case !now.Before(s.backoffUntil):
		return latest(now, s.trialUntil)
	case s.probed:
		return s.backoffUntil
	}
	return earliest(s.backoffUntil, latest(now, s.backoffAt.Add(probeAfter)))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// recordSend records that a request is about to be sent, and reports whether it may be.
func (s *directive) recordSend(now time.Time) bool {
	switch {
	case s.draining || s.backingOff(now):
		return false
	case s.backoffAt.IsZero():
	case now.Before(s.backoffUntil):
		s.probed = true
	case now.Before(s.backoffUntil.Add(trialWindow)):
		s.trialUntil = now.Add(trialTimeout)
	}
	return true
}

// extendBackoff records a request to back off for d. The back-off that ends last applies.
func (s *directive) extendBackoff(d time.Duration, now time.Time) {
	spread := min(time.Duration(backoffJitter*float64(d)), maxBackoffJitter)
	until := now.Add(d + time.Duration(rand.Float64()*float64(spread)))
	if !now.Before(s.backoffUntil) {
		s.backoffAt, s.backoffUntil, s.probed = now, until, false
		return
	}
	s.backoffUntil = latest(s.backoffUntil, until)
}

func (s *directive) expired(now time.Time) bool {
	if s.draining {
		return now.Sub(s.lastSeen) > drainRetention
	}
	return !now.Before(s.backoffUntil.Add(trialWindow))
}

// forLoad returns the directive as it applies to l's process, or nil if it does not.
func (s *directive) forLoad(l *load, id string) *directive {
	switch {
	case s.incarnation == l.id:
		return s
	case s.incarnation == id || l.id == id:
		// One of the two was recorded without a start time: they may be the same process.
		s.incarnation = l.id
		return s
	case s.backoffAt.After(l.firstSeen.Add(-startTimeDelay)):
		next := *s
		next.incarnation, next.draining = l.id, false
		return &next
	}
	return nil
}

// attachDirective records l as the listed process of the endpoint's ID, and sets its directive and
// limit from those recorded under the ID. The caller holds b.mu.
func (b *Balancer) attachDirective(l *load, e *discovery.Endpoint) {
	l.inheritLimit(b.loadsByID[e.ID], e.ID)
	b.loadsByID[e.ID], l.endpointID, l.dataCentre = l, e.ID, e.DataCentre
	if l.limitState != nil {
		b.limited[l.hash] = l
	}
	l.directive = nil
	s := b.directives[e.ID]
	if s == nil {
		return
	}
	if l.directive = s.forLoad(l, e.ID); l.directive != nil {
		b.directives[e.ID] = l.directive
	}
}

// ensureDirective returns the endpoint's directive, creating it if needed. The caller holds b.mu.
func (p *Placement) ensureDirective(now time.Time) *directive {
	b, l, id := p.balancer, p.load, p.Endpoint.ID
	if l.directive == nil || l.directive.expired(now) {
		l.directive = &directive{incarnation: l.id, endpointID: id}
	}
	l.directive.lastSeen = now
	if current := b.loadsByID[id]; current == nil || current == l {
		b.directives[id] = l.directive
	}
	b.markChanged(l)
	return l.directive
}

// RecordBackoff records that the endpoint asked this instance to back off for d. It reports whether
// the endpoint was not in back-off before.
func (p *Placement) RecordBackoff(d time.Duration) (isNew bool) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	s := p.ensureDirective(now)
	isNew = !now.Before(s.backoffUntil)
	s.extendBackoff(d, now)
	b.lastBackoffEnd = latest(b.lastBackoffEnd, s.backoffUntil)
	if current := b.loadsByID[p.Endpoint.ID]; current != nil && current != p.load {
		// The ID belongs to a process that became known after the request was placed.
		if next := s.forLoad(current, p.Endpoint.ID); next != nil {
			current.directive, b.directives[p.Endpoint.ID] = next, next
			b.markChanged(current)
		}
	}
	return isNew
}

// RecordDraining records that the endpoint said it is draining; it is sent nothing new. It reports
// whether that was not known before.
func (p *Placement) RecordDraining() (isNew bool) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.load.directive != nil && p.load.directive.draining {
		p.load.directive.lastSeen = b.now()
		return false
	}
	p.ensureDirective(b.now()).draining = true
	return true
}

// MaySend reports whether the request may be sent to the endpoint now, and uses up its permit.
// Callers must ask right before sending, since the endpoint may have asked for back-off or
// announced a rate limit after it was chosen.
func (p *Placement) MaySend() bool {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	return p.usePermit(now) && (p.load.directive == nil || p.load.directive.recordSend(now))
}

// endTrial records that the endpoint answered without asking for back-off, which ends a trial.
func (s *directive) endTrial(now time.Time) {
	if !now.Before(s.backoffUntil) {
		s.backoffAt, s.trialUntil = time.Time{}, time.Time{}
	}
}

// draining reports whether the endpoint told this or, recently, another instance that it drains.
func (l *load) draining(now time.Time) bool {
	return l.directive != nil && l.directive.draining || now.Before(l.drainReportedUntil)
}

func (l *load) backoffRemaining(now time.Time) time.Duration {
	if l.directive == nil {
		return 0
	}
	return max(0, l.directive.backoffUntil.Sub(now))
}

// retained reports whether the state must be kept while the endpoint is not listed.
func (l *load) retained(now time.Time) bool { return l.directive != nil && !l.directive.expired(now) }

// pruneDirectives drops expired directives. The caller holds b.mu.
func (b *Balancer) pruneDirectives(known func(incarnation string) bool, now time.Time) {
	for id, s := range b.directives {
		if known(s.incarnation) {
			s.lastSeen = now
		}
		if !s.expired(now) {
			continue
		}
		delete(b.directives, id)
		if l := b.loadsByID[id]; l != nil && l.directive == s {
			l.directive = nil
		}
	}
}

// unavailableRefusal returns the refusal of a request for which all otherwise eligible endpoints
// are in back-off or lack permits, or nil if there are none. The caller holds b.mu.
func (b *Balancer) unavailableRefusal(endpoints []*discovery.Endpoint, d *Demand, now time.Time) *Refusal {
	var firstFree time.Time
	var limited bool // the earliest endpoint lacks a permit
	ls := b.workingSet(d.Service.Name, endpoints)
	loads := ls.loads
	urgency := b.urgency(d, now)
	for i, l := range loads {
		e := ls.endpoints[i]
		if l.directive == nil && !l.limitState.needsPermit(now) || b.excluded(e, l, d, now) || l.avoided(e, now, true, self) {
			continue
		}
		backoffEnd, permitAt := now, l.limitState.availableAt(urgency, now)
		if l.directive != nil {
			backoffEnd = l.directive.availableAt(now)
		}
		if availableAt := latest(backoffEnd, permitAt); firstFree.IsZero() || availableAt.Before(firstFree) {
			firstFree, limited = availableAt, l.limitState.needsPermit(now) && !permitAt.Before(backoffEnd)
		}
	}
	if firstFree.IsZero() {
		return nil
	}
	wait := firstFree.Sub(now)
	if limited {
		return b.limitedRefusal(d, loads, wait, now)
	}
	return &Refusal{Cause: EndpointsInBackoff, Wait: wait, RetryAfter: wait + time.Duration(rand.Float64()*float64(retryAfterSpread))}
}

// excluded reports whether the endpoint is ineligible for the request, even as a last resort.
func (b *Balancer) excluded(e *discovery.Endpoint, l *load, d *Demand, now time.Time) bool {
	return e.RejectsNew() || l.draining(now) || slices.Contains(d.Avoid, l.hash) || !b.inAllowedRegion(e, d) || !d.runsSoftware(e)
}

// recentBackoff is how long a back-off may take to reach schedulers in this instance's reports.
const recentBackoff = maxReportInterval

// ClosedEndpoints returns the hashes of up to maxUnreachable endpoints that are closed to a request
// from this instance although schedulers may not know it: those that asked it for back-off within
// recentBackoff, latest first, and those for which no permit may be requested now.
func (b *Balancer) ClosedEndpoints(d *Demand) []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	closed := b.closedLimits(b.urgency(d, now), now)
	if !now.Before(b.lastBackoffEnd) {
		return closed[:min(len(closed), maxUnreachable)]
	}
	var recent []*directive
	for _, s := range b.directives {
		if now.Before(s.backoffUntil) && now.Sub(s.backoffAt) < recentBackoff {
			recent = append(recent, s)
		}
	}
	slices.SortFunc(recent, func(x, y *directive) int { return cmp.Compare(y.backoffAt.UnixNano(), x.backoffAt.UnixNano()) })
	var out []uint32
	for _, s := range recent[:min(len(recent), maxUnreachable)] {
		out = append(out, EndpointHash(s.incarnation))
	}
	out = append(out, closed...)
	return out[:min(len(out), maxUnreachable)]
}

// An UnavailableEndpoint is an endpoint that is in back-off for this instance or draining.
type UnavailableEndpoint struct {
	Endpoint string        // ID
	Backoff  time.Duration // time left of the back-off
	Draining bool
}

// UnavailableEndpoints returns the endpoints in back-off or draining, longest back-off first.
func (b *Balancer) UnavailableEndpoints() []UnavailableEndpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	out := make([]UnavailableEndpoint, 0, len(b.directives))
	for id, s := range b.directives {
		if s.draining || now.Before(s.backoffUntil) {
			out = append(out, UnavailableEndpoint{Endpoint: id, Backoff: max(0, s.backoffUntil.Sub(now)), Draining: s.draining})
		}
	}
	slices.SortFunc(out, func(x, y UnavailableEndpoint) int {
		return cmp.Or(cmp.Compare(y.Backoff, x.Backoff), cmp.Compare(x.Endpoint, y.Endpoint))
	})
	return out
}
