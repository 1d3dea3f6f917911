package balance

// This file maintains the working set of each service: the endpoints considered in a choice.
//
// Considering all of thousands of listed endpoints would make choices slow, and spread requests so
// thinly that caches and connections are rarely reused. The working set consists of the endpoints
// whose rank, a hash of the ID, is below a bound. Sets of different sizes are nested, so instances
// with different views of the demand agree on nearly the same set without communication.
//
// The set is several times larger than the demand requires. It grows immediately when demand does,
// doubles whenever its best endpoint is crowded, and shrinks gradually. The bound follows the
// number of open endpoints, so that others replace those that leave.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ivyridge/catalog"
	"ivyridge/discovery"
)

const (
	// minWorkingSet is the number of endpoints up to which all are in the set: few enough for fast
	// choices, and enough to remain sufficient when a data centre is lost.
	minWorkingSet = 256
	// Target utilization of a set that fits the demand: shares of slots, of time spent on prefill,
	// and of engines prefilling at one moment.
	setSlotUse    = 0.1
	setPrefillUse = 0.1
	setBusyShare  = 0.25
	// growWaitShare is the share of the objective above which a wait at the best engine, with none
	// of the prompt cached, doubles the set. growSlotUse is the share of slots in use at the best
	// endpoint above which a request without an engine doubles it.
	growWaitShare = 0.25
	growSlotUse   = 0.75
	// The size is checked every setCheckInterval. It shrinks by setShrinkStep per check, starting
	// setShrinkDelay after it last grew.
	setShrinkStep    = 0.01
	setCheckInterval = 100 * time.Millisecond
	setShrinkDelay   = 5 * time.Second
)

// A listing holds the listed endpoints of a service and their working set.
type listing struct {
	service string
	all     []*discovery.Endpoint
	byHash  map[uint32]*discovery.Endpoint // by hash of the incarnation
	open    int                            // number of endpoints accepting new requests

	endpoints []*discovery.Endpoint // working set, in the order of all
	loads     []*load               // states of endpoints, in the same order
	stale     bool                  // endpoints and loads must be rebuilt

	size      int       // target size of the working set, approximate
	grownAt   time.Time // last time size grew
	checkedAt time.Time // last time size was compared with demand
	required  int       // size required by demand, as of checkedAt

	groups map[string]*reachGroup // by data centre

	brittleUntil time.Time // some endpoint counts as brittle until then
}

func newListing(service string) *listing {
	return &listing{service: service, byHash: make(map[uint32]*discovery.Endpoint), size: minWorkingSet, groups: make(map[string]*reachGroup)}
}

// complete reports whether the working set includes all endpoints.
func (ls *listing) complete() bool { return ls.size >= ls.open }

// update replaces the listed endpoints. Unchanged endpoints keep their pointers and mostly their
// order, so beyond one pointer comparison each, the cost is proportional to the changes.
func (ls *listing) update(endpoints []*discovery.Endpoint) {
	var removed, added []*discovery.Endpoint
	i, j := 0, 0
	for i < len(ls.all) && j < len(endpoints) {
		switch previous, current := ls.all[i], endpoints[j]; {
		case previous == current:
			i++
			j++
		case previous.ID < current.ID:
			removed = append(removed, previous)
			i++
		case previous.ID > current.ID:
			added = append(added, current)
			j++
		default:
			removed, added = append(removed, previous), append(added, current)
			i++
			j++
		}
	}
	removed, added = append(removed, ls.all[i:]...), append(added, endpoints[j:]...)
	for _, e := range removed {
		if hash := EndpointHash(e.Incarnation()); ls.byHash[hash] == e {
			delete(ls.byHash, hash)
		}
		if !e.RejectsNew() {
			ls.open--
		}
	}
	for _, e := range added {
		ls.byHash[EndpointHash(e.Incarnation())] = e
		if !e.RejectsNew() {
			ls.open++
		}
	}
	ls.all = endpoints
	ls.stale = true
}

// isCurrent reports whether endpoints is the slice passed to the last update.
func (ls *listing) isCurrent(endpoints []*discovery.Endpoint) bool {
	if len(endpoints) != len(ls.all) {
		return false
	}
	return len(endpoints) == 0 || &endpoints[0] == &ls.all[0]
}

// rankLimit returns the rank below which endpoints are in the working set.
func (ls *listing) rankLimit() uint64 {
	if ls.complete() {
		return math.MaxUint32 + 1
	}
	return uint64(float64(ls.size) / float64(ls.open) * (math.MaxUint32 + 1))
}

func (ls *listing) resize(size int, now time.Time) {
	if size > ls.size {
		ls.grownAt = now
	}
	ls.size = size
	ls.stale = true
}

// listing returns the listing of a service, updated to endpoints. Its working set may be stale.
// The caller holds b.mu.
func (b *Balancer) listing(service string, endpoints []*discovery.Endpoint) *listing {
	ls := b.listings[service]
	if ls == nil {
		ls = newListing(service)
		b.listings[service] = ls
	}
	if !ls.isCurrent(endpoints) {
		ls.update(endpoints)
	}
	return ls
}

// workingSet returns the listing of a service with a current working set. The caller holds b.mu.
func (b *Balancer) workingSet(service string, endpoints []*discovery.Endpoint) *listing {
	ls := b.listing(service, endpoints)
	if ls.stale {
		b.rebuild(ls)
	}
	return ls
}

