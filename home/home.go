// Package home decides for one cell of endpoints: which requests to admit,
// in what order and on which endpoint to run them, and which to refuse.
//
// A cell is a bounded group of alike endpoints. The instance that is home of
// a cell keeps its one queue, binds late, and grants a request only when an
// endpoint has room for it. A Home is pure state: every method takes the
// time and an event; Take returns the decisions that followed. It keeps
// nothing that cannot be rebuilt from the entries within seconds: they hold
// the requests, ask again elsewhere when a home is lost, and tell each home
// what they are running.
//
// The files: home.go (events and state), estimate.go (how long a request
// takes, and admission), place.go (which endpoint), fill.go and fit.go (how
// full), policy.go (switches and baselines). A Home is not safe for
// concurrent use.
package home

import (
	"time"

	"ivyridge/chart"
	"ivyridge/decl"
	"ivyridge/length"
	"ivyridge/queue"
	"ivyridge/verdict"
)

// Times that bound a Home's soft state.
const (
	// RunLease is how long a run counts without its entry naming it again.
	RunLease = 3 * time.Second
	// heardWithin is how old an endpoint's report may be when a Home begins
	// to decide; trustAfter is how long one that does not answer is waited
	// for.
	heardWithin = time.Second
	trustAfter  = 400 * time.Millisecond
	// newRun is how long a grant may be unknown to its entry's Sync.
	newRun = time.Second
)

// A Key names one attempt: the entry instance and its own sequence number.
type Key struct {
	Entry string
	Seq   uint64
}

// An Ask is a request that wants to run.
type Ask struct {
	Key
	Class      string
	Team       string
	DataCentre string
	Prompt     int           // tokens, estimated by the entry
	MaxTokens  int           // the caller's limit, zero if none
	Age        time.Duration // since it arrived at its entry
	Prefix     uint64        // hash of team and prompt start, zero if none
	Avoid      string        // endpoint that failed the attempt before
}

// A Decision answers an Ask: a grant of an endpoint, or a refusal.
type Decision struct {
	Key
	Endpoint string // empty if refused
	Addr     string
	Refusal  *verdict.Error
}

// A Release ends a run.
type Release struct {
	Key
	Team       string
	Failed     bool          // the endpoint could not be reached or broke
	Busy       bool          // the endpoint refused it as too much
	Tokens     int           // generated, zero if unknown
	FirstToken time.Duration // from sending, zero if unknown
	Held       time.Duration // from grant to end
	Late       bool          // the answer missed its target
	Whole      bool          // the answer ended by itself
}

// A Running is one run that an entry names in a Sync.
type Running struct {
	Seq      uint64
	Endpoint string
	Class    string
}

// An Endpoint is one published endpoint of the cell.
type Endpoint struct {
	Name       string
	Addr       string
	DataCentre string
	Leaving    bool
	Stopped    bool // by an operator's command
}

type run struct {
	key     Key
	at      *endpoint
	class   int
	granted time.Duration
	seen    time.Duration // last time its entry named it
}

// A Home is the state of one cell.
type Home struct {
	pool    decl.Pool
	policy  Policy
	specs   []*decl.Class
	index   map[string]int
	set     *decl.Set
	q       *queue.Queue
	book    *length.Book
	stats   []classStats
	waiting map[Key]*queue.Request
	running map[Key]*run
	byName  map[string]*endpoint
	list    []*endpoint
	turn    int     // round-robin position
	share   float64 // part of every limit this instance may grant
	out     []Decision
	free    []*queue.Request
	ended   []*run // reused
	place   func(*queue.Request) bool
	owed    func(*queue.Request) bool
	byTier  [decl.MaxTier + 1]int // runs
	now     time.Duration
	Counts  Counts
}

// Counts are totals since the Home was made.
type Counts struct {
	Asked, Granted, Refused, Released, Lapsed, Resynced, SlowSeen int64
}

