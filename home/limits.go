package home

// This file adjusts concurrency limits and detects slow endpoints, both from inter-token gaps. Load
// reports lag, so they serve only to infer runs that this Home did not grant and to learn that an
// endpoint is back or leaving.

import (
	"math"
	"time"

	"ivyridge/decl"
)

const (
	adjustInterval = 100 * time.Millisecond
	// Time constants, in tokens, of the smoothed gaps. The longer one controls the lower tiers'
	// limit: limits fall faster than they rise, so bursts of prompts would keep it low otherwise.
	gapWindowTokens     = 150
	longGapWindowTokens = 1200
	// The limit is kept while the gap over its target is between these. Both are below one, since a
	// class wants 95% of the gaps within the target and gaps vary around their mean.
	highWatermark     = 0.90
	lowWatermark      = 0.80
	maxLimitCut       = 0.3   // fraction of a limit per step
	slowFactor        = 2.0   // an endpoint is slow above this multiple of the cell's median gap
	fastFactor        = 1.4   // and no longer slow below this one
	slowMinTokens     = 40    // tokens observed before an endpoint is judged
	protectQuantile   = 0.985 // of the highest tier's answers must meet their target
	protectMinAnswers = 50    // observed before the quantile is used
	// The protected gap is an average over an answer, so the limit may be held close to it.
	protectHighWatermark = 1.02
	protectLowWatermark  = 0.94
	foreignDecay         = 0.7 // smoothing factor of the inferred foreign runs
	// A service's limit is kept while its service time over its minimum is between these.
	serviceLowRatio       = 1.25
	serviceHighRatio      = 1.5
	serviceAdjustInterval = 50 * time.Millisecond
	minServiceTimeDrift   = 0.0005 // raises the minimum slowly, so that it follows a slower service
	serviceTimeDecay      = 0.95
	maxForecastFactor     = 2.0 // bound of a forecast, as a multiple of the limit
	defaultGap            = 60 * time.Millisecond
)

// A Progress is what an entry observed of one endpoint's tokens since its last
// report: how many followed another token, and the total time between them.
type Progress struct {
	Endpoint string
	Tokens   int
	Elapsed  time.Duration
}

// A Load is an endpoint's own load report, which lags.
type Load struct {
	Endpoint string
	Running  int
	Waiting  int
	Leaving  bool
}

// Progress updates the inter-token gaps of p's endpoint and adjusts its limits.
func (h *Home) Progress(now time.Duration, p Progress) {
	h.now = now
	e := h.byName[p.Endpoint]
	if e == nil || p.Tokens <= 0 {
		return
	}
	mean := p.Elapsed.Seconds() / float64(p.Tokens)
	decay := math.Exp(-float64(p.Tokens) / gapWindowTokens)
	if e.tokens == 0 {
		decay = 0
	}
	e.gap = decay*e.gap + (1-decay)*mean
	decay = math.Exp(-float64(p.Tokens) / longGapWindowTokens)
	if e.longGap == 0 {
		decay = 0
	}
	e.longGap = decay*e.longGap + (1-decay)*mean
	e.tokens += float64(p.Tokens)
	if now-e.lastAdjusted < adjustInterval {
		return
	}
	e.lastAdjusted = now
	h.detectSlow(e)
	h.adjustLimits(e)
	h.dispatch()
}

func (h *Home) detectSlow(e *endpoint) {
	if !h.policy.Slow || e.tokens < slowMinTokens {
		return
	}
	median := h.medianGap()
	switch {
	case e.gap > slowFactor*median:
		if e.machine.Step(evSlow) {
			h.Counts.SlowSeen++
			e.tokens = slowMinTokens
		}
	case e.gap < fastFactor*median:
		e.machine.Step(evFast)
	}
}

// adjustLimits lowers each of e's limits in proportion to how far the gap
// exceeds its target, and raises it by one if e is full and the gap is low.
func (h *Home) adjustLimits(e *endpoint) {
	if !h.policy.Fill || h.pool.Kind != decl.Model {
		return
	}
	busy := (float64(e.running) + e.foreign) / h.share
	e.gapFit.observe(busy, e.gap)
	target := h.targetGap().Seconds()
	maxLimit := float64(h.pool.MaxSlots)
	e.limit = nextLimit(e.limit, busy, e.gap/target, highWatermark, lowWatermark, maxLimit)
	e.lowLimit = nextLimit(e.lowLimit, busy, e.longGap/h.protectedGap(), protectHighWatermark, protectLowWatermark, maxLimit)
}

