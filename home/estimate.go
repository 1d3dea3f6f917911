package home

// This file predicts service and waiting times and decides admission.

import (
	"math"
	"time"

	"ivyridge/decl"
	"ivyridge/length"
	"ivyridge/queue"
	"ivyridge/verdict"
)

const (
	admitRatio  = 0.95 // least part of the on-time probability left after the predicted wait, to be admitted
	expireRatio = 0.5  // least part of it left after the wait so far, to stay queued

	// Predicted waits are unreliable, so a service request that has to wait is admitted only if it
	// is expected to end within serviceWaitPercent of its target.
	serviceWaitPercent = 50

	// The ratio of observed to predicted waits is averaged with biasDecay and clamped.
	biasDecay   = 0.98
	biasMin     = 0.5
	biasMax     = 4.0
	biasMinWait = 50 * time.Millisecond // shorter predictions do not update the ratio

	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 2 * time.Minute

	loadWindow = 2 * time.Second // time constant of a class's admitted load

	grantWindow     = 4 * time.Second // time constant of a class's granted load
	grantRateAfter  = 4 * time.Second // queuing time after which waits are predicted from that load
	grantRateMargin = 1.1

	defaultTokens = 200.0                  // before any answer completed
	defaultStart  = 100 * time.Millisecond // before any first token was observed
	minCost       = 1e-3                   // slot-seconds
)

type classStats struct {
	start            float64 // seconds to the first token, or total time for a service
	bias             float64 // observed over predicted wait
	load             float64 // recently admitted slot-seconds per second
	loadUpdated      time.Duration
	grantRate        float64 // recently granted slot-seconds per second
	grantRateUpdated time.Duration
	queuedSince      time.Duration // time since which requests have been waiting without a break
	hasStart         bool
}

func (s *classStats) addAdmitted(now time.Duration, cost float64) {
	s.load = s.loadAt(now) + cost/loadWindow.Seconds()
	s.loadUpdated = now
}

func (s *classStats) addGranted(now time.Duration, cost float64) {
	s.grantRate = s.grantRate*math.Exp(-float64(now-s.grantRateUpdated)/float64(grantWindow)) + cost/grantWindow.Seconds()
	s.grantRateUpdated = now
}

func (s *classStats) loadAt(now time.Duration) float64 {
	return s.load * math.Exp(-float64(now-s.loadUpdated)/float64(loadWindow))
}

// estimate sets r's cost and latest start.
func (h *Home) estimate(r *queue.Request, a *Request) {
	c := h.classes[r.Class]
	start := h.startSeconds(r.Class)
	gap := h.meanGap()
	r.Cost = max(start+h.meanTokens(a)*gap, minCost)
	latest := time.Duration(math.MaxInt64)
	if c.FirstToken > 0 {
		latest = r.Arrival + c.FirstToken - seconds(start)
	}
	if c.Whole > 0 {
		runtime := start + h.latestStartTokens(a, c.Whole.Seconds()-start, gap)*gap
		latest = min(latest, r.Arrival+c.Whole-seconds(runtime))
	}
	r.LatestStart = max(latest, r.Arrival)
}

// latestStartTokens returns the answer length, in tokens, that must still fit between the latest
// start and the deadline. A fraction expireRatio of the answers that fit within room are shorter.
func (h *Home) latestStartTokens(a *Request, room, gap float64) float64 {
	d := h.dist(a)
	if d == nil {
		return 0 // no lengths known, so no reason to refuse a late start
	}
	return d.Quantile(expireRatio * d.Within(room/gap))
}

// onTimeProbability estimates the probability that r ends on time if it starts wait from now.
func (h *Home) onTimeProbability(r *queue.Request, a *Request, wait time.Duration) float64 {
	c := h.classes[r.Class]
	elapsed := wait + h.now - r.Arrival + seconds(h.startSeconds(r.Class))
	if c.FirstToken > 0 && elapsed > c.FirstToken {
		return 0
	}
	if c.Whole == 0 {
		return 1
	}
	if h.pool.Kind != decl.Model && wait > 0 && elapsed > c.Whole*serviceWaitPercent/100 {
		return 0
	}
	room := (c.Whole - elapsed).Seconds()
	if room < 0 {
		return 0
	}
	d := h.dist(a)
	if d == nil {
		return 1 // no lengths known, so no reason to refuse
	}
	return d.Within(room / h.meanGap())
}

// dist returns the answer length distribution for a's class and team, or nil if there is none.
func (h *Home) dist(a *Request) *length.Dist {
	if h.pool.Kind != decl.Model || !h.policy.Lengths {
		return nil
	}
	return h.lengths.Dist(a.Class, a.Team)
}

// meanTokens returns the expected tokens of a's answer, at most a.MaxTokens, or zero for a service.
func (h *Home) meanTokens(a *Request) float64 {
	if h.pool.Kind != decl.Model {
		return 0
	}
	n := defaultTokens
	if d := h.dist(a); d != nil {
		n = d.Mean()
	}
	if a.MaxTokens > 0 {
		n = min(n, float64(a.MaxTokens))
	}
	return n
}

