package fair

// This file holds what instances tell each other of the teams that use most.
//
// Each says what the requests that it chose for asked for, and never what it was
// told, so that nothing is counted twice. A sum over those who speak is too low where one
// of them is not heard; a team is then thought to use less.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// toldFor is how long what an instance said holds: three times the pause between two in a
	// large fleet.
	toldFor = 1500 * time.Millisecond
	// toldTeams is how many teams are named at most in one message: a fair rate below a
	// sixteenth of all use is seldom exceeded by more.
	toldTeams = 16
	// toldPart is the part of the use here from which a team is named.
	toldPart = 1.0 / 128
	// toldLeast is the part of all use below which an instance says nothing: a scheduler that
	// chooses for itself alone. What is so left out is spread over teams as the rest is.
	toldLeast = 0.03
	// nearShort is the congestion from which teams are named, and namedFor for how long: on a
	// calm day nothing is said.
	nearShort = 0.6
	namedFor  = 2 * time.Second
	// sumsHold is how long sums over those who speak are used before they are worked out anew.
	sumsHold = 100 * time.Millisecond
)

// A Use is what one team uses at a level, in work a second.
type Use struct {
	Level int
	Team  uint32
	Rate  float64
}

// told holds what others said last.
type told struct {
	by   map[uint64]said
	at   time.Time // the sums were worked out
	sums [Levels]map[uint32]float64
	all  [Levels]float64
	list [Levels][]uint32
}

type said struct {
	at   time.Time
	uses []Use
}

// Uses returns what there is to tell: the teams that use most, if the service is short or
// near it.
func (s *Shares) Uses(now time.Time) []Use {
	var uses []Use
	for level := range s.pools {
		p := &s.pools[level]
		if p.short.IsZero() || now.Sub(p.short) > namedFor {
			continue
		}
		if p.own.total(now) < toldLeast*(p.own.total(now)+s.told.total(now, level)) {
			continue
		}
		least := toldPart * p.own.total(now)
		for i := range p.own.counters {
			c := &p.own.counters[i]
			if rate := p.own.rateOf(now, c); rate > least {
				uses = append(uses, Use{Level: level, Team: c.team, Rate: rate})
			}
		}
	}
	slices.SortFunc(uses, func(a, b Use) int { return cmp.Compare(b.Rate, a.Rate) })
	uses = uses[:min(len(uses), toldTeams)]
	slices.SortStableFunc(uses, func(a, b Use) int { return a.Level - b.Level })
	return uses
}

// Merge takes up what another instance said.
func (s *Shares) Merge(now time.Time, instance uint64, uses []Use) {
	t := &s.told
	if t.by == nil {
		t.by = make(map[uint64]said)
	}
	t.by[instance] = said{at: now, uses: uses}
}

// refresh works the sums out anew, if they have grown old.
func (t *told) refresh(now time.Time) {
	if len(t.by) == 0 || now.Sub(t.at) < sumsHold {
		return
	}
	t.at = now
	for level := range t.sums {
		if t.sums[level] == nil {
			t.sums[level] = make(map[uint32]float64)
		}
		clear(t.sums[level])
		t.all[level] = 0
		t.list[level] = t.list[level][:0]
	}
	for instance, s := range t.by {
		if now.Sub(s.at) >= toldFor {
			delete(t.by, instance)
			continue
		}
		for _, u := range s.uses {
			if _, known := t.sums[u.Level][u.Team]; !known {
				t.list[u.Level] = append(t.list[u.Level], u.Team)
			}
			t.sums[u.Level][u.Team] += u.Rate
			t.all[u.Level] += u.Rate
		}
	}
}

// rate returns what others say that a team uses at a level.
func (t *told) rate(now time.Time, level int, team uint32) float64 {
	t.refresh(now)
	return t.sums[level][team]
}

// total returns what others say that all teams named use at a level.
func (t *told) total(now time.Time, level int) float64 {
	t.refresh(now)
	return t.all[level]
}

// teams returns the teams that others named at a level.
func (t *told) teams(now time.Time, level int) []uint32 {
	t.refresh(now)
	return t.list[level]
}
