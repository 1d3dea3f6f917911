package balance

// This file maintains the working set of each service: the endpoints considered in a choice.
//
// A fleet may list thousands of endpoints while a few hundred serve the demand. Considering all of
// them would make choices slow and spread prompt parts, connections and reports over all of them,
// so that caches and connections are rarely reused. The working set consists of the endpoints
// whose rank, a hash of the ID, is below a bound, so that instances agree on it without
// communication. Sets of different sizes are nested; instances with slightly different views of
// the demand choose from nearly the same set.
//
// The set is several times larger than the demand requires. It grows immediately when demand does,
// doubles whenever its best endpoint lacks room until it includes all endpoints, and shrinks
// gradually. The bound follows the number of open endpoints, so that others replace those that
// leave.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ivyridge/catalog"
	"ivyridge/discovery"
)

const (
	// minWorkingSet is the number of endpoints up to which all are in the set. A choice among
	// these is fast, and losing a data centre leaves enough of them.
	minWorkingSet = 256
	// Target utilization of a set that fits the demand: shares of slots, of time spent on prefill,
	// and of engines prefilling at one moment.
	setSlotUse    = 0.1
	setPrefillUse = 0.1
	setBusyShare  = 0.25
	// growWaitShare is the share of the objective above which a wait at the best endpoint, with
	// none of the prompt cached, doubles the set. growSlotUse is the share of an endpoint's slots
	// for requests without an engine.
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
	all    []*discovery.Endpoint
	byHash map[uint32]*discovery.Endpoint // by hash of the incarnation
	open   int                            // number of endpoints accepting new requests

	endpoints []*discovery.Endpoint // working set, in the order of all
	loads     []*load               // states of endpoints, in the same order
	stale     bool                  // endpoints and loads must be rebuilt

	size      int       // target size of the working set, approximate
	grownAt   time.Time // last time size grew
	checkedAt time.Time // last time size was compared with demand
	required  int       // size required by demand, as of checkedAt
}

func newListing() *listing {
	return &listing{byHash: make(map[uint32]*discovery.Endpoint), size: minWorkingSet}
}

// complete reports whether the working set includes all endpoints.
func (r *listing) complete() bool { return r.size >= r.open }

// update replaces the listed endpoints. Unchanged endpoints keep their pointers and mostly their
// order, so beyond one pointer comparison each, the cost is proportional to the changes.
func (r *listing) update(endpoints []*discovery.Endpoint) {
	var removed, added []*discovery.Endpoint
	i, j := 0, 0
	for i < len(r.all) && j < len(endpoints) {
		switch before, now := r.all[i], endpoints[j]; {
		case before == now:
			i++
			j++
		case before.ID < now.ID:
			removed = append(removed, before)
			i++
		case before.ID > now.ID:
			added = append(added, now)
			j++
		default:
			removed, added = append(removed, before), append(added, now)
			i++
			j++
		}
	}
	removed, added = append(removed, r.all[i:]...), append(added, endpoints[j:]...)
	for _, e := range removed {
		if hash := EndpointHash(e.Incarnation()); r.byHash[hash] == e {
			delete(r.byHash, hash)
		}
		if !e.RejectsNew() {
			r.open--
		}
	}
	for _, e := range added {
		r.byHash[EndpointHash(e.Incarnation())] = e
		if !e.RejectsNew() {
			r.open++
		}
	}
	r.all = endpoints
	r.stale = true
}

// isCurrent reports whether endpoints is the slice passed to the last update.
func (r *listing) isCurrent(endpoints []*discovery.Endpoint) bool {
	if len(endpoints) != len(r.all) {
		return false
	}
	return len(endpoints) == 0 || &endpoints[0] == &r.all[0]
}

// rankLimit returns the rank below which endpoints are in the working set.
func (r *listing) rankLimit() uint64 {
	if r.complete() {
		return math.MaxUint32 + 1
	}
	return uint64(float64(r.size) / float64(r.open) * (math.MaxUint32 + 1))
}

// resize sets the target size and marks the working set as stale.
func (r *listing) resize(size int, now time.Time) {
	if size > r.size {
		r.grownAt = now
	}
	r.size = size
	r.stale = true
}

// listing returns the listing of a service, updated to endpoints. Its working set may be stale.
// The caller holds b.mu.
func (b *Balancer) listing(service string, endpoints []*discovery.Endpoint) *listing {
	r := b.listings[service]
	if r == nil {
		r = newListing()
		b.listings[service] = r
	}
	if !r.isCurrent(endpoints) {
		r.update(endpoints)
	}
	return r
}

