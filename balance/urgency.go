package balance

// This file estimates how long a request waits at an engine by urgency level.
//
// Engines schedule more urgent requests first. A request therefore waits for queued prompts of its
// own and more urgent levels, plus the prefill chunk in progress. Counting all queued prompts would
// refuse short urgent requests that overtake long, less urgent ones.
//
// A request yields to more urgent ones only if these are delayed by requests of its level or more
// urgent levels, so the least urgent level yields first.

import (
	"time"

	"ivyridge/discovery"
)

// levelPressures are the pressures on the requests of one level. Element i is the pressure caused
// by requests of level i and more urgent ones; elements below the own level are unused.
type levelPressures [levels]pressure

// add records the waits of one request in ms, relative to maxWait.
func (r *levelPressures) add(now time.Time, level int, waits *[levels]float64, maxWait float64) {
	for i := level; i < levels; i++ {
		r[i].add(now, waits[i]/maxWait)
	}
}

// count records whether a request was refused. A request is crowded if the whole backlog at its
// cheapest endpoint would delay it beyond its objective. If admitted, it makes only the least
// urgent level yield: it starts in time, but possibly at another endpoint where streams stall.
func (r *levelPressures) count(now time.Time, level int, refused, crowded bool) {
	for i := level; i < levels; i++ {
		value := 0.0
		if refused || crowded && i == levels-1 {
			value = 1
		}
		r[i].add(now, value)
	}
}

// waits returns, for each level from the request's own, the wait in ms behind requests of that and
// more urgent levels. For the own level, it includes waiting for a slot and for the chunk in
// progress. Placements by others within reportInterval are added, since reports may not cover them.
func (s *serviceStats) waits(d *Demand, l *load, reportInterval time.Duration, now time.Time) (waits [levels]float64) {
	total := l.total()
	backlog := l.backlog(now)
	announced := l.remoteTokensByLevel(now.Add(-reportInterval))
	tokens := 0
	for i := range waits {
		tokens += total.PendingPrefillByLevel[i] + announced[i]
		waits[i] = min(backlog, float64(tokens)*l.prefillPerToken)
	}
	level := d.level()
	slot := s.slotWait(&total, level, d.Service.Engine.Slots)
	waits[level] = max(slot, min(backlog, waits[level]+chunkTokens*l.prefillPerToken))
	waits[levels-1] = max(slot, backlog)
	return waits
}

// maxWait returns the longest wait in ms that meets the objective, given the prefill time in ms.
func (d *Demand) maxWait(prefillTime float64) float64 {
	objective := milliseconds(d.Objective)
	return max(objective-prefillTime-fixedOverhead, minWaitShare*objective)
}

// late reports whether the request would start too late at the endpoint.
func (l *load) late(d *Demand, prefillTime float64, reportInterval time.Duration, now time.Time) bool {
	waits := l.stats.waits(d, l, reportInterval, now)
	return waits[d.level()] > refuseThreshold*d.maxWait(prefillTime)
}

// chooseInTime returns best unless it starts the request late and another endpoint does not. For
// the least urgent level, it always returns best. Without it, streams queue for slots at the few
// engines with the least prefill while others have free slots.
func (b *Balancer) chooseInTime(endpoints []*discovery.Endpoint, best *Placement, d *Demand, now time.Time, by requester) *Placement {
	if d.level() == levels-1 || !best.load.late(d, best.prefillTime, b.reportInterval, now) {
		return best
	}
	inTime := *d
	inTime.requireInTime = true
	if p := b.choose(b.workingSet(d.Service.Name, endpoints), &inTime, now, by, false); p != nil {
		return p
	}
	return best
}

// remoteTokensByLevel is remoteTokensSince by urgency level, without dropping placements.
func (l *load) remoteTokensByLevel(then time.Time) (tokens [levels]int) {
	for _, n := range l.remotePlacements {
		if n.at.After(then) {
			tokens[n.level] += n.tokens
		}
	}
	return tokens
}
