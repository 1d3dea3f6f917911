package balance

// This file keeps which endpoints of a service a choice looks at: its working set.
//
// A fleet may list thousands of endpoints for a demand that some hundred serve with room to spare.
// A choice among all would look at each of them, and spread the parts of prompts, the connections
// and what instances tell each other over all of them, so that a part or a connection is seldom met
// again. So a choice looks at a part of them, which all instances agree on without a message: the
// endpoints whose rank, a hash of the ID, is below a bound. Sets of several sizes are nested, so that
// instances that see the demand a little differently choose among nearly the same.
//
// The set holds what is in use many times over. It is made larger at once where demand needs it,
// and doubled where the best of its endpoints has too little room, until all are in it;
// it is made smaller step by step. Endpoints that leave the list make room for others, since the
// bound follows the number of those that are left.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ivyridge/belief"
	"ivyridge/catalog"
)

const (
	// leastSet is the size up to which a service is always used whole: a choice among so many takes a
	// tenth of a millisecond, and the loss of any data centre leaves four fifths of them.
	leastSet = 256
	// setSlots and setReading are the parts of the slots, and of the time that engines have for
	// reading, that are in use in a set as large as demand needs it; setBusy is the part of engines
	// that read at one moment.
	setSlots   = 0.1
	setReading = 0.1
	setBusy    = 0.25
	// growWait is the part of the objective that a request may wait at the best endpoint of a set,
	// if that holds nothing of it, before the set is doubled, and growTaken the part of a plain
	// endpoint's slots.
	growWait  = 0.25
	growTaken = 0.75
	// A set is compared with demand each setEvery. It is made smaller by setStep then, from setKept
	// after it was made larger on.
	setStep  = 0.01
	setEvery = 100 * time.Millisecond
	setKept  = 5 * time.Second
)

// A listing holds the endpoints of a service, as they were listed last.
type listing struct {
	all    []*belief.Endpoint
	byHash map[uint32]*belief.Endpoint // of their incarnations
	open   int                         // those of all that take something new

	endpoints []*belief.Endpoint // the working set, in the order of all
	loads     []*load            // of endpoints
	stale     bool               // endpoints and loads are to be made anew

	size    int       // endpoints that the set is to have, about
	grown   time.Time // it was last made larger
	checked time.Time // demand was last looked at
	demand  int       // how many endpoints that needs
}

func newListing() *listing {
	return &listing{byHash: make(map[uint32]*belief.Endpoint), size: leastSet}
}

// whole reports whether all endpoints are in the set.
func (r *listing) whole() bool { return r.size >= r.open }

// list takes up which endpoints are listed now. Those that stay are the same pointers, mostly in
// the same order, so that the cost beside a look at each pointer is that of what changed.
func (r *listing) list(endpoints []*belief.Endpoint) {
	var gone, come []*belief.Endpoint
	i, j := 0, 0
	for i < len(r.all) && j < len(endpoints) {
		switch before, now := r.all[i], endpoints[j]; {
		case before == now:
			i++
			j++
		case before.ID < now.ID:
			gone = append(gone, before)
			i++
		case before.ID > now.ID:
			come = append(come, now)
			j++
		default:
			gone, come = append(gone, before), append(come, now)
			i++
			j++
		}
	}
	gone, come = append(gone, r.all[i:]...), append(come, endpoints[j:]...)
	for _, e := range gone {
		if hash := EndpointHash(e.Incarnation()); r.byHash[hash] == e {
			delete(r.byHash, hash)
		}
		if !e.Closed() {
			r.open--
		}
	}
	for _, e := range come {
		r.byHash[EndpointHash(e.Incarnation())] = e
		if !e.Closed() {
			r.open++
		}
	}
	r.all = endpoints
	r.stale = true
}

// lists reports whether these are the endpoints that were listed last.
func (r *listing) lists(endpoints []*belief.Endpoint) bool {
	if len(endpoints) != len(r.all) {
		return false
	}
	return len(endpoints) == 0 || &endpoints[0] == &r.all[0]
}

// bound returns the rank below which endpoints are in the set.
func (r *listing) bound() uint64 {
	if r.whole() {
		return math.MaxUint32 + 1
	}
	return uint64(float64(r.size) / float64(r.open) * (math.MaxUint32 + 1))
}

// resize gives the set another size.
func (r *listing) resize(size int, now time.Time) {
	if size > r.size {
		r.grown = now
	}
	r.size = size
	r.stale = true
}

// listing returns that of a service. Its working set may be stale. The caller holds b.mu.
func (b *Balancer) listing(service string, endpoints []*belief.Endpoint) *listing {
	r := b.listings[service]
	if r == nil {
		r = newListing()
		b.listings[service] = r
	}
	if !r.lists(endpoints) {
		r.list(endpoints)
	}
	return r
}

// workingSet returns the listing of a service with its set made. It is kept while the view's slice is
// the same. The caller holds b.mu.
func (b *Balancer) workingSet(service string, endpoints []*belief.Endpoint) *listing {
	r := b.listing(service, endpoints)
	if r.stale {
		b.fill(r)
	}
	return r
}