// rebuild computes the working set of a listing. The caller holds b.mu.
func (b *Balancer) rebuild(ls *listing) {
	ls.stale = false
	ls.endpoints, ls.loads = ls.all, ls.loads[:0]
	bound := ls.rankLimit()
	if bound <= math.MaxUint32 {
		ls.endpoints = make([]*discovery.Endpoint, 0, ls.size+ls.size/4)
		for _, e := range ls.all {
			if uint64(e.Rank()) < bound {
				ls.endpoints = append(ls.endpoints, e)
			}
		}
	}
	for _, e := range ls.endpoints {
		ls.loads = append(ls.loads, b.loadFor(ls, e))
	}
}

// loadFor returns the state of a listed endpoint. The caller holds b.mu.
func (b *Balancer) loadFor(ls *listing, e *discovery.Endpoint) *load {
	l := b.load(e.Incarnation())
	l.distance = b.regions.Between(b.dataCentre, e.DataCentre)
	l.group = ls.group(e.DataCentre)
	b.attachDirective(l, e)
	return l
}

// unusedLoadTTL is how long the state of an unused endpoint outside all working sets is kept.
const unusedLoadTTL = time.Minute

// unused reports whether no instance is known to have used the endpoint within unusedLoadTTL.
func (l *load) unused(now time.Time) bool {
	return len(l.remotes) == 0 && l.limitState == nil && now.Sub(l.lastUsed) > unusedLoadTTL
}

// workingSetLoads returns the states of all endpoints in working sets. The caller holds b.mu.
func (b *Balancer) workingSetLoads() map[*load]bool {
	out := make(map[*load]bool)
	for _, ls := range b.listings {
		for _, l := range ls.loads {
			out[l] = true
		}
	}
	return out
}

// loadByHash returns the state of a listed or recently listed endpoint by hash, or nil. The caller
// holds b.mu.
func (b *Balancer) loadByHash(hash uint32) *load {
	if l := b.loadsByHash[hash]; l != nil {
		return l
	}
	for _, ls := range b.listings {
		if e := ls.byHash[hash]; e != nil {
			return b.loadFor(ls, e)
		}
	}
	return nil
}

// resizeForDemand adjusts the size of a service's working set to the load of its endpoints. The
// caller holds b.mu.
func (b *Balancer) resizeForDemand(ls *listing, s *catalog.Service, now time.Time) {
	if len(ls.all) <= minWorkingSet || now.Sub(ls.checkedAt) < setCheckInterval {
		return
	}
	ls.checkedAt = now
	needed := ls.requiredSize(s, now)
	ls.required = needed
	switch {
	case needed > ls.size:
		ls.resize(needed, now)
	case needed < ls.size && now.Sub(ls.grownAt) >= setShrinkDelay:
		ls.resize(max(needed, int(float64(min(ls.size, ls.open))*(1-setShrinkStep))), now)
	default:
		return
	}
	b.rebuild(ls)
}

// requiredSize returns the number of endpoints that the current load requires.
func (ls *listing) requiredSize(s *catalog.Service, now time.Time) int {
	slotsUsed, prefill, busy := 0.0, 0.0, 0.0
	for i, l := range ls.loads {
		slots := ls.endpoints[i].Slots
		if s.Engine != nil {
			slots = s.Engine.Slots
			l.observe(now)
			prefill += l.prefillShare
			if l.busyUntil.After(now) {
				busy++
			}
		}
		slotsUsed += float64(l.running+l.others.Requests) / float64(max(1, slots))
	}
	return max(minWorkingSet, int(math.Ceil(max(slotsUsed/setSlotUse, prefill/setPrefillUse, busy/setBusyShare))))
}

// grow doubles the working set if the best endpoint for a request is crowded or nil, and reports
// whether it did. The caller holds b.mu.
func (b *Balancer) grow(ls *listing, best *Placement, d *Demand, now time.Time) bool {
	if ls.complete() || best != nil && !best.crowded(d) {
		return false
	}
	ls.resize(2*ls.size, now)
	b.rebuild(ls)
	return true
}

// crowded reports whether the endpoint has too little free capacity for the request.
func (p *Placement) crowded(d *Demand) bool {
	if d.Service.Engine == nil {
		slotsUsed := float64(p.load.running + p.load.others.Requests + 1)
		return slotsUsed > growSlotUse*float64(max(1, p.Endpoint.Slots))
	}
	return d.Objective > 0 && p.Cached == 0 && p.Wait > growWaitShare*milliseconds(d.Objective)
}

// A WorkingSet describes the working set of a service, for operators.
type WorkingSet struct {
	Service string
	Listed  int
	Open    int           // endpoints accepting new requests
	Used    int           // endpoints considered in choices
	Needed  int           // size required by demand, as seen by this instance
	Grown   time.Duration // since it last grew; negative: never
}

// WorkingSets returns the working sets of all services used by this instance, sorted by name.
func (b *Balancer) WorkingSets() []WorkingSet {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	out := make([]WorkingSet, 0, len(b.listings))
	for service, ls := range b.listings {
		w := WorkingSet{Service: service, Listed: len(ls.all), Open: ls.open, Used: len(ls.endpoints), Needed: ls.required, Grown: -1}
		if !ls.grownAt.IsZero() {
			w.Grown = now.Sub(ls.grownAt)
		}
		out = append(out, w)
	}
	slices.SortFunc(out, func(x, y WorkingSet) int { return cmp.Compare(x.Service, y.Service) })
	return out
}
