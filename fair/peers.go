package fair

// This file exchanges the use of the largest teams between instances. An instance reports only the
// requests that it scheduled itself, so nothing is counted twice.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportLifetime is three times the interval between reports in a large fleet.
	reportLifetime = 1500 * time.Millisecond
	// maxReportedTeams bounds a report. More teams than that are seldom above the fair rate.
	maxReportedTeams = 16
	// minReportedFraction is the fraction of the local use above which a team is reported.
	minReportedFraction = 1.0 / 128
	// minInstanceFraction is the fraction of the total use below which an instance reports
	// nothing, such as one that schedules only its own requests.
	minInstanceFraction = 0.03
	// Reports are sent from a congestion of minReportCongestion, and for reportAfterPeak afterwards.
	minReportCongestion = 0.6
	reportAfterPeak     = 2 * time.Second
	// sumInterval is how long sums over all reports are cached.
	sumInterval = 100 * time.Millisecond
)

// A Usage is a team's use at a level, in work per second.
type Usage struct {
	Level int
	Team  uint32
	Rate  float64
}

// peers holds the latest reports of other instances, and sums over them.
type peers struct {
	reports  map[uint64]report
	summedAt time.Time // when the following sums were computed
	rates    [Levels]map[uint32]float64
	totals   [Levels]float64
	teamIDs  [Levels][]uint32
}

type report struct {
	at   time.Time
	uses []Usage
}

// Report returns the teams with the highest use, for other instances, at levels that are or recently
// were congested.
func (s *Shares) Report(now time.Time) []Usage {
	var uses []Usage
	for level := range s.pools {
		p := &s.pools[level]
		if p.congestedAt.IsZero() || now.Sub(p.congestedAt) > reportAfterPeak {
			continue
		}
		if p.own.total(now) < minInstanceFraction*(p.own.total(now)+s.peers.total(now, level)) {
			continue
		}
		least := minReportedFraction * p.own.total(now)
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

// Merge replaces the report of another instance by uses, which it keeps.
func (s *Shares) Merge(now time.Time, instance uint64, uses []Usage) {
	p := &s.peers
	if p.reports == nil {
		p.reports = make(map[uint64]report)
	}
	p.reports[instance] = report{at: now, uses: uses}
}

func (p *peers) refresh(now time.Time) {
	if len(p.reports) == 0 || now.Sub(p.summedAt) < sumInterval {
		return
	}
	p.summedAt = now
	for level := range p.rates {
		if p.rates[level] == nil {
			p.rates[level] = make(map[uint32]float64)
		}
		clear(p.rates[level])
		p.totals[level] = 0
		p.teamIDs[level] = p.teamIDs[level][:0]
	}
	for instance, r := range p.reports {
		if now.Sub(r.at) >= reportLifetime {
			delete(p.reports, instance)
			continue
		}
		for _, u := range r.uses {
			if _, known := p.rates[u.Level][u.Team]; !known {
				p.teamIDs[u.Level] = append(p.teamIDs[u.Level], u.Team)
			}
			p.rates[u.Level][u.Team] += u.Rate
			p.totals[u.Level] += u.Rate
		}
	}
}

// rate returns a team's use at level, as reported by other instances.
func (p *peers) rate(now time.Time, level int, team uint32) float64 {
	p.refresh(now)
	return p.rates[level][team]
}

func (p *peers) total(now time.Time, level int) float64 {
	p.refresh(now)
	return p.totals[level]
}

func (p *peers) teams(now time.Time, level int) []uint32 {
	p.refresh(now)
	return p.teamIDs[level]
}
