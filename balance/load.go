package balance

// This file tracks the state of one endpoint.

import (
	"math"
	"time"

	"ivyridge/discovery"
	"ivyridge/quota"
	"ivyridge/speed"
)

const (
	outcomeHalfLife    = 5 * time.Second
	outcomePriorWeight = 6                      // weight of assumed outcomes at the service's failure rate
	minOutcomeWeight   = 0.05                   // observations with less weight are dropped
	minDown            = 300 * time.Millisecond // back-off after a failed connection, doubled up to maxDown
	maxDown            = 2 * time.Second
	remoteTTL          = 5 * time.Second // expiry of another instance's report; membership loss drops it sooner
	contentionWindow   = 2 * time.Second // time constant of contention and prefillShare
)

// A charge is the load that one running request adds to an endpoint.
type charge struct {
	level    int
	uncached int     // prompt tokens to prefill
	memory   int     // cache tokens used while it runs
	exposure float64 // cost of delaying its stream, per unit of lateness of the delay in ms; zero: not a stream
}

func newCharge(d *Demand, cached int) charge {
	c := charge{level: d.level(), uncached: max(0, d.Prompt-cached), memory: d.Prompt + d.Output}
	if d.MaxGap > 0 {
		c.exposure = d.weight() / lateness(milliseconds(d.MaxGap))
	}
	return c
}

// Running sums the requests that an instance runs at an endpoint, and its recent observations.
type Running struct {
	Requests              int
	ByLevel               [levels]int // engine requests by urgency level
	PendingPrefill        int         // prompt tokens of requests whose response has not begun
	PendingPrefillByLevel [levels]int
	Memory                int
	Exposure              float64
	Down                  bool // the instance recently failed to connect to the endpoint
	Observations
}

// Observations holds exponentially decayed observations of an endpoint's requests.
type Observations struct {
	Completed float64       // completed requests
	Failed    float64       // requests of Completed that failed
	Prefill   speed.Samples // prefill times per token
	Step      speed.Samples // inter-token times of a request running alone
}

func (s *Observations) merge(other *Observations) {
	s.Completed += other.Completed
	s.Failed += other.Failed
	s.Prefill.Merge(other.Prefill)
	s.Step.Merge(other.Step)
}

func (r *Running) add(c charge) {
	r.Requests++
	r.ByLevel[c.level]++
	r.PendingPrefill += c.uncached
	r.PendingPrefillByLevel[c.level] += c.uncached
	r.Memory += c.memory
	r.Exposure += c.exposure
}

// addRunning adds another instance's running requests but not its observations.
func (r *Running) addRunning(other *Running) {
	r.Requests += other.Requests
	for level, n := range other.ByLevel {
		r.ByLevel[level] += n
		r.PendingPrefillByLevel[level] += other.PendingPrefillByLevel[level]
	}
	r.PendingPrefill += other.PendingPrefill
	r.Memory += other.Memory
	r.Exposure += other.Exposure
}

// addAll adds everything that another instance reports except Down.
func (r *Running) addAll(other *Running) {
	r.addRunning(other)
	r.merge(&other.Observations)
}

// remove subtracts a completed request, whose prompt was subtracted from PendingPrefill earlier.
func (r *Running) remove(c charge) {
	if c == (charge{}) {
		return
	}
	r.Requests--
	r.ByLevel[c.level]--
	r.Memory -= c.memory
	r.Exposure = max(0, r.Exposure-c.exposure)
}

// A remote is the last report of another instance about an endpoint.
type remote struct {
	Running
	at           time.Time
	backoffUntil time.Time // the endpoint asked that instance to back off until then
	draining     bool      // the endpoint told that instance that it is draining
}

// A remotePlacement is a placement that another instance announced.
type remotePlacement struct {
	at     time.Time
	level  int
	tokens int // tokens to prefill
}

// A cachedPart is a prompt part presumed to be in an endpoint's cache.
type cachedPart struct {
	insertedTokens int // value of load.insertedTokens when the part was last used
	tokens         int
}

