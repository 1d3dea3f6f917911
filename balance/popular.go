package balance

// This file tracks how often first parts of prompts are used.
//
// Prefilling a part at one more endpoint benefits all later requests that find it cached there, so
// its cost is divided among them. Charged to a single request, it would confine requests with a
// popular first part to the few engines that cache it.

import (
	"math"
	"time"
)

const (
	// usesWindow is the time constant of the counts. Rates are computed over at least
	// minUsesWindow, since a few uses at the start are not significant.
	usesWindow    = 10 * time.Second
	minUsesWindow = time.Second
	// usesHorizon is how long a prefilled part is expected to be used, about as long as it stays
	// cached.
	usesHorizon = 28 * time.Second
	// minUses is the count below which a part is dropped.
	minUses = 0.1
)

// A useCount is an exponentially decaying count of uses.
type useCount struct {
	value            float64
	at               time.Time
	since            time.Time // first use
	accruedCrossCost float64   // accumulated cost of using the part in other regions, as of at
}

func (u useCount) valueAt(now time.Time) float64 {
	return u.value * math.Exp(-float64(now.Sub(u.at))/float64(usesWindow))
}

// accruedCrossCostAt returns the accumulated cost of using the part in other regions, decayed to
// now. Without decay, rarely used parts would be prefilled a second time.
func (u useCount) accruedCrossCostAt(now time.Time) float64 {
	if u.accruedCrossCost == 0 {
		return 0
	}
	return u.accruedCrossCost * math.Exp(-float64(now.Sub(u.at))/float64(usesHorizon))
}

func (u useCount) rate(now time.Time) float64 {
	window := usesWindow.Seconds() * (1 - math.Exp(-float64(now.Sub(u.since))/float64(usesWindow)))
	return u.valueAt(now) / max(window, minUsesWindow.Seconds())
}

// uses counts uses of first parts of prompts, by ID. Later parts belong to one session.
type uses map[uint64]useCount

// add counts a prompt. The last of parts is unique to it.
func (u uses) add(now time.Time, parts []PromptPart) {
	if len(parts) < 2 {
		return
	}
	id := parts[0].ID
	previous, known := u[id]
	if !known {
		previous.since = now
	}
	u[id] = useCount{value: previous.valueAt(now) + 1, at: now, since: previous.since, accruedCrossCost: previous.accruedCrossCostAt(now)}
}

// costShare returns the share of the prefill cost of the first part that is charged to one
// request, if the part were prefilled at one more of n endpoints.
func (u uses) costShare(now time.Time, parts []PromptPart, n int) float64 {
	if len(parts) < 2 || n == 0 {
		return 1
	}
	expectedUses := u[parts[0].ID].rate(now) * usesHorizon.Seconds()
	return 1 / max(1, expectedUses/float64(n))
}

// accruedCrossCost is accruedCrossCostAt of the prompt's first part.
func (u uses) accruedCrossCost(now time.Time, parts []PromptPart) float64 {
	if len(parts) < 2 {
		return 0
	}
	return u[parts[0].ID].accruedCrossCostAt(now)
}

// accrueCrossCost updates the accumulated cost of using the prompt's first part in other regions.
// Once that equals the cost of local prefill, the part is prefilled locally, which bounds the total
// cost to about twice the optimum. The caller holds b.mu.
func (b *Balancer) accrueCrossCost(p *Placement, d *Demand, now time.Time) {
	if !b.multiRegion || len(d.Parts) < 2 {
		return
	}
	count, known := b.uses[d.Parts[0].ID]
	switch {
	case !known:
		return
	case p.Distance == OtherRegion && p.Cached > 0:
		count.accruedCrossCost += p.CrossRegionCost
	case p.Distance != OtherRegion && p.Cached-p.Fetched == 0:
		count.accruedCrossCost = 0
	default:
		return
	}
	b.uses[d.Parts[0].ID] = count
}

func (u uses) prune(now time.Time) {
	for id, count := range u {
		if count.valueAt(now) < minUses {
			delete(u, id)
		}
	}
}
