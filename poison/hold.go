package poison

// This file decides which suspects are held back before they are confirmed.
//
// A poison request that is sent again and again crashes an endpoint with each copy, also while it is
// not certain yet which request causes the crashes, as after the loss of all instances and their tables.
// So a suspect of which three copies were lost is not sent if it is far more likely to be poison than to
// have met crashes by chance. Its callers are asked to come back. It is
//
//   - cleared by an answer to a copy that is still in flight,
//   - confirmed if no endpoint crashes while it is held back (see confirm.go), or
//   - sent again if others do, without it, which makes chance likely.
//
// The chance of a crash is estimated from the service's other crashes only: those of a poison request
// come and go with it. Without any, the rate assumed is low, but crashes are often close in time, as
// when a rack is lost. So the copy that would decide is not sent until endpoints have not crashed for
// a while.

import (
	"slices"
	"time"
)

const (
	// maxHoldChance is the expected number of requests with such strikes by chance below which a
	// suspect is held back. It may exceed maxChance since holding back is undone by other crashes.
	maxHoldChance = 0.1
	// maxHoldPartChance is the same for a part. Parts are shared, so that one held back wrongly concerns
	// many requests.
	maxHoldPartChance = 0.008
	// minHoldMoments is the least number of different moments of the strikes of such a suspect.
	minHoldMoments = 2
	// maxHoldCutChance is the probability of chance below which a part is held back, given the
	// requests without it that were cut off and answered.
	maxHoldCutChance = 0.02
	// holdRetryInterval is when the caller of a suspect that is held back should come back.
	holdRetryInterval = 5 * time.Second
	// assumedCrashInterval is the average time between crashes of a service's endpoints that are due to
	// no request, while none is known.
	assumedCrashInterval = time.Minute
	// crashMemory is how long before a suspect's first strike other crashes count.
	crashMemory = time.Minute
	// minCrashWindow is the least time span for which a rate of other crashes is computed.
	minCrashWindow = time.Second
	// maxRivals is the number of other suspects up to which they may explain crashes.
	maxRivals = 6
	// groupShare: other crashes of one in so many of the service's endpoints during a suspect's strikes
	// are the loss of a group.
	groupShare = 8
	// maxTrialChance is the probability below which the endpoint of a trial crashes by chance.
	maxTrialChance = 0.01
	// maxQuietWait is the longest time without crashes that is required before a trial.
	maxQuietWait = 2 * time.Second
)

// evidence is what is known of a suspect and the crashes of its service.
type evidence struct {
	table      *Table
	suspect    *Entry
	all        []crash // of the service
	others     []crash // those that neither the suspect nor another one explains
	moments    []Strike
	endpoints  int  // of the service
	overlapped bool // all copies with strikes were in flight at the first crash
}

// evidence returns the evidence about a suspect. Crashes that one of its rivals has strikes at don't
// count as due to other reasons. The caller holds t.mu.
func (t *Table) evidence(e *Entry, crashes []crash, rivals []*Entry) *evidence {
	unexplained := isUnexplained(crashes)
	accept := func(s Strike) bool { return s.copies() > 0 && unexplained(s) }
	ev := &evidence{table: t, suspect: e, moments: e.distinct(accept), endpoints: 1}
	for _, s := range e.Strikes {
		ev.endpoints = max(ev.endpoints, s.ListedEndpoints)
	}
	ev.overlapped = len(e.consecutive(func(Strike) bool { return true })) < 2
	for _, c := range crashes {
		if c.service != e.Service {
			continue
		}
		ev.all = append(ev.all, c)
		if !c.explained && !e.struckAround(c.Strike) && !anyStruck(rivals, c.Strike) {
			ev.others = append(ev.others, c)
		}
	}
	slices.SortFunc(ev.others, func(a, b crash) int { return b.CrashedAt.Compare(a.CrashedAt) })
	return ev
}

// rivals returns the other suspects of e's service with enough strikes to be held back, or none if there
// are so many that chance gave them their strikes. The caller holds t.mu.
func (t *Table) rivals(e *Entry) (out []*Entry) {
	for id, other := range t.suspects {
		if id != e.ID && other.Service == e.Service && other.liveStrikes() >= minStrikes {
			out = append(out, other)
		}
	}
	if len(out) > maxRivals {
		return nil
	}
	return out
}

// struckAround reports whether e has a strike at the endpoint of s, before it can have restarted from the
// crash of the other. Behind a proxy that accepts connections, instances notice a crash when they next send a
// request, and so date one crash differently.
func (e *Entry) struckAround(s Strike) bool {
	return slices.ContainsFunc(e.Strikes, func(own Strike) bool {
		return own.Endpoint == s.Endpoint && own.CrashedAt.Sub(s.CrashedAt).Abs() < restartTime
	})
}