// workingSet returns the listing of a service with a current working set. It is cached while
// endpoints is the same slice. The caller holds b.mu.
func (b *Balancer) workingSet(service string, endpoints []*discovery.Endpoint) *listing {
	r := b.listing(service, endpoints)
	if r.stale {
		b.rebuild(r)
	}
	return r
}

// rebuild computes the working set of a listing. The caller holds b.mu.
func (b *Balancer) rebuild(r *listing) {
	r.stale = false
	r.endpoints, r.loads = r.all, r.loads[:0]
	bound := r.rankLimit()
	if bound <= math.MaxUint32 {
		r.endpoints = make([]*discovery.Endpoint, 0, r.size+r.size/4)
		for _, e := range r.all {
			if uint64(e.Rank()) < bound {
				r.endpoints = append(r.endpoints, e)
			}
		}
	}
	for _, e := range r.endpoints {
		r.loads = append(r.loads, b.loadFor(e))
	}
}

// loadFor returns the state of a listed endpoint. The caller holds b.mu.
func (b *Balancer) loadFor(e *discovery.Endpoint) *load {
	l := b.load(e.Incarnation())
	l.distance = b.regions.Between(b.dataCentre, e.DataCentre)
	b.attachDirective(l, e)
	return l
}

// unusedLoadTTL is how long the state of an endpoint outside all working sets is kept after its
// last request.
const unusedLoadTTL = time.Minute

// unused reports whether no instance is known to have used the endpoint within unusedLoadTTL.
func (l *load) unused(now time.Time) bool {
	return len(l.remotes) == 0 && l.limitState == nil && now.Sub(l.lastUsed) > unusedLoadTTL
}

// workingSetLoads returns the states of all endpoints in working sets. The caller holds b.mu.
func (b *Balancer) workingSetLoads() map[*load]bool {
	out := make(map[*load]bool)
	for _, r := range b.listings {
		for _, l := range r.loads {
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
	for _, r := range b.listings {
		if e := r.byHash[hash]; e != nil {
			return b.loadFor(e)
		}
	}
	return nil
}

// resizeForDemand adjusts the size of a service's working set to the load of its endpoints. The
// caller holds b.mu.
func (b *Balancer) resizeForDemand(r *listing, s *catalog.Service, now time.Time) {
	if len(r.all) <= minWorkingSet || now.Sub(r.checkedAt) < setCheckInterval {
		return
	}
	r.checkedAt = now
	needed := r.requiredSize(s, now)
	r.required = needed
	switch {
	case needed > r.size:
		r.resize(needed, now)
	case needed < r.size && now.Sub(r.grownAt) >= setShrinkDelay:
		r.resize(max(needed, int(float64(min(r.size, r.open))*(1-setShrinkStep))), now)
	default:
		return
	}
	b.rebuild(r)
}

// requiredSize returns the number of endpoints that the current load requires.
func (r *listing) requiredSize(s *catalog.Service, now time.Time) int {
	taken, reading, busy := 0.0, 0.0, 0.0
	for i, l := range r.loads {
		slots := r.endpoints[i].Slots
		if s.Engine != nil {
			slots = s.Engine.Slots
			l.observe(now)
			reading += l.prefillShare
			if l.busyUntil.After(now) {
				busy++
			}
		}
		taken += float64(l.running+l.others.Requests) / float64(max(1, slots))
	}
	return max(minWorkingSet, int(math.Ceil(max(taken/setSlotUse, reading/setPrefillUse, busy/setBusyShare))))
}

// grow doubles the working set if the best endpoint for a request is crowded or nil, and reports
// whether it did. The caller holds b.mu.
func (b *Balancer) grow(r *listing, best *Placement, d *Demand, now time.Time) bool {
	if r.complete() || best != nil && !best.crowded(d) {
		return false
	}
	r.resize(2*r.size, now)
	b.rebuild(r)
	return true
}

// crowded reports whether p, the best placement of a working set, is at an endpoint with too
// little room.
func (p *Placement) crowded(d *Demand) bool {
	if d.Service.Engine == nil {
		taken := float64(p.load.running + p.load.others.Requests + 1)
		return taken > growSlotUse*float64(max(1, p.Endpoint.Slots))
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

// WorkingSets returns the working sets of all services used by this instance, sorted by service
// name.
func (b *Balancer) WorkingSets() []WorkingSet {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	out := make([]WorkingSet, 0, len(b.listings))
	for service, r := range b.listings {
		w := WorkingSet{Service: service, Listed: len(r.all), Open: r.open, Used: len(r.endpoints), Needed: r.required, Grown: -1}
		if !r.grownAt.IsZero() {
			w.Grown = now.Sub(r.grownAt)
		}
		out = append(out, w)
	}
	slices.SortFunc(out, func(x, y WorkingSet) int { return cmp.Compare(x.Service, y.Service) })
	return out
}
