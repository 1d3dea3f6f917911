package instance

// This file reports which shares of fleet-wide limits an instance holds.

import (
	"ivyridge/balance"
	"ivyridge/quota"
)

func retryLimit(s *Settings) quota.RetryLimit {
	return quota.RetryLimit{Ratio: s.Promises.RetryRatio, Extra: float64(s.Promises.RetryExtra)}
}

// retryBudgetSharers returns how many instances share the retry budget if n, including this one, are
// live. It returns 0, for unknown, if other seeds are configured but no other instance is live.
func (i *Instance) retryBudgetSharers(n int) int {
	if n > 1 {
		return n
	}
	for _, seed := range i.effective.Load().Seeds {
		if seed != i.settings.Listen.Peers {
			return 0
		}
	}
	return n
}

// quotaStatus lists the quota shares of this instance and the retry shares of the others.
type quotaStatus struct {
	balance.QuotaShares
	Holders map[string]float64 `json:"holders"` // last reported, by gossip address
}

// quotaStatus returns the value of the "bounds" metric.
func (i *Instance) quotaStatus() any {
	out := quotaStatus{QuotaShares: i.balancer.QuotaShares(), Holders: make(map[string]float64)}
	for _, m := range i.gossip.Members() {
		if m.RetryShare > 0 {
			out.Holders[m.Address] = m.RetryShare
		}
	}
	return out
}
