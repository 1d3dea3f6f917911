package balance

// This file tracks how often first parts of prompts are used.
//
// Prefilling a part at one more endpoint benefits all later requests that find it cached there. A
// part used a few times per minute should stay where it is, but one that most requests start with
// should soon be cached everywhere. Charging its prefill to the first request alone would confine
// those requests to the few engines that cache it.

import (
	"math"
	"time"
)

const (
	// usesWindow is the time constant of the counts. Rates are computed over at least
	// minUsesWindow, since a few uses at the start are not significant.
	usesWindow    = 10 * time.Second
	minUsesWindow = time.Second
	// usesHorizon is how long a prefilled part is expected to be used, about the time that an
	// unused part stays cached.
	usesHorizon = 28 * time.Second
	// minUses is the count below which a part is dropped.
	minUses = 0.1
)

// A useCount is an exponentially decaying count of uses.
type useCount struct {
	value         float64
	at            time.Time
	since         time.Time // first use
	crossingsPaid float64   // cost of leaving the region for the part, as of at
}

func (u useCount) of(now time.Time) float64 {
	return u.value * math.Exp(-float64(now.Sub(u.at))/float64(usesWindow))
}

// paidFor returns the decayed cost of leaving the region for the part. The decay ensures that
// rarely used parts are not prefilled a second time.
func (u useCount) paidFor(now time.Time) float64 {
	if u.crossingsPaid == 0 {
		return 0
	}
	return u.crossingsPaid * math.Exp(-float64(now.Sub(u.at))/float64(usesHorizon))
}

// rate returns the uses per second.
func (u useCount) rate(now time.Time) float64 {
	over := usesWindow.Seconds() * (1 - math.Exp(-float64(now.Sub(u.since))/float64(usesWindow)))
	return u.of(now) / max(over, minUsesWindow.Seconds())
}

// uses counts uses of first parts of prompts, by ID. Later parts belong to one session.
type uses map[uint64]useCount

// add counts a prompt. The last of parts is unique to it.
func (u uses) add(now time.Time, parts []Part) {
	if len(parts) < 2 {
		return
	}
	id := parts[0].ID
	before, known := u[id]
	if !known {
		before.since = now
	}
	u[id] = useCount{value: before.of(now) + 1, at: now, since: before.since, crossingsPaid: before.paidFor(now)}
}

// costShare returns the share of the prefill cost of the first part that is charged to one
// request, if the part were prefilled at one more of n endpoints.
func (u uses) costShare(now time.Time, parts []Part, n int) float64 {
	if len(parts) < 2 || n == 0 {
		return 1
	}
	ahead := u[parts[0].ID].rate(now) * usesHorizon.Seconds()
	return 1 / max(1, ahead/float64(n))
}

// paid returns what this instance's choices have paid for leaving the region for the prompt's
// first part.
func (u uses) paid(now time.Time, parts []Part) float64 {
	if len(parts) < 2 {
		return 0
	}
	return u[parts[0].ID].paidFor(now)
}

// recordCrossing updates what placements in other regions have paid to use the prompt's first part
// there. Once that equals the cost of local prefill, the part is prefilled locally, which bounds
// the total cost to about twice the optimum. Local prefill resets the count. The caller holds
// b.mu.
func (b *Balancer) recordCrossing(p *Placement, d *Demand, now time.Time) {
	if !b.multiRegion || len(d.Parts) < 2 {
		return
	}
	count, known := b.uses[d.Parts[0].ID]
	switch {
	case !known:
		return
	case p.Distance == OtherRegion && p.Cached > 0:
		count.crossingsPaid += p.CrossRegionCost
	case p.Distance != OtherRegion && p.Cached-p.Fetched == 0:
		count.crossingsPaid = 0
	default:
		return
	}
	b.uses[d.Parts[0].ID] = count
}

// forget drops parts that are no longer used.
func (u uses) forget(now time.Time) {
	for id, count := range u {
		if count.of(now) < minUses {
			delete(u, id)
		}
	}
}
