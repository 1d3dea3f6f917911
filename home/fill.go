package home

// This file finds how full each endpoint may be, and which are slow, from
// what their tokens show. Load reports trail the truth, so they are used for
// two things only: to notice runs that this Home did not grant, and to learn
// that an endpoint is back or is leaving.

import (
	"math"
	"time"
)

const (
	adjustEvery = 100 * time.Millisecond
	// gapMemory is how many tokens the smoothed gap remembers.
	gapMemory = 150
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
	// foreignKeep smooths the inferred runs of others.
	foreignKeep = 0.7
	defaultGap  = 60 * time.Millisecond
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

// adjust moves e's limit: down by how far its gap is over, up by one while
// it is full and its gap calm.
func (h *Home) adjust(e *endpoint) {
	if !h.policy.Fill || h.pool.Kind != "model" {
		return
	}
	target := h.targetGap().Seconds()
	over := e.gap/target - fullPart
	switch {
	case over > 0:
		e.limit = max(1, e.limit*(1-min(cutMost, over/2)))
	case e.gap < calmPart*target && float64(e.running)+e.foreign >= e.limit*h.share-1:
		e.limit = min(float64(h.pool.MaxSlots), e.limit+1)
	}
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
