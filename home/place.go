package home

// This file defines what a Home knows of an endpoint and chooses among them.

import (
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
	// lowTier is the first tier that may be used to probe.
	lowTier = 1
)

type endpoint struct {
	spec     Endpoint
	machine  chart.Machine
	running  int
	limit    float64 // requests it should run at once
	gap      float64 // seconds between tokens, smoothed
	tokens   float64 // tokens behind gap
	adjusted time.Duration
	foreign  float64 // runs of others, inferred from its reports
	reported time.Duration
	probed   time.Duration
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

func (e *endpoint) failed() {
	e.failures++
	if e.failures >= failuresToUnreachable {
		e.machine.Step(evUnreachable)
	}
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

// room is how many more requests e should be given by this Home.
func (h *Home) room(e *endpoint) float64 {
	limit := max(1, e.limit*h.share)
	return limit - float64(e.running) - e.foreign
}

// slots is how many requests the cell should run at once.
func (h *Home) slots() float64 {
	n := 0.0
	for _, e := range h.list {
		if e.takes() {
			n += max(1, e.limit*h.share-e.foreign)
		}
	}
	return n
}

// placeable reports whether some endpoint has room for r.
func (h *Home) placeable(r *queue.Request) bool {
	return h.choose(r, r.Payload.(*Ask)) != nil
}

// choose returns the endpoint for r, or nil if none has room. The endpoint
// that failed r before is used only if it is the only one that takes work.
func (h *Home) choose(r *queue.Request, a *Ask) *endpoint {
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
		if h.room(e) < 1 || e.spec.Name == a.Avoid || !h.maySlow(e, r) {
			continue
		}
		if s := h.score(e, a); best == nil || s < least {
			best, least = e, s
		}
	}
	if best == nil && takers == 1 {
		return h.only(a)
	}
	return best
}

// only returns the one endpoint that takes work if it has room.
func (h *Home) only(a *Ask) *endpoint {
	for _, e := range h.list {
		if e.takes() && h.room(e) >= 1 {
			return e
		}
	}
	return nil
}

// nextInTurn is the baseline's choice: round robin over what has room.
func (h *Home) nextInTurn(a *Ask) *endpoint {
	for i := range h.list {
		e := h.list[(h.turn+i)%len(h.list)]
		if e.takes() && h.room(e) >= 1 && (e.spec.Name != a.Avoid || len(h.list) == 1) {
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
