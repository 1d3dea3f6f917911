// Package balance chooses the endpoint of each request.
//
// Every instance decides alone, from what it sent itself, what other instances
// say they sent, and how endpoints answered. The cost of an endpoint is the
// credit that the choice is expected to lose: that the request is late
// because prompts wait to be read there, that streams which run there pause
// too long while this prompt is read, that the endpoint fails. Prompt parts
// that an endpoint still holds cost nothing to read, so that requests stay
// near their parts without being bound to them; and long prompts keep away
// from streams that must not pause, as far as the traffic allows, without a
// fixed border between them.
//
// A Balancer is safe for concurrent use. It does no I/O.
package balance

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ivyridge/belief"
	"ivyridge/catalog"
	"ivyridge/fair"
	"ivyridge/quota"
)

// A Part is a piece of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// A Demand is what a request asks of an endpoint.
type Demand struct {
	Service   *catalog.Service
	Team      uint32        // TeamHash of its name; zero: none
	Homes     catalog.Homes // where it may be served
	Priority  int           // 0 is the most urgent
	Objective time.Duration
	Pause     time.Duration // the longest pause of its stream; zero: it is none
	Deadline  time.Duration // until the caller leaves; zero: unknown
	Prompt    int           // tokens
	Output    int           // tokens expected
	Parts     []Part
	Avoid     []uint32      // hashes of endpoints that have had the request, or that its instance can't reach
	Sent      bool          // an endpoint may have had the request, or its answer has begun: it is not refused any more
	Bytes     int           // of the body
	Earns     quota.Earning // of its service's retries for those who choose endpoints, by being placed
	Retry     Retry         // it is sent again, and its instance has no retry of its own left: one of the fleet's is asked for
	Suspect   bool          // an endpoint ended that had the same request in hand
	Offered   bool          // it has been counted among what its team asks for
	Permit    uint32        // hash of the endpoint that a permit was given for, which is chosen if it may be; zero: none
	Permitted bool          // only endpoints that need no permit, or for which one is in hand, are looked at
	inTime    bool          // only endpoints that would begin it in time are looked at
}

// TeamHash names a team in demands and between instances; that of no team is zero.
func TeamHash(name string) uint32 {
	if name == "" {
		return 0
	}
	return uint32(xxhash.Sum64String(name)) | 1 // never zero
}

// weight is what a request counts beside others: each step of priority
// halves it.
func (d *Demand) weight() float64 { return math.Exp2(float64(2 - min(max(d.Priority, 0), 9))) }

// A Balancer holds what one instance knows of the load of endpoints.
type Balancer struct {
	dataCentre string
	now        func() time.Time

	mu          sync.Mutex
	endpoints   map[string]*load // by incarnation
	byHash      map[uint32]*load
	services    map[string]*figures // of engines, by the name of the service
	instances   int                 // that share the endpoints, this one among them
	told        time.Duration       // within which others tell what they run
	placed      []Notice
	downUntil   time.Time           // the last of the endpoints that are thought to be down
	said        map[string]*said    // what endpoints said of themselves, by their ID
	byID        map[string]*load    // of the processes listed last
	restsUntil  time.Time           // the last end of a rest
	limits      map[uint32]*load    // whose endpoints named a limit, by hash
	closedUntil time.Time           // the last instant before which no permit is asked for
	changes     uint64              // of what this instance runs, counted up
	listings    map[string]*listing // by the name of the service

	cold          coldPart
	retries       retries
	regions       Regions
	several       bool // regions are named: leaving one costs
	link          link
	held          []int   // tokens of the prompt in hand, by the endpoints of its service
	donated       []donor // reused by donors
	uses          uses
	remoteChanges uint64 // of what other instances run, counted up

	shares       map[string]*fair.Shares // of teams, by the name of the service
	sharesByHash map[uint32]string       // names of services
	sharesAt     time.Time               // of the last TeamChanges
}

// New returns a Balancer of an instance in a data centre.
func New(dataCentre string, now func() time.Time) *Balancer {
	return &Balancer{
		dataCentre: dataCentre, now: now, instances: 1, told: ReportEvery(1),
		endpoints: make(map[string]*load), byHash: make(map[uint32]*load), said: make(map[string]*said), byID: make(map[string]*load), limits: make(map[uint32]*load), services: make(map[string]*figures), listings: make(map[string]*listing), uses: make(uses),
		shares: make(map[string]*fair.Shares), sharesByHash: make(map[uint32]string),
		retries: retries{buckets: make(map[string]*pool)},
	}
}

