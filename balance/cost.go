package balance

// This file estimates what a choice loses.

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"ivyridge/belief"
)

// Weights of the parts of a cost. One is the whole credit of a request of
// weight one.
const (
	failureCost = 1.0
	readCost    = 0.016 // a ms of reading, which others then lack; 0.008 measured the same on 9 and 12 engines, and less on 112
	crossCost   = 0.004 // leaving the data centre
	homeCost    = 0.01  // leaving the endpoint that a prompt's parts hash to
	fullCost    = 2.0   // all slots taken
	memoryCost  = 2.0   // all memory taken
	memoryUsed  = 0.9   // the part of the memory that keeps parts
	memoryFull  = 0.8
	slotsFull   = 0.85
	plainCost   = 0.5    // all slots of an endpoint without a model taken
	plainCross  = 0.03   // leaving the data centre for such an endpoint: half of the slots of a near one are taken first
	turnCost    = 0.0005 // a request that has ended there of late, so that idle endpoints take turns
)

// An outlook is what a choice among the endpoints of a service has in common.
type outlook struct {
	failing    float64 // the share of requests that fail at all of them together
	firstShare float64 // of the cost of reading the prompt's first part, that it bears
	held       int     // tokens of the prompt, by the endpoint that is looked at
	crossing   float64 // what leaving the region costs; zero: there is one region
	calm       float64 // the same if nothing waited for the link
	paid       float64 // for crossings to the prompt's first part; read at home, it costs so much less
	spare      float64 // ms that a token takes to read at most endpoints, where some rest that are not looked at; zero: none do
}

// estimate returns the placement of d at e with its cost. An endpoint where reading
// alone costs as much as most is not looked at any further; its cost is infinite then.
//
// Where endpoints rest outside the working set, reading is not what others lack: an endpoint that
// looks faster than most gains nothing by that, and a wait costs as much as reading for so long.
// Otherwise prompts gather at the few endpoints that look fastest or hold their first part, and wait
// there while others rest.
func (b *Balancer) estimate(e *belief.Endpoint, l *load, d *Demand, view *outlook, most float64, now time.Time) Placement {
	p := Placement{Endpoint: e, load: l, Distance: l.distance, failing: view.failing}
	if d.Service.Engine == nil {
		p.Cost = b.plainCost(e, l, view, now)
		return p
	}
	engine := d.Service.Engine
	p.Cached = view.held
	reading := float64(d.Prompt-p.Cached) * l.readTime
	perToken := max(l.readTime, view.spare)
	reads := readCost * float64(d.Prompt-p.Cached) * perToken
	if p.Cached == 0 && len(d.Parts) > 0 {
		first := readCost * float64(min(d.Parts[0].Tokens, d.Prompt)) * perToken
		reads -= (1 - view.firstShare) * first
		if l.distance != Beyond {
			reads -= min(view.paid, view.firstShare*first)
		}
	}
	l.observe(now)
	if reads >= most {
		p.Cost = math.Inf(1)
		return p
	}
	total := l.total()
	l.readUpTo(now, total.Unread, b.told)
	p.Pace.ReadTime = l.readTime
	backlog := l.backlog(now)
	p.Backlog = time.Duration(backlog * float64(time.Millisecond))
	p.Ahead = backlog / p.Pace.ReadTime
	p.Pace.StepTime = l.stepTime
	p.Pace.TokenTime = l.tokenTime(total.Requests)
	p.reading = reading
	p.Wait = max(backlog, l.figures.slotWait(&total, d.level(), engine.Slots))
	if d.inTime && l.late(d, reading, b.told, now) {
		p.Cost = math.Inf(1)
		return p
	}
	w := d.weight()
	late := (p.Wait + reading) / milliseconds(d.Objective)
	p.Cost = w * lateness(late)
	p.Cost += w * failureCost * l.lately.excess(view.failing)
	p.Cost += total.Exposure * (lateness(backlog+reading) - lateness(backlog))
	if d.Pause > 0 {
		p.Cost += w * l.intensity / lateness(milliseconds(d.Pause))
	}
	if d.Deadline > 0 && d.Output > 0 {
		finish := p.Wait + reading + float64(d.Output)*p.Pace.TokenTime
		p.Cost += w * lateness(finish/milliseconds(d.Deadline))
	}
	p.Cost += reads
	if view.spare > 0 {
		p.Cost += readCost * p.Wait
	}
	p.Cost += w * fullCost * over(float64(total.Requests+1), slotsFull*float64(engine.Slots), float64(engine.Slots))
	p.Cost += w * memoryCost * over(float64(total.Memory+d.Prompt), memoryFull*float64(engine.MemoryTokens), float64(engine.MemoryTokens))
	p.Cost += homeCost * affinity(l.hash, d.Parts)
	p.Cost += view.leaving(l, crossCost, late/homeUntil)
	return p
}

// plainCost is that of an endpoint with slots only.
func (b *Balancer) plainCost(e *belief.Endpoint, l *load, view *outlook, now time.Time) float64 {
	busy := float64(l.running + l.others.Requests)
	ends := l.lately
	slow := l.slowness.of(now)
	taken := slow * (busy + 1) / float64(max(1, e.Slots))
	cost := plainCost*lateness(taken) + failureCost*ends.excess(view.failing)
	cost += turnCost * ends.Ended * slow
	cost += view.leaving(l, plainCross, taken)
	return cost
}

// lateness is the credit lost by a request that takes x times the time that it
// may, and, for its scale, the unit of exposures. It is steep: reading is cut
// into steps, so that a wait far below the bound does no harm.
func lateness(x float64) float64 { return x * x * x * x }

func milliseconds(d time.Duration) float64 {
	return max(1, float64(d)/float64(time.Millisecond))
}

// over returns how far used is from soft to hard, or beyond.
func over(used, soft, hard float64) float64 {
	if used <= soft || hard <= soft {
		return 0
	}
	return (used - soft) / (hard - soft)
}

// affinity returns a number from 0 to 1 that all instances agree on without
// speaking: by rendezvous hashing, least at the endpoint where a prompt's
// shared parts are to be kept.
func affinity(endpoint uint32, parts []Part) float64 {
	if len(parts) < 2 {
		return 0
	}
	var key [12]byte
	binary.LittleEndian.PutUint32(key[:], endpoint)
	binary.LittleEndian.PutUint64(key[4:], parts[len(parts)-2].ID)
	return float64(xxhash.Sum64(key[:])>>11) / (1 << 53)
}
