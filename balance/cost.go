package balance

// This file estimates the cost of placing a request at an endpoint.

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"ivyridge/discovery"
)

// Weights of cost terms. One unit is the value of serving a request of weight 1 in time.
const (
	failureCost         = 1.0
	prefillCost         = 0.016 // per ms of prefill, which is unavailable to other requests
	crossDataCentreCost = 0.004 // endpoint in another data centre
	affinityCost        = 0.01  // endpoint other than the one that the prompt's parts hash to
	slotsCost           = 2.0   // all slots in use
	memoryCost          = 2.0   // all cache memory in use
	cacheMemoryShare    = 0.9   // share of the memory that caches parts
	memorySoftLimit     = 0.8
	slotsSoftLimit      = 0.85
	plainCost           = 0.5    // without an engine: all slots in use
	plainCrossCost      = 0.03   // without an engine: other data centre; a local endpoint fills half of its slots first
	rotationCost        = 0.0005 // per recently completed request, so that idle endpoints are used in rotation
)

// choiceParams are the inputs common to all endpoints of one choice.
type choiceParams struct {
	failureRate            float64 // share of requests failing across the service
	firstPartShare         float64 // share of the prefill cost of the prompt's first part charged to the request
	cachedTokens           int     // prompt tokens cached at the endpoint being estimated
	crossRegionCost        float64 // cost of leaving the region; zero with a single region
	uncongestedCrossCost   float64 // crossRegionCost with an idle link
	priorCrossCost         float64 // accumulated cost of using the prompt's first part in other regions; deducted from local prefill
	typicalPrefillPerToken float64 // ms to prefill a token at a typical endpoint; zero unless idle endpoints exist outside the working set
}

// estimate returns the placement of d at e with its cost. The cost is infinite if prefill alone
// costs at least maxCost, the best cost found so far.
//
// While idle endpoints exist outside the working set, faster endpoints get no advantage, and
// queueing costs as much as prefill. Otherwise prompts pile up at the few endpoints that look
// fastest or cache their first part.
func (b *Balancer) estimate(e *discovery.Endpoint, l *load, d *Demand, params *choiceParams, maxCost float64, now time.Time) Placement {
	p := Placement{Endpoint: e, load: l, Distance: l.distance, failureRate: params.failureRate}
	if d.Service.Engine == nil {
		p.Cost = b.plainCost(e, l, params, now)
		return p
	}
	engine := d.Service.Engine
	p.Cached = params.cachedTokens
	prefillTime := float64(d.Prompt-p.Cached) * l.prefillPerToken
	perToken := max(l.prefillPerToken, params.typicalPrefillPerToken)
	promptCost := prefillCost * float64(d.Prompt-p.Cached) * perToken
	if p.Cached == 0 && len(d.Parts) > 0 {
		firstPartCost := prefillCost * float64(min(d.Parts[0].Tokens, d.Prompt)) * perToken
		promptCost -= (1 - params.firstPartShare) * firstPartCost
		if l.distance != OtherRegion {
			promptCost -= min(params.priorCrossCost, params.firstPartShare*firstPartCost)
		}
	}
	l.observe(now)
	if promptCost >= maxCost {
		p.Cost = math.Inf(1)
		return p
	}
	total := l.total()
	l.capBacklog(now, total.PendingPrefill, b.reportInterval)
	p.Pace.PrefillPerToken = l.prefillPerToken
	backlog := l.backlog(now)
	p.Backlog = time.Duration(backlog * float64(time.Millisecond))
	p.BacklogTokens = backlog / p.Pace.PrefillPerToken
	p.Pace.StepTime = l.stepTime
	p.Pace.TokenTime = l.tokenTime(total.Requests)
	p.prefillTime = prefillTime
	p.Wait = max(backlog, l.stats.slotWait(&total, d.level(), engine.Slots))
	if d.requireInTime && l.late(d, prefillTime, b.reportInterval, now) {
		p.Cost = math.Inf(1)
		return p
	}
	weight := d.weight()
	late := (p.Wait + prefillTime) / milliseconds(d.Objective)
	p.Cost = weight * lateness(late)
	p.Cost += weight * failureCost * l.observed.excess(params.failureRate)
	p.Cost += total.Exposure * (lateness(backlog+prefillTime) - lateness(backlog))
	if d.MaxGap > 0 {
		p.Cost += weight * l.contention / lateness(milliseconds(d.MaxGap))
	}
	if d.Deadline > 0 && d.Output > 0 {
		finish := p.Wait + prefillTime + float64(d.Output)*p.Pace.TokenTime
		p.Cost += weight * lateness(finish/milliseconds(d.Deadline))
	}
	p.Cost += promptCost
	if params.typicalPrefillPerToken > 0 {
		p.Cost += prefillCost * p.Wait
	}
	p.Cost += weight * slotsCost * overLimit(float64(total.Requests+1), slotsSoftLimit*float64(engine.Slots), float64(engine.Slots))
	p.Cost += weight * memoryCost * overLimit(float64(total.Memory+d.Prompt), memorySoftLimit*float64(engine.MemoryTokens), float64(engine.MemoryTokens))
	p.Cost += affinityCost * affinity(l.hash, d.Parts)
	p.Cost += params.locationCost(l, crossDataCentreCost, late/localAdvantageEnd)
	return p
}

// plainCost returns the cost of an endpoint without an engine.
func (b *Balancer) plainCost(e *discovery.Endpoint, l *load, params *choiceParams, now time.Time) float64 {
	running := float64(l.running + l.others.Requests)
	observed := l.observed
	slow := l.slowness.valueAt(now)
	utilization := slow * (running + 1) / float64(max(1, e.Slots))
	cost := plainCost*lateness(utilization) + failureCost*observed.excess(params.failureRate)
	cost += rotationCost * observed.Completed * slow
	cost += params.locationCost(l, plainCrossCost, utilization)
	return cost
}

// lateness returns the value lost by a request that takes x times its allowed time. It is steep,
// since engines prefill in chunks: waits well below the limit cost almost nothing.
func lateness(x float64) float64 { return x * x * x * x }

func milliseconds(d time.Duration) float64 {
	return max(1, float64(d)/float64(time.Millisecond))
}

// overLimit returns 0 up to soft, 1 at hard, and is linear above soft.
func overLimit(used, soft, hard float64) float64 {
	if used <= soft || hard <= soft {
		return 0
	}
	return (used - soft) / (hard - soft)
}

// affinity returns a rendezvous hash from 0 to 1. It is lowest at the endpoint that should cache
// the prompt's shared parts, so that instances agree without communication.
func affinity(endpoint uint32, parts []PromptPart) float64 {
	if len(parts) < 2 {
		return 0
	}
	var key [12]byte
	binary.LittleEndian.PutUint32(key[:], endpoint)
	binary.LittleEndian.PutUint64(key[4:], parts[len(parts)-2].ID)
	return float64(xxhash.Sum64(key[:])>>11) / (1 << 53)
}
