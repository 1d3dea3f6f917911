package balance

// This file keeps less urgent requests back while more urgent ones get nothing.
//
// The pressures by which requests give way follow the load within half a second, and an engine
// with nothing waiting takes whoever comes. So in a rush that refuses a good part of the urgent
// requests, less urgent ones are still let in one by one, and all of them as soon as it pauses:
// the urgent callers who return then find engines busy with long prompts.

import (
	"math/rand/v2"
	"time"

	"ivyridge/belief"
)

const (
	// starvedFor is the time over which urgent requests are counted as getting nothing: as long
	// as their callers look back.
	starvedFor = 5 * time.Second
	// starvedStep is the step in which that time passes.
	starvedStep  = 500 * time.Millisecond
	starvedSteps = int64(starvedFor / starvedStep)
	// starvedPart is the part of the requests of a level that are refused from which it is starved:
	// below one in twelve, from which callers count it so. With one in 40, and one refusal enough,
	// the promise was broken as often in 12 plays of a rush (6, against 4).
	starvedPart = 1.0 / 16
	// starvedLeast is how many have to be refused: one or two tell nothing.
	starvedLeast = 3
	// idlePart is the part of a service's slots below which it is idle if nothing waits: nobody is
	// refused then, whoever was before.
	idlePart = 0.5
)

// A tally counts the requests of one level for a model, and those refused, over starvedFor.
type tally struct {
	asked, refused [starvedSteps]int
	step           int64 // the newest
}

// move brings a tally up to now, and returns the place of the present step.
func (t *tally) move(now time.Time) int64 {
	step := now.UnixNano() / int64(starvedStep)
	for n := max(t.step+1, step-starvedSteps+1); n <= step; n++ {
		t.asked[n%starvedSteps], t.refused[n%starvedSteps] = 0, 0
	}
	t.step = max(t.step, step)
	return t.step % starvedSteps
}

func (t *tally) count(now time.Time, refused bool) {
	i := t.move(now)
	t.asked[i]++
	if refused {
		t.refused[i]++
	}
}

// starved reports whether too many of the requests got nothing.
func (t *tally) starved(now time.Time) bool {
	t.move(now)
	asked, refused := 0, 0
	for i := range t.asked {
		asked += t.asked[i]
		refused += t.refused[i]
	}
	return refused >= starvedLeast && float64(refused) > starvedPart*float64(asked)
}

// keptBack returns the refusal of a request that is more than idle engines could take while more
// urgent ones are starved, or nil. The caller holds b.mu.
func (b *Balancer) keptBack(endpoints []*belief.Endpoint, d *Demand, p *Placement, now time.Time) *Refusal {
	f := b.figures(d.Service.Name)
	for urgent := range d.level() {
		if !f.tallies[urgent].starved(now) {
			continue
		}
		if b.idle(endpoints, d, p) {
			f.tallies = [levels]tally{} // nobody is starved any more
			return nil
		}
		after := retryAfterLeast + time.Duration(rand.Float64()*float64(retryAfterSpread))
		return &Refusal{Pressure: 1, RetryAfter: after}
	}
	return nil
}

// idle reports whether nothing waits at a request's best endpoint, and few of the slots of its
// service are taken.
func (b *Balancer) idle(endpoints []*belief.Endpoint, d *Demand, p *Placement) bool {
	if p.Wait > 0 {
		return false
	}
	taken := 0
	loads := b.workingSet(d.Service.Name, endpoints).loads
	for _, l := range loads {
		taken += l.running + l.others.Requests
	}
	slots := max(1, len(loads)*d.Service.Engine.Slots)
	return float64(taken) < idlePart*float64(slots)
}
