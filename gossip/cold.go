package gossip

// This file works out this instance's part of what cold endpoints bear. It does no I/O.
//
// The parts of all instances together are the whole at most, but for moments in which two
// take themselves for the first scheduler of a data centre: each data centre that the
// settings name has the same part, whoever is heard there. What can't be known is taken for
// the worst: an instance that hears less than half of those whom it heard of late may be cut
// off, and one that hears nobody may be one of many.

import "time"

const (
	// presenceFor is how long an instance remembers how many others it heard in its data
	// centre: longer than a cut or a restart of many lasts.
	presenceFor = 30 * time.Second
	// holdsAfter is how long an instance has been one that chooses endpoints, and has heard
	// most of the others, without a break before it has a part. One that is cut off notices
	// that up to 1.5 s later, as late as those that take over from it; and two that were cut
	// off from each other hear most of the others 0.3 s after the cut has healed, and not yet
	// each other. Without it, the parts were up to 3 wholes (TestColdPartsAfterACutHeals).
	holdsAfter = 2 * time.Second
)

// A presence is the most that were heard in the own data centre of late.
type presence struct {
	most  int
	at    time.Time // when so many were heard last
	holds time.Time // a part is due since then; zero: none is
}

// see takes up that n are heard, and reports whether that is more than half of the most.
func (p *presence) see(n int, now time.Time) bool {
	if n >= p.most || now.Sub(p.at) > presenceFor {
		p.most, p.at = n, now
	}
	return 2*n > p.most
}

// coldPart returns which part of what a cold endpoint bears this instance may send, where
// the settings name so many data centres.
func (s *members) coldPart(now time.Time, r *roles, dataCentres int) float64 {
	present := s.presence.see(r.dataCentreSize(), now)
	if !present || !r.schedules || !s.self.Warm || s.alone(r) || len(r.ahead) >= r.choosers() {
		s.presence.holds = time.Time{}
		return 0
	}
	if s.presence.holds.IsZero() {
		s.presence.holds = now
	}
	if now.Sub(s.presence.holds) < holdsAfter {
		return 0
	}
	return 1 / float64(r.choosers()*max(dataCentres, r.readers, 1))
}

// alone reports whether the settings name others and none is heard.
func (s *members) alone(r *roles) bool {
	if len(r.known) > 0 || len(r.far) > 0 {
		return false
	}
	for _, seed := range s.seeds {
		if seed != s.self.Address {
			return true
		}
	}
	return false
}

// choosers returns how many instances of the own data centre choose endpoints as a rule:
// those whom the others ask, or all where there are no others.
func (r *roles) choosers() int {
	schedulers := 1 + len(r.nearby)
	if len(r.near) == 0 {
		return schedulers
	}
	return min(schedulers, asked(r.dataCentreSize()))
}
