// Package home implements admission control, ordering and placement of the
// requests of one cell of endpoints.
//
// A cell is a bounded group of identical endpoints. Its home instance holds the cell's only queue
// and grants a request only when an endpoint has a free slot for it. The state of a Home is rebuilt
// within seconds from the entry instances, at which requests arrive: they hold the requests, ask
// another instance when a home is lost, and report their runs to each home.
//
// A Home does no I/O and reads no clock: its methods take the current time and an event, and
// TakeDecisions returns the resulting decisions. It is not safe for concurrent use.
package home

import (
	"time"

	"ivyridge/chart"
	"ivyridge/decl"
	"ivyridge/length"
	"ivyridge/queue"
	"ivyridge/verdict"
)

const (
	// RunLease is how long a run is counted after its entry last reported it.
	RunLease      = 3 * time.Second
	maxReportAge  = time.Second            // older load reports are stale when a Home resumes deciding
	reportTimeout = 400 * time.Millisecond // wait for a report, after which the endpoint is used without
	syncGrace     = time.Second            // how long a new grant may be missing from its entry's Sync
)

// A Key identifies one attempt by entry instance and sequence number.
type Key struct {
	Entry string
	Seq   uint64
}

// A Request asks for a slot on an endpoint.
type Request struct {
	Key
	Class      string
	Team       string
	DataCentre string
	Prompt     int           // tokens, estimated by the entry
	MaxTokens  int           // the caller's limit, zero if none
	Age        time.Duration // since arrival at its entry
	Prefix     uint64        // hash of team and start of prompt, zero if none
	Avoid      string        // endpoint on which the previous attempt failed
}

// A Decision answers a Request with a granted endpoint or a refusal.
type Decision struct {
	Key
	Endpoint string // empty if refused
	Addr     string
	Refusal  *verdict.Error
}

// A Release reports the end of a run.
type Release struct {
	Key
	Team       string
	Failed     bool          // the endpoint was unreachable or failed
	Overloaded bool          // the endpoint rejected the request as overload
	Tokens     int           // generated, zero if unknown
	FirstToken time.Duration // since sending, zero if unknown
	Duration   time.Duration // from grant to end of run
	Late       bool          // the answer missed its target
	Complete   bool          // the answer completed normally
}

// An ActiveRun is one run that an entry reports in a Sync.
type ActiveRun struct {
	Seq      uint64
	Endpoint string
	Class    string
}

// An Endpoint is a published endpoint of the cell.
type Endpoint struct {
	Name       string
	Addr       string
	DataCentre string
	Leaving    bool
	Stopped    bool // by an operator command
}

// A run is a granted request that has not ended.
type run struct {
	key       Key
	endpoint  *endpoint
	class     int
	granted   time.Duration
	confirmed time.Duration // when its entry last reported it
}

// A Home is the state of one cell.
type Home struct {
	pool             decl.Pool
	policy           Policy
	classes          []*decl.Class
	classIndex       map[string]int
	set              *decl.Set
	q                *queue.Queue
	lengths          *length.Distributions
	stats            []classStats
	waiting          map[Key]*queue.Request
	running          map[Key]*run
	byName           map[string]*endpoint
	endpoints        []*endpoint
	nextIndex        int     // of the round robin in endpoints
	share            float64 // part of each concurrency limit that this instance may grant
	decisions        []Decision
	freeRequests     []*queue.Request
	freeRuns         []*run
	accept           func(*queue.Request) bool
	acceptBelowShare func(*queue.Request) bool
	runsByTier       [decl.MaxTier + 1]int
	now              time.Duration
	Counts           Counts
}

// Counts are totals since the Home was created.
type Counts struct {
	Asked, Granted, Refused, Released, Lapsed, Resynced, SlowSeen int64
}

// New returns the Home of a cell of pool under the declarations in set.
func New(set *decl.Set, pool *decl.Pool, policy Policy) *Home {
	h := &Home{
		policy:  policy,
		lengths: length.NewDistributions(),
		waiting: make(map[Key]*queue.Request),
		running: make(map[Key]*run),
		byName:  make(map[string]*endpoint),
		share:   1,
	}
	h.accept, h.acceptBelowShare = h.placeable, h.placeableBelowShare
	h.Configure(0, set, pool)
	return h
}