// fill makes the working set of a listing. The caller holds b.mu.
func (b *Balancer) fill(r *listing) {
	r.stale = false
	r.endpoints, r.loads = r.all, r.loads[:0]
	bound := r.bound()
	if bound <= math.MaxUint32 {
		r.endpoints = make([]*belief.Endpoint, 0, r.size+r.size/4)
		for _, e := range r.all {
			if uint64(e.Rank()) < bound {
				r.endpoints = append(r.endpoints, e)
			}
		}
	}
	for _, e := range r.endpoints {
		r.loads = append(r.loads, b.listed(e))
	}
}

// listed returns the state of an endpoint that is listed. The caller holds b.mu.
func (b *Balancer) listed(e *belief.Endpoint) *load {
	l := b.load(e.Incarnation())
	l.distance = b.regions.Between(b.dataCentre, e.DataCentre)
	b.hear(l, e)
	return l
}

// loadKept is for how long the state of an endpoint that is in no working set is kept after its
// last request.
const loadKept = time.Minute

// unused reports whether no instance has used the endpoint for a while, as far as this one knows.
func (l *load) unused(now time.Time) bool {
	return len(l.remotes) == 0 && l.limited == nil && now.Sub(l.used) > loadKept
}

// inSets returns the states of the endpoints in working sets. The caller holds b.mu.
func (b *Balancer) inSets() map[*load]bool {
	out := make(map[*load]bool)
	for _, r := range b.listings {
		for _, l := range r.loads {
			out[l] = true
		}
	}
	return out
}

// known returns the state of the endpoint with a hash that is listed, or was of late; nil if there
// is none. The caller holds b.mu.
func (b *Balancer) known(hash uint32) *load {
	if l := b.byHash[hash]; l != nil {
		return l
	}
	for _, r := range b.listings {
		if e := r.byHash[hash]; e != nil {
			return b.listed(e)
		}
	}
	return nil
}

// fit gives the set of a service the size that demand needs, from what runs at its endpoints. The
// caller holds b.mu.
func (b *Balancer) fit(r *listing, s *catalog.Service, now time.Time) {
	if len(r.all) <= leastSet || now.Sub(r.checked) < setEvery {
		return
	}
	r.checked = now
	needed := r.needed(s, now)
	r.demand = needed
	switch {
	case needed > r.size:
		r.resize(needed, now)
	case needed < r.size && now.Sub(r.grown) >= setKept:
		r.resize(max(needed, int(float64(min(r.size, r.open))*(1-setStep))), now)
	default:
		return
	}
	b.fill(r)
}

// needed returns how many endpoints demand needs.
func (r *listing) needed(s *catalog.Service, now time.Time) int {
	taken, reading, busy := 0.0, 0.0, 0.0
	for i, l := range r.loads {
		slots := r.endpoints[i].Slots
		if s.Engine != nil {
			slots = s.Engine.Slots
			l.observe(now)
			reading += l.reading
			if l.busyUntil.After(now) {
				busy++
			}
		}
		taken += float64(l.running+l.others.Requests) / float64(max(1, slots))
	}
	return max(leastSet, int(math.Ceil(max(taken/setSlots, reading/setReading, busy/setBusy))))
}

// grow doubles a set whose best endpoint for a request has too little room, or that has none, and
// reports whether there is more to look at. The caller holds b.mu.
func (b *Balancer) grow(r *listing, best *Placement, d *Demand, now time.Time) bool {
	if r.whole() || best != nil && !best.crowded(d) {
		return false
	}
	r.resize(2*r.size, now)
	b.fill(r)
	return true
}

// crowded reports whether an endpoint that is the best of a set has too little room for a request.
func (p *Placement) crowded(d *Demand) bool {
	if d.Service.Engine == nil {
		taken := float64(p.load.running + p.load.others.Requests + 1)
		return taken > growTaken*float64(max(1, p.Endpoint.Slots))
	}
	return d.Objective > 0 && p.Cached == 0 && p.Wait > growWait*milliseconds(d.Objective)
}

// A WorkingSet is which part of a service's endpoints choices look at, as operators see it.
type WorkingSet struct {
	Service string
	Listed  int
	Open    int           // those of them that take something new
	Used    int           // those of them that choices look at
	Needed  int           // how many demand needs, as far as this instance knows
	Grown   time.Duration // since it was last made larger; negative: it never was
}

// WorkingSets returns those of all services for which this instance has chosen endpoints, by name.
func (b *Balancer) WorkingSets() []WorkingSet {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	out := make([]WorkingSet, 0, len(b.listings))
	for service, r := range b.listings {
		w := WorkingSet{Service: service, Listed: len(r.all), Open: r.open, Used: len(r.endpoints), Needed: r.demand, Grown: -1}
		if !r.grown.IsZero() {
			w.Grown = now.Sub(r.grown)
		}
		out = append(out, w)
	}
	slices.SortFunc(out, func(x, y WorkingSet) int { return cmp.Compare(x.Service, y.Service) })
	return out
}
