// Package balance decides which endpoint runs a request, when, or whether to refuse it.
//
// Every instance decides locally, from the requests it sent, the load that other instances report,
// and the outcomes of requests. A scheduler is an instance that chooses for others. An engine is an
// endpoint that prefills prompts and generates tokens; other endpoints are called plain.
//
// The cost of an endpoint is the expected loss from choosing it: the request may miss its objective
// behind queued prompts, streams running there may stall during its prefill, or the endpoint may
// fail. Cached prompt parts need no prefill, so requests prefer endpoints that cache their prefix
// without being pinned to them.
//
// A Balancer is safe for concurrent use. It does no I/O.
package balance

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ivyridge/catalog"
	"ivyridge/discovery"
	"ivyridge/fair"
	"ivyridge/quota"
)

// A PromptPart is a segment of a prompt that engines can cache.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// A Demand describes a request to be placed.
type Demand struct {
	Service       *catalog.Service
	Team          uint32            // TeamHash of the team's name; zero: none
	Residency     catalog.Residency // regions where it may be served
	Priority      int               // 0 is the most urgent
	Objective     time.Duration
	MaxGap        time.Duration // longest acceptable gap in its stream; zero: not a stream
	Deadline      time.Duration // time until the caller gives up; zero: unknown
	Prompt        int           // tokens
	Output        int           // expected tokens
	Parts         []PromptPart
	Avoid         []uint32           // hashes of endpoints that already received the request, or that its instance can't use
	Sent          bool               // an endpoint may have received the request, or its response has begun: it can't be refused any more
	Bytes         int                // size of the body
	Deposit       quota.DepositKind  // deposit of the placement into the service's shared retry budget
	Retry         Retry              // kind of retry to charge to the shared retry budget, once the instance's own is spent
	Suspect       bool               // an endpoint crashed while it was running the same request
	Software      catalog.SoftwareID // version that the endpoint must run; zero: any
	Counted       bool               // already counted in its team's demand
	Permit        uint32             // hash of the endpoint that a permit was granted for, which is preferred if eligible; zero: none
	LastResort    bool               // endpoints out of reach may be tried
	Permitted     bool               // only consider endpoints that need no permit, or for which one is held
	requireInTime bool               // only consider endpoints that would start it in time
}

// TeamHash identifies a team in demands and in messages between instances. It is zero for no team.
func TeamHash(name string) uint32 {
	if name == "" {
		return 0
	}
	return uint32(xxhash.Sum64String(name)) | 1 // never zero
}

// weight is the request's weight in costs; each priority step halves it.
func (d *Demand) weight() float64 { return math.Exp2(float64(2 - min(max(d.Priority, 0), 9))) }

// A Balancer tracks the load of endpoints as seen by one instance, and places requests.
type Balancer struct {
	dataCentre string
	now        func() time.Time

	mu                sync.Mutex
	loads             map[string]*load // by incarnation
	loadsByHash       map[uint32]*load
	stats             map[string]*serviceStats // by service name
	instances         int                      // number of instances that share the endpoints, this one included
	reportInterval    time.Duration            // maximum interval between load reports of other instances
	pendingNotices    []Notice
	downUntil         time.Time             // latest downUntil of any endpoint
	directives        map[string]*directive // back-off and drain requests of endpoints, by endpoint ID
	loadsByID         map[string]*load      // state of the process listed last under each ID
	lastBackoffEnd    time.Time             // latest backoffUntil of any endpoint
	limited           map[uint32]*load      // endpoints that announced a rate limit, by hash
	limitsClosedUntil time.Time             // no limit is closed to permit requests after this time
	changes           uint64                // counts changes to what this instance runs
	listings          map[string]*listing   // by service name

	reach         reach
	coldShare     coldShare
	retries       retries
	regions       Regions
	multiRegion   bool // some data centre is in another region
	link          link
	cachedTokens  []int   // per endpoint of the service, tokens cached of the prompt being placed
	donorBuf      []donor // reused by donors
	uses          uses
	remoteChanges uint64 // counts changes to what other instances run

	shares        map[string]*fair.Shares // fair shares of teams, by service name
	sharesByHash  map[uint32]string       // service names by hash
	teamChangesAt time.Time               // last call of TeamChanges
}

// New returns a Balancer for an instance in dataCentre.
func New(dataCentre string, now func() time.Time) *Balancer {
	return &Balancer{
		dataCentre: dataCentre, now: now, instances: 1, reportInterval: ReportInterval(1),
		loads: make(map[string]*load), loadsByHash: make(map[uint32]*load), directives: make(map[string]*directive), loadsByID: make(map[string]*load), limited: make(map[uint32]*load), stats: make(map[string]*serviceStats), listings: make(map[string]*listing), uses: make(uses),
		shares: make(map[string]*fair.Shares), sharesByHash: make(map[uint32]string),
		retries: retries{buckets: make(map[string]*retryBucket)},
		reach:   newReach(),
	}
}

