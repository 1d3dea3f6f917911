package gossip

// This file decides which instances choose endpoints for others. It does no
// I/O.
//
// The first few instances of each data centre are its schedulers: all tell
// them what they run, and they tell each other what they place, often. The
// others of the data centre ask the first of them for each request. Schedulers
// hear all instances; the others hear those of their data centre and all
// schedulers: on 295 of them, heartbeats of all to all were two thirds of the bytes
// of control that crossed data centres, 3.7 MB/s. Nothing is agreed on: each instance works the roles out from whom it hears, and where
// two differ for a moment, or a scheduler keeps silent, a request is placed by
// what its own instance knows. A small fleet consists of schedulers alone.

import (
	"sort"
	"time"

	"ivyridge/balance"
)

const (
	// schedulersKept is how many instances of a data centre are schedulers:
	// one that is asked, and others that know as much should it be lost.
	schedulersKept = 3
	// askedEach is how many instances of a data centre one scheduler decides
	// for; from there on several are asked.
	askedEach = 48
	// warmAfter is how long a scheduler has been told everything before it
	// goes before others.
	warmAfter = 5 * time.Second
	rolesHold = 200 * time.Millisecond
)

// Times of beats. What an instance receives hardly grows with the fleet: only
// schedulers are many to one, and the others beat the more seldom the more
// there are.
const (
	beatLeast        = 40 * time.Millisecond
	beatMost         = time.Second
	beatPerScheduler = 6 * time.Millisecond
	heartbeatEach    = 18 * time.Millisecond // for each instance
	heartbeatMost    = 8 * time.Second
	wholeBeats       = 4 // every so many beats tell everything, and not sooner than quietFor
)

// roles are the parts that instances take, as this one sees it.
type roles struct {
	schedules  bool      // this instance is a scheduler
	schedulers []*Member // without this instance
	first      bool      // this instance is the first scheduler of its data centre
	nearby     []*Member // the schedulers of the own data centre, without this instance
	beyond     []*Member // those of other data centres
	gateways   []*Member // the first of these of each data centre
	asked      []*Member // of the own data centre, in the order in which to ask
	ahead      []*Member // the schedulers of the own data centre that go before this one
	readers    int       // instances that follow the store itself: the first scheduler of each data centre
	near       []*Member // the other instances of the own data centre
	far        []*Member // those of other data centres
	known      []*Member // the schedulers and the near: who may be named within the data centre
	regional
}

// before orders the instances of a data centre: those that have scheduled for
// some time first, then the larger machines.
func before(a, b *Member) bool {
	if a.Warm != b.Warm {
		return a.Warm
	}
	if a.Cores != b.Cores {
		return a.Cores > b.Cores
	}
	return a.ID < b.ID
}

// goesBefore is before, with those that leave last.
func goesBefore(a, b *Member) bool {
	if a.Leaving != b.Leaving {
		return b.Leaving
	}
	return before(a, b)
}

// current returns the roles at now, which hold for rolesHold unless members change.
func (s *members) current(now time.Time) *roles {
	if !s.rolesAt.IsZero() && now.Sub(s.rolesAt) < rolesHold {
		return &s.roles
	}
	s.roles = s.compute(now)
	s.rolesAt = now
	switch {
	case !s.roles.schedules:
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = now
	}
	s.self.Warm = s.roles.schedules && now.Sub(s.since) >= warmAfter
	return &s.roles
}

// compute returns the roles among the members that are heard at now.
func (s *members) compute(now time.Time) roles {
	dataCentres := map[string][]*Member{s.self.DataCentre: {&s.self}}
	s.live(now, func(m *Member) { dataCentres[m.DataCentre] = append(dataCentres[m.DataCentre], m) })
	var r roles
	for dataCentre, all := range dataCentres {
		sort.Slice(all, func(i, j int) bool { return goesBefore(all[i], all[j]) })
		kept := min(len(all), schedulersKept)
		r.readers++
		for i, m := range all {
			switch {
			case i < kept && m == &s.self:
				r.schedules = true
				r.first = i == 0
				r.ahead = all[:i:i]
			case i < kept:
				r.addScheduler(m, dataCentre == s.self.DataCentre, i == 0)
			case m == &s.self:
			case dataCentre == s.self.DataCentre:
				r.near = append(r.near, m)
			default:
				r.far = append(r.far, m)
			}
		}
		if dataCentre == s.self.DataCentre && !r.schedules {
			r.asked = askOrder(all[:kept], s.self.ID, len(all))
		}
	}
	r.known = append(r.schedulers[:len(r.schedulers):len(r.schedulers)], r.near...)
	s.divide(&r)
	return r
}

func (r *roles) addScheduler(m *Member, near, first bool) {
	r.schedulers = append(r.schedulers, m)
	if near {
		r.nearby = append(r.nearby, m)
		return
	}
	r.beyond = append(r.beyond, m)
	if first {
		r.gateways = append(r.gateways, m)
	}
}

// dataCentreSize returns how many instances of the own data centre are heard, this
// one among them.
func (r *roles) dataCentreSize() int { return 1 + len(r.near) + len(r.nearby) }

// told returns within which time schedulers know what an instance runs, in a fleet of
// n: at once a report later, and a sum later if it is one of another data centre.
func (r *roles) told(n int) time.Duration {
	told := balance.ReportEvery(n)
	if len(r.near) > 0 {
		told += balance.ReportEvery(r.dataCentreSize())
	}
	if r.divided {
		told += beyondEvery(n)
	}
	return told
}

// asked returns how many schedulers of a data centre of n instances are asked.
func asked(n int) int { return 1 + n/askedEach }

// askOrder returns schedulers in the order in which the instance id asks them,
// in a data centre of n instances.
func askOrder(schedulers []*Member, id uint64, n int) []*Member {
	first := int(id % uint64(min(asked(n), len(schedulers))))
	out := append([]*Member(nil), schedulers[first:]...)
	return append(out, schedulers[:first]...)
}

// interval is the pause between beats of this instance.
func (r *roles) interval() time.Duration {
	if !r.schedules {
		return beatLeast
	}
	return bounded(time.Duration(len(r.schedulers)+1)*beatPerScheduler, beatLeast, beatMost)
}

// heartbeatEvery is the pause between heartbeats to those who need nothing
// else, in a fleet of n.
func heartbeatEvery(n int) time.Duration {
	return bounded(time.Duration(n)*heartbeatEach, quietFor, heartbeatMost)
}

func bounded(d, least, most time.Duration) time.Duration { return min(max(d, least), most) }