// raiseLimit raises e's limits to its number of runs unless its gap is above the high watermark, so
// that a new home keeps the limit that the previous one had found.
func (h *Home) raiseLimit(e *endpoint) {
	if !h.policy.Fill || e.gap > highWatermark*h.targetGap().Seconds() {
		return
	}
	n := min(float64(e.running), float64(h.pool.MaxSlots))
	e.limit, e.lowLimit = max(e.limit, n), max(e.lowLimit, n)
}

// adjustService adjusts the limit of a service endpoint by its service time: a
// rise above the minimum means that requests queue in the endpoint.
func (h *Home) adjustService(e *endpoint, duration time.Duration) {
	if !h.policy.Fill || duration <= 0 {
		return
	}
	d := duration.Seconds()
	if e.minServiceTime == 0 || d < e.minServiceTime {
		e.minServiceTime = d
	}
	e.minServiceTime += minServiceTimeDrift * (d - e.minServiceTime)
	if e.serviceTime == 0 {
		e.serviceTime = d
	}
	e.serviceTime = serviceTimeDecay*e.serviceTime + (1-serviceTimeDecay)*d
	if h.now-e.lastAdjusted < serviceAdjustInterval {
		return
	}
	e.lastAdjusted = h.now
	busy := (float64(e.running) + e.foreign) / h.share
	e.limit = nextLimit(e.limit, busy, e.serviceTime/e.minServiceTime, serviceHighRatio, serviceLowRatio, float64(h.pool.MaxSlots))
	e.lowLimit = e.limit
}

// forecastLimit estimates how many requests e could run at once. It may exceed e's limit, which is
// not raised while e is not full.
func (h *Home) forecastLimit(e *endpoint, lowTier bool) float64 {
	limit := h.limitOf(e, lowTier)
	if !h.policy.Fill || h.pool.Kind != decl.Model {
		return limit
	}
	target := lowWatermark * h.targetGap().Seconds()
	if lowTier && h.policy.Protect {
		target = min(target, protectLowWatermark*h.protectedGap())
	}
	n, ok := e.gapFit.solve(target)
	if !ok {
		return limit
	}
	return max(limit, h.share*min(n, maxForecastFactor*e.limit, float64(h.pool.MaxSlots)))
}

// nextLimit returns limit, lowered if ratio exceeds high, or raised if below low at full load.
func nextLimit(limit, busy, ratio, high, low, maxLimit float64) float64 {
	switch {
	case ratio > high:
		return max(1, limit*(1-min(maxLimitCut, (ratio-high)/2)))
	case ratio < low && busy >= limit-1:
		return min(maxLimit, limit+1)
	}
	return limit
}

// protectedGap returns the inter-token gap, in seconds, at which protectQuantile of the highest
// tier's answers are on time if they start at once. Lower tiers must not make an endpoint slower.
func (h *Home) protectedGap() float64 {
	gap := math.Inf(1)
	for i, c := range h.classes {
		if c.Tier > 0 || c.Whole == 0 {
			continue
		}
		if d := h.lengths.Class(c.Name); d != nil && d.Seen() >= protectMinAnswers {
			room := c.Whole.Seconds() - h.startSeconds(i)
			gap = min(gap, room/d.Quantile(protectQuantile))
		}
	}
	return gap
}

// targetGap returns the shortest inter-token target of the declared classes.
func (h *Home) targetGap() time.Duration {
	target := time.Duration(0)
	for _, c := range h.classes {
		if c.TokenGap > 0 && (target == 0 || c.TokenGap < target) {
			target = c.TokenGap
		}
	}
	if target == 0 {
		return defaultGap
	}
	return target
}

// medianGap returns the median inter-token gap of the accepting endpoints, in seconds.
func (h *Home) medianGap() float64 {
	var buf [64]float64
	gaps := buf[:0]
	for _, e := range h.endpoints {
		if e.tokens > 0 && e.accepting() {
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

// meanGap returns the mean inter-token gap of the serving endpoints, weighted by limit, in seconds.
func (h *Home) meanGap() float64 {
	sum, weight := 0.0, 0.0
	for _, e := range h.endpoints {
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

// Report applies the load report l.
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
		excess := max(0, float64(l.Running+l.Waiting-e.running))
		e.foreign = foreignDecay*e.foreign + (1-foreignDecay)*excess
		if e.foreign < 0.5 {
			e.foreign = 0
		}
	}
	h.dispatch()
}

// Unreachable records that the load of the endpoint called name could not be read.
func (h *Home) Unreachable(now time.Duration, name string) {
	h.now = now
	if e := h.byName[name]; e != nil {
		e.recordFailure()
	}
}

func (e *endpoint) gapDuration() time.Duration { return seconds(e.gap) }