// SetInstances sets the number of instances that share the endpoints' connections, and the maximum
// interval between load reports of other instances.
func (b *Balancer) SetInstances(n int, reportInterval time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(1, n)
	b.retries.instances = n
	b.reportInterval = reportInterval
}

// EndpointHash identifies an endpoint, or an incarnation of one, in messages between instances.
func EndpointHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// load returns the state of an incarnation, creating it if needed. The caller holds b.mu.
func (b *Balancer) load(id string) *load {
	l := b.loads[id]
	if l == nil {
		l = newLoad(id)
		l.firstSeen = b.now()
		b.loads[id] = l
		b.loadsByHash[l.hash] = l
	}
	return l
}

// Prune drops the state of endpoints for which known is false, and of unused endpoints outside
// all working sets. It keeps endpoints with running requests or an unexpired back-off or drain.
func (b *Balancer) Prune(known func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.pruneDirectives(known, now)
	used := b.workingSetLoads()
	for id, l := range b.loads {
		if l.running == 0 && !l.retained(now) && (!known(id) || !used[l] && l.unused(now)) {
			if b.loadsByID[l.endpointID] == l {
				delete(b.loadsByID, l.endpointID)
			}
			delete(b.loads, id)
			delete(b.loadsByHash, l.hash)
			b.forgetReach(l)
			b.invalidateWorkingSets()
			continue
		}
		l.prune(now)
	}
	b.pruneLimits()
	b.uses.prune(now)
	b.pruneShares(now)
}

// invalidateWorkingSets causes all working sets to be rebuilt on next use. The caller holds b.mu.
func (b *Balancer) invalidateWorkingSets() {
	for _, ls := range b.listings {
		ls.stale = true
	}
}

// Place chooses the cheapest of a service's endpoints and counts the request as running there. It
// returns nil if no endpoint is eligible.
func (b *Balancer) Place(endpoints []*discovery.Endpoint, d *Demand) *Placement {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	best := b.cheapest(endpoints, d, now, self)
	if best == nil {
		return nil
	}
	b.spendCold(best.Endpoint, best.load, d.Service, now)
	b.begin(best, d, now)
	if d.needsNotice() {
		b.queueNotice(best, d)
	}
	return best
}

func (d *Demand) needsNotice() bool { return d.Service.Engine != nil || d.Suspect }

func (b *Balancer) queueNotice(p *Placement, d *Demand) {
	b.pendingNotices = append(b.pendingNotices, Notice{Endpoint: p.load.hash, Uncached: p.charge.uncached, Priority: d.Priority, Fetched: p.Fetched, Parts: d.Parts, Residency: d.Residency, Suspect: d.Suspect})
}

// cheapest returns the cheapest eligible endpoint for the requester, or nil. It enlarges the
// working set while its best endpoint is crowded. The caller holds b.mu.
func (b *Balancer) cheapest(endpoints []*discovery.Endpoint, d *Demand, now time.Time, by requester) *Placement {
	ls := b.workingSet(d.Service.Name, endpoints)
	b.resizeForDemand(ls, d.Service, now)
	if d.Software != 0 {
		return b.cheapestOfSoftware(ls, d, now, by)
	}
	best := b.choose(ls, d, now, by, false)
	for b.grow(ls, best, d, now) {
		best = b.choose(ls, d, now, by, false)
	}
	if best == nil {
		best = b.choose(ls, d, now, by, true)
	}
	return best
}

// A requester identifies the instance that an endpoint is chosen for.
type requester uint64

// self is the instance that owns the Balancer.
const self requester = 0

// loadState returns how many requests a runs at l, and whether l is known to be closed to a, by a
// back-off or, for self only, by its rate limit. Other instances list the latter kind in Avoid.
func (a requester) loadState(l *load, urgency int, now time.Time) (running int, closed bool) {
	if a == self {
		return l.running, l.directive != nil && l.directive.backingOff(now) || l.limitState.closed(urgency, now)
	}
	r := l.remotes[uint64(a)]
	return r.Requests, now.Before(r.backoffUntil)
}

