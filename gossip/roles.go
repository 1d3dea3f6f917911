package gossip

// This file determines which instances choose endpoints for others. It does no I/O.
//
// The first few instances of each data centre are its schedulers. All instances of the data
// centre send them load reports, and the others send them a placement request for each request.
// Schedulers receive from all instances of their region; the others only from their data centre
// and from all schedulers, since heartbeats between all pairs would dominate the traffic between
// data centres. There is no consensus: each instance computes the roles from the members it sees,
// and chooses locally if roles disagree or a scheduler doesn't respond. A small fleet consists of
// schedulers only.

import (
	"sort"
	"time"

	"ivyridge/balance"
)

const (
	// schedulersPerDataCentre includes spares that receive the same reports as the ones in use.
	schedulersPerDataCentre = 3
	// instancesPerScheduler is how many instances of a data centre require another active scheduler.
	instancesPerScheduler = 48
	// warmupPeriod is how long a scheduler receives load reports before it outranks others.
	warmupPeriod = 5 * time.Second
	rolesTTL     = 200 * time.Millisecond
)

// Tick and heartbeat timing. Only schedulers receive from many instances; ordinary instances send
// less often in larger fleets, so that the receive rate hardly grows with the fleet.
const (
	minTick              = 40 * time.Millisecond
	maxTick              = time.Second
	tickPerScheduler     = 6 * time.Millisecond
	heartbeatPerInstance = 18 * time.Millisecond
	maxHeartbeat         = 8 * time.Second
	fullReportTicks      = 4 // ticks between complete reports, which are at least maxUpdateInterval apart
)

// roles are the roles of the instances as seen by this one.
type roles struct {
	isScheduler           bool      // this instance is a scheduler
	schedulers            []*Member // without this instance
	isFirstScheduler      bool      // this instance is the first scheduler of its data centre
	localSchedulers       []*Member // schedulers of this data centre, without this instance
	remoteSchedulers      []*Member // schedulers of other data centres
	remoteFirstSchedulers []*Member // first schedulers of other data centres
	schedulerOrder        []*Member // schedulers of this data centre in the order in which to send requests
	predecessors          []*Member // schedulers of this data centre that rank ahead of this one
	storeReaders          int       // instances that read the store: the first scheduler of each data centre
	localPeers            []*Member // ordinary instances of this data centre, without this one
	remotePeers           []*Member // ordinary instances of other data centres
	localContacts         []*Member // schedulers and localPeers, whose addresses are shared within the data centre
	regionRoles
}

// outranks orders by warm-up, then by cores, then by ID.
func outranks(a, b *Member) bool {
	if a.WarmedUp != b.WarmedUp {
		return a.WarmedUp
	}
	if a.Cores != b.Cores {
		return a.Cores > b.Cores
	}
	return a.ID < b.ID
}

// precedes is outranks, with instances that are shutting down last.
func precedes(a, b *Member) bool {
	if a.Leaving != b.Leaving {
		return b.Leaving
	}
	return outranks(a, b)
}

// currentRoles returns the roles at now. They are cached for rolesTTL unless members change.
func (s *members) currentRoles(now time.Time) *roles {
	if !s.rolesComputedAt.IsZero() && now.Sub(s.rolesComputedAt) < rolesTTL {
		return &s.roles
	}
	s.roles = s.computeRoles(now)
	s.rolesComputedAt = now
	switch {
	case !s.roles.isScheduler:
		s.schedulerSince = time.Time{}
	case s.schedulerSince.IsZero():
		s.schedulerSince = now
	}
	s.self.WarmedUp = s.roles.isScheduler && now.Sub(s.schedulerSince) >= warmupPeriod
	return &s.roles
}

func (s *members) computeRoles(now time.Time) roles {
	dataCentres := map[string][]*Member{s.self.DataCentre: {&s.self}}
	s.eachLive(now, func(m *Member) { dataCentres[m.DataCentre] = append(dataCentres[m.DataCentre], m) })
	var r roles
	for dataCentre, all := range dataCentres {
		sort.Slice(all, func(i, j int) bool { return precedes(all[i], all[j]) })
		schedulerCount := min(len(all), schedulersPerDataCentre)
		r.storeReaders++
		for i, m := range all {
			switch {
			case i < schedulerCount && m == &s.self:
				r.isScheduler = true
				r.isFirstScheduler = i == 0
				r.predecessors = all[:i:i]
			case i < schedulerCount:
				r.addScheduler(m, dataCentre == s.self.DataCentre, i == 0)
			case m == &s.self:
			case dataCentre == s.self.DataCentre:
				r.localPeers = append(r.localPeers, m)
			default:
				r.remotePeers = append(r.remotePeers, m)
			}
		}
		if dataCentre == s.self.DataCentre && !r.isScheduler {
			r.schedulerOrder = orderSchedulers(all[:schedulerCount], s.self.ID, len(all))
		}
	}
	r.localContacts = append(r.schedulers[:len(r.schedulers):len(r.schedulers)], r.localPeers...)
	s.assignRegionRoles(&r)
	return r
}

func (r *roles) addScheduler(m *Member, local, isFirst bool) {
	r.schedulers = append(r.schedulers, m)
	if local {
		r.localSchedulers = append(r.localSchedulers, m)
		return
	}
	r.remoteSchedulers = append(r.remoteSchedulers, m)
	if isFirst {
		r.remoteFirstSchedulers = append(r.remoteFirstSchedulers, m)
	}
}

// dataCentreSize returns the number of live instances of this data centre, this one included.
func (r *roles) dataCentreSize() int { return 1 + len(r.localPeers) + len(r.localSchedulers) }

// propagationDelay returns how long load changes take to reach all schedulers of n instances.
func (r *roles) propagationDelay(n int) time.Duration {
	delay := balance.ReportInterval(n)
	if len(r.localPeers) > 0 {
		delay += balance.ReportInterval(r.dataCentreSize())
	}
	if r.useGateways {
		delay += regionInterval(n)
	}
	return delay
}

// activeSchedulerCount returns how many schedulers of a data centre of n instances are in use.
func activeSchedulerCount(n int) int { return 1 + n/instancesPerScheduler }

// orderSchedulers rotates schedulers by id, so that n instances spread over the active ones.
func orderSchedulers(schedulers []*Member, id uint64, n int) []*Member {
	first := int(id % uint64(min(activeSchedulerCount(n), len(schedulers))))
	out := append([]*Member(nil), schedulers[first:]...)
	return append(out, schedulers[:first]...)
}

func (r *roles) tickInterval() time.Duration {
	if !r.isScheduler {
		return minTick
	}
	return clamp(time.Duration(len(r.schedulers)+1)*tickPerScheduler, minTick, maxTick)
}

// heartbeatInterval returns the pause between heartbeats in a fleet of n instances.
func heartbeatInterval(n int) time.Duration {
	return clamp(time.Duration(n)*heartbeatPerInstance, maxUpdateInterval, maxHeartbeat)
}

func clamp(d, lo, hi time.Duration) time.Duration { return min(max(d, lo), hi) }
