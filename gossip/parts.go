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
	sight := s.sight(r, dataCentres)
	sight.Chooses = sight.Chooses && s.self.Warm
	return s.coldClaim.Part(sight, now)
}

// retryPart returns which part of the retries this instance may grant. It need not have been
// told everything before: what it may grant is earned by requests that it has placed itself.
// After a restart of a whole fleet it has a part 5 s sooner.
func (s *members) retryPart(now time.Time, r *roles, dataCentres int) float64 {
	return s.retryClaim.Part(s.sight(r, dataCentres), now)
}

// sight returns what this instance sees of those who divide a bound.
func (s *members) sight(r *roles, dataCentres int) quota.Sight {
	return quota.Sight{
		Heard:       r.dataCentreSize(),
		Alone:       s.alone(r),
		Chooses:     r.schedules && len(r.ahead) < r.choosers(),
		Choosers:    r.choosers(),
		DataCentres: r.dividers(dataCentres),
	}
}

// dividers returns how many data centres divide a bound, where the settings name so many.
func (r *roles) dividers(dataCentres int) int { return max(dataCentres, r.readers, 1) }

// setParts tells the balancer which parts this instance holds. The caller holds g.mu.
func (g *Gossip) setParts(now time.Time, r *roles) {
	g.Balancer.SetColdPart(g.members.coldPart(now, r, g.DataCentres))
	part := g.members.retryPart(now, r, g.DataCentres)
	if (part > 0) != (g.part > 0) {
		g.Log.Info("part of retries", zap.Float64("part", part), zap.Int("data_centres", r.dividers(g.DataCentres)), zap.Int("choosers", r.choosers()))
	}
	g.part = part
	g.setDividing(now, r)
	g.Balancer.SetRetryPart(part, r.dividers(g.DataCentres))
}

// alone reports whether the settings name others and none is heard.
func (s *members) alone(r *roles) bool {
	if len(r.schedulers) > 0 || len(r.known) > 0 || len(r.far) > 0 {
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
