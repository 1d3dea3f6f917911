package fair

// This file counts what teams use, the largest of them by name.
//
// A sketch holds a bounded number of teams (space saving: Metwally, Agrawal, El Abbadi
// 2005). A team that is not among them takes the place of the least one and inherits its
// count, which it may have had itself; what is inherited is never held against it. A team
// with more than 1/sketchTeams of all work is always there.

import (
	"math"
	"time"
)

const (
	// countOver is the time over which work is counted: a rush is seen within half a second,
	// and forgotten within a few.
	countOver = time.Second
	// sketchTeams is how many teams are counted at most: a fair rate that matters is above
	// 1/64 of all work.
	sketchTeams = 64
	// scaleMost bounds the exponent of the scale of counts.
	scaleMost = 30
)

// A counter is what is known of one team. Its figures are in the scale of its sketch.
type counter struct {
	team      uint32
	work      float64 // that was asked for, with what was inherited
	inherited float64
	requests  float64
	granted   float64 // work that was not refused
}

// A sketch counts work. Counts are not faded; what is added grows instead.
type sketch struct {
	origin   time.Time
	counters []counter
	all      float64
	granted  float64

	at  time.Time // of one
	one float64   // what one counts
}

// scale returns what one counts at now. It is kept, since a request asks for it some times.
func (s *sketch) scale(now time.Time) float64 {
	if now.Equal(s.at) {
		return s.one
	}
	if s.origin.IsZero() {
		s.origin = now
	}
	x := float64(now.Sub(s.origin)) / float64(countOver)
	if x > scaleMost {
		s.rescale(now, math.Exp(-x))
		x = 0
	}
	s.at, s.one = now, math.Exp(x)
	return s.one
}

func (s *sketch) rescale(now time.Time, by float64) {
	s.origin = now
	s.all *= by
	s.granted *= by
	for i := range s.counters {
		c := &s.counters[i]
		c.work *= by
		c.inherited *= by
		c.requests *= by
		c.granted *= by
	}
}

// find returns the counter of a team, or nil.
func (s *sketch) find(team uint32) *counter {
	for i := range s.counters {
		if s.counters[i].team == team {
			return &s.counters[i]
		}
	}
	return nil
}

// add counts work of a team.
func (s *sketch) add(now time.Time, team uint32, work float64) *counter {
	one := s.scale(now)
	s.all += work * one
	c := s.find(team)
	switch {
	case c != nil:
	case len(s.counters) < sketchTeams:
		if s.counters == nil {
			s.counters = make([]counter, 0, sketchTeams)
		}
		s.counters = append(s.counters, counter{team: team})
		c = &s.counters[len(s.counters)-1]
	default:
		c = s.least()
		*c = counter{team: team, work: c.work, inherited: c.work}
	}
	c.work += work * one
	c.requests += one
	return c
}

// grant counts work of a team that was not refused.
func (s *sketch) grant(now time.Time, team uint32, work float64) {
	one := s.scale(now)
	s.granted += work * one
	if c := s.find(team); c != nil {
		c.granted += work * one
	}
}

func (s *sketch) least() *counter {
	least := &s.counters[0]
	for i := range s.counters {
		if s.counters[i].work < least.work {
			least = &s.counters[i]
		}
	}
	return least
}

// rateOf returns the work a second of a counter's team, at least.
func (s *sketch) rateOf(now time.Time, c *counter) float64 {
	return (c.work - c.inherited) / s.scale(now) / countOver.Seconds()
}

// seen returns how many requests of a counter's team came of late.
func (s *sketch) seen(now time.Time, c *counter) float64 { return c.requests / s.scale(now) }

// total returns the work a second of all teams.
func (s *sketch) total(now time.Time) float64 {
	return s.all / s.scale(now) / countOver.Seconds()
}

// grantedRate returns the work a second that was not refused.
func (s *sketch) grantedRate(now time.Time) float64 {
	return s.granted / s.scale(now) / countOver.Seconds()
}