// SetInstances tells how many instances share the endpoints' connections, and within
// which time what others run is told at the latest.
func (b *Balancer) SetInstances(n int, told time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(1, n)
	b.retries.instances = n
	b.told = told
}

// EndpointHash names an endpoint, or an incarnation of one, between instances.
func EndpointHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// load returns the state of an endpoint. The caller holds b.mu.
func (b *Balancer) load(id string) *load {
	l := b.endpoints[id]
	if l == nil {
		l = newLoad(id)
		l.known = b.now()
		b.endpoints[id] = l
		b.byHash[l.hash] = l
	}
	return l
}

// Forget drops the state of endpoints that are not there any more.
func (b *Balancer) Forget(known func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.forgetSaid(known, now)
	used := b.inSets()
	for id, l := range b.endpoints {
		if l.running == 0 && !l.keeps(now) && (!known(id) || !used[l] && l.unused(now)) {
			if b.byID[l.endpoint] == l {
				delete(b.byID, l.endpoint)
			}
			delete(b.endpoints, id)
			delete(b.byHash, l.hash)
			b.refill()
			continue
		}
		l.prune(now)
	}
	b.forgetLimits()
	b.uses.forget(now)
	b.forgetShares(now)
}

// refill has all working sets made anew. The caller holds b.mu.
func (b *Balancer) refill() {
	for _, r := range b.listings {
		r.stale = true
	}
}

// Place chooses among the endpoints of a service, and counts the request as
// running there. It returns nil if there is none that may take it.
func (b *Balancer) Place(endpoints []*belief.Endpoint, d *Demand) *Placement {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	best := b.cheapest(endpoints, d, now, itself)
	if best == nil {
		return nil
	}
	b.spend(best.Endpoint, best.load, d.Service, now)
	b.begin(best, d, now)
	if d.announced() {
		b.announce(best, d)
	}
	return best
}

// announced reports whether other instances are told where the request is placed.
func (d *Demand) announced() bool { return d.Service.Engine != nil || d.Suspect }

// announce notes a placement for the other instances.
func (b *Balancer) announce(p *Placement, d *Demand) {
	b.placed = append(b.placed, Notice{Endpoint: p.load.hash, Uncached: p.charge.uncached, Priority: d.Priority, Fetched: p.Fetched, Parts: d.Parts, Homes: d.Homes, Suspect: d.Suspect})
}

// cheapest returns the best endpoint for an instance that asks, or nil if there is none that
// may take the request.
func (b *Balancer) cheapest(endpoints []*belief.Endpoint, d *Demand, now time.Time, by asker) *Placement {
	r := b.workingSet(d.Service.Name, endpoints)
	b.fit(r, d.Service, now)
	best := b.choose(r, d, now, by, false)
	for b.grow(r, best, d, now) {
		best = b.choose(r, d, now, by, false)
	}
	if best == nil {
		best = b.choose(r, d, now, by, true)
	}
	return best
}

// An asker is the instance that an endpoint is chosen for.
type asker uint64

// itself is the instance that chooses.
const itself asker = 0

// at returns how many requests the instance runs at an endpoint, and whether that wants no
// request of an urgency from it now, as far as this one knows: who asks names the endpoints that are closed to it.
func (a asker) at(l *load, urgency int, now time.Time) (running int, rests bool) {
	if a == itself {
		return l.running, l.said != nil && l.said.rests(now) || l.limited.closed(urgency, now)
	}
	r := l.remotes[uint64(a)]
	return r.Requests, now.Before(r.restUntil)
}

