package balance

// This file tracks which endpoints this instance can connect to.
//
// An instance may lose its connections to endpoints that other instances still reach. The endpoints
// of a service in one data centre form a group, since their connections tend to fail together: a few
// failures without a contact in between put the whole group out of reach, as trying each of
// hundreds of endpoints with a request would delay as many requests. Endpoints out of reach are
// probed, and not tried with requests, until one accepts a connection.

import (
	"math/rand/v2"
	"slices"
	"time"

	"ivyridge/discovery"
)

const (
	// groupQuorum is how many endpoints of a group must fail without a contact in between to put
	// the group out of reach. In a smaller group each endpoint counts by itself.
	groupQuorum = 3
	// groupProbeInterval is the time between probes of a group that is out of reach, and
	// groupProbes the number of endpoints probed each time.
	groupProbeInterval = 250 * time.Millisecond
	groupProbes        = 2
	// probeLead is how long before its back-off ends an endpoint is probed.
	probeLead = 50 * time.Millisecond
	// ProbeTimeout is how long a probe may take. It exceeds the delays of a congested link, over which
	// forwarding requests would only add to the load.
	ProbeTimeout = time.Second
	// probeHold is how long an endpoint stays marked for the result of a probe.
	probeHold = ProbeTimeout + 300*time.Millisecond
	// maxProbes is the largest number of probes per call of TakeProbes.
	maxProbes = 8
	// probePause is the least time between calls of TakeProbes.
	probePause = 50 * time.Millisecond
	// contactTTL is how long a contact outweighs the reports of other instances that they failed to
	// connect to the endpoint.
	contactTTL = time.Second
	// partialShare is the share of a service's endpoints out of reach of this instance only from
	// which its refusals are not final.
	partialShare = 0.25
)

// A reachGroup is the endpoints of one service in one data centre.
type reachGroup struct {
	listing    *listing
	dataCentre string

	failed    map[*load]struct{} // that failed since the last contact
	outSince  time.Time          // zero: within reach
	nextProbe time.Time          // while out of reach
}

func (g *reachGroup) out() bool { return g != nil && !g.outSince.IsZero() }

// A ReachChange says that the endpoints of a service in a data centre went out of reach of this
// instance, or came back.
type ReachChange struct {
	Service, DataCentre string
	Out                 bool
	After               time.Duration // if not Out: how long they were out of reach
}

// reach is the part of a Balancer that this file manages.
type reach struct {
	due     map[*load]time.Time // endpoints to probe, and when
	out     int                 // groups out of reach
	wanted  chan struct{}       // receives a value when a probe becomes due earlier than before
	changes []ReachChange       // since the last TakeReachChanges
}

func newReach() reach {
	return reach{due: make(map[*load]time.Time), wanted: make(chan struct{}, 1)}
}

// group returns the group of the endpoints in a data centre. The caller holds Balancer.mu.
func (ls *listing) group(dataCentre string) *reachGroup {
	g := ls.groups[dataCentre]
	if g == nil {
		g = &reachGroup{listing: ls, dataCentre: dataCentre, failed: make(map[*load]struct{})}
		ls.groups[dataCentre] = g
	}
	return g
}

// outOfReach reports whether the endpoint is presumed out of reach of this instance: it refused a
// connection, or a probe of it or of its group failed.
func (l *load) outOfReach(now time.Time) bool {
	return l.unreachable && l.downUntil.After(now) || l.group.out()
}

// downForOthers reports whether enough other instances failed to connect to the endpoint, and this
// one had no contact either.
func (l *load) downForOthers(now time.Time) bool {
	return l.downReports >= downQuorum && now.Sub(l.contactAt) > contactTTL
}

// recordFailure records that the endpoint did not accept a connection. It is out of reach only if
// that is certain. The caller holds b.mu.
func (b *Balancer) recordFailure(l *load, certain bool, now time.Time) {
	l.markUnreachable(now)
	if l.downUntil.After(b.downUntil) {
		b.downUntil = l.downUntil
	}
	b.markChanged(l)
	if !certain {
		b.scheduleProbe(l, now)
		return
	}
	l.unreachable = true
	b.scheduleProbe(l, l.downUntil.Add(-probeLead))
	g := l.group
	g.failed[l] = struct{}{}
	if g.out() || len(g.failed) < groupQuorum {
		return
	}
	g.outSince, g.nextProbe = now, now.Add(groupProbeInterval)
	b.reach.out++
	b.reach.changes = append(b.reach.changes, ReachChange{Service: g.listing.service, DataCentre: g.dataCentre, Out: true})
	b.wantProbe()
}

// recordContact records that the endpoint accepted a connection (dialled) or responded on an
// earlier one. The latter does not end the time out of reach, as an instance may be cut off for new
// connections only. The caller holds b.mu.
func (b *Balancer) recordContact(l *load, dialled bool, now time.Time) {
	l.contactAt = now
	g := l.group
	if !dialled {
		if !g.out() {
			clear(g.failed)
		}
		return
	}
	if l.downUntil.After(now) {
		b.markChanged(l)
	}
	l.markReachable(now)
	l.unreachable = false
	delete(b.reach.due, l)
	if !g.out() {
		clear(g.failed)
		return
	}
	for other := range g.failed {
		if other != l {
			b.scheduleProbe(other, now)
		}
	}
	clear(g.failed)
	b.reach.out--
	b.reach.changes = append(b.reach.changes, ReachChange{Service: g.listing.service, DataCentre: g.dataCentre, After: now.Sub(g.outSince)})
	g.outSince = time.Time{}
}

// scheduleProbe has an endpoint probed at the time at or earlier. The caller holds b.mu.
func (b *Balancer) scheduleProbe(l *load, at time.Time) {
	if due, ok := b.reach.due[l]; ok && due.Before(at) {
		return
	}
	b.reach.due[l] = at
	b.wantProbe()
}

