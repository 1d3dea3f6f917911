package balance

// This file decides which requests for a model are refused while demand is
// beyond the fleet.
//
// A request that no engine can begin in time earns little, and makes those that
// come after it late as well. It is refused at once, before anything has run,
// with a time to come back. The wait at the best engine, beside the objective, is
// the pressure on requests of one urgency. Less urgent requests
// give way before more urgent ones have to be refused.

import (
	"math"
	"math/rand/v2"
	"time"

	"ivyridge/belief"
)

// Levels of urgency that are told apart, by the priority of the route.
const levels = 3

func (d *Demand) level() int { return levelOf(d.Priority) }

func levelOf(priority int) int { return min(max(priority, 0), levels-1) }

const (
	// refuseAt is the wait, as a part of the time that the objective leaves,
	// from which a request is refused: it would begin too late.
	refuseAt = 1.0
	// yieldAt is the pressure on more urgent requests from which a request gives
	// way to them: what is let in now still holds its slot when pressure is
	// full. At 0.35 and 0.25, three times the traffic of 60 engines was worth 0.697 and
	// 0.706, four times 0.493 and 0.508, one play each; 0.6 was worse than 0.35 at 9.
	yieldAt = 0.25
	// yieldRefused is the part of more urgent requests that are refused, or find no
	// engine in time that is good for them, from which a request gives way to them.
	// Their mean wait may be short while some, whose prompt parts are kept at busy
	// engines, find none in time. Well below one in twelve, from which their callers
	// count them as starved; not tuned.
	yieldRefused = 0.02
	// leastRoom is the part of the objective that waiting may take however long
	// the prompt is, so that long prompts are not refused for their length.
	leastRoom = 0.25
	// pressureOver is how long a wait counts in the pressure: some times as long
	// as reports take to come. Not tuned.
	pressureOver = 500 * time.Millisecond
	// holdShare is the weight of one request in the mean time that requests
	// hold a slot: some seconds of an instance's own choices. Not tuned.
	holdShare = 0.02
)

// When refused callers are told to come back: after the excess of the wait, and a
// random part of a spread, so that they don't come back at once together. Callers
// with 5 s left wait for a third of it at most, which both together stay below.
const (
	retryAfterLeast  = 300 * time.Millisecond
	retryAfterSpread = 900 * time.Millisecond
)

// A Cause is why a request is refused. Instances tell it by its number.
type Cause uint8

// The causes.
const (
	BeyondFleet      Cause = iota // no endpoint could begin it in time, or it gives way to more urgent requests
	TeamShare                     // its team has more than its share of what is scarce
	RetriesSpent                  // the fleet has no retry left for its service
	EndpointsRest                 // all endpoints that may serve it have asked the instance for rest
	EndpointsLimited              // no endpoint that may serve it has a permit left for the instance
	PermitWanted                  // not told: its endpoint names a limit, and a permit is to be asked for first
)

// A Refusal says that a request should not be sent now.
type Refusal struct {
	Cause      Cause
	Wait       time.Duration    // at the best endpoint
	Pressure   float64          // on the requests that it gives way to, or on its own
	RetryAfter time.Duration    // from now
	Chooser    string           // the instance that refused it; empty if this one did
	Limited    *belief.Endpoint // that a permit is wanted for; nil: none is
	Urgency    int              // of the request among those that want one, below limit.Levels
}

// A pressure is a fading mean of waits beside objectives.
type pressure struct {
	value float64
	at    time.Time
}

// of returns the pressure at now.
func (p *pressure) of(now time.Time) float64 {
	return p.value * math.Exp(-float64(now.Sub(p.at))/float64(pressureOver))
}

// add takes up one request's.
func (p *pressure) add(now time.Time, value float64) {
	keep := math.Exp(-float64(now.Sub(p.at)) / float64(pressureOver))
	if p.at.IsZero() {
		keep = 0
	}
	// Where requests are few, each counts for the time since the last.
	keep = min(keep, 1-pressureShare)
	p.value = keep*p.value + (1-keep)*value
	p.at = now
}

// pressureShare is the least weight of one request in a pressure.
const pressureShare = 0.05

// Admit chooses among the endpoints of a service, as Place does, but refuses a
// request that would only make others late. It returns neither a placement nor a
// refusal if there is no endpoint that may take the request.
func (b *Balancer) Admit(endpoints []*belief.Endpoint, d *Demand) (*Placement, *Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	best, refusal := b.admitted(endpoints, d, now, itself)
	if best == nil {
		return nil, refusal
	}
	b.spend(best.Endpoint, best.load, d.Service, now)
	best.Spare = b.retries.settle(d, now)
	b.begin(best, d, now)
	if d.announced() {
		b.announce(best, d)
	}
	return best, nil
}

