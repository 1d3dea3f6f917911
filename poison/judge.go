package poison

// This file judges suspects.
//
// An endpoint that ends has dozens of requests in hand, and at most one of them is to blame;
// or none, where a machine, a rack or a third of the endpoints is lost for another reason. A
// request that is always the same is in hand at nearly every end. Strikes alone don't tell.
// What tells is what comes after them:
//
//   - Strikes count one after the other: one counts only if the request was sent to that
//     endpoint after the strike before it. So all ends of one moment are one strike, however
//     many copies of the request were in hand.
//   - One that is answered between them is cleared (Table.Answered).
//   - Ends that a known request had a hand in say nothing of others.
//   - What is left may be chance: endpoints of the service end anyway, so many in the time from
//     the first strike to the last, and each time the request was there for so long. Chance is
//     ruled out once it would bring all further strikes to one of those that were in hand at
//     the first end less often than chanceMost says. In a large fleet that takes three ends;
//     where a third of nine endpoints end every second it is never ruled out, and strikesMost
//     decides.
//
// Weighing each suspect of an end by one in n was weighed too: beside 40 others the one to
// blame has three fortieths after three ends, and one that was in hand twice has two. Waiting
// while another suspect shares all the ends of one was tried: the rule of chance alone blamed
// nobody in 10,000 ends, and it was taken out. Asking for one strike more for each end without
// the suspect was tried: of nine endpoints that five requests ended, one innocent request was
// at the first three ends, before any other was seen.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// strikesLeast is how many endpoints have to end one after the other for a request to be
	// known, however unlikely chance is.
	strikesLeast = 3
	// strikesMost is how many are enough in any case. A request is sent to as many as its route
	// allows and is given up then; six ends one after the other, with no answer between
	// them, need a caller that sends it again and again.
	strikesMost = 6
	// mostOver is the least time over which they come. Where a rack is lost endpoint after
	// endpoint within milliseconds, copies of a request that is always the same are at six of
	// them before any other has been answered.
	mostOver = time.Second
	// chanceMost is the chance from which on strikes are not taken for chance: with 18 lost
	// endpoints a day one request is blamed wrongly in a year or more.
	chanceMost = 1e-4
	// spanLeast is the least time over which ends are counted: of two ends within
	// milliseconds no rate can be told.
	spanLeast = 100 * time.Millisecond
	// thereLeast is the least time that a request counts as having been at an endpoint: the
	// end is noticed some milliseconds late.
	thereLeast = 10 * time.Millisecond
)

// An end is that of one endpoint.
type end struct {
	Strike
	service   string
	explained bool // a known request was in hand
}

// judge looks at all suspects, and returns those that are known by it. The caller holds t.mu.
func (t *Table) judge() (known []ID) {
	for {
		found := t.judgeOnce()
		if len(found) == 0 {
			return known
		}
		known = append(known, found...) // their ends are explained now
	}
}

func (t *Table) judgeOnce() (known []ID) {
	var ends []end
	for id, e := range t.suspects {
		if e.Known || e.live() < strikesLeast {
			continue
		}
		if ends == nil {
			ends = t.ends()
		}
		if !t.guilty(e, ends) {
			continue
		}
		next := *e
		next.Known = true
		t.put(&next)
		known = append(known, id)
	}
	return known
}

// ends returns the ends of which there are strikes, each once, in the order of endpoints.
func (t *Table) ends() (out []end) {
	byEndpoint := make(map[uint32][]int)
	for _, e := range t.suspects {
		for _, s := range e.Strikes {
			i := t.indexOf(out, byEndpoint[s.Endpoint], s)
			if i < 0 {
				i = len(out)
				out = append(out, end{Strike: s, service: e.Service})
				byEndpoint[s.Endpoint] = append(byEndpoint[s.Endpoint], i)
			}
			out[i].explained = out[i].explained || e.Known
		}
	}
	return out
}

// indexOf returns which of some ends is that of a strike; negative: none.
func (t *Table) indexOf(ends []end, some []int, s Strike) int {
	for _, i := range some {
		if ends[i].sameEnd(s) {
			return i
		}
	}
	return -1
}

// guilty reports whether a suspect ends endpoints.
func (t *Table) guilty(e *Entry, ends []end) bool {
	all := e.inTurn(func(Strike) bool { return true })
	if len(all) >= strikesMost && all[len(all)-1].At.Sub(all[0].At) >= mostOver {
		return true
	}
	unexplained := e.inTurn(func(s Strike) bool {
		for i := range ends {
			if ends[i].explained && ends[i].sameEnd(s) {
				return false
			}
		}
		return true
	})
	if len(unexplained) < strikesLeast {
		return false
	}
	return chance(unexplained, e.endsAround(ends, unexplained)) < chanceMost
}

// chance returns how many of those that were in hand at the first of these strikes have the
// others by chance, where so many endpoints of the service ended meanwhile.
func chance(strikes []Strike, ended int) float64 {
	span := max(spanLeast, strikes[len(strikes)-1].At.Sub(strikes[0].At)).Seconds()
	among := float64(max(1, strikes[0].Among))
	for _, s := range strikes[1:] {
		there := max(thereLeast, s.At.Sub(s.Began)).Seconds()
		among *= min(1, float64(ended)*there/(float64(max(1, s.Of))*span))
	}
	return among
}

// inTurn returns the strikes that count: live, admitted, and each of a request that was sent
// after the strike before it.
func (e *Entry) inTurn(admitted func(Strike) bool) (out []Strike) {
	sorted := slices.Clone(e.Strikes)
	slices.SortFunc(sorted, func(a, b Strike) int { return a.At.Compare(b.At) })
	var last time.Time
	for _, s := range sorted {
		if s.Void || !s.Began.After(last) || !admitted(s) {
			continue
		}
		out = append(out, s)
		last = s.At
	}
	return out
}

// endsAround returns how many endpoints of the service ended while the strikes came, where
// nothing explains it.
func (e *Entry) endsAround(ends []end, strikes []Strike) (n int) {
	first, last := strikes[0].At.Add(-sameEnd), strikes[len(strikes)-1].At.Add(sameEnd)
	for i := range ends {
		other := &ends[i]
		if other.service != e.Service || other.explained || other.At.Before(first) || other.At.After(last) {
			continue
		}
		n++
	}
	return n
}

// Counted returns how many strikes of an entry count, for operators.
func (e *Entry) Counted() int { return len(e.inTurn(func(Strike) bool { return true })) }

// Endpoints returns the hashes of the endpoints that ended, the first one first.
func (e *Entry) Endpoints() (out []uint32) {
	sorted := slices.Clone(e.Strikes)
	slices.SortFunc(sorted, func(a, b Strike) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	for _, s := range sorted {
		out = append(out, s.Endpoint)
	}
	return out
}