// choose returns the cheapest endpoint of a working set. The last resort includes those that
// lapsed and those that are thought to be down.
func (b *Balancer) choose(r *listing, d *Demand, now time.Time, by asker, lastResort bool) *Placement {
	best := Placement{Cost: math.Inf(1)}
	endpoints, loads := r.endpoints, r.loads
	view := outlook{failing: b.survey(loads, d.Service, now), firstShare: b.uses.shared(now, d.Parts, len(loads))}
	if b.several {
		view.crossing, view.calm = b.crossing(d, now)
		view.paid = b.uses.paid(now, d.Parts)
	}
	if d.Service.Engine != nil && !r.whole() {
		view.spare = b.figures(d.Service.Name).read.Value()
	}
	urgency := b.urgency(d, now)
	var from donors
	if d.Service.Engine != nil {
		from = b.donors(endpoints, loads, d, now)
	}
	for i, e := range endpoints {
		l := loads[i]
		if b.excluded(e, l, d, now) || l.avoided(e, now, lastResort) {
			continue
		}
		running, rests := by.at(l, urgency, now)
		if d.Permitted && l.limited.short(now) {
			continue
		}
		if rests || !b.hasConn(running, d.Service) || !b.bears(e, l, d.Service, now) {
			continue
		}
		if d.Service.Engine != nil {
			view.held = b.held[i]
		}
		if l.hash == d.Permit {
			best = b.estimate(e, l, d, &view, math.Inf(1), now)
			break
		}
		p := b.estimate(e, l, d, &view, best.Cost, now)
		if d.Suspect {
			p.Cost += l.suspectCost(now)
		}
		if p.Cost < best.Cost {
			best = p
		}
	}
	if best.load == nil {
		return nil
	}
	if best.Distance == Beyond {
		best.Crossing = view.crossing
	}
	if d.Service.Engine != nil {
		best.fetch(&from, d, b.regions)
	}
	return &best
}

// survey brings what is known of a service's endpoints up to now, and returns
// the share of recent requests that failed there.
func (b *Balancer) survey(loads []*load, service *catalog.Service, now time.Time) (failing float64) {
	var sum Seen
	for _, l := range loads {
		l.refresh(now)
		sum.Ended += l.lately.Ended
		sum.Failed += l.lately.Failed
	}
	if service.Engine != nil {
		f := b.figures(service.Name)
		f.refresh(loads, now)
		for _, l := range loads {
			if l.figures != f || l.refreshed.Equal(now) || f.at.Equal(now) {
				l.measure(f)
			}
		}
	}
	return sum.failing()
}

// connMargin is the part of an endpoint's connections that is used at most,
// since instances are counted late.
const connMargin = 0.8

// leastConns is what each instance may use of an endpoint's connections however many
// instances there are: with one, a stream would hold all of its instance's.
const leastConns = 2

// hasConn reports whether an instance that runs so many requests at an
// endpoint has room in its share of the endpoint's connections.
func (b *Balancer) hasConn(running int, s *catalog.Service) bool {
	if s.MaxConns <= 0 {
		return true
	}
	return running < quota.Each(s.MaxConns, connMargin, b.instances, leastConns)
}

func (b *Balancer) begin(p *Placement, d *Demand, now time.Time) {
	p.balancer = b
	p.Cold = p.Endpoint.Cold(now)
	l := p.load
	l.used = now
	l.running++
	b.change(l)
	p.began = now
	p.permit = l.limited.take(now)
	if d.Suspect {
		p.suspect = true
		l.suspects++
	}
	if d.Service.Engine == nil {
		p.plain = b.figures(d.Service.Name)
		return
	}
	p.output = d.Output
	p.charge = newCharge(d, p.Cached)
	l.own.add(p.charge)
	b.read(l, now, b.parts(d), p.charge.uncached, p.Fetched)
	b.crossed(p, d, now)
	p.donates(now)
}

// read notes that an endpoint reads so many tokens of a prompt, and fetches others.
func (b *Balancer) read(l *load, now time.Time, parts []Part, uncached, fetched int) {
	l.volume += fetched
	l.read(now, parts, uncached)
	b.uses.add(now, parts)
}

// change notes that what this instance runs at an endpoint has changed.
func (b *Balancer) change(l *load) {
	b.changes++
	l.changed = b.changes
}

// mostUnreachable bounds the endpoints that are named as unreachable, so that they fit
// a datagram beside a request.
const mostUnreachable = 32

// Unreachable returns the hashes of endpoints to which this instance could not connect
// of late.
func (b *Balancer) Unreachable() []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if !b.downUntil.After(now) {
		return nil
	}
	var out []uint32
	for _, l := range b.endpoints {
		if l.downUntil.After(now) && len(out) < mostUnreachable {
			out = append(out, l.hash)
		}
	}
	return out
}
