package gossip

// This file works out who divides the limits of endpoints, and which part of a limit this instance
// gives out. It does no I/O.

import (
	"time"

	"go.uber.org/zap"

	"ivyridge/limit"
	"ivyridge/quota"
)

// homeShare is the part of a limit that the endpoint's own region divides; the others have the rest.
// Requests seldom leave their region.
const homeShare = 0.9

// dividing is what an instance keeps for dividing limits, and for asking others. It is guarded by
// g.mu.
type dividing struct {
	side    quota.Side // as of sideAt: to see who is heard costs more than a beat
	sideAt  time.Time  // of the roles that it was worked out with
	claim   quota.SideClaim
	part    quota.Part // of limits
	divider limit.Divider
	pending map[uint64]chan Permit // by the number of the ask
	late    map[uint64]latePermit  // the same, of asks that were given up
}

// divides reports whether this instance may divide limits, by what it believes of its role.
func (r *roles) divides() bool { return r.schedules && len(r.ahead) < r.choosers() }

// side returns what this instance sees of its region's side of a cut.
func (g *Gossip) side(now time.Time, r *roles) quota.Side {
	s := g.members
	heard, told := s.count(now)
	side := quota.Side{Alone: s.alone(r), Named: g.DataCentres}
	region := g.Regions[g.DataCentre]
	if s.several {
		heard, told, side.Named = s.home, s.home, 0
		for _, of := range g.Regions {
			if of == region {
				side.Named++
			}
		}
	}
	dataCentres := map[string]bool{g.DataCentre: true}
	s.live(now, func(m *Member) {
		if g.Regions[m.DataCentre] != region {
			return
		}
		dataCentres[m.DataCentre] = true
		if s.several {
			told = max(told, m.hearsHome)
		}
	})
	side.Heard, side.Told, side.DataCentres = heard, told, len(dataCentres)
	return side
}

// setDividing works out anew which part of limits this instance divides. The caller holds g.mu.
func (g *Gossip) setDividing(now time.Time, r *roles) {
	if at := g.members.rolesAt; !at.Equal(g.dividing.sideAt) {
		g.dividing.side, g.dividing.sideAt = g.side(now, r), at
	}
	part := g.dividing.claim.Part(g.dividing.side, now)
	if !r.divides() || g.members.self.Leaving {
		part = 0
	}
	held := g.dividing.part.Share(now)
	if g.dividing.part.Hold(part, now); part != held {
		g.Log.Info("part of limits", zap.Float64("part", part), zap.Float64("before", held))
	}
}

// share returns which part of the limit of an endpoint in a data centre this instance divides.
// The caller holds g.mu.
func (g *Gossip) share(now time.Time, dataCentre string) float64 {
	part := g.dividing.part.Share(now)
	if !g.members.several {
		return part
	}
	regions := make(map[string]bool)
	for _, region := range g.Regions {
		regions[region] = true
	}
	if g.Regions[dataCentre] == g.Regions[g.DataCentre] {
		return part * homeShare
	}
	return part * (1 - homeShare) / float64(max(1, len(regions)-1))
}

// divider returns the gossip address of the instance that divides the limit of an endpoint in a
// data centre, as far as this one hears: its own address if it is this one, empty if there is none. The caller
// holds g.mu.
func (g *Gossip) divider(now time.Time, endpoint uint32, dataCentre string) string {
	var candidates []limit.Candidate
	var at []string
	if g.dividing.part.Share(now) > 0 {
		candidates = append(candidates, limit.Candidate{ID: g.id, DataCentre: g.DataCentre})
		at = append(at, g.Address)
	}
	for _, m := range g.members.current(now).schedulers {
		if m.Divides && !m.Leaving && m.level >= levelLimits && g.Regions[m.DataCentre] == g.Regions[g.DataCentre] {
			candidates = append(candidates, limit.Candidate{ID: m.ID, DataCentre: m.DataCentre})
			at = append(at, m.Address)
		}
	}
	if i := limit.Divides(endpoint, dataCentre, candidates); i >= 0 {
		return at[i]
	}
	return ""
}

// Divided returns which part of the limit of an endpoint in a data centre this instance gives out
// permits for, zero if another one does, and how many it has given out.
func (g *Gossip) Divided(endpoint uint32, dataCentre string) (part float64, permits uint64) {
	now := g.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.divider(now, endpoint, dataCentre) == g.Address {
		part = g.share(now, dataCentre)
	}
	return part, g.dividing.divider.Permits(endpoint)
}
