package instance

// This file says what an instance holds of the bounds that the fleet divides.

import (
	"ivyridge/balance"
	"ivyridge/quota"
)

// retries returns the bound on the retries of a service.
func retries(s *Settings) quota.Retries {
	return quota.Retries{Ratio: s.Promises.RetryRatio, Extra: float64(s.Promises.RetryExtra)}
}

// sharers returns how many instances share the own part of retries where n are heard, this
// one among them: zero, which is unknown, if the settings name others and none is heard.
func (i *Instance) sharers(n int) int {
	if n > 1 {
		return n
	}
	for _, seed := range i.force.Load().Seeds {
		if seed != i.settings.Listen.Peers {
			return 0
		}
	}
	return n
}

// held is what this instance holds of divided bounds, and who holds the parts of those
// that belong to the instances that choose endpoints.
type held struct {
	balance.Holdings
	Holders map[string]float64 `json:"holders"` // their parts by gossip address, as last told; others than this one
}

// holdings returns what is held, for the metrics address.
func (i *Instance) holdings() any {
	h := held{Holdings: i.balancer.Holdings(), Holders: make(map[string]float64)}
	for _, m := range i.gossip.Members() {
		if m.Part > 0 {
			h.Holders[m.Address] = m.Part
		}
	}
	return h
}
