package poison

// This file decides which suspects are poison. At most one of the dozens of requests in flight at a
// crash is its cause, and a harmless request that is repeated all the time is in flight at nearly
// every crash, so the number of strikes alone doesn't tell. Hence:
//
//   - A strike counts only if the request was sent to that endpoint after the previous strike.
//     Simultaneous crashes are one strike.
//   - A request that is answered is cleared.
//   - Crashes that a confirmed request explains don't count against others.
//   - A suspect is confirmed when fewer than maxChance of the requests in flight at the first crash
//     are expected to have the other strikes by chance. In a large fleet that takes three crashes.
//     If endpoints of a small fleet crash all the time, chance can't be ruled out, and
//     sufficientStrikes applies.
//   - The suspect's own crashes count as chance too, since those of a rack would otherwise be blamed
//     on a request that was at three of its endpoints. Once it has been held back for a while without
//     a crash (see hold.go), they don't.
//
// Weighting a crash by the number of requests in flight doesn't separate a poison request from one
// that was in flight twice. Requiring another strike for each crash without the suspect doesn't
// protect a harmless request that is in flight at the first crashes of several poison requests.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minStrikes is the least number of consecutive strikes to confirm a suspect.
	minStrikes = 3
	// sufficientStrikes confirm a suspect in any case. As a route limits attempts, the caller must
	// have sent it repeatedly without an answer.
	sufficientStrikes = 6
	// sufficientSpan is the least time between the first and the last of sufficientStrikes. When
	// a rack is lost, a repeated request may be at six of its endpoints before a copy is answered.
	sufficientSpan = time.Second
	// maxChance is the expected number of requests with such strikes by chance below which a
	// suspect is confirmed. With 18 lost endpoints a day, that is one wrong request in a year or
	// more.
	maxChance = 1e-4
	// minSpan is the least time span for which a crash rate is computed.
	minSpan = 100 * time.Millisecond
	// minResidence is the least time that a request counts as in flight at an endpoint, since
	// crashes are detected some milliseconds late.
	minResidence = 10 * time.Millisecond
)

type crash struct {
	Strike
	service   string
	explained bool // a confirmed request was in flight at the endpoint
}

// confirm confirms the suspects that are poison, given the crashes, and returns their IDs. The caller holds t.mu.
func (t *Table) confirm(isPoison func(*Entry, []crash) bool) (confirmed []ID) {
	for {
		found := t.confirmOnce(isPoison)
		if len(found) == 0 {
			return confirmed
		}
		confirmed = append(confirmed, found...) // these explain further crashes
	}
}

func (t *Table) confirmOnce(isPoison func(*Entry, []crash) bool) (confirmed []ID) {
	var crashes []crash
	for id, e := range t.suspects {
		if e.Confirmed || e.liveStrikes() < minStrikes {
			continue
		}
		if crashes == nil {
			crashes = t.crashes()
		}
		if !isPoison(e, crashes) {
			continue
		}
		next := *e
		next.Confirmed = true
		t.put(&next)
		confirmed = append(confirmed, id)
	}
	return confirmed
}

// crashes returns the distinct crashes in the strikes of all suspects, which the caller must not modify.
// The caller holds t.mu for writing.
func (t *Table) crashes() []crash {
	if t.crashList == nil {
		t.crashList = t.findCrashes()
	}
	return t.crashList
}

func (t *Table) findCrashes() (out []crash) {
	byEndpoint := make(map[uint32][]int)
	for _, e := range t.suspects {
		for _, s := range e.Strikes {
			i := t.indexOfCrash(out, byEndpoint[s.Endpoint], s)
			if i < 0 {
				i = len(out)
				out = append(out, crash{Strike: s, service: e.Service})
				byEndpoint[s.Endpoint] = append(byEndpoint[s.Endpoint], i)
			}
			out[i].explained = out[i].explained || e.Confirmed
		}
	}
	return out
}

// indexOfCrash returns the index, among candidates, of the crash of a strike, or -1.
func (t *Table) indexOfCrash(crashes []crash, candidates []int, s Strike) int {
	for _, i := range candidates {
		if crashes[i].sameCrash(s) {
			return i
		}
	}
	return -1
}