// New returns the Home of a cell of pool under the given declarations.
func New(set *decl.Set, pool *decl.Pool, policy Policy) *Home {
	h := &Home{
		policy:  policy,
		book:    length.NewBook(),
		waiting: make(map[Key]*queue.Request),
		running: make(map[Key]*run),
		byName:  make(map[string]*endpoint),
		share:   1,
	}
	h.place, h.owed = h.placeable, h.placeableOwed
	h.Configure(0, set, pool)
	return h
}

// Configure puts declarations in force. Waiting requests keep their place;
// those whose class is gone are refused.
func (h *Home) Configure(now time.Duration, set *decl.Set, pool *decl.Pool) {
	h.now = now
	old, oldStats, oldIndex := h.specs, h.stats, h.index
	h.set, h.pool = set, *pool
	h.specs = make([]*decl.Class, len(set.Classes))
	h.stats = make([]classStats, len(set.Classes))
	h.index = make(map[string]int, len(set.Classes))
	specs := make([]queue.Class, len(set.Classes))
	for i := range set.Classes {
		c := &set.Classes[i]
		h.specs[i], h.index[c.Name] = c, i
		specs[i] = queue.Class{Tier: c.Tier, Share: shareOf(c), Target: c.Target(), FinishLate: c.FinishLate}
		if j, ok := oldIndex[c.Name]; ok {
			h.stats[i] = oldStats[j]
		}
	}
	h.q = queue.New(specs, h.policy.Order())
	h.recount(old)
	h.requeue(old)
	h.pump()
}

// recount gives the runs their class among the present ones. A run whose
// class is gone counts under the first.
func (h *Home) recount(old []*decl.Class) {
	h.byTier = [decl.MaxTier + 1]int{}
	for _, e := range h.byName {
		e.running, e.byTier = 0, h.byTier
	}
	for _, r := range h.running {
		r.class = h.index[old[r.class].Name]
		h.count(r, 1)
	}
}

// requeue moves the waiting requests into the present queue.
func (h *Home) requeue(old []*decl.Class) {
	for key, r := range h.waiting {
		a := r.Payload.(*Ask)
		i, ok := h.index[old[r.Class].Name]
		if !ok {
			delete(h.waiting, key)
			h.decide(key, nil, verdict.Refuse(verdict.UnknownClass, "class %q is no longer declared", a.Class))
			continue
		}
		fresh := &queue.Request{Class: i, Team: r.Team, Weight: r.Weight, Arrival: r.Arrival, Payload: a}
		h.estimate(fresh, a)
		h.waiting[key] = fresh
		h.q.Push(fresh)
	}
}

// SetShare bounds the part of every endpoint's limit that this Home grants:
// one for the home of the cell, less for an instance that stands in for it.
func (h *Home) SetShare(now time.Duration, share float64) {
	h.now = now
	h.share = share
	h.pump()
}

