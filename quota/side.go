package quota

// This file decides how much of a bound an instance may use that one instance holds for all.
//
// The bound is whole while its holder hears all others. When links are cut, each side of the
// cut has a holder of its own, which hears only its side. So a holder takes a part by whom it
// hears: the parts of all sides, however many there are, are sideMost at most. Waiting until a side
// hears more than half was refused: two equal halves would both hold nothing, and the last instance of
// a fleet would wait for those that don't come back.

import "time"

// sideMost is what the parts of all sides are together at most. It leaves room below one and a
// half for what buckets hold.
const sideMost = 1.4

// A Side is what an instance sees of those on its side of a cut, if there is one.
type Side struct {
	Heard       int  // instances, itself among them
	Told        int  // the most that another one of them hears, as it says
	DataCentres int  // of these instances
	Named       int  // data centres that settings name; zero: none
	Alone       bool // it hears nobody, though settings name others
}

// toldMore is how many more instances, as a part, another one may hear before that is taken for
// a cut: counts come late.
const toldMore = 0.1

// A SideClaim is an instance's claim by the side it is on. The zero value is that of one that
// has just started.
type SideClaim struct {
	most  int       // the most that were heard of late
	at    time.Time // when so many were heard last
	part  float64
	low   float64   // the lowest since then, which is above part
	since time.Time // a higher part has stood since then; zero: none does
}

// Part returns the instance's part at now. It falls at once, and rises once it could have for
// holdsAfter: both sides of a cut that heals see that at different times. It must be asked often.
func (c *SideClaim) Part(s Side, now time.Time) float64 {
	if s.Heard >= c.most || now.Sub(c.at) > presenceFor {
		c.most, c.at = s.Heard, now
	}
	part := s.part(c.most)
	if part <= c.part {
		c.part, c.since = part, time.Time{}
		return c.part
	}
	if c.since.IsZero() {
		c.since, c.low = now, part
	}
	c.low = min(c.low, part)
	if now.Sub(c.since) >= holdsAfter {
		c.part, c.since = c.low, time.Time{}
	}
	return c.part
}

// part returns the part of a side, where so many instances were heard of late at most.
func (s *Side) part(most int) float64 {
	part := min(1, sideMost*float64(s.Heard)/float64(max(1, most)))
	if s.Named > 0 {
		part = min(part, sideMost*float64(s.DataCentres)/float64(s.Named))
	}
	if s.Alone || float64(s.Told) > (1+toldMore)*float64(s.Heard)+1 {
		// Others are cut off from this instance alone, or hear some that it doesn't: there may
		// be a second holder among them.
		part = min(part, sideMost/2)
	}
	return part
}
