package inventory

// This file tells operators which part of a service's endpoints an instance chooses among.

import "context"

// SetsPath is where an instance tells operators its working sets.
const SetsPath = "/sets.json"

// Sets are the working sets of an instance, and the loads that endpoints told it.
type Sets struct {
	Services []WorkingSet   `json:"services"`
	Slow     []SlowEndpoint `json:"slow"`
}

// A WorkingSet is the part of a service's endpoints that choices look at.
type WorkingSet struct {
	Service string `json:"service"`
	Listed  int    `json:"listed"`
	Open    int    `json:"open"`     // those of them that take something new
	Used    int    `json:"used"`     // those that choices look at
	Needed  int    `json:"needed"`   // how many demand needs, as far as the instance knows
	GrownMS int64  `json:"grown_ms"` // since the set was last made larger; negative: it never was
}

// A SlowEndpoint told in its last answer to the instance that work takes longer there than usual.
type SlowEndpoint struct {
	ID       string  `json:"id"`
	Slowness float64 `json:"slowness"` // 1: as usual
	AgeMS    int64   `json:"age_ms"`   // since it said so
}

// AskSets returns the working sets of the instance at a metrics address.
func (c *Client) AskSets(ctx context.Context, address string) (*Sets, error) {
	s := new(Sets)
	return s, c.get(ctx, address, SetsPath, nil, s)
}
