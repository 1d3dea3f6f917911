package home

// This file defines what a Home knows of an endpoint and chooses among them.

import (
	"math"
	"time"

	"ivyridge/chart"
	"ivyridge/decl"
	"ivyridge/queue"
)

const (
	// warmPrefixes is how many prefixes are remembered for an endpoint.
	warmPrefixes = 256
	// warmBonus is what a warm prefix is worth, in parts of a full endpoint.
	warmBonus = 0.25
	// farPenalty is what another data centre costs, in the same measure.
	farPenalty = 0.02
	// failuresToUnreachable in a row take an endpoint out until it reports.
	failuresToUnreachable = 2
	// probeEvery is how often a slow endpoint is given one request.
	probeEvery = 2 * time.Second
	// reserveSigmas standard deviations (of Poisson arrivals) above what
	// higher tiers hold on average are kept for them.
	reserveSigmas = 2.0
	// pauseAfterRefusal is how long an endpoint that refused a request as
	// too much is given nothing.
	pauseAfterRefusal = time.Second
	// lowTier is the first tier that may be used to probe.
	lowTier = 1
)

type endpoint struct {
	spec     Endpoint
	machine  chart.Machine
	running  int
	byTier   [decl.MaxTier + 1]int // runs
	limit    float64               // requests it should run at once
	low      float64               // the same while lower tiers are to be added
	gap      float64               // seconds between tokens, smoothed
	slowGap  float64               // the same, smoothed over a longer time
	tokens   float64               // tokens behind gap
	fit      fit
	adjusted time.Duration
	least    float64 // seconds that a service took when least loaded
	held     float64 // seconds that it takes, smoothed
	foreign  float64 // runs of others, inferred from its reports
	reported time.Duration
	since    time.Duration // instant from which it is unheard
	probed   time.Duration
	paused   time.Duration // instant until which it is given nothing
	failures int
	warm     map[uint64]int // prefix to its place in ring
	ring     [warmPrefixes]uint64
	ringAt   int
}