// A load is the state of one incarnation of an endpoint.
type load struct {
	id         string // incarnation
	endpointID string // empty until the endpoint is listed
	dataCentre string // of the endpoint, set with endpointID
	hash       uint32

	running int // own requests, with or without an engine
	own     Running
	remotes map[uint64]remote // by instance

	busyUntil        time.Time         // end of the prefill backlog
	remotePlacements []remotePlacement // recent placements by others that may be missing from their reports
	contention       float64           // decayed mean lateness of the backlog
	prefillShare     float64           // decayed share of time spent on prefill
	observedAt       time.Time

	insertedTokens int // tokens that have entered the cache
	parts          map[uint64]cachedPart

	stats              *serviceStats // of its service; nil until first considered for a request
	prefillPerToken    float64       // ms to prefill a token, as of the last choice
	stepTime           float64       // ms per token with neither prefill nor other requests, as of the last choice
	ownObserved        Observations  // from own requests, as of decayedAt
	decayedAt          time.Time
	others             Running      // requests and observations of other instances, as of refreshedAt
	observed           Observations // observations of all instances, as of refreshedAt
	refreshedAt        time.Time    // zero: never
	stale              bool         // a report or observation arrived since refreshedAt
	distance           Distance     // from this instance
	downUntil          time.Time
	connBackoff        time.Duration
	downReports        int         // other instances that recently failed to connect, as of refreshedAt
	unreachable        bool        // it refused a connection, or a probe failed, since it last accepted one
	contactAt          time.Time   // last accepted connection or response
	group              *reachGroup // nil until the endpoint is listed
	firstSeen          time.Time
	lastUsed           time.Time   // last placement by any instance
	directive          *directive  // back-off or drain request of the endpoint; nil: none
	limitState         *limitState // announced rate limit; nil: none known
	brittleUntil       time.Time   // counts as brittle until then; see brittle.go
	notBrittleAt       time.Time   // of its last response, if that did not say that it is brittle
	fullUntil          time.Time   // brittle and without room until then
	drainReportedUntil time.Time   // draining until then, as reported by another instance
	replacedUntil      time.Time   // another endpoint has its address; not eligible until then
	cold               quota.TokenBucket
	slowness           slowness // self-reported; only for endpoints without an engine

	suspects     int       // own suspect requests running there
	suspectUntil time.Time // a suspect request placed by another instance counts until then

	lastDonated time.Time // last time parts were fetched from here
	changed     uint64    // value of Balancer.changes at the last change

	remotesChanged uint64 // value of Balancer.remoteChanges at the last change
}

func newLoad(id string) *load {
	return &load{
		id: id, hash: EndpointHash(id), prefillPerToken: defaultPrefillPerToken, stepTime: defaultStepTime,
		remotes: make(map[uint64]remote), parts: make(map[uint64]cachedPart),
	}
}

// refreshInterval is the maximum age of the sums over other instances, which are too expensive for
// every choice. Without new reports, they change only through expiry and decay.
const refreshInterval = 100 * time.Millisecond

// refresh updates the sums over other instances if they are stale.
func (l *load) refresh(now time.Time) {
	if !l.stale && !l.refreshedAt.IsZero() && now.Sub(l.refreshedAt) < refreshInterval {
		return
	}
	l.others = Running{}
	l.downReports = 0
	for _, r := range l.remotes {
		age := now.Sub(r.at)
		if age < remoteTTL {
			l.others.addAll(&r.Running)
		}
		if r.Down && age < maxDown {
			l.downReports++
		}
	}
	l.observed = l.recent(now)
	l.observed.merge(&l.others.Observations)
	l.refreshedAt = now
	l.stale = false
}

// total returns the running requests of all instances, as of the last refresh.
func (l *load) total() Running {
	t := l.own
	t.addRunning(&l.others)
	return t
}

// backlog returns the estimated time in ms until all prompts placed at the endpoint are prefilled.
func (l *load) backlog(now time.Time) float64 {
	return max(0, float64(l.busyUntil.Sub(now))/float64(time.Millisecond))
}

// capBacklog limits the backlog to prompts that can still be queued: those without a response, plus
// those that others placed within reportInterval, which reports may not cover yet. Otherwise an
// overestimated backlog would persist until it has run out.
func (l *load) capBacklog(now time.Time, pendingTokens int, reportInterval time.Duration) {
	queued := pendingTokens + l.remoteTokensSince(now.Add(-reportInterval))
	end := now.Add(time.Duration(float64(queued) * l.prefillPerToken * float64(time.Millisecond)))
	if end.Before(l.busyUntil) {
		l.observe(now)
		l.busyUntil = end
	}
}

// remoteTokensSince returns the prompt tokens that others placed after the time then, and drops
// earlier placements.
func (l *load) remoteTokensSince(then time.Time) int {
	recent := l.remotePlacements[:0]
	sum := 0
	for _, n := range l.remotePlacements {
		if n.at.After(then) {
			recent = append(recent, n)
			sum += n.tokens
		}
	}
	l.remotePlacements = recent
	return sum
}

// observe resets both averages of an endpoint without a backlog if they are below these values.
const (
	minContention   = 1.0
	minPrefillShare = 1e-3
)

// observe updates the moving averages of contention and prefill time.
func (l *load) observe(now time.Time) {
	passed := now.Sub(l.observedAt)
	if passed <= 0 {
		return
	}
	if !l.busyUntil.After(l.observedAt) && l.contention < minContention && l.prefillShare < minPrefillShare {
		l.observedAt, l.contention, l.prefillShare = now, 0, 0
		return // idle
	}
	backlog := l.backlog(now)
	keep := math.Exp(-float64(passed) / float64(contentionWindow))
	l.contention = keep*l.contention + (1-keep)*lateness(backlog)
	if l.busyUntil.After(l.observedAt) {
		prefillFraction := min(float64(l.busyUntil.Sub(l.observedAt))/float64(passed), 1)
		l.prefillShare = keep*l.prefillShare + (1-keep)*prefillFraction
	} else {
		l.prefillShare *= keep
	}
	l.observedAt = now
}