// choose returns the cheapest eligible endpoint of a working set, or nil. With lastResort,
// endpoints whose listing has just expired or that are presumed down are eligible too.
func (b *Balancer) choose(ls *listing, d *Demand, now time.Time, by requester, lastResort bool) *Placement {
	best := Placement{Cost: math.Inf(1)}
	endpoints, loads := ls.endpoints, ls.loads
	params := choiceParams{failureRate: b.refreshLoads(loads, d.Service, now), firstPartShare: b.uses.costShare(now, d.Parts, len(loads))}
	if b.multiRegion {
		params.crossRegionCost, params.uncongestedCrossCost = b.crossRegionCosts(d, now)
		params.priorCrossCost = b.uses.accruedCrossCost(now, d.Parts)
	}
	if d.Service.Engine != nil && !ls.complete() {
		params.typicalPrefillPerToken = b.statsFor(d.Service.Name).prefillPerToken.Value()
	}
	urgency := b.urgency(d, now)
	var from donors
	if d.Service.Engine != nil {
		from = b.donors(endpoints, loads, d, now)
	}
	for i, e := range endpoints {
		l := loads[i]
		if b.excluded(e, l, d, now) || l.avoided(e, now, lastResort, by) {
			continue
		}
		running, closed := by.loadState(l, urgency, now)
		if d.Permitted && l.limitState.needsPermit(now) {
			continue
		}
		if closed || !b.hasRoom(e, l, d.Service, now) || !b.hasConn(running, d.Service) || !b.coldAllows(e, l, d.Service, now) {
			continue
		}
		if d.Service.Engine != nil {
			params.cachedTokens = b.cachedTokens[i]
		}
		if l.hash == d.Permit {
			best = b.estimate(e, l, d, &params, math.Inf(1), now)
			break
		}
		p := b.estimate(e, l, d, &params, best.Cost, now)
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
	if best.Distance == OtherRegion {
		best.CrossRegionCost = params.crossRegionCost
	}
	if d.Service.Engine != nil {
		best.planFetch(&from, d, b.regions)
	}
	return &best
}

// refreshLoads updates the load and speed estimates of a service's endpoints, and returns the
// share of its recent requests that failed.
func (b *Balancer) refreshLoads(loads []*load, service *catalog.Service, now time.Time) (failureRate float64) {
	var sum Observations
	for _, l := range loads {
		l.refresh(now)
		sum.Completed += l.observed.Completed
		sum.Failed += l.observed.Failed
	}
	if service.Engine != nil {
		stats := b.statsFor(service.Name)
		stats.refresh(loads, now)
		for _, l := range loads {
			if l.stats != stats || l.refreshedAt.Equal(now) || stats.updatedAt.Equal(now) {
				l.updateSpeed(stats)
			}
		}
	}
	return sum.failureRate()
}

// maxConnShare is the maximum share of an endpoint's connections in use. The margin covers
// instances that are not counted yet.
const maxConnShare = 0.8

// minConns is the minimum number of connections to an endpoint per instance. With one, a single
// stream would block the endpoint for its instance.
const minConns = 2

// hasConn reports whether an instance that runs n requests at an endpoint may send it another one.
func (b *Balancer) hasConn(n int, s *catalog.Service) bool {
	if s.MaxConns <= 0 {
		return true
	}
	return n < quota.PerHolder(s.MaxConns, maxConnShare, b.instances, minConns)
}

func (b *Balancer) begin(p *Placement, d *Demand, now time.Time) {
	p.balancer = b
	p.Cold = p.Endpoint.Cold(now)
	l := p.load
	l.lastUsed = now
	l.running++
	b.markChanged(l)
	p.startedAt = now
	p.permit = l.limitState.takePermit(now)
	if d.Suspect {
		p.suspect = true
		l.suspects++
	}
	if d.Service.Engine == nil {
		p.plainStats = b.statsFor(d.Service.Name)
		return
	}
	p.outputTokens = d.Output
	p.charge = newCharge(d, p.Cached)
	l.own.add(p.charge)
	b.recordPrefill(l, now, b.storableParts(d), p.charge.uncached, p.Fetched)
	b.accrueCrossCost(p, d, now)
	p.markDonor(now)
}

// recordPrefill accounts for a prompt placed at l, with uncached tokens to prefill and fetched
// tokens to copy from another endpoint.
func (b *Balancer) recordPrefill(l *load, now time.Time, parts []PromptPart, uncached, fetched int) {
	l.insertedTokens += fetched
	l.addPrompt(now, parts, uncached)
	b.uses.add(now, parts)
}

// markChanged records a change to what this instance runs at l, for incremental reports.
func (b *Balancer) markChanged(l *load) {
	b.changes++
	l.changed = b.changes
}

// maxUnreachable limits the endpoints listed as unreachable, to fit one datagram with a request.
const maxUnreachable = 32

// Unreachable returns the hashes of endpoints to which this instance recently failed to connect,
// at most maxUnreachable.
func (b *Balancer) Unreachable() []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if !b.downUntil.After(now) {
		return nil
	}
	var out []uint32
	for _, l := range b.loads {
		if l.downUntil.After(now) && len(out) < maxUnreachable {
			out = append(out, l.hash)
		}
	}
	return out
}
