package balance

// This file estimates the speed of a service's engines from requests of all instances.

import (
	"time"

	"ivyridge/speed"
)

// Assumptions about engines without samples, and properties that are not learned.
const (
	defaultPrefillPerToken = 1 / 50.0 // ms
	// defaultStepTime is the inter-token time in ms of a single request to a model on one
	// accelerator.
	defaultStepTime = 3.5
	// stepPerRequest is the increase of the step time per concurrent request, as a share of it.
	stepPerRequest = 0.02
	// chunkTokens is the usual chunk size of engines with chunked prefill.
	chunkTokens = 2048
)

const (
	// fixedOverhead is the part of the time to first token, in ms, not spent on prefill: network
	// round trip, connection setup, first step.
	fixedOverhead = 8.0
	// halfWeightTokens is the prompt size at which a sample has half its full weight. The step in
	// progress when a prompt arrives takes as long as several hundred tokens.
	halfWeightTokens = 800.0
	// minSampleTokens is the prompt size below which samples are ignored.
	minSampleTokens = 200.0
	// aheadPenalty reduces the weight of samples by the tokens queued ahead, whose number is
	// uncertain.
	aheadPenalty = 2.0
	// minStreamEvents is the minimum number of stream events for a sample.
	minStreamEvents = 4
	// statsTTL is how long a service's statistics are cached, about the interval between reports.
	statsTTL = 100 * time.Millisecond
)

// A Pace is the estimated speed of an engine when it was chosen.
type Pace struct {
	PrefillPerToken float64 // ms of prefill per prompt token
	StepTime        float64 // ms per output token of a single request
	TokenTime       float64 // ms per output token at the endpoint's load
}

// serviceStats holds the statistics of one service's endpoints.
type serviceStats struct {
	prefillPerToken speed.Estimate
	stepTime        speed.Estimate
	updatedAt       time.Time

	hold         float64 // mean time in ms that a request holds a slot; zero: unknown
	pressures    [levels]levelPressures
	refusalRates [levels]levelPressures // shares of requests refused or crowded
	tallies      [levels]tally          // requests and refusals over starvationWindow

	occupancy        pressure      // requests per slot at endpoints without an engine
	plainRefusalRate pressure      // share of own requests refused by endpoints without an engine
	unpermittedRate  decayingCount // own requests refused for lack of a permit
	permits          permitStats

	prefillBuf, stepBuf []speed.Samples // reused by refresh
}

func newServiceStats() *serviceStats {
	return &serviceStats{prefillPerToken: speed.NewEstimate(defaultPrefillPerToken), stepTime: speed.NewEstimate(defaultStepTime)}
}

// statsFor returns the statistics of a service, creating them if needed. The caller holds b.mu.
func (b *Balancer) statsFor(service string) *serviceStats {
	s := b.stats[service]
	if s == nil {
		s = newServiceStats()
		b.stats[service] = s
	}
	return s
}

// refresh recomputes the service's speed from its endpoints' samples if statsTTL has passed.
func (s *serviceStats) refresh(loads []*load, now time.Time) {
	if now.Sub(s.updatedAt) < statsTTL {
		return
	}
	passed := now.Sub(s.updatedAt)
	if s.updatedAt.IsZero() {
		passed = 0
	}
	s.updatedAt = now
	prefills, steps := s.prefillBuf[:0], s.stepBuf[:0]
	for _, l := range loads {
		prefills = append(prefills, l.observed.Prefill)
		steps = append(steps, l.observed.Step)
	}
	s.prefillPerToken.Update(prefills, passed)
	s.stepTime.Update(steps, passed)
	s.prefillBuf, s.stepBuf = prefills, steps
}

func (l *load) updateSpeed(stats *serviceStats) {
	l.stats = stats
	l.prefillPerToken = stats.prefillPerToken.ForEndpoint(l.observed.Prefill)
	l.stepTime = stats.stepTime.ForEndpoint(l.observed.Step)
}

// tokenTime returns the time per output token in ms, with n concurrent requests and the recent
// prefill load.
func (l *load) tokenTime(n int) float64 {
	alone := l.stepTime * (1 + stepPerRequest*float64(n))
	chunk := chunkTokens * l.prefillPerToken
	return 1 / ((1-l.prefillShare)/alone + l.prefillShare/(alone+chunk))
}

// Expected returns the estimated time to the first event, as of the choice. It is zero for an
// endpoint without an engine.
func (p *Placement) Expected() time.Duration {
	if p.Pace == (Pace{}) {
		return 0
	}
	prefillTime := float64(p.charge.uncached) * p.Pace.PrefillPerToken
	return time.Duration((p.Wait + prefillTime + fixedOverhead) * float64(time.Millisecond))
}

// markPrefilled records that the request's prompt is prefilled. The caller holds the balancer's
// lock.
func (p *Placement) markPrefilled() {
	if p.done || p.prefilled {
		return
	}
	p.prefilled = true
	p.load.own.PendingPrefill -= p.charge.uncached
	p.load.own.PendingPrefillByLevel[p.charge.level] -= p.charge.uncached
	p.balancer.markChanged(p.load)
}

// RecordFirstEvent records that the first event of the request's stream arrived. The argument is
// the time since the request was sent to the endpoint.
func (p *Placement) RecordFirstEvent(after time.Duration) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	p.markPrefilled()
	tokens := p.BacklogTokens + float64(p.charge.uncached)
	if tokens < minSampleTokens || p.load.stats == nil {
		return
	}
	took := max(milliseconds(after)-fixedOverhead, 1) / tokens
	weight := tokens / (tokens + halfWeightTokens) * tokens / (tokens + aheadPenalty*p.BacklogTokens)
	p.load.decay(b.now())
	p.load.ownObserved.Prefill.Add(p.load.stats.prefillPerToken.Clamp(took), weight)
	b.markChanged(p.load)
}

// RecordStreamEnd records the number of events of a completed stream and the time since the first.
func (p *Placement) RecordStreamEnd(events int, lasted time.Duration) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if events < minStreamEvents || p.outputTokens <= 0 || p.Pace.TokenTime <= 0 || p.load.stats == nil {
		return
	}
	took := milliseconds(lasted) / float64(p.outputTokens)
	p.load.decay(b.now())
	p.load.ownObserved.Step.Add(p.load.stats.stepTime.Clamp(p.Pace.StepTime*took/p.Pace.TokenTime), 1)
	b.markChanged(p.load)
}
