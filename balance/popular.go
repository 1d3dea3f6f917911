package balance

// This file tells which prompt parts are in common use.
//
// A part that is read at one more endpoint is read for all requests that will find it
// there. A part that a few requests a minute share is best kept where it is; one that
// most requests begin with belongs everywhere soon: charged to the first request alone,
// it kept long prompts at 75 of 204 engines, which read all the time while the others
// rested.

import (
	"math"
	"time"
)

const (
	// usesOver is the time over which uses are counted, and usesLeastOver the least that
	// they are taken to have come in: a few at the very start tell little.
	usesOver      = 10 * time.Second
	usesLeastOver = time.Second
	// usesAhead is the time over which a part that is read is thought to be used: about as
	// long as a part that is not used stays in the memory of the engines met, 280,000 tokens
	// at 10,000 tokens/s.
	usesAhead = 28 * time.Second
	// usesLeast is the count below which a part is forgotten.
	usesLeast = 0.1
)

// A useCount is a fading count of uses.
type useCount struct {
	value float64
	at    time.Time
	since time.Time // the first use
	paid  float64   // for crossings to it, as of at
}

func (u useCount) of(now time.Time) float64 {
	return u.value * math.Exp(-float64(now.Sub(u.at))/float64(usesOver))
}

// paidFor returns what was paid for crossings of late: a part that is seldom used never makes
// up for being read a second time.
func (u useCount) paidFor(now time.Time) float64 {
	if u.paid == 0 {
		return 0
	}
	return u.paid * math.Exp(-float64(now.Sub(u.at))/float64(usesAhead))
}

// rate returns the uses a second.
func (u useCount) rate(now time.Time) float64 {
	over := usesOver.Seconds() * (1 - math.Exp(-float64(now.Sub(u.since))/float64(usesOver)))
	return u.of(now) / max(over, usesLeastOver.Seconds())
}

// uses counts how often first parts of prompts are used. Others belong to a session.
type uses map[uint64]useCount

// add counts a prompt with these parts; the last belongs to it alone.
func (u uses) add(now time.Time, parts []Part) {
	if len(parts) < 2 {
		return
	}
	id := parts[0].ID
	before, known := u[id]
	if !known {
		before.since = now
	}
	u[id] = useCount{value: before.of(now) + 1, at: now, since: before.since, paid: before.paidFor(now)}
}

// shared returns the part of the cost of reading a prompt's first part that one request
// bears at one more of n endpoints.
func (u uses) shared(now time.Time, parts []Part, n int) float64 {
	if len(parts) < 2 || n == 0 {
		return 1
	}
	ahead := u[parts[0].ID].rate(now) * usesAhead.Seconds()
	return 1 / max(1, ahead/float64(n))
}

// paid returns what this instance's choices have paid for crossings to a prompt's first part.
func (u uses) paid(now time.Time, parts []Part) float64 {
	if len(parts) < 2 {
		return 0
	}
	return u[parts[0].ID].paidFor(now)
}

// crossed notes what a placement in another region paid to find the prompt's first part there.
// Once crossings to a part have cost as much as reading it once more at home, it is read at
// home, so that neither way costs much more than twice what the better one would have. What is
// read at home settles the account. The caller holds b.mu.
func (b *Balancer) crossed(p *Placement, d *Demand, now time.Time) {
	if !b.several || len(d.Parts) < 2 {
		return
	}
	count, known := b.uses[d.Parts[0].ID]
	switch {
	case !known:
		return
	case p.Distance == Beyond && p.Cached > 0:
		count.paid += p.Crossing
	case p.Distance != Beyond && p.Cached-p.Fetched == 0:
		count.paid = 0
	default:
		return
	}
	b.uses[d.Parts[0].ID] = count
}

// forget drops the parts that are not used any more.
func (u uses) forget(now time.Time) {
	for id, count := range u {
		if count.of(now) < usesLeast {
			delete(u, id)
		}
	}
}