// Configure applies the declarations in set, with pool as the cell's pool. Waiting requests keep
// their order; those whose class no longer exists are refused.
func (h *Home) Configure(now time.Duration, set *decl.Set, pool *decl.Pool) {
	h.now = now
	oldClasses, oldStats, oldIndex := h.classes, h.stats, h.classIndex
	h.set, h.pool = set, *pool
	h.classes = make([]*decl.Class, len(set.Classes))
	h.stats = make([]classStats, len(set.Classes))
	h.classIndex = make(map[string]int, len(set.Classes))
	specs := make([]queue.Class, len(set.Classes))
	for i := range set.Classes {
		c := &set.Classes[i]
		h.classes[i], h.classIndex[c.Name] = c, i
		specs[i] = queue.Class{Tier: c.Tier, Share: shareOf(c), Target: c.Target(), FinishLate: c.FinishLate}
		if j, ok := oldIndex[c.Name]; ok {
			h.stats[i] = oldStats[j]
		}
	}
	h.q = queue.New(specs, h.policy.Order())
	h.reassignRuns(oldClasses)
	h.requeue(oldClasses)
	h.dispatch()
}

// reassignRuns recounts all runs by the new classes, those of a removed class under the first.
func (h *Home) reassignRuns(oldClasses []*decl.Class) {
	h.runsByTier = [decl.MaxTier + 1]int{}
	for _, e := range h.byName {
		e.running, e.runsByTier = 0, h.runsByTier
	}
	for _, r := range h.running {
		r.class = h.classIndex[oldClasses[r.class].Name]
		h.countRun(r, 1)
	}
}

func (h *Home) requeue(oldClasses []*decl.Class) {
	for key, r := range h.waiting {
		a := r.Payload.(*Request)
		i, ok := h.classIndex[oldClasses[r.Class].Name]
		if !ok {
			delete(h.waiting, key)
			h.decide(key, nil, verdict.Refuse(verdict.UnknownClass, "class %q is no longer declared", a.Class))
			continue
		}
		moved := &queue.Request{Class: i, Team: r.Team, Weight: r.Weight, Arrival: r.Arrival, Payload: a}
		h.estimate(moved, a)
		h.waiting[key] = moved
		h.q.Push(moved)
	}
}

// SetShare sets the part, 0 to 1, of every endpoint's limit that this Home may grant: 1 for the
// home of the cell, less for a fallback.
func (h *Home) SetShare(now time.Duration, share float64) {
	h.now = now
	h.share = share
	h.dispatch()
}

// SetEndpoints sets the endpoints of the cell to eps. An endpoint that is leaving,
// stopped or absent receives no more requests; its runs continue.
func (h *Home) SetEndpoints(now time.Duration, eps []Endpoint) {
	h.now = now
	listed := make(map[string]bool, len(eps))
	for _, e := range eps {
		listed[e.Name] = true
		x := h.byName[e.Name]
		if x == nil || x.spec.Addr != e.Addr {
			x = newEndpoint(e, &h.pool)
			x.awaitingReportSince = now
			h.byName[e.Name] = x
		}
		x.update(e)
	}
	for name, x := range h.byName {
		if !listed[name] {
			x.machine.Step(evLeave)
			if x.running == 0 {
				delete(h.byName, name)
			}
		}
	}
	h.endpoints = h.endpoints[:0]
	for _, e := range eps {
		h.endpoints = append(h.endpoints, h.byName[e.Name])
	}
	h.dispatch()
}

// RequireReports withholds requests from endpoints without a recent load report, which may be
// leaving, until they report or reportTimeout passes. Call it when this Home resumes deciding.
func (h *Home) RequireReports(now time.Duration) {
	h.now = now
	for _, e := range h.endpoints {
		if now-e.reported > maxReportAge {
			e.machine.Step(evRequireReports)
			e.awaitingReportSince = now
		}
	}
}

