package fair

// This file reports which teams are limited and how evenly work is granted.

import (
	"cmp"
	"slices"
	"time"
)

// A Limited is a team that has recently had requests refused.
type Limited struct {
	Team        uint32
	Since       time.Time
	lastRefused time.Time
}

const maxLimited = maxCounters

func (p *pool) markLimited(now time.Time, team uint32) {
	for i := range p.limited {
		if p.limited[i].Team == team {
			p.limited[i].lastRefused = now
			return
		}
	}
	if len(p.limited) < maxLimited {
		p.limited = append(p.limited, Limited{Team: team, Since: now, lastRefused: now})
	}
}

// A Change is the start or end of the limiting of a team at a level.
type Change struct {
	Team       uint32
	Level      int
	Ended      bool
	LimitedFor time.Duration // if Ended
}

// Changes returns the changes since last, the time of the previous call.
func (s *Shares) Changes(now, last time.Time) []Change {
	var out []Change
	for level := range s.pools {
		p := &s.pools[level]
		kept := p.limited[:0]
		for _, l := range p.limited {
			if l.Since.After(last) {
				out = append(out, Change{Team: l.Team, Level: level})
			}
			if now.Sub(l.lastRefused) > limitedTimeout {
				out = append(out, Change{Team: l.Team, Level: level, Ended: true, LimitedFor: l.lastRefused.Sub(l.Since)})
				continue
			}
			kept = append(kept, l)
		}
		p.limited = kept
	}
	return out
}

// A TeamStatus is the rate of work, per second, that a team asks for and is granted.
type TeamStatus struct {
	Team    uint32
	Asked   float64
	Granted float64
	Others  float64 // asked for at other instances
}

// A Status is the state of one level.
type Status struct {
	Level      int
	FairRate   float64      // zero if teams are not limited
	Limited    int          // number of limited teams
	Jain       float64      // Jain's fairness index of the granted fractions of the teams' work; 1 is even
	WorstTenth float64      // mean of the lowest tenth of these fractions
	Teams      []TeamStatus // in descending order of use
}

// idleRate is the rate below which a team is omitted from a Status.
const idleRate = 1e-3

// Status returns the state of the levels that have requests.
func (s *Shares) Status(now time.Time) []Status {
	var out []Status
	for level := range s.pools {
		p := &s.pools[level]
		st := Status{Level: level, FairRate: p.rate, Limited: len(p.limited)}
		for i := range p.own.counters {
			c := &p.own.counters[i]
			asked := p.own.rateOf(now, c)
			if asked < idleRate {
				continue
			}
			st.Teams = append(st.Teams, TeamStatus{
				Team: c.team, Asked: asked, Granted: c.granted / p.own.scale(now) / decayTime.Seconds(), Others: s.peers.rate(now, level, c.team),
			})
		}
		slices.SortFunc(st.Teams, func(a, b TeamStatus) int { return cmp.Compare(b.Asked+b.Others, a.Asked+a.Others) })
		if len(st.Teams) > 0 {
			st.Jain, st.WorstTenth = fairness(st.Teams)
			out = append(out, st)
		}
	}
	return out
}

func fairness(teams []TeamStatus) (jain, worst float64) {
	fractions := make([]float64, 0, len(teams))
	sum, squares := 0.0, 0.0
	for _, t := range teams {
		x := min(t.Granted/t.Asked, 1)
		fractions = append(fractions, x)
		sum += x
		squares += x * x
	}
	slices.SortFunc(fractions, cmp.Compare[float64])
	tenth := fractions[:max(1, len(fractions)/10)]
	for _, x := range tenth {
		worst += x / float64(len(tenth))
	}
	if squares == 0 {
		return 1, worst
	}
	return sum * sum / (float64(len(teams)) * squares), worst
}
