package home

// This file finds how full each endpoint may be, and which are slow, from
// what their tokens show. Load reports trail the truth, so they are used for
// two things only: to notice runs that this Home did not grant, and to learn
// that an endpoint is back or is leaving.

import (
	"math"
	"time"

	"ivyridge/decl"
)

const (
	adjustEvery = 100 * time.Millisecond
	// gapMemory is how many tokens the smoothed gap remembers.
	// The gap that protects is judged over a longer time, since limits fall
	// faster than they rise and would follow every cluster of prompts down.
	gapMemory     = 150
	slowGapMemory = 1200
	// Between calmPart and fullPart of the target gap the limit is kept.
	// A class asks for 95 gaps in 100 within the target, and gaps spread
	// around their mean, so the mean is held below it.
	fullPart = 0.90
	calmPart = 0.80
	cutMost  = 0.3 // of a limit in one step
	// slowFactor times the median gap of the cell is slow; below fastFactor
	// it is no longer.
	slowFactor = 2.0
	fastFactor = 1.4
	slowTokens = 40 // tokens before an endpoint is judged
	// protectQuantile of the highest tier's answers must fit in their
	// target; protectSeen answers make the quantile worth using.
	protectQuantile = 0.985
	protectSeen     = 50
	// The gap that protects is an average over an answer, so the limit may
	// sit right at it.
	protectFull = 1.02
	protectCalm = 0.94
	// foreignKeep smooths the inferred runs of others.
	foreignKeep = 0.7
	// A service works serviceCalm to serviceFull times as long on a request
	// as when it was least loaded; leastDrift lets that be forgotten.
	serviceCalm  = 1.25
	serviceFull  = 1.5
	serviceEvery = 50 * time.Millisecond
	leastDrift   = 0.0005
	heldKeep     = 0.95
	// foreseenMost times its limit is the most that is foreseen of one.
	foreseenMost = 2.0
	defaultGap   = 60 * time.Millisecond
)

// A Progress is what an entry saw of the tokens of one endpoint since it
// last told: how many followed another token, and the time between them.
type Progress struct {
	Endpoint string
	Tokens   int
	Elapsed  time.Duration
}

// A Load is an endpoint's own report. It describes a past moment.
type Load struct {
	Endpoint string
	Running  int
	Waiting  int
	Leaving  bool
}

// Progress takes in what entries saw.
func (h *Home) Progress(now time.Duration, p Progress) {
	h.now = now
	e := h.byName[p.Endpoint]
	if e == nil || p.Tokens <= 0 {
		return
	}
	mean := p.Elapsed.Seconds() / float64(p.Tokens)
	keep := math.Exp(-float64(p.Tokens) / gapMemory)
	if e.tokens == 0 {
		keep = 0
	}
	e.gap = keep*e.gap + (1-keep)*mean
	keep = math.Exp(-float64(p.Tokens) / slowGapMemory)
	if e.slowGap == 0 {
		keep = 0
	}
	e.slowGap = keep*e.slowGap + (1-keep)*mean
	e.tokens += float64(p.Tokens)
	if now-e.adjusted < adjustEvery {
		return
	}
	e.adjusted = now
	h.judge(e)
	h.adjust(e)
	h.pump()
}

// judge compares e's gap with that of the cell.
func (h *Home) judge(e *endpoint) {
	if !h.policy.Slow || e.tokens < slowTokens {
		return
	}
	median := h.medianGap()
	switch {
	case e.gap > slowFactor*median:
		if e.machine.Step(evSlow) {
			h.Counts.SlowSeen++
			e.tokens = slowTokens
		}
	case e.gap < fastFactor*median:
		e.machine.Step(evFast)
	}
}

// adjust moves e's limits: each down by how far the gap is over its target,
// up by one while it is full and the gap calm.
func (h *Home) adjust(e *endpoint) {
	if !h.policy.Fill || h.pool.Kind != decl.Model {
		return
	}
	busy := (float64(e.running) + e.foreign) / h.share
	e.fit.add(busy, e.gap)
	target := h.targetGap().Seconds()
	most := float64(h.pool.MaxSlots)
	e.limit = adjusted(e.limit, busy, e.gap/target, fullPart, calmPart, most)
	e.low = adjusted(e.low, busy, e.slowGap/h.protectedGap(), protectFull, protectCalm, most)
}

// learnLimit takes over what another home had found out: an endpoint that runs
// more than this Home would give it, and whose tokens do not say that it is
// too much, may run as many.
func (h *Home) learnLimit(e *endpoint) {
	if !h.policy.Fill || e.gap > fullPart*h.targetGap().Seconds() {
		return
	}
	n := min(float64(e.running), float64(h.pool.MaxSlots))
	e.limit, e.low = max(e.limit, n), max(e.low, n)
}