// Submit grants, refuses or queues a. It ignores a request that already waits or runs.
func (h *Home) Submit(now time.Duration, a Request) {
	h.now = now
	h.Counts.Asked++
	class, ok := h.classIndex[a.Class]
	if !ok {
		h.decide(a.Key, nil, verdict.Refuse(verdict.UnknownClass, "class %q is not declared", a.Class))
		return
	}
	if _, duplicate := h.waiting[a.Key]; duplicate {
		return // a retransmission
	}
	if _, duplicate := h.running[a.Key]; duplicate {
		return
	}
	r := h.newRequest()
	req := r.Payload.(*Request)
	*req = a
	*r = queue.Request{Class: class, Team: a.Team, Weight: h.weight(a.Team), Arrival: now - a.Age, Payload: req}
	h.estimate(r, req)
	if refusal := h.admit(r, req); refusal != nil {
		h.decide(a.Key, nil, refusal)
		h.freeRequests = append(h.freeRequests, r)
		return
	}
	r.Pushed, r.Predicted = now, h.predictWait(r)
	if h.q.ClassLen(class) == 0 {
		h.stats[class].queuedSince = now
	}
	h.stats[class].addAdmitted(now, r.Cost)
	h.waiting[a.Key] = r
	h.q.Push(r)
	h.dispatch()
}

func (h *Home) newRequest() *queue.Request {
	if n := len(h.freeRequests); n > 0 {
		r := h.freeRequests[n-1]
		h.freeRequests = h.freeRequests[:n-1]
		return r
	}
	return &queue.Request{Payload: new(Request)}
}

func (h *Home) weight(team string) float64 {
	if t := h.set.Team(team); t != nil {
		return float64(t.Weight)
	}
	return 1
}

// Cancel removes the request key if it waits. A granted one is not ended: its entry releases it.
func (h *Home) Cancel(now time.Duration, key Key) {
	h.now = now
	if r, ok := h.waiting[key]; ok {
		delete(h.waiting, key)
		h.q.Remove(r)
		h.freeRequests = append(h.freeRequests, r)
	}
}

// Done ends the run that rel reports and updates the estimates from it.
func (h *Home) Done(now time.Duration, rel Release) {
	h.now = now
	r := h.running[rel.Key]
	if r == nil {
		return
	}
	h.Counts.Released++
	h.observe(r, &rel)
	h.endRun(r)
	h.dispatch()
}

func (h *Home) endRun(r *run) {
	delete(h.running, r.key)
	h.countRun(r, -1)
	h.freeRuns = append(h.freeRuns, r)
}

func (h *Home) startRun(x run) {
	var r *run
	if n := len(h.freeRuns); n > 0 {
		r = h.freeRuns[n-1]
		h.freeRuns = h.freeRuns[:n-1]
	} else {
		r = new(run)
	}
	*r = x
	h.running[x.key] = r
	h.countRun(r, 1)
}

func (h *Home) countRun(r *run, delta int) {
	r.endpoint.running += delta
	r.endpoint.runsByTier[h.classes[r.class].Tier] += delta
	h.runsByTier[h.classes[r.class].Tier] += delta
}

// Sync applies runs, all that entry has in this cell. Its other runs older than syncGrace are
// ended, and unknown ones are added, from which a new home learns what runs in its cell.
func (h *Home) Sync(now time.Duration, entry string, runs []ActiveRun) {
	h.now = now
	for _, x := range runs {
		key := Key{entry, x.Seq}
		if r := h.running[key]; r != nil {
			r.confirmed = now
			continue
		}
		e := h.byName[x.Endpoint]
		if e == nil {
			continue
		}
		h.Counts.Resynced++
		h.startRun(run{key: key, endpoint: e, class: h.classIndex[x.Class], granted: now, confirmed: now})
		h.raiseLimit(e)
	}
	for key, r := range h.running {
		if key.Entry == entry && r.confirmed != now && now-r.granted > syncGrace {
			h.endRun(r)
		}
	}
	h.dispatch()
}

