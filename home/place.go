package home

// This file holds the state of endpoints and selects among them.

import (
	"math"
	"time"

	"ivyridge/chart"
	"ivyridge/decl"
	"ivyridge/queue"
)

const (
	maxWarmPrefixes        = 256             // remembered per endpoint
	warmBonus              = 0.25            // subtracted from the score; 1 is the score of a full endpoint
	crossDataCentrePenalty = 0.02            // added to the score
	failuresToUnreachable  = 2               // consecutive; the endpoint gets no requests until it reports
	probeInterval          = 2 * time.Second // between probe requests to a slow endpoint
	reserveSigmas          = 2.0             // standard deviations (Poisson) reserved above the higher tiers' load
	// pauseAfterRefusal is how long an endpoint gets no requests after it refused one as overload.
	pauseAfterRefusal = time.Second
	minProbeTier      = 1 // requests of more urgent tiers are not used as probes
)

type endpoint struct {
	spec                Endpoint
	machine             chart.Machine
	running             int
	runsByTier          [decl.MaxTier + 1]int
	limit               float64 // concurrency limit
	lowLimit            float64 // concurrency limit for lower tiers
	gap                 float64 // seconds between tokens, smoothed
	longGap             float64 // the same over a longer window
	tokens              float64 // tokens observed for gap
	gapFit              gapRegression
	lastAdjusted        time.Duration
	minServiceTime      float64 // seconds, of a service
	serviceTime         float64 // seconds, of a service, smoothed
	foreign             float64 // runs not granted by this Home, inferred from load reports
	reported            time.Duration
	awaitingReportSince time.Duration
	lastProbe           time.Duration
	pausedUntil         time.Duration // see pauseAfterRefusal
	failures            int
	warm                map[uint64]int // prefix to index in prefixRing
	prefixRing          [maxWarmPrefixes]uint64
	ringNext            int
}

func newEndpoint(spec Endpoint, pool *decl.Pool) *endpoint {
	return &endpoint{
		spec:     spec,
		machine:  chart.Endpoint.New(),
		limit:    float64(pool.Slots),
		lowLimit: float64(pool.Slots),
		warm:     make(map[uint64]int),
	}
}

func (e *endpoint) update(spec Endpoint) {
	e.spec = spec
	switch {
	case spec.Leaving:
		e.machine.Step(evLeave)
	case spec.Stopped:
		e.machine.Step(evStop)
	default:
		e.machine.Step(evStart)
	}
}

func (e *endpoint) accepting() bool {
	s := e.machine.State()
	return s == stServing || s == stSlow
}

func (e *endpoint) mayAccept() bool { return e.accepting() || e.machine.State() == stAwaitingReport }

func (e *endpoint) recordFailure() {
	e.failures++
	if e.failures >= failuresToUnreachable {
		e.machine.Step(evUnreachable)
	}
}

// recordRefusal pauses e and lowers its limit after it refused a request as overload.
func (e *endpoint) recordRefusal(now time.Duration) {
	if now < e.pausedUntil {
		return
	}
	e.pausedUntil = now + pauseAfterRefusal
	e.limit = max(1, e.limit*(1-maxLimitCut))
}

func (e *endpoint) resetFailures() { e.failures = 0 }

// recordGrant adds prefix to those that e is assumed to hold in its cache.
func (e *endpoint) recordGrant(now time.Duration, prefix uint64) {
	if e.machine.State() == stSlow {
		e.lastProbe = now
	}
	if prefix == 0 {
		return
	}
	if _, ok := e.warm[prefix]; ok {
		return
	}
	delete(e.warm, e.prefixRing[e.ringNext])
	e.prefixRing[e.ringNext] = prefix
	e.warm[prefix] = e.ringNext
	e.ringNext = (e.ringNext + 1) % maxWarmPrefixes
}

// limitOf returns this Home's share of e's limit; lowTier selects the limit for lower tiers.
func (h *Home) limitOf(e *endpoint, lowTier bool) float64 {
	limit := e.limit
	if lowTier && h.policy.Protect {
		limit = min(limit, e.lowLimit)
	}
	return max(1, limit*h.share)
}

// freeSlots returns how many more requests this Home may grant on e.
func (h *Home) freeSlots(e *endpoint, lowTier bool) float64 {
	return h.limitOf(e, lowTier) - float64(e.running) - e.foreign
}