// addPrompt adds a prompt to the backlog and marks its parts as cached.
func (l *load) addPrompt(now time.Time, parts []PromptPart, uncached int) {
	l.observe(now)
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(uncached) * l.prefillPerToken * float64(time.Millisecond)))
	l.insertedTokens += uncached
	for _, p := range parts {
		l.parts[p.ID] = cachedPart{insertedTokens: l.insertedTokens, tokens: p.Tokens}
	}
}

// cached returns how many leading tokens of a prompt are presumed cached: parts used within the
// last memory tokens, up to the first part that is missing.
func (l *load) cached(parts []PromptPart, memory int) int {
	sum := 0
	for _, p := range parts {
		part, ok := l.parts[p.ID]
		if !ok || l.insertedTokens-part.insertedTokens > memory {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// maxParts is the number of cached parts above which the older half is dropped.
const maxParts = 2048

func (l *load) prune(now time.Time) {
	l.remoteTokensSince(now.Add(-maxReportInterval))
	for id, r := range l.remotes {
		if now.Sub(r.at) > remoteTTL {
			delete(l.remotes, id)
			l.stale = true
		}
	}
	if len(l.parts) <= maxParts {
		return
	}
	oldest := l.insertedTokens
	for _, part := range l.parts {
		oldest = min(oldest, part.insertedTokens)
	}
	middle := (oldest + l.insertedTokens) / 2
	for id, part := range l.parts {
		if part.insertedTokens <= middle {
			delete(l.parts, id)
		}
	}
}

// downQuorum is how many other instances must fail to connect before an endpoint counts as down,
// since a single instance may itself be partitioned.
const downQuorum = 2

func (s *Observations) failureRate() float64 {
	if s.Completed == 0 {
		return 0
	}
	return s.Failed / s.Completed
}

// excess returns how far the endpoint's failure rate exceeds serviceRate, that of its service,
// shrunk towards zero when few requests have completed. Otherwise random variation would move all
// traffic to the endpoint with the fewest failures so far.
func (s *Observations) excess(serviceRate float64) float64 {
	return max(0, (s.Failed+outcomePriorWeight*serviceRate)/(s.Completed+outcomePriorWeight)-serviceRate)
}

// recent returns this instance's observations, decayed to now.
func (l *load) recent(now time.Time) Observations {
	keep := math.Exp2(-float64(now.Sub(l.decayedAt)) / float64(outcomeHalfLife))
	s := Observations{Prefill: l.ownObserved.Prefill.Decayed(keep), Step: l.ownObserved.Step.Decayed(keep)}
	if keep*l.ownObserved.Completed >= minOutcomeWeight {
		s.Completed, s.Failed = keep*l.ownObserved.Completed, keep*l.ownObserved.Failed
	}
	return s
}

// decay applies the decay up to now, before an observation is added.
func (l *load) decay(now time.Time) {
	l.stale = true
	l.ownObserved = l.recent(now)
	l.decayedAt = now
}

func (l *load) recordOutcome(now time.Time, o Outcome) {
	if o == Unknown {
		return
	}
	l.decay(now)
	l.ownObserved.Completed++
	if o != Served {
		l.ownObserved.Failed++
	}
}

// markReachable ends the back-off after failed connections.
func (l *load) markReachable(time.Time) {
	l.connBackoff = 0
	l.downUntil = time.Time{}
}

func (l *load) markUnreachable(now time.Time) {
	l.connBackoff = min(max(2*l.connBackoff, minDown), maxDown)
	l.downUntil = now.Add(l.connBackoff)
}

// replacedTTL is how long an endpoint is skipped after another one was found at its address. It
// exceeds the time until the endpoint is unlisted, and bounds the effect of a wrong response.
const replacedTTL = 5 * time.Second

func (l *load) replacedRemaining(now time.Time) time.Duration {
	return max(0, l.replacedUntil.Sub(now))
}

// avoided reports whether the endpoint is skipped for requests of an instance. With lastResort,
// endpoints that are presumed down or out of reach, or whose listing has just expired, are eligible,
// but not those that were replaced. For another instance, groups out of reach of this one don't
// count: that instance lists what it can't reach in Demand.Avoid.
func (l *load) avoided(e *discovery.Endpoint, now time.Time, lastResort bool, by requester) bool {
	if l.replacedUntil.After(now) {
		return true
	}
	if !e.GraceUntil.IsZero() {
		return !lastResort || now.After(e.GraceUntil)
	}
	if lastResort {
		return false
	}
	if by != self && l.group.out() {
		return l.downForOthers(now)
	}
	return l.downUntil.After(now) || l.group.out() || l.downForOthers(now)
}
