package gossip

// This file works out this instance's part of what the fleet divides among those who choose
// endpoints, from the roles that it sees. It does no I/O.

import (
	"time"

	"go.uber.org/zap"

	"ivyridge/quota"
)

// coldPart returns which part of what a cold endpoint bears this instance may send, where
// the settings name so many data centres.
func (s *members) coldPart(now time.Time, r *roles, dataCentres int) float64 {
	return s.claim.Part(quota.Sight{
		Heard:       r.dataCentreSize(),
		Alone:       s.alone(r),
		Chooses:     r.schedules && s.self.Warm && len(r.ahead) < r.choosers(),
		Choosers:    r.choosers(),
		DataCentres: r.dividers(dataCentres),
	}, now)
}

// dividers returns how many data centres divide a bound, where the settings name so many.
func (r *roles) dividers(dataCentres int) int { return max(dataCentres, r.readers, 1) }

// setParts tells the balancer which parts this instance holds. The caller holds g.mu.
func (g *Gossip) setParts(now time.Time, r *roles) {
	part := g.members.coldPart(now, r, g.DataCentres)
	if (part > 0) != (g.part > 0) {
		g.Log.Info("part of shared bounds", zap.Float64("part", part), zap.Int("data_centres", r.dividers(g.DataCentres)), zap.Int("choosers", r.choosers()))
	}
	g.part = part
	g.Balancer.SetColdPart(g.part)
	g.Balancer.SetRetryPart(g.part, r.dividers(g.DataCentres))
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
