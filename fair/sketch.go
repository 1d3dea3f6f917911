package fair

// This file counts the use of the teams with the highest use, with a bounded number of counters
// (space saving: Metwally, Agrawal, El Abbadi 2005). A team without a counter takes over the
// smallest and inherits its count, which is not held against it. A team with more than 1/maxCounters
// of all work always has a counter.

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant of the exponential decay of counts. A surge is noticed within
	// half a second and forgotten within a few.
	decayTime = time.Second
	// maxCounters bounds the counters of a sketch. A fair rate that matters is above 1/maxCounters
	// of all work.
	maxCounters = 64
	// maxExponent bounds the exponent of the unit; beyond it counts are rescaled.
	maxExponent = 30
)

// A counter is the state of one team. Its counts are in units of its sketch.
type counter struct {
	team      uint32
	work      float64 // asked for, including inherited
	inherited float64
	requests  float64
	granted   float64 // work that was not refused
}

// A sketch counts work with exponential decay. Instead of reducing all counts as time passes, it
// multiplies new work by a factor that grows (forward decay).
type sketch struct {
	origin    time.Time
	counters  []counter
	totalWork float64
	granted   float64

	unitAt time.Time // time of unit
	unit   float64   // what one unit of work, or one request, adds at unitAt
}

// scale returns the unit at now. It is cached, as a request needs it several times.
func (s *sketch) scale(now time.Time) float64 {
	if now.Equal(s.unitAt) {
		return s.unit
	}
	if s.origin.IsZero() {
		s.origin = now
	}
	x := float64(now.Sub(s.origin)) / float64(decayTime)
	if x > maxExponent {
		s.rescale(now, math.Exp(-x))
		x = 0
	}
	s.unitAt, s.unit = now, math.Exp(x)
	return s.unit
}

func (s *sketch) rescale(now time.Time, factor float64) {
	s.origin = now
	s.totalWork *= factor
	s.granted *= factor
	for i := range s.counters {
		c := &s.counters[i]
		c.work *= factor
		c.inherited *= factor
		c.requests *= factor
		c.granted *= factor
	}
}

func (s *sketch) find(team uint32) *counter {
	for i := range s.counters {
		if s.counters[i].team == team {
			return &s.counters[i]
		}
	}
	return nil
}

func (s *sketch) add(now time.Time, team uint32, work float64) *counter {
	unit := s.scale(now)
	s.totalWork += work * unit
	c := s.find(team)
	switch {
	case c != nil:
	case len(s.counters) < maxCounters:
		if s.counters == nil {
			s.counters = make([]counter, 0, maxCounters)
		}
		s.counters = append(s.counters, counter{team: team})
		c = &s.counters[len(s.counters)-1]
	default:
		c = s.smallest()
		*c = counter{team: team, work: c.work, inherited: c.work}
	}
	c.work += work * unit
	c.requests += unit
	return c
}

func (s *sketch) grant(now time.Time, team uint32, work float64) {
	unit := s.scale(now)
	s.granted += work * unit
	if c := s.find(team); c != nil {
		c.granted += work * unit
	}
}

func (s *sketch) smallest() *counter {
	smallest := &s.counters[0]
	for i := range s.counters {
		if s.counters[i].work < smallest.work {
			smallest = &s.counters[i]
		}
	}
	return smallest
}

// rateOf returns a lower bound of the work per second of a counter's team.
func (s *sketch) rateOf(now time.Time, c *counter) float64 {
	return (c.work - c.inherited) / s.scale(now) / decayTime.Seconds()
}

// recentRequests returns the decayed number of requests of a counter's team.
func (s *sketch) recentRequests(now time.Time, c *counter) float64 { return c.requests / s.scale(now) }

// total returns the work per second of all teams.
func (s *sketch) total(now time.Time) float64 {
	return s.totalWork / s.scale(now) / decayTime.Seconds()
}

// grantedRate returns the work per second that was not refused.
func (s *sketch) grantedRate(now time.Time) float64 {
	return s.granted / s.scale(now) / decayTime.Seconds()
}
