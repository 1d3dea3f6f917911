package gossip

// This file determines which instance allocates an endpoint's rate limit, and with which share.

import (
	"time"

	"go.uber.org/zap"

	"ivyridge/limit"
	"ivyridge/quota"
)

// homeRegionShare is the share of a limit that the endpoint's own region allocates. The other
// regions split the rest, since requests seldom leave their region.
const homeRegionShare = 0.9

// limitAllocation is the state of permit requests and limit allocation, guarded by Gossip.mu.
type limitAllocation struct {
	view        quota.PartitionView // cached, since counting members costs more than a tick
	viewRolesAt time.Time           // rolesComputedAt of the roles that view was computed from
	claim       quota.PartitionClaim
	share       quota.Lease // of each limit
	allocator   limit.Allocator
	pending     map[uint64]chan PermitResponse // by request number
	abandoned   map[uint64]abandonedRequest    // unanswered requests whose caller stopped waiting, by request number
}

// mayAllocate reports whether this instance may allocate limits according to its role.
func (r *roles) mayAllocate() bool {
	return r.isScheduler && len(r.predecessors) < r.activeSchedulers()
}

// partitionView returns what this instance sees of its region, on its side of a partition.
func (g *Gossip) partitionView(now time.Time, r *roles) quota.PartitionView {
	s := g.members
	direct, reported := s.count(now)
	view := quota.PartitionView{Isolated: s.isolated(r), ConfiguredDataCentres: g.DataCentres}
	region := g.Regions[g.DataCentre]
	if s.multiRegion {
		direct, reported, view.ConfiguredDataCentres = s.regionSize, s.regionSize, 0
		for _, other := range g.Regions {
			if other == region {
				view.ConfiguredDataCentres++
			}
		}
	}
	dataCentres := map[string]bool{g.DataCentre: true}
	s.eachLive(now, func(m *Member) {
		if g.Regions[m.DataCentre] != region {
			return
		}
		dataCentres[m.DataCentre] = true
		if s.multiRegion {
			reported = max(reported, m.regionSize)
		}
	})
	view.Reachable, view.MaxPeerReachable, view.DataCentres = direct, reported, len(dataCentres)
	return view
}

// updateLimitShare recomputes this instance's share of limits. The caller holds g.mu.
func (g *Gossip) updateLimitShare(now time.Time, r *roles) {
	if at := g.members.rolesComputedAt; !at.Equal(g.limits.viewRolesAt) {
		g.limits.view, g.limits.viewRolesAt = g.partitionView(now, r), at
	}
	share := g.limits.claim.Share(g.limits.view, now)
	if !r.mayAllocate() || g.members.self.Leaving {
		share = 0
	}
	held := g.limits.share.Share(now)
	if g.limits.share.Renew(share, now); share != held {
		g.Log.Info("share of endpoint rate limits changed", zap.Float64("part", share), zap.Float64("before", held))
	}
}

// limitShare returns the share of the limit of an endpoint in dataCentre that this instance
// allocates. The caller holds g.mu.
func (g *Gossip) limitShare(now time.Time, dataCentre string) float64 {
	share := g.limits.share.Share(now)
	if !g.members.multiRegion {
		return share
	}
	regions := make(map[string]bool)
	for _, region := range g.Regions {
		regions[region] = true
	}
	if g.Regions[dataCentre] == g.Regions[g.DataCentre] {
		return share * homeRegionShare
	}
	return share * (1 - homeRegionShare) / float64(max(1, len(regions)-1))
}

// limitAllocator returns the gossip address of the instance that allocates the limit of an
// endpoint in dataCentre, this one included, or "" if none is known. The caller holds g.mu.
func (g *Gossip) limitAllocator(now time.Time, endpoint uint32, dataCentre string) string {
	var candidates []limit.Candidate
	var addresses []string
	if g.limits.share.Share(now) > 0 {
		candidates = append(candidates, limit.Candidate{ID: g.id, DataCentre: g.DataCentre})
		addresses = append(addresses, g.Address)
	}
	for _, m := range g.members.currentRoles(now).schedulers {
		if m.AllocatesLimits && !m.Leaving && m.protocol >= protocolLimits && g.Regions[m.DataCentre] == g.Regions[g.DataCentre] {
			candidates = append(candidates, limit.Candidate{ID: m.ID, DataCentre: m.DataCentre})
			addresses = append(addresses, m.Address)
		}
	}
	if i := limit.AllocatorOf(endpoint, dataCentre, candidates); i >= 0 {
		return addresses[i]
	}
	return ""
}

// AllocatedShare returns the share of an endpoint's limit that this instance allocates, zero if it
// isn't the allocator, and the number of permits that it has granted.
func (g *Gossip) AllocatedShare(endpoint uint32, dataCentre string) (share float64, permits uint64) {
	now := g.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limitAllocator(now, endpoint, dataCentre) == g.Address {
		share = g.limitShare(now, dataCentre)
	}
	return share, g.limits.allocator.Permits(endpoint)
}