func (b *Balancer) wantProbe() {
	select {
	case b.reach.wanted <- struct{}{}:
	default:
	}
}

// A Probe asks for a connection to an endpoint. Its result must be passed to RecordProbe.
type Probe struct{ Incarnation, Address string }

// ProbeWanted returns a channel that receives a value when TakeProbes should be called.
func (b *Balancer) ProbeWanted() <-chan struct{} { return b.reach.wanted }

// TakeProbes returns the endpoints to probe now, and how long to wait until the next call; zero:
// until ProbeWanted.
func (b *Balancer) TakeProbes() (probes []Probe, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var next time.Time
	consider := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for l, at := range b.reach.due {
		e := b.listed(l)
		switch {
		case e == nil:
			delete(b.reach.due, l)
		case l.group.out(): // probed with its group
		case at.After(now) || len(probes) >= maxProbes:
			consider(at)
		default:
			delete(b.reach.due, l)
			probes = append(probes, b.probe(e, l, now))
		}
	}
	for _, ls := range b.listings {
		for _, g := range ls.groups {
			if !g.out() {
				continue
			}
			if !g.nextProbe.After(now) {
				g.nextProbe = now.Add(groupProbeInterval)
				probes = append(probes, b.probeGroup(ls, g, now)...)
			}
			consider(g.nextProbe)
		}
	}
	if next.IsZero() {
		return probes, 0
	}
	return probes, max(probePause, next.Sub(now))
}

// listed returns the endpoint of a load, or nil if it is not listed any more. The caller holds b.mu.
func (b *Balancer) listed(l *load) *discovery.Endpoint {
	for _, ls := range b.listings {
		if e := ls.byHash[l.hash]; e != nil {
			return e
		}
	}
	return nil
}

// probe returns a probe of an endpoint. One that is out of reach stays so until the result is known.
// The caller holds b.mu.
func (b *Balancer) probe(e *discovery.Endpoint, l *load, now time.Time) Probe {
	if hold := now.Add(probeHold); l.downUntil.After(now) && hold.After(l.downUntil) {
		l.downUntil = hold
		if hold.After(b.downUntil) {
			b.downUntil = hold
		}
	}
	return Probe{Incarnation: e.Incarnation(), Address: e.Address}
}

// probeGroup returns probes of random endpoints of a group. A group without endpoints is no longer
// out of reach. The caller holds b.mu.
func (b *Balancer) probeGroup(ls *listing, g *reachGroup, now time.Time) (probes []Probe) {
	var candidates []int
	for i, e := range ls.endpoints {
		if e.DataCentre == g.dataCentre && !e.RejectsNew() {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		clear(g.failed)
		g.outSince = time.Time{}
		b.reach.out--
		return nil
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, i := range candidates[:min(groupProbes, len(candidates))] {
		probes = append(probes, b.probe(ls.endpoints[i], ls.loads[i], now))
	}
	return probes
}

// RecordProbe records whether an endpoint accepted the connection of a probe.
func (b *Balancer) RecordProbe(incarnation string, accepted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loads[incarnation]
	if l == nil || l.group == nil {
		return // not listed any more
	}
	if accepted {
		b.recordContact(l, true, b.now())
		return
	}
	b.recordFailure(l, true, b.now())
}

// TakeReachChanges returns the changes since the last call.
func (b *Balancer) TakeReachChanges() []ReachChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	changes := b.reach.changes
	b.reach.changes = nil
	return changes
}

// OutOfReach reports whether no endpoint that may run a request is within reach of this instance,
// though others may reach some.
func (b *Balancer) OutOfReach(endpoints []*discovery.Endpoint, d *Demand) bool {
	out, usable := b.countOutOfReach(endpoints, d)
	return out > 0 && out == usable
}

// PartlyOutOfReach reports whether so many endpoints that may run a request are out of reach of this
// instance only that its refusal of the request is not final.
func (b *Balancer) PartlyOutOfReach(endpoints []*discovery.Endpoint, d *Demand) bool {
	out, usable := b.countOutOfReach(endpoints, d)
	return out > 0 && float64(out) >= partialShare*float64(usable)
}

// countOutOfReach counts the endpoints in the working set that may run a request, without those that
// are presumed down for all instances, and how many of them are out of reach of this instance.
func (b *Balancer) countOutOfReach(endpoints []*discovery.Endpoint, d *Demand) (out, usable int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if b.reach.out == 0 && !b.downUntil.After(now) {
		return 0, 0
	}
	ls := b.workingSet(d.Service.Name, endpoints)
	for i, e := range ls.endpoints {
		l := ls.loads[i]
		if b.excluded(e, l, d, now) || l.avoided(e, now, true, self) {
			continue
		}
		l.refresh(now)
		switch {
		case l.downForOthers(now):
			continue
		case l.outOfReach(now):
			out++
		}
		usable++
	}
	return out, usable
}

// reportsDown reports whether other instances should learn that this one cannot connect to the
// endpoint. They should not if it reaches no endpoint of the service, since the cause is then most
// likely its own. The caller holds b.mu.
func (b *Balancer) reportsDown(l *load, now time.Time) bool {
	if !l.downUntil.After(now) {
		return false
	}
	loads := l.group.listing.loads
	return len(loads) < 2 || slices.ContainsFunc(loads, func(other *load) bool { return !other.outOfReach(now) })
}

// forgetReach drops an endpoint's state. The caller holds b.mu.
func (b *Balancer) forgetReach(l *load) {
	delete(b.reach.due, l)
	if l.group != nil {
		delete(l.group.failed, l)
	}
}
