package fair

// This file exchanges the use of the largest teams between instances.
//
// An instance reports only the requests that it scheduled itself, so that nothing is counted
// twice. A missing report makes the sum, and so a team's use, too low.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportLifetime is how long a report is valid: three times the interval between reports
	// in a large fleet.
	reportLifetime = 1500 * time.Millisecond
	// maxReportedTeams bounds the teams in a report. More than that are seldom above the fair
	// rate.
	maxReportedTeams = 16
	// minReportedPart is the part of the local use above which a team is reported.
	minReportedPart = 1.0 / 128
	// minInstancePart is the part of the total use below which an instance reports nothing,
	// such as one that schedules only its own requests.
	minInstancePart = 0.03
	// nearLimit is the congestion from which reports are sent, and reportAfterPeak how long
	// they continue afterwards.
	nearLimit       = 0.6
	reportAfterPeak = 2 * time.Second
	// sumInterval is how long sums over all reports are cached.
	sumInterval = 100 * time.Millisecond
)

// A Usage is a team's use at a level, in work per second.
type Usage struct {
	Level int
	Team  uint32
	Rate  float64
}

// peers holds the latest reports of other instances.
type peers struct {
	reports  map[uint64]report
	summedAt time.Time // when the sums below were computed
	rates    [Levels]map[uint32]float64
	totals   [Levels]float64
	teamIDs  [Levels][]uint32
}

type report struct {
	at   time.Time
	uses []Usage
}

// Report returns the report for other instances: the teams with the highest use at levels that
// are, or recently were, at least nearly congested.
func (s *Shares) Report(now time.Time) []Usage {
	var uses []Usage
	for level := range s.pools {
		p := &s.pools[level]
		if p.nearLimitAt.IsZero() || now.Sub(p.nearLimitAt) > reportAfterPeak {
			continue
		}
		if p.own.total(now) < minInstancePart*(p.own.total(now)+s.peers.total(now, level)) {
			continue
		}
		least := minReportedPart * p.own.total(now)
		for i := range p.own.counters {
			c := &p.own.counters[i]
			if rate := p.own.rateOf(now, c); rate > least {
				uses = append(uses, Usage{Level: level, Team: c.team, Rate: rate})
			}
		}
	}
	slices.SortFunc(uses, func(a, b Usage) int { return cmp.Compare(b.Rate, a.Rate) })
	uses = uses[:min(len(uses), maxReportedTeams)]
	slices.SortStableFunc(uses, func(a, b Usage) int { return a.Level - b.Level })
	return uses
}

// Merge stores the report of another instance, replacing its previous one. It keeps uses.
func (s *Shares) Merge(now time.Time, instance uint64, uses []Usage) {
	t := &s.peers
	if t.reports == nil {
		t.reports = make(map[uint64]report)
	}
	t.reports[instance] = report{at: now, uses: uses}
}

// refresh computes the sums, unless they are recent.
func (t *peers) refresh(now time.Time) {
	if len(t.reports) == 0 || now.Sub(t.summedAt) < sumInterval {
		return
	}
	t.summedAt = now
	for level := range t.rates {
		if t.rates[level] == nil {
			t.rates[level] = make(map[uint32]float64)
		}
		clear(t.rates[level])
		t.totals[level] = 0
		t.teamIDs[level] = t.teamIDs[level][:0]
	}
	for instance, s := range t.reports {
		if now.Sub(s.at) >= reportLifetime {
			delete(t.reports, instance)
			continue
		}
		for _, u := range s.uses {
			if _, known := t.rates[u.Level][u.Team]; !known {
				t.teamIDs[u.Level] = append(t.teamIDs[u.Level], u.Team)
			}
			t.rates[u.Level][u.Team] += u.Rate
			t.totals[u.Level] += u.Rate
		}
	}
}

// rate returns a team's use at a level, as reported by others.
func (t *peers) rate(now time.Time, level int, team uint32) float64 {
	t.refresh(now)
	return t.rates[level][team]
}

// total returns the use of all reported teams at a level.
func (t *peers) total(now time.Time, level int) float64 {
	t.refresh(now)
	return t.totals[level]
}

// teams returns the teams that others reported at a level.
func (t *peers) teams(now time.Time, level int) []uint32 {
	t.refresh(now)
	return t.teamIDs[level]
}
