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

import "time"

// rungs are the pressures on the requests of one level: for each level, that by requests
// as urgent as this or more. Those of more urgent levels than its own are not used.
type rungs [levels]pressure

// add takes up a request's waits beside the time that it has room for.
func (r *rungs) add(now time.Time, level int, waits *[levels]float64, room float64) {
	for by := level; by < levels; by++ {
		r[by].add(now, waits[by]/room)
	}
}

// waits returns, for each level, how long in ms the request would wait at an endpoint if
// nothing less urgent than that level were there. What others place is told within told.
func (f *figures) waits(d *Demand, l *load, told time.Duration, now time.Time) (waits [levels]float64) {
	total := l.total()
	slot := f.slotWait(&total, d.level(), d.Service.Engine.Slots)
	backlog := l.backlog(now)
	noticed := l.noticedBy(now.Add(-told))
	tokens := 0
	for by := range waits {
		tokens += total.UnreadBy[by] + noticed[by]
		reading := backlog
		if by < levels-1 {
			reading = min(backlog, float64(tokens+chunkTokens)*l.readTime)
		}
		waits[by] = max(reading, slot)
	}
	return waits
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