// adjustService moves the limit of a plain service's endpoint by how long it
// works on requests: longer than when it was least loaded means that they
// wait in it.
func (h *Home) adjustService(e *endpoint, held time.Duration) {
	if !h.policy.Fill || held <= 0 {
		return
	}
	d := held.Seconds()
	if e.least == 0 || d < e.least {
		e.least = d
	}
	e.least += leastDrift * (d - e.least)
	if e.held == 0 {
		e.held = d
	}
	e.held = heldKeep*e.held + (1-heldKeep)*d
	if h.now-e.adjusted < serviceEvery {
		return
	}
	e.adjusted = h.now
	busy := (float64(e.running) + e.foreign) / h.share
	e.limit = adjusted(e.limit, busy, e.held/e.least, serviceFull, serviceCalm, float64(h.pool.MaxSlots))
	e.low = e.limit
}

// foreseen is how many requests e could run at once, where its limit has not
// been tried for want of work.
func (h *Home) foreseen(e *endpoint, low bool) float64 {
	limit := h.limitOf(e, low)
	if !h.policy.Fill || h.pool.Kind != decl.Model {
		return limit
	}
	target := calmPart * h.targetGap().Seconds()
	if low && h.policy.Protect {
		target = min(target, protectCalm*h.protectedGap())
	}
	n, ok := e.fit.at(target)
	if !ok {
		return limit
	}
	return max(limit, h.share*min(n, foreseenMost*e.limit, float64(h.pool.MaxSlots)))
}

// adjusted returns a limit moved by the ratio of the gap to its target.
func adjusted(limit, busy, ratio, full, calm, most float64) float64 {
	switch {
	case ratio > full:
		return max(1, limit*(1-min(cutMost, (ratio-full)/2)))
	case ratio < calm && busy >= limit-1:
		return min(most, limit+1)
	}
	return limit
}

// protectedGap is the time between tokens at which nearly all answers of the
// highest tier are whole in time, if they start at once. Lower tiers are not
// to make an endpoint slower than that.
func (h *Home) protectedGap() float64 {
	gap := math.Inf(1)
	for i, c := range h.specs {
		if c.Tier > 0 || c.Whole == 0 {
			continue
		}
		if d := h.book.Class(c.Name); d != nil && d.Seen() >= protectSeen {
			room := c.Whole.Seconds() - h.startOf(i)
			gap = min(gap, room/d.Quantile(protectQuantile))
		}
	}
	return gap
}

// targetGap is the shortest gap that a declared class asks for.
func (h *Home) targetGap() time.Duration {
	target := time.Duration(0)
	for _, c := range h.specs {
		if c.TokenGap > 0 && (target == 0 || c.TokenGap < target) {
			target = c.TokenGap
		}
	}
	if target == 0 {
		return defaultGap
	}
	return target
}

// medianGap returns the median of the gaps known in the cell, in seconds.
func (h *Home) medianGap() float64 {
	var buf [64]float64
	gaps := buf[:0]
	for _, e := range h.list {
		if e.tokens > 0 && e.takes() {
			gaps = insertSorted(gaps, e.gap)
		}
	}
	if len(gaps) == 0 {
		return h.targetGap().Seconds() / 2
	}
	return gaps[(len(gaps)-1)/2]
}

func insertSorted(s []float64, x float64) []float64 {
	s = append(s, x)
	for i := len(s) - 1; i > 0 && s[i-1] > x; i-- {
		s[i], s[i-1] = s[i-1], x
	}
	return s
}

// meanGap is the gap to plan with, in seconds.
func (h *Home) meanGap() float64 {
	sum, weight := 0.0, 0.0
	for _, e := range h.list {
		if e.tokens > 0 && e.machine.State() == stServing {
			sum += e.gap * e.limit
			weight += e.limit
		}
	}
	if weight == 0 {
		return h.targetGap().Seconds() / 2
	}
	return sum / weight
}

// Report takes in an endpoint's load report.
func (h *Home) Report(now time.Duration, l Load) {
	h.now = now
	e := h.byName[l.Endpoint]
	if e == nil {
		return
	}
	e.reported = now
	e.failures = 0
	e.machine.Step(evReport)
	if l.Leaving {
		e.machine.Step(evLeave)
	}
	if h.policy.Foreign {
		over := max(0, float64(l.Running+l.Waiting-e.running))
		e.foreign = foreignKeep*e.foreign + (1-foreignKeep)*over
		if e.foreign < 0.5 {
			e.foreign = 0
		}
	}
	h.pump()
}

// Unreachable tells that an endpoint's report could not be had.
func (h *Home) Unreachable(now time.Duration, name string) {
	h.now = now
	if e := h.byName[name]; e != nil {
		e.failed()
	}
}

func (e *endpoint) gapNow() time.Duration { return seconds(e.gap) }