func newEndpoint(spec Endpoint, pool *decl.Pool) *endpoint {
	return &endpoint{
		spec:    spec,
		machine: chart.Endpoint.New(),
		limit:   float64(pool.Slots),
		low:     float64(pool.Slots),
		warm:    make(map[uint64]int),
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

func (e *endpoint) takes() bool {
	s := e.machine.State()
	return s == stServing || s == stSlow
}

// mayTake reports whether e takes work, or may do so in a moment.
func (e *endpoint) mayTake() bool { return e.takes() || e.machine.State() == stUnheard }

func (e *endpoint) failed() {
	e.failures++
	if e.failures >= failuresToUnreachable {
		e.machine.Step(evUnreachable)
	}
}

// refused takes in that e had more than it would take: it is given nothing
// for a moment, and less from then on.
func (e *endpoint) refused(now time.Duration) {
	if now < e.paused {
		return // of the same moment
	}
	e.paused = now + pauseAfterRefusal
	e.limit = max(1, e.limit*(1-cutMost))
}

func (e *endpoint) recovered() { e.failures = 0 }

// granted remembers that e will have the prefix in its cache.
func (e *endpoint) granted(now time.Duration, prefix uint64) {
	if e.machine.State() == stSlow {
		e.probed = now
	}
	if prefix == 0 {
		return
	}
	if _, ok := e.warm[prefix]; ok {
		return
	}
	delete(e.warm, e.ring[e.ringAt])
	e.ring[e.ringAt] = prefix
	e.warm[prefix] = e.ringAt
	e.ringAt = (e.ringAt + 1) % warmPrefixes
}

// limitOf is how many requests e should run at once, as far as this Home may
// grant them. Lower tiers may fill it less.
func (h *Home) limitOf(e *endpoint, low bool) float64 {
	limit := e.limit
	if low && h.policy.Protect {
		limit = min(limit, e.low)
	}
	return max(1, limit*h.share)
}

// room is how many more requests e should be given by this Home.
func (h *Home) room(e *endpoint, low bool) float64 {
	return h.limitOf(e, low) - float64(e.running) - e.foreign
}

// slots is how many requests the cell should run at once.
func (h *Home) slots(low bool) float64 {
	n := 0.0
	for _, e := range h.list {
		if e.mayTake() {
			n += max(1, h.foreseen(e, low)-e.foreign)
		}
	}
	return n
}

// placeable reports whether r may run now: an endpoint has room for it, and
// the cell keeps room for what higher tiers are likely to need.
func (h *Home) placeable(r *queue.Request) bool {
	tier := h.specs[r.Class].Tier
	if tier > 0 && h.policy.Reserve && !h.unreserved(tier) {
		return false
	}
	return h.choose(r, r.Payload.(*Ask), tier > 0) != nil
}

// placeableOwed is placeable for a class that is owed service.
func (h *Home) placeableOwed(r *queue.Request) bool {
	return h.choose(r, r.Payload.(*Ask), false) != nil
}

// unreserved reports whether another run of the tier, with what runs of it
// and of those below, leaves the higher tiers the slots that their arriving
// work will hold. A slot that a long letter has is not back for many seconds.
func (h *Home) unreserved(tier int) bool {
	lower := 1
	for _, n := range h.byTier[tier:] {
		lower += n
	}
	higher := 0.0
	for i, c := range h.specs {
		if c.Tier < tier {
			higher += h.stats[i].loadAt(h.now)
		}
	}
	// Work is slower on fuller endpoints, and so holds its slots longer.
	if slower := min(h.protectedGap(), h.targetGap().Seconds()) / h.meanGap(); slower > 1 {
		higher *= slower
	}
	return float64(lower) <= h.slots(true)-higher-reserveSigmas*math.Sqrt(higher)
}

// choose returns the endpoint for r, or nil if none has room. The endpoint
// that failed r before is used only if it is the only one that takes work.
func (h *Home) choose(r *queue.Request, a *Ask, low bool) *endpoint {
	if !h.policy.Counts {
		return h.nextInTurn(a)
	}
	var best *endpoint
	least := 0.0
	takers := 0
	for _, e := range h.list {
		if !e.takes() {
			continue
		}
		takers++
		if h.now < e.paused || h.room(e, low) < 1 || e.spec.Name == a.Avoid || !h.maySlow(e, r) {
			continue
		}
		if s := h.score(e, a); best == nil || s < least {
			best, least = e, s
		}
	}
	if best == nil && takers == 1 {
		return h.only(low)
	}
	return best
}

// only returns the one endpoint that takes work if it has room.
func (h *Home) only(low bool) *endpoint {
	for _, e := range h.list {
		if e.takes() && h.room(e, low) >= 1 {
			return e
		}
	}
	return nil
}

// nextInTurn is the baseline's choice: round robin over what has room.
func (h *Home) nextInTurn(a *Ask) *endpoint {
	for i := range h.list {
		e := h.list[(h.turn+i)%len(h.list)]
		if e.takes() && h.room(e, false) >= 1 && (e.spec.Name != a.Avoid || len(h.list) == 1) {
			h.turn = (h.turn + i + 1) % len(h.list)
			return e
		}
	}
	return nil
}

// maySlow reports whether r may go to e though e may be slow. A slow
// endpoint gets one request of a lower tier now and then, to see whether it
// is still slow.
func (h *Home) maySlow(e *endpoint, r *queue.Request) bool {
	if e.machine.State() != stSlow {
		return true
	}
	return h.specs[r.Class].Tier >= lowTier && e.running == 0 && h.now-e.probed >= probeEvery
}

// score is how full e would be, less what speaks for it.
func (h *Home) score(e *endpoint, a *Ask) float64 {
	limit := max(1, e.limit*h.share)
	s := (float64(e.running) + e.foreign + 1) / limit
	if a.Prefix != 0 && h.policy.Warm {
		if _, ok := e.warm[a.Prefix]; ok {
			s -= warmBonus
		}
	}
	if e.spec.DataCentre != a.DataCentre {
		s += farPenalty
	}
	return s
}