// slots returns the number of requests that the cell is expected to run at once.
func (h *Home) slots(lowTier bool) float64 {
	n := 0.0
	for _, e := range h.endpoints {
		if e.mayAccept() {
			n += max(1, h.forecastLimit(e, lowTier)-e.foreign)
		}
	}
	return n
}

// placeable reports whether an endpoint has a free slot for r outside the higher tiers' reserve.
func (h *Home) placeable(r *queue.Request) bool {
	tier := h.classes[r.Class].Tier
	if tier > 0 && h.policy.Reserve && !h.leavesReserve(tier) {
		return false
	}
	return h.choose(r, r.Payload.(*Request), tier > 0) != nil
}

// placeableBelowShare is placeable for a class below its guaranteed share, which may use the
// reserve and the higher tiers' limit.
func (h *Home) placeableBelowShare(r *queue.Request) bool {
	return h.choose(r, r.Payload.(*Request), false) != nil
}

// leavesReserve reports whether one more run of the tier leaves the slots that the higher tiers are
// expected to need. Otherwise they would wait for the end of long low-tier requests.
func (h *Home) leavesReserve(tier int) bool {
	lower := 1
	for _, n := range h.runsByTier[tier:] {
		lower += n
	}
	higher := 0.0
	for i, c := range h.classes {
		if c.Tier < tier {
			higher += h.stats[i].loadAt(h.now)
		}
	}
	// Endpoints slow down as they fill, so requests hold slots longer.
	if slower := min(h.protectedGap(), h.targetGap().Seconds()) / h.meanGap(); slower > 1 {
		higher *= slower
	}
	return float64(lower) <= h.slots(true)-higher-reserveSigmas*math.Sqrt(higher)
}

// choose returns the endpoint for r, or nil if none has a free slot. The only accepting endpoint is
// used even if it is paused or slow, or failed an earlier attempt at r.
func (h *Home) choose(r *queue.Request, a *Request, lowTier bool) *endpoint {
	if !h.policy.Counts {
		return h.roundRobin(a)
	}
	var best *endpoint
	lowest := 0.0
	accepting := 0
	for _, e := range h.endpoints {
		if !e.accepting() {
			continue
		}
		accepting++
		if h.now < e.pausedUntil || h.freeSlots(e, lowTier) < 1 || e.spec.Name == a.Avoid || !h.mayUse(e, r) {
			continue
		}
		if s := h.score(e, a); best == nil || s < lowest {
			best, lowest = e, s
		}
	}
	if best == nil && accepting == 1 {
		return h.soleEndpoint(lowTier)
	}
	return best
}

func (h *Home) soleEndpoint(lowTier bool) *endpoint {
	for _, e := range h.endpoints {
		if e.accepting() && h.freeSlots(e, lowTier) >= 1 {
			return e
		}
	}
	return nil
}

// roundRobin returns the next endpoint with a free slot, for the baseline policy.
func (h *Home) roundRobin(a *Request) *endpoint {
	for i := range h.endpoints {
		e := h.endpoints[(h.nextIndex+i)%len(h.endpoints)]
		if e.accepting() && h.freeSlots(e, false) >= 1 && (e.spec.Name != a.Avoid || len(h.endpoints) == 1) {
			h.nextIndex = (h.nextIndex + i + 1) % len(h.endpoints)
			return e
		}
	}
	return nil
}

// mayUse reports whether r may run on e. A slow and idle endpoint gets one
// lower-tier request per probeInterval, to detect its recovery.
func (h *Home) mayUse(e *endpoint, r *queue.Request) bool {
	if e.machine.State() != stSlow {
		return true
	}
	return h.classes[r.Class].Tier >= minProbeTier && e.running == 0 && h.now-e.lastProbe >= probeInterval
}

// score returns the load of e with one more request, adjusted for a warm prefix and for the data
// centre. The lowest score is best.
func (h *Home) score(e *endpoint, a *Request) float64 {
	limit := max(1, e.limit*h.share)
	s := (float64(e.running) + e.foreign + 1) / limit
	if a.Prefix != 0 && h.policy.Warm {
		if _, ok := e.warm[a.Prefix]; ok {
			s -= warmBonus
		}
	}
	if e.spec.DataCentre != a.DataCentre {
		s += crossDataCentrePenalty
	}
	return s
}