// Tick refuses requests that can no longer meet their deadline and drops runs
// whose entry stopped reporting. Call it about every 20 ms.
func (h *Home) Tick(now time.Duration) {
	h.now = now
	if h.policy.Admit {
		h.q.Expire(now, h.refuseExpired)
	}
	for _, e := range h.endpoints {
		if e.machine.State() == stAwaitingReport && now-e.awaitingReportSince > reportTimeout {
			e.machine.Step(evReportTimeout)
		}
	}
	for _, r := range h.running {
		if now-r.confirmed > RunLease {
			h.Counts.Lapsed++
			h.endRun(r)
		}
	}
	h.dispatch()
}

func (h *Home) refuseExpired(r *queue.Request) {
	a := r.Payload.(*Request)
	delete(h.waiting, a.Key)
	e := verdict.Refuse(verdict.DeadlineMissed, "class %q can no longer be answered in time", a.Class)
	h.decide(a.Key, nil, e.WithRetryAfter(h.retryAfter(r)))
	h.freeRequests = append(h.freeRequests, r)
}

// dispatch grants queued requests while endpoints have free slots.
func (h *Home) dispatch() {
	for h.q.Len() > 0 {
		r := h.q.Pop(h.accept, h.acceptBelowShare)
		if r == nil {
			return
		}
		h.grant(r)
	}
}

func (h *Home) grant(r *queue.Request) {
	a := r.Payload.(*Request)
	e := h.choose(r, a, false)
	h.updateBias(r)
	h.stats[r.Class].addGranted(h.now, r.Cost)
	delete(h.waiting, a.Key)
	h.startRun(run{key: a.Key, endpoint: e, class: r.Class, granted: h.now, confirmed: h.now})
	e.recordGrant(h.now, a.Prefix)
	h.decide(a.Key, e, nil)
	h.freeRequests = append(h.freeRequests, r)
}

func (h *Home) decide(k Key, e *endpoint, refusal *verdict.Error) {
	d := Decision{Key: k, Refusal: refusal}
	if e != nil {
		d.Endpoint, d.Addr = e.spec.Name, e.spec.Addr
		h.Counts.Granted++
	} else {
		h.Counts.Refused++
	}
	h.decisions = append(h.decisions, d)
}

// TakeDecisions returns the decisions since the last call. The slice is valid until the
// next event.
func (h *Home) TakeDecisions() []Decision {
	out := h.decisions
	h.decisions = h.decisions[:0]
	return out
}

// Now returns the time of the last event.
func (h *Home) Now() time.Duration { return h.now }

// Waiting returns the number of waiting requests.
func (h *Home) Waiting() int { return len(h.waiting) }

// Running returns the number of runs in the cell.
func (h *Home) Running() int { return len(h.running) }

// An EndpointStatus describes an endpoint to operators.
type EndpointStatus struct {
	Name    string
	State   string
	Running int
	Limit   float64
	Low     float64 // limit for lower tiers
	Foreign float64
	Gap     time.Duration
	Age     time.Duration // of the last load report
}

// Endpoints returns the state of every endpoint of the cell.
func (h *Home) Endpoints(now time.Duration) []EndpointStatus {
	out := make([]EndpointStatus, len(h.endpoints))
	for i, e := range h.endpoints {
		out[i] = EndpointStatus{e.spec.Name, e.machine.Name(), e.running, e.limit, e.lowLimit, e.foreign, e.gapDuration(), now - e.reported}
	}
	return out
}

// WaitingByClass calls f with the number of waiting requests of every class.
func (h *Home) WaitingByClass(f func(class string, n int)) {
	for i, c := range h.classes {
		f(c.Name, h.q.ClassLen(i))
	}
}

var (
	evReport         = chart.Endpoint.Event("report")
	evSlow           = chart.Endpoint.Event("slow")
	evFast           = chart.Endpoint.Event("fast")
	evUnreachable    = chart.Endpoint.Event("unreachable")
	evLeave          = chart.Endpoint.Event("leave")
	evStop           = chart.Endpoint.Event("stop")
	evStart          = chart.Endpoint.Event("start")
	evReportTimeout  = chart.Endpoint.Event("trust")
	evRequireReports = chart.Endpoint.Event("distrust")
	stAwaitingReport = chart.Endpoint.State("unheard")
	stServing        = chart.Endpoint.State("serving")
	stSlow           = chart.Endpoint.State("slow")
)
