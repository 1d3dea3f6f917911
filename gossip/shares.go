package gossip

// This file computes this instance's share of budgets divided among the active schedulers.

import (
	"time"

	"go.uber.org/zap"

	"ivyridge/quota"
)

// coldShare returns the share of a cold endpoint's request rate that this instance may send.
func (s *members) coldShare(now time.Time, r *roles, dataCentres int) float64 {
	view := s.quotaView(r, dataCentres)
	view.IsScheduler = view.IsScheduler && s.self.WarmedUp
	return s.coldClaim.Share(view, now)
}

// retryShare returns the share of the retry budget that this instance may grant. It needs no
// warm-up: an instance grants only what was earned by requests that it placed itself.
func (s *members) retryShare(now time.Time, r *roles, dataCentres int) float64 {
	return s.retryClaim.Share(s.quotaView(r, dataCentres), now)
}

// quotaView returns what this instance knows of the instances that divide a budget.
func (s *members) quotaView(r *roles, dataCentres int) quota.View {
	return quota.View{
		Reachable:   r.dataCentreSize(),
		Isolated:    s.isolated(r),
		IsScheduler: r.isScheduler && len(r.predecessors) < r.activeSchedulers(),
		Schedulers:  r.activeSchedulers(),
		DataCentres: r.quotaDataCentres(dataCentres),
	}
}

// quotaDataCentres returns the number of data centres that divide a budget.
func (r *roles) quotaDataCentres(dataCentres int) int { return max(dataCentres, r.storeReaders, 1) }

// updateShares passes the current shares of this instance to the balancer. The caller holds g.mu.
func (g *Gossip) updateShares(now time.Time, r *roles) {
	g.Balancer.SetColdShare(g.members.coldShare(now, r, g.DataCentres))
	share := g.members.retryShare(now, r, g.DataCentres)
	if (share > 0) != (g.retryShare > 0) {
		g.Log.Info("share of the retry budget gained or lost", zap.Float64("part", share), zap.Int("data_centres", r.quotaDataCentres(g.DataCentres)), zap.Int("choosers", r.activeSchedulers()))
	}
	g.retryShare = share
	g.updateLimitShare(now, r)
	g.Balancer.SetRetryShare(share, r.quotaDataCentres(g.DataCentres))
}

// isolated reports whether other seeds are configured and no member is live.
func (s *members) isolated(r *roles) bool {
	if len(r.schedulers) > 0 || len(r.localContacts) > 0 || len(r.remotePeers) > 0 {
		return false
	}
	for _, seed := range s.seeds {
		if seed != s.self.Address {
			return true
		}
	}
	return false
}

// activeSchedulers returns how many instances of this data centre choose endpoints: the schedulers
// that others send requests to, or all if there are no others.
func (r *roles) activeSchedulers() int {
	schedulers := 1 + len(r.localSchedulers)
	if len(r.localPeers) == 0 {
		return schedulers
	}
	return min(schedulers, activeSchedulerCount(r.dataCentreSize()))
}