// anyStruck reports whether a suspect has a strike, not cleared, at the crash of s.
func anyStruck(suspects []*Entry, s Strike) bool {
	return slices.ContainsFunc(suspects, func(e *Entry) bool {
		i := e.find(s)
		return i >= 0 && !e.Strikes[i].Cleared
	})
}

// holds reports whether the suspect is to be held back.
func (ev *evidence) holds(now time.Time) bool {
	e := ev.suspect
	if e.lostCopies() < minStrikes || len(ev.moments) < minHoldMoments || ev.groupLost() {
		return false
	}
	if e.isPart() && ev.table.partChance(e, len(ev.moments)) >= maxHoldCutChance {
		return false
	}
	return ev.improbable(now, ev.moments)
}

// improbable reports whether a suspect with the given strikes is to be held back.
func (ev *evidence) improbable(now time.Time, strikes []Strike) bool {
	limit := maxHoldChance
	if ev.suspect.isPart() {
		limit = maxHoldPartChance
	}
	return ev.expected(now, strikes, assumedCrashInterval) < limit
}

// quietWait returns how long to wait for the trial whose crash would have the suspect held back.
func (ev *evidence) quietWait(now time.Time) time.Duration {
	if len(ev.moments) < minHoldMoments || ev.suspect.lostCopies() < minStrikes-1 {
		return 0
	}
	last := ev.moments[len(ev.moments)-1]
	next := Strike{SentAt: now, CrashedAt: now.Add(residence(last))}
	if !ev.improbable(now, append(slices.Clip(ev.moments), next)) {
		return 0
	}
	quiet := min(maxQuietWait, time.Duration(residence(last).Seconds()/maxTrialChance/float64(ev.endpoints)*float64(time.Second)))
	latest := last.CrashedAt.Add(maxQuietWait) // other crashes may never cease
	return min(ev.lastCrash().Add(quiet).Sub(now), latest.Sub(now))
}

// expected returns how many requests are expected to have the given strikes by chance, if the service's
// endpoints crash about once in quiet even though none is known to have crashed for other reasons.
func (ev *evidence) expected(now time.Time, strikes []Strike, quiet time.Duration) float64 {
	perEndpoint := max(ev.otherRate(now, strikes[0].CrashedAt), 1/max(minCrashWindow, quiet).Seconds()) / float64(ev.endpoints)
	expected := float64(max(1, strikes[0].InFlight, ev.suspectsAt(strikes[0])))
	for _, s := range strikes[1:] {
		expected *= min(1, perEndpoint*residence(s).Seconds())
	}
	return expected
}

// otherRate returns the highest rate of other crashes, per second, in any time span until now that
// begins with one of them and not long before first.
func (ev *evidence) otherRate(now, first time.Time) (rate float64) {
	for i, c := range ev.others {
		if c.CrashedAt.Before(first.Add(-crashMemory)) {
			break
		}
		rate = max(rate, float64(i+1)/max(minCrashWindow, now.Sub(c.CrashedAt)).Seconds())
	}
	return rate
}

// suspectsAt returns the number of suspects of the same kind with a strike at the crash of s.
func (ev *evidence) suspectsAt(s Strike) (n int) {
	for _, other := range ev.table.suspects {
		if other.isPart() == ev.suspect.isPart() && other.Service == ev.suspect.Service && other.find(s) >= 0 {
			n++
		}
	}
	return n
}

// groupLost reports whether the suspect's strikes are part of the loss of a rack or of most endpoints,
// at which requests meet several crashes in a row.
func (ev *evidence) groupLost() bool {
	first, last := ev.moments[0].CrashedAt.Add(-minPartInterval), ev.moments[len(ev.moments)-1].CrashedAt.Add(minPartInterval)
	others, lost := crashesBetween(ev.others, first, last), crashesBetween(ev.all, first, last)
	switch {
	case others >= len(ev.moments) && others >= ev.endpoints/groupShare:
		return true
	case ev.overlapped:
		return 2*lost >= ev.endpoints
	}
	return 2*(lost-ev.suspect.liveStrikes()) >= ev.endpoints
}

func crashesBetween(crashes []crash, first, last time.Time) (n int) {
	for _, c := range crashes {
		if !c.CrashedAt.Before(first) && !c.CrashedAt.After(last) {
			n++
		}
	}
	return n
}

func (ev *evidence) lastCrash() (at time.Time) {
	for _, c := range ev.all {
		at = later(at, c.CrashedAt)
	}
	return at
}

// residence returns how long the request of a strike was at the endpoint.
func residence(s Strike) time.Duration { return max(minResidence, s.CrashedAt.Sub(s.SentAt)) }