// SetEndpoints tells which endpoints the cell has. One that is leaving,
// stopped or absent gets nothing from now on; its runs go on.
func (h *Home) SetEndpoints(now time.Duration, eps []Endpoint) {
	h.now = now
	listed := make(map[string]bool, len(eps))
	for _, e := range eps {
		listed[e.Name] = true
		x := h.byName[e.Name]
		if x == nil || x.spec.Addr != e.Addr {
			x = newEndpoint(e, &h.pool)
			x.since = now
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
	h.list = h.list[:0]
	for _, e := range eps {
		h.list = append(h.list, h.byName[e.Name])
	}
	h.pump()
}

// Distrust tells that this Home has not decided for a while: an endpoint that
// has not reported lately may have begun to leave, and is to be heard again
// before it is given work.
func (h *Home) Distrust(now time.Duration) {
	h.now = now
	for _, e := range h.list {
		if now-e.reported > heardWithin {
			e.machine.Step(evDistrust)
			e.since = now
		}
	}
}

// Ask takes a request in: it is granted, refused or waits.
func (h *Home) Ask(now time.Duration, a Ask) {
	h.now = now
	h.Counts.Asked++
	class, ok := h.index[a.Class]
	if !ok {
		h.decide(a.Key, nil, verdict.Refuse(verdict.UnknownClass, "class %q is not declared", a.Class))
		return
	}
	if _, twice := h.waiting[a.Key]; twice {
		return // a repeated message
	}
	if _, twice := h.running[a.Key]; twice {
		return
	}
	r := h.newRequest()
	ask := r.Payload.(*Ask)
	*ask = a
	*r = queue.Request{Class: class, Team: a.Team, Weight: h.weight(a.Team), Arrival: now - a.Age, Payload: ask}
	h.estimate(r, ask)
	if refusal := h.admit(r, ask); refusal != nil {
		h.decide(a.Key, nil, refusal)
		h.free = append(h.free, r)
		return
	}
	r.Pushed, r.Predicted = now, h.wait(r)
	if h.q.ClassLen(class) == 0 {
		h.stats[class].waited = now
	}
	h.stats[class].arrived(now, r.Cost)
	h.waiting[a.Key] = r
	h.q.Push(r)
	h.pump()
}

func (h *Home) newRequest() *queue.Request {
	if n := len(h.free); n > 0 {
		r := h.free[n-1]
		h.free = h.free[:n-1]
		return r
	}
	return &queue.Request{Payload: new(Ask)}
}

func (h *Home) weight(team string) float64 {
	if t := h.set.Team(team); t != nil {
		return float64(t.Weight)
	}
	return 1
}

// Cancel withdraws a request that waits. One that was granted is unaffected:
// its entry releases it.
func (h *Home) Cancel(now time.Duration, key Key) {
	h.now = now
	if r, ok := h.waiting[key]; ok {
		delete(h.waiting, key)
		h.q.Remove(r)
		h.free = append(h.free, r)
	}
}

// Done ends a run and learns from it.
func (h *Home) Done(now time.Duration, rel Release) {
	h.now = now
	r := h.running[rel.Key]
	if r == nil {
		return
	}
	h.Counts.Released++
	h.learn(r, &rel)
	h.end(r)
	h.pump()
}

func (h *Home) end(r *run) {
	delete(h.running, r.key)
	h.count(r, -1)
	h.ended = append(h.ended, r)
}

// begin enters a run.
func (h *Home) begin(x run) {
	var r *run
	if n := len(h.ended); n > 0 {
		r = h.ended[n-1]
		h.ended = h.ended[:n-1]
	} else {
		r = new(run)
	}
	*r = x
	h.running[x.key] = r
	h.count(r, 1)
}

// count adds a run to, or takes it from, what runs where.
func (h *Home) count(r *run, d int) {
	r.at.running += d
	r.at.byTier[h.specs[r.class].Tier] += d
	h.byTier[h.specs[r.class].Tier] += d
}

// Sync tells all that entry runs in this cell. What the entry no longer
// names has ended; what this Home did not know, it now counts. A new home
// learns from it what runs in its cell.
func (h *Home) Sync(now time.Duration, entry string, runs []Running) {
	h.now = now
	for _, x := range runs {
		key := Key{entry, x.Seq}
		if r := h.running[key]; r != nil {
			r.seen = now
			continue
		}
		e := h.byName[x.Endpoint]
		if e == nil {
			continue
		}
		h.Counts.Resynced++
		h.begin(run{key: key, at: e, class: h.index[x.Class], granted: now, seen: now})
		h.learnLimit(e)
	}
	for key, r := range h.running {
		if key.Entry == entry && r.seen != now && now-r.granted > newRun {
			h.end(r)
		}
	}
	h.pump()
}

// Tick refuses what can no longer be on time and drops runs whose entry has
// fallen silent. It is to be called about every 20 ms.
func (h *Home) Tick(now time.Duration) {
	h.now = now
	if h.policy.Admit {
		h.q.Expire(now, h.expired)
	}
	for _, e := range h.list {
		if e.machine.State() == stUnheard && now-e.since > trustAfter {
			e.machine.Step(evTrust)
		}
	}
	for _, r := range h.running {
		if now-r.seen > RunLease {
			h.Counts.Lapsed++
			h.end(r)
		}
	}
	h.pump()
}

func (h *Home) expired(r *queue.Request) {
	a := r.Payload.(*Ask)
	delete(h.waiting, a.Key)
	e := verdict.Refuse(verdict.DeadlineMissed, "class %q can no longer be answered in time", a.Class)
	h.decide(a.Key, nil, e.After(h.clearIn(r)))
	h.free = append(h.free, r)
}

// pump grants as long as there is room.
func (h *Home) pump() {
	for h.q.Len() > 0 {
		r := h.q.Pop(h.place, h.owed)
		if r == nil {
			return
		}
		h.grant(r)
	}
}

func (h *Home) grant(r *queue.Request) {
	a := r.Payload.(*Ask)
	e := h.choose(r, a, false)
	h.learnWait(r)
	h.stats[r.Class].drained(h.now, r.Cost)
	delete(h.waiting, a.Key)
	h.begin(run{key: a.Key, at: e, class: r.Class, granted: h.now, seen: h.now})
	e.granted(h.now, a.Prefix)
	h.decide(a.Key, e, nil)
	h.free = append(h.free, r)
}

func (h *Home) decide(k Key, e *endpoint, refusal *verdict.Error) {
	d := Decision{Key: k, Refusal: refusal}
	if e != nil {
		d.Endpoint, d.Addr = e.spec.Name, e.spec.Addr
		h.Counts.Granted++
	} else {
		h.Counts.Refused++
	}
	h.out = append(h.out, d)
}

// Take returns the decisions since the last call. They are valid until the
// next event.
func (h *Home) Take() []Decision {
	out := h.out
	h.out = h.out[:0]
	return out
}

// Now returns the instant of the last event.
func (h *Home) Now() time.Duration { return h.now }

// Waiting returns the number of requests that wait.
func (h *Home) Waiting() int { return len(h.waiting) }

// Running returns the number of runs in the cell.
func (h *Home) Running() int { return len(h.running) }

// An EndpointStatus is what operators are shown of an endpoint.
type EndpointStatus struct {
	Name    string
	State   string
	Running int
	Limit   float64
	Low     float64 // the limit for lower tiers
	Foreign float64
	Gap     time.Duration
	Age     time.Duration // of the last load report
}

// Endpoints returns the state of every endpoint of the cell.
func (h *Home) Endpoints(now time.Duration) []EndpointStatus {
	out := make([]EndpointStatus, len(h.list))
	for i, e := range h.list {
		out[i] = EndpointStatus{e.spec.Name, e.machine.Name(), e.running, e.limit, e.low, e.foreign, e.gapNow(), now - e.reported}
	}
	return out
}

// WaitingByClass calls f for every class with the requests that wait.
func (h *Home) WaitingByClass(f func(class string, n int)) {
	for i, c := range h.specs {
		f(c.Name, h.q.ClassLen(i))
	}
}

var (
	evReport      = chart.Endpoint.Event("report")
	evSlow        = chart.Endpoint.Event("slow")
	evFast        = chart.Endpoint.Event("fast")
	evUnreachable = chart.Endpoint.Event("unreachable")
	evLeave       = chart.Endpoint.Event("leave")
	evStop        = chart.Endpoint.Event("stop")
	evStart       = chart.Endpoint.Event("start")
	evTrust       = chart.Endpoint.Event("trust")
	evDistrust    = chart.Endpoint.Event("distrust")
	stUnheard     = chart.Endpoint.State("unheard")
	stServing     = chart.Endpoint.State("serving")
	stSlow        = chart.Endpoint.State("slow")
)
