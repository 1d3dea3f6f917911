package balance

// This file refuses less urgent requests while more urgent ones are starved.
//
// The pressures behind yielding follow the load within pressureWindow, so during a surge of urgent
// requests, less urgent ones would be admitted in every pause. Returning urgent callers would then
// find engines busy with long prompts.

import (
	"math/rand/v2"
	"time"

	"ivyridge/discovery"
)

const (
	// starvationWindow is the time over which refusals are counted.
	starvationWindow = 5 * time.Second
	// tallyBucket is the resolution of a tally.
	tallyBucket  = 500 * time.Millisecond
	tallyBuckets = int64(starvationWindow / tallyBucket)
	// starvedRefusalRate is the share of refused requests above which a level is starved.
	starvedRefusalRate = 1.0 / 16
	// minStarvedRefusals is the minimum number of refusals, since one or two are not significant.
	minStarvedRefusals = 3
	// idleShare is the share of a service's slots in use below which it counts as idle if nothing
	// is queued. An idle service refuses nothing, whatever happened before.
	idleShare = 0.5
)

// A tally counts the requests and refusals of one urgency level over starvationWindow.
type tally struct {
	requests, refused [tallyBuckets]int
	step              int64 // latest bucket
}

// advance clears buckets that have expired by now, and returns the index of the current one.
func (t *tally) advance(now time.Time) int64 {
	step := now.UnixNano() / int64(tallyBucket)
	for bucket := max(t.step+1, step-tallyBuckets+1); bucket <= step; bucket++ {
		t.requests[bucket%tallyBuckets], t.refused[bucket%tallyBuckets] = 0, 0
	}
	t.step = max(t.step, step)
	return t.step % tallyBuckets
}

func (t *tally) count(now time.Time, refused bool) {
	i := t.advance(now)
	t.requests[i]++
	if refused {
		t.refused[i]++
	}
}

// starved reports whether too many requests were refused.
func (t *tally) starved(now time.Time) bool {
	t.advance(now)
	requests, refused := 0, 0
	for i := range t.requests {
		requests += t.requests[i]
		refused += t.refused[i]
	}
	return refused >= minStarvedRefusals && float64(refused) > starvedRefusalRate*float64(requests)
}

// starvationRefusal returns a refusal if more urgent requests are starved and the service is not
// idle, or nil. The caller holds b.mu.
func (b *Balancer) starvationRefusal(endpoints []*discovery.Endpoint, d *Demand, p *Placement, now time.Time) *Refusal {
	stats := b.statsFor(d.Service.Name)
	for urgent := range d.level() {
		if !stats.tallies[urgent].starved(now) {
			continue
		}
		if b.idle(endpoints, d, p) {
			stats.tallies = [levels]tally{} // no level is starved any more
			return nil
		}
		after := minRetryAfter + time.Duration(rand.Float64()*float64(retryAfterSpread))
		return &Refusal{Pressure: 1, RetryAfter: after}
	}
	return nil
}

// idle reports whether nothing is queued at the request's best endpoint and the service uses few
// slots.
func (b *Balancer) idle(endpoints []*discovery.Endpoint, d *Demand, p *Placement) bool {
	if p.Wait > 0 {
		return false
	}
	slotsUsed := 0
	loads := b.workingSet(d.Service.Name, endpoints).loads
	for _, l := range loads {
		slotsUsed += l.running + l.others.Requests
	}
	slots := max(1, len(loads)*d.Service.Engine.Slots)
	return float64(slotsUsed) < idleShare*float64(slots)
}