func (h *Home) startSeconds(class int) float64 {
	if s := &h.stats[class]; s.hasStart {
		return s.start
	}
	return defaultStart.Seconds()
}

// admit returns the reason to refuse r, or nil if r is admitted.
func (h *Home) admit(r *queue.Request, a *Request) *verdict.Error {
	if h.slots(false) == 0 {
		return verdict.Refuse(verdict.NoEndpoint, "no endpoint of pool %q takes work", h.pool.Name).WithRetryAfter(time.Second)
	}
	if t := h.set.Team(a.Team); t != nil && t.MaxWaiting > 0 && h.q.TeamLen(r.Class, a.Team) >= t.MaxWaiting {
		return verdict.Refuse(verdict.TeamLimit, "team %q has %d requests waiting", a.Team, t.MaxWaiting).WithRetryAfter(h.retryAfter(r))
	}
	if !h.policy.Admit {
		return nil
	}
	if h.q.Len() == 0 && h.placeable(r) {
		return nil
	}
	wait := h.predictWait(r)
	immediate := h.onTimeProbability(r, a, 0)
	if immediate > 0 && h.onTimeProbability(r, a, wait) >= admitRatio*immediate {
		return nil
	}
	e := verdict.Refuse(verdict.Overloaded, "class %q would wait %s", a.Class, wait.Round(time.Millisecond))
	return e.WithRetryAfter(clampRetry(wait))
}

func clampRetry(d time.Duration) time.Duration {
	return max(minRetryAfter, min(d, maxRetryAfter))
}

// predictWait predicts how long r waits for a slot: the work ahead of it divided
// by the capacity left to its class by higher tiers and guaranteed shares.
func (h *Home) predictWait(r *queue.Request) time.Duration {
	total, own := h.q.Ahead(r)
	slots := h.slots(h.classes[r.Class].Tier > 0)
	available := 1.0
	for i, c := range h.classes {
		switch {
		case i == r.Class:
		case c.Tier < h.classes[r.Class].Tier:
			available -= h.stats[i].loadAt(h.now) / slots
		case c.Tier > h.classes[r.Class].Tier && h.policy.Shares && h.q.ClassLen(i) > 0:
			available -= shareOf(c)
		}
	}
	share := max(shareOf(h.classes[r.Class]), defaultShare)
	byOrder := total / (slots * max(available, share))
	byShare := own / (slots * share)
	modelled := min(byOrder, byShare) * h.waitBias(r.Class)
	s := &h.stats[r.Class]
	if !h.policy.Drain || h.q.ClassLen(r.Class) == 0 || h.now-s.queuedSince < grantRateAfter || s.grantRate == 0 {
		return seconds(modelled)
	}
	// The observed grant rate of the class is more accurate than the model.
	return seconds(grantRateMargin * own / s.grantRate)
}

func (h *Home) waitBias(class int) float64 {
	if s := &h.stats[class]; h.policy.Bias && s.bias > 0 {
		return s.bias
	}
	return 1
}

func (h *Home) updateBias(r *queue.Request) {
	s := &h.stats[r.Class]
	if r.Predicted < biasMinWait {
		return
	}
	if s.bias == 0 {
		s.bias = 1
	}
	observed := float64(h.now-r.Pushed) / float64(r.Predicted) * s.bias
	s.bias = biasDecay*s.bias + (1-biasDecay)*max(biasMin, min(observed, biasMax))
}

// retryAfter returns the delay before a retry of a refused r: half r's predicted wait, clamped.
func (h *Home) retryAfter(r *queue.Request) time.Duration {
	return clampRetry(h.predictWait(r) / 2)
}

// observe updates the estimates and the state of r's endpoint from rel, the report of r's end.
func (h *Home) observe(r *run, rel *Release) {
	s := &h.stats[r.class]
	c := h.classes[r.class]
	if rel.Failed {
		r.endpoint.recordFailure()
		return
	}
	r.endpoint.resetFailures()
	if rel.Overloaded {
		r.endpoint.recordRefusal(h.now)
	}
	if !rel.Complete {
		return
	}
	if h.pool.Kind == decl.Service {
		h.adjustService(r.endpoint, rel.Duration)
	}
	h.observeStart(s, rel)
	if rel.Tokens > 0 {
		h.lengths.Observe(c.Name, rel.Team, rel.Tokens)
	}
}

func (h *Home) observeStart(s *classStats, rel *Release) {
	const decay = 0.95
	start := rel.FirstToken.Seconds()
	if h.pool.Kind != "model" {
		start = rel.Duration.Seconds()
	}
	if start <= 0 {
		return
	}
	if !s.hasStart {
		s.start, s.hasStart = start, true
		return
	}
	s.start = decay*s.start + (1-decay)*start
}

func seconds(s float64) time.Duration {
	const limit = float64(math.MaxInt64 / 4)
	return time.Duration(min(s*float64(time.Second), limit))
}
