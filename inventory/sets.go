package inventory

// This file reports the working sets of an instance.

import "context"

// SetsPath is the path at which an instance reports its working sets.
const SetsPath = "/sets.json"

// Sets are the working sets of an instance, and the endpoints that it knows to be slow.
type Sets struct {
	Services []WorkingSet   `json:"services"`
	Slow     []SlowEndpoint `json:"slow"`
}

// A WorkingSet is the subset of a service's endpoints that an instance chooses among.
type WorkingSet struct {
	Service string `json:"service"`
	Listed  int    `json:"listed"`
	Open    int    `json:"open"`     // number of listed endpoints that accept new requests
	Used    int    `json:"used"`     // size of the working set
	Needed  int    `json:"needed"`   // size that the known demand requires
	GrownMS int64  `json:"grown_ms"` // since the working set last grew; negative: never
}

// A SlowEndpoint reported in its last response that it is slower than usual.
type SlowEndpoint struct {
	ID       string  `json:"id"`
	Slowness float64 `json:"slowness"` // relative to the usual duration, which is 1
	AgeMS    int64   `json:"age_ms"`   // since it reported that
}

// GetSets returns the working sets of the instance with the given metrics address.
func (c *Client) GetSets(ctx context.Context, address string) (*Sets, error) {
	s := new(Sets)
	return s, c.get(ctx, address, SetsPath, nil, s)
}