// isUnexplained returns a function that reports whether no confirmed suspect explains the crash of a
// strike.
func isUnexplained(crashes []crash) func(Strike) bool {
	return func(s Strike) bool {
		for i := range crashes {
			if crashes[i].explained && crashes[i].sameCrash(s) {
				return false
			}
		}
		return true
	}
}

func (t *Table) isPoison(e *Entry, crashes []crash) bool {
	if e.isPart() {
		return t.isPoisonPart(e, isUnexplained(crashes))
	}
	all := e.consecutive(func(Strike) bool { return true })
	if len(all) >= sufficientStrikes && all[len(all)-1].CrashedAt.Sub(all[0].CrashedAt) >= sufficientSpan {
		return true
	}
	unexplained := e.consecutive(isUnexplained(crashes))
	if len(unexplained) < minStrikes {
		return false
	}
	return expectedByChance(unexplained, e.crashesDuring(crashes, unexplained)) < maxChance
}

// isPoisonByQuiet reports whether the time without crashes since a request's strikes proves it to be
// poison. Its callers have been asked to come back meanwhile.
func (t *Table) isPoisonByQuiet(now time.Time, e *Entry, crashes []crash) bool {
	ev := t.evidence(e, crashes, nil)
	quiet := now.Sub(ev.lastCrash())
	if e.isPart() || quiet < maxQuietWait || len(ev.moments) < minStrikes || e.CountedStrikes() < minStrikes {
		return false
	}
	return ev.expected(now, ev.moments, quiet) < maxChance
}

// expectedByChance returns how many of the requests in flight at the first strike are expected to
// have the other strikes by chance, given the number of crashes of the service meanwhile.
func expectedByChance(strikes []Strike, crashes int) float64 {
	span := max(minSpan, strikes[len(strikes)-1].CrashedAt.Sub(strikes[0].CrashedAt)).Seconds()
	expected := float64(max(1, strikes[0].InFlight))
	for _, s := range strikes[1:] {
		expected *= min(1, float64(crashes)*residence(s).Seconds()/(float64(max(1, s.ListedEndpoints))*span))
	}
	return expected
}

// consecutive returns the strikes that count, by time: those that accept allows, that are not cleared,
// and whose request was sent after the previous one.
func (e *Entry) consecutive(accept func(Strike) bool) (out []Strike) {
	sorted := slices.Clone(e.Strikes)
	slices.SortFunc(sorted, func(a, b Strike) int { return a.CrashedAt.Compare(b.CrashedAt) })
	var last time.Time
	for _, s := range sorted {
		if s.Cleared || !s.SentAt.After(last) || !accept(s) {
			continue
		}
		out = append(out, s)
		last = s.CrashedAt
	}
	return out
}

// crashesDuring returns the number of unexplained crashes of the service during the strikes.
func (e *Entry) crashesDuring(crashes []crash, strikes []Strike) (n int) {
	first, last := strikes[0].CrashedAt.Add(-sameCrashWindow), strikes[len(strikes)-1].CrashedAt.Add(sameCrashWindow)
	for i := range crashes {
		other := &crashes[i]
		if other.service != e.Service || other.explained || other.CrashedAt.Before(first) || other.CrashedAt.After(last) {
			continue
		}
		n++
	}
	return n
}

// CountedStrikes returns the number of strikes that count, including those at explained crashes.
func (e *Entry) CountedStrikes() int { return len(e.consecutive(func(Strike) bool { return true })) }

// Endpoints returns the hashes of the endpoint IDs in the strikes, by time of the crash.
func (e *Entry) Endpoints() (out []uint32) {
	sorted := slices.Clone(e.Strikes)
	slices.SortFunc(sorted, func(a, b Strike) int { return cmp.Compare(a.CrashedAt.UnixNano(), b.CrashedAt.UnixNano()) })
	for _, s := range sorted {
		out = append(out, s.Endpoint)
	}
	return out
}
