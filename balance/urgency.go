package balance

// This file tells what a request waits for at an engine from what less urgent ones wait
// for there.
//
// An engine lets the more urgent in first. So a request begins behind the prompts of its
// own and of more urgent levels, and behind the piece that is being read when it comes.
// Counted behind all prompts, short urgent requests were refused in a rush of
// long prompts that they would have gone ahead of: at three times the traffic of 60 engines,
// some that were thought to wait for 200 to 300 ms began after 124.
//
// Who gives way to whom follows from the same: requests of a level give way to more urgent
// ones that are pressed by this level and by those above it, not by what goes behind it.
// So the least urgent give way first, and the next only if that does not do.

import (
	"time"

	"ivyridge/belief"
)

// rungs are the pressures on the requests of one level: for each level, that by requests
// as urgent as this or more. Those of more urgent levels than its own are not used.
type rungs [levels]pressure

// add takes up a request's waits beside the time that it has room for.
func (r *rungs) add(now time.Time, level int, waits *[levels]float64, room float64) {
	for by := level; by < levels; by++ {
		r[by].add(now, waits[by]/room)
	}
}

// count takes up whether a request was refused. The least urgent give way already where the
// endpoint that is best for it would begin it too late behind all that waits there: it is
// begun in time elsewhere, but the streams among such requests will pause too long there.
func (r *rungs) count(now time.Time, level int, refused, crowded bool) {
	for by := level; by < levels; by++ {
		part := 0.0
		if refused || crowded && by == levels-1 {
			part = 1
		}
		r[by].add(now, part)
	}
}

// waits returns, for each level from that of the request on, how long in ms the request
// would wait at an endpoint if nothing less urgent than that level came before it. At its
// own level, that is how long it waits: for a slot, or for prompts and for the piece in
// hand, which may be of any level. What others place is told within told.
func (f *figures) waits(d *Demand, l *load, told time.Duration, now time.Time) (waits [levels]float64) {
	total := l.total()
	backlog := l.backlog(now)
	noticed := l.noticedBy(now.Add(-told))
	tokens := 0
	for by := range waits {
		tokens += total.UnreadBy[by] + noticed[by]
		waits[by] = min(backlog, float64(tokens)*l.readTime)
	}
	level := d.level()
	slot := f.slotWait(&total, level, d.Service.Engine.Slots)
	waits[level] = max(slot, min(backlog, waits[level]+chunkTokens*l.readTime))
	waits[levels-1] = max(slot, backlog)
	return waits
}

// room returns how long, in ms, a request may wait at an endpoint where its prompt takes
// so long to read, for its answer to begin in time.
func (d *Demand) room(reading float64) float64 {
	objective := milliseconds(d.Objective)
	return max(objective-reading-fixedTime, leastRoom*objective)
}

// late reports whether the request would begin too late at the endpoint.
func (l *load) late(d *Demand, reading float64, told time.Duration, now time.Time) bool {
	waits := l.figures.waits(d, l, told, now)
	return waits[d.level()] > refuseAt*d.room(reading)
}

// sooner returns the endpoint where the request begins in time, if best is one where it
// does not and less urgent ones could make room elsewhere. Streams gather at the engines
// that read least, until they wait for slots there: at three times the traffic of 60
// engines, 64 and more at each of 4, while 30 engines had none.
func (b *Balancer) sooner(endpoints []*belief.Endpoint, best *Placement, d *Demand, now time.Time, by asker) *Placement {
	if d.level() == levels-1 || !best.load.late(d, best.reading, b.told, now) {
		return best
	}
	hurried := *d
	hurried.inTime = true
	if p := b.choose(b.workingSet(d.Service.Name, endpoints), &hurried, now, by, false); p != nil {
		return p
	}
	return best
}

// noticedBy returns the tokens that others placed after then, by level.
func (l *load) noticedBy(then time.Time) (tokens [levels]int) {
	for _, n := range l.noticed {
		if n.at.After(then) {
			tokens[n.level] += n.tokens
		}
	}
	return tokens
}