// admitted returns the best endpoint for an instance that asks, or why the request is refused.
// The caller holds b.mu.
func (b *Balancer) admitted(endpoints []*belief.Endpoint, d *Demand, now time.Time, by asker) (*Placement, *Refusal) {
	if refusal := b.retries.refuse(d, now); refusal != nil {
		return nil, refusal
	}
	best := b.cheapest(endpoints, d, now, by)
	if best == nil && by == itself {
		return nil, b.allClosed(endpoints, d, now)
	}
	if best == nil {
		return nil, nil // the asker knows best when the rests that it was asked for end
	}
	asked := work(d, best)
	refusal := b.overShare(endpoints, d, best, asked, now)
	if refusal == nil && d.timed() && !d.Sent {
		best, refusal = b.inTime(endpoints, d, best, now, by)
	}
	if refusal == nil && by == itself {
		if wanted := b.wanted(best, d, now); wanted != nil {
			return nil, wanted
		}
	}
	if d.timed() {
		b.figures(d.Service.Name).tallies[d.level()].count(now, refusal != nil)
	}
	if refusal != nil {
		return nil, refusal
	}
	if d.timed() {
		b.figures(d.Service.Name).holds(d, best)
	}
	if best.load.limits() {
		b.figures(d.Service.Name).permits.count(now, true)
	}
	b.grantShare(d, asked, now)
	return best, nil
}

// timed reports whether the request is for a model, and has to begin in time.
func (d *Demand) timed() bool { return d.Service.Engine != nil && d.Objective > 0 }

// inTime returns the best endpoint for a request that would begin in time, if not at first, or why
// it is refused. The caller holds b.mu.
func (b *Balancer) inTime(endpoints []*belief.Endpoint, d *Demand, first *Placement, now time.Time, by asker) (*Placement, *Refusal) {
	best := b.sooner(endpoints, first, d, now, by)
	if refusal := b.figures(d.Service.Name).refuse(d, first, best, b.told, now); refusal != nil {
		return nil, refusal
	}
	return best, b.keptBack(endpoints, d, best, now)
}

// holds takes up how long the request is thought to hold its slot.
func (f *figures) holds(d *Demand, p *Placement) {
	hold := float64(d.Prompt-p.Cached)*p.Pace.ReadTime + float64(d.Output)*p.Pace.TokenTime
	if f.hold == 0 {
		f.hold = hold
	}
	f.hold += holdShare * (hold - f.hold)
}

// refuse returns why the request is refused whose best endpoint is first, and p among those
// that begin it in time, or nil. What others place is told within told.
func (f *figures) refuse(d *Demand, first, p *Placement, told time.Duration, now time.Time) *Refusal {
	level := d.level()
	room := d.room(first.reading)
	waits := f.waits(d, first.load, told, now)
	f.pressures[level].add(now, level, &waits, room)
	crowded := waits[levels-1] > refuseAt*room
	room = d.room(p.reading)
	waits = f.waits(d, p.load, told, now)
	wait := waits[level]
	own := wait / room
	refusal := f.yields(level, now)
	if own > refuseAt {
		refusal = &Refusal{Pressure: own}
	}
	if refusal == nil || wait <= 0 {
		f.refused[level].count(now, level, false, crowded)
		return nil
	}
	f.refused[level].count(now, level, true, crowded)
	refusal.Wait = time.Duration(wait * float64(time.Millisecond))
	excess := max(0, wait-room/2)
	refusal.RetryAfter = retryAfterLeast + time.Duration(excess*float64(time.Millisecond)) + time.Duration(rand.Float64()*float64(retryAfterSpread))
	return refusal
}

// yields returns a refusal if requests of a level are to give way to more urgent
// ones, or nil.
func (f *figures) yields(level int, now time.Time) *Refusal {
	for urgent := range level {
		pressed := f.pressures[urgent][level].of(now)
		if pressed > yieldAt || f.refused[urgent][level].of(now) > yieldRefused {
			return &Refusal{Pressure: pressed}
		}
	}
	return nil
}

// slotWait returns how long, in ms, a request of a level waits for a slot: more
// urgent ones go first, and less urgent ones make room.
func (f *figures) slotWait(t *Running, level, slots int) float64 {
	ahead := 0
	for _, n := range t.ByLevel[:level+1] {
		ahead += n
	}
	if slots <= 0 {
		return 0
	}
	return max(0, float64(ahead+1-slots)) * f.hold / float64(slots)
}
