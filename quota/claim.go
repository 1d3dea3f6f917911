package quota

// This file decides who holds a part of a bound that those who choose endpoints hold.
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
	// overlap is how many data centres' parts may count twice for a moment.
	overlap = 2
)

// A Sight is what an instance sees of those who divide a bound.
type Sight struct {
	Heard       int  // instances of its own data centre, itself among them
	Alone       bool // it hears nobody, though there are others
	Chooses     bool // it is one of those of its data centre that choose endpoints
	Choosers    int  // how many choose endpoints in a data centre
	DataCentres int  // that divide the bound
}

// A Claim is an instance's claim to a part. The zero value is that of one that has just
// started.
type Claim struct {
	most  int       // the most that were heard in the own data centre of late
	at    time.Time // when so many were heard last
	since time.Time // the claim stands since then; zero: it does not
}

// Part returns the instance's part at now, which is 0 while its claim does not stand. It
// must be asked often, since what it is told is all that it knows of the time between.
func (c *Claim) Part(s Sight, now time.Time) float64 {
	present := c.see(s.Heard, now)
	if !present || s.Alone || !s.Chooses {
		c.since = time.Time{}
		return 0
	}
	if c.since.IsZero() {
		c.since = now
	}
	if now.Sub(c.since) < holdsAfter {
		return 0
	}
	return 1 / float64(s.Choosers*s.DataCentres)
}

// see takes up that n are heard, and reports whether that is more than half of the most.
func (c *Claim) see(n int, now time.Time) bool {
	if n >= c.most || now.Sub(c.at) > presenceFor {
		c.most, c.at = n, now
	}
	return 2*n > c.most
}

// Wholes returns what the parts of all instances are together at most, as a multiple of the
// bound, where so many data centres divide it.
func Wholes(dataCentres int) float64 { return 1 + overlap/float64(max(1, dataCentres)) }
