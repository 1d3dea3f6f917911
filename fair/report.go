package fair

// This file tells operators who is limited and how equal shares are.

import (
	"cmp"
	"slices"
	"time"
)

// A Limited is a team of whose requests some are refused for its share.
type Limited struct {
	Team  uint32
	Since time.Time
	last  time.Time // refusal
}

// limitedMost bounds the teams that are remembered as limited.
const limitedMost = sketchTeams

// limit notes that a request of a team is refused.
func (p *pool) limit(now time.Time, team uint32) {
	for i := range p.limited {
		if p.limited[i].Team == team {
			p.limited[i].last = now
			return
		}
	}
	if len(p.limited) < limitedMost {
		p.limited = append(p.limited, Limited{Team: team, Since: now, last: now})
	}
}

// A Change says that a team begins or ends to be limited at a level.
type Change struct {
	Team  uint32
	Level int
	Ended bool
	After time.Duration // of an end: how long it was limited
}

// Changes returns what has changed since the time of the last call.
func (s *Shares) Changes(now, last time.Time) []Change {
	var out []Change
	for level := range s.pools {
		p := &s.pools[level]
		kept := p.limited[:0]
		for _, l := range p.limited {
			if l.Since.After(last) {
				out = append(out, Change{Team: l.Team, Level: level})
			}
			if now.Sub(l.last) > limitedFor {
				out = append(out, Change{Team: l.Team, Level: level, Ended: true, After: l.last.Sub(l.Since)})
				continue
			}
			kept = append(kept, l)
		}
		p.limited = kept
	}
	return out
}

// A Standing is what one team asks for and is granted here, in work a second.
type Standing struct {
	Team    uint32
	Asked   float64
	Granted float64
	Others  float64 // what other instances say that it asks for
}

// A Status is the state of one level.
type Status struct {
	Level      int
	FairRate   float64    // zero: nobody is limited
	Limited    int        // teams
	Jain       float64    // index of the parts that teams are granted of what they ask for: 1 is equal
	WorstTenth float64    // the mean of this part over the tenth of teams with the least
	Teams      []Standing // the one that asks for most first
}

// idleRate is the use below which a team counts as gone.
const idleRate = 1e-3

// Status returns the state of each level that is used.
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
			st.Teams = append(st.Teams, Standing{
				Team: c.team, Asked: asked, Granted: c.granted / p.own.scale(now) / countOver.Seconds(), Others: s.told.rate(now, level, c.team),
			})
		}
		slices.SortFunc(st.Teams, func(a, b Standing) int { return cmp.Compare(b.Asked+b.Others, a.Asked+a.Others) })
		if len(st.Teams) > 0 {
			st.Jain, st.WorstTenth = equality(st.Teams)
			out = append(out, st)
		}
	}
	return out
}

// equality returns Jain's index and the worst tenth of the parts that teams are granted.
func equality(teams []Standing) (jain, worst float64) {
	parts := make([]float64, 0, len(teams))
	sum, squares := 0.0, 0.0
	for _, t := range teams {
		x := min(t.Granted/t.Asked, 1)
		parts = append(parts, x)
		sum += x
		squares += x * x
	}
	slices.SortFunc(parts, cmp.Compare[float64])
	tenth := parts[:max(1, len(parts)/10)]
	for _, x := range tenth {
		worst += x / float64(len(tenth))
	}
	if squares == 0 {
		return 1, worst
	}
	return sum * sum / (float64(len(teams)) * squares), worst
}
