package home

// This file defines the policy switches and the baseline policies.

import (
	"strings"

	"github.com/pkg/errors"

	"ivyridge/decl"
	"ivyridge/queue"
)

// defaultShare keeps lower classes without a declared share from starvation.
const defaultShare = 0.01

// A Policy selects the active mechanisms; see docs/design/policy.md.
type Policy struct {
	Tiers     bool // strict priority between tiers
	Shares    bool // guaranteed shares
	Deadlines bool // earliest latest-start first within a tier
	Fair      bool // fair queuing between teams
	Admit     bool // refuse on arrival what would miss its deadline
	Lengths   bool // learned distributions of answer lengths
	Bias      bool // predicted waits corrected by observed ones
	Drain     bool // long waits predicted from the class's grant rate
	Fill      bool // concurrency limits adjusted by feedback
	Slow      bool // slow endpoints detected from inter-token gaps
	Warm      bool // endpoints with a cached prefix preferred
	Counts    bool // least-loaded placement; round robin if off
	Protect   bool // separate concurrency limit for lower tiers
	Reserve   bool // slots reserved for higher tiers
	Foreign   bool // runs not granted by the Home inferred from load reports
}

// A mechanism maps a mechanism's name in settings to its field.
type mechanism struct {
	name  string
	field func(*Policy) *bool
}

var mechanisms = []mechanism{
	{"tiers", func(p *Policy) *bool { return &p.Tiers }},
	{"shares", func(p *Policy) *bool { return &p.Shares }},
	{"deadlines", func(p *Policy) *bool { return &p.Deadlines }},
	{"fair", func(p *Policy) *bool { return &p.Fair }},
	{"admit", func(p *Policy) *bool { return &p.Admit }},
	{"lengths", func(p *Policy) *bool { return &p.Lengths }},
	{"bias", func(p *Policy) *bool { return &p.Bias }},
	{"drain", func(p *Policy) *bool { return &p.Drain }},
	{"fill", func(p *Policy) *bool { return &p.Fill }},
	{"slow", func(p *Policy) *bool { return &p.Slow }},
	{"warm", func(p *Policy) *bool { return &p.Warm }},
	{"counts", func(p *Policy) *bool { return &p.Counts }},
	{"protect", func(p *Policy) *bool { return &p.Protect }},
	{"reserve", func(p *Policy) *bool { return &p.Reserve }},
	{"foreign", func(p *Policy) *bool { return &p.Foreign }},
}

// Mechanisms returns the names accepted by ParsePolicy's without.
func Mechanisms() []string {
	names := make([]string, len(mechanisms))
	for i, s := range mechanisms {
		names[i] = s.name
	}
	return names
}

// Policy names accepted by ParsePolicy.
const (
	Full   = "full"
	FIFO   = "fifo"   // round robin, one FIFO queue, no admission control
	Strict = "strict" // least loaded, strict priorities, no admission control
)

// ParsePolicy returns the policy called name with the mechanisms in without switched off.
func ParsePolicy(name string, without ...string) (Policy, error) {
	var p Policy
	switch name {
	case Full, "":
		for _, s := range mechanisms {
			*s.field(&p) = true
		}
	case FIFO:
	case Strict:
		p.Tiers, p.Counts = true, true
	default:
		return p, errors.Errorf("unknown policy %q; want %s, %s or %s", name, Full, FIFO, Strict)
	}
	for _, w := range without {
		if !p.disable(w) {
			return p, errors.Errorf("unknown mechanism %q; want one of %s", w, strings.Join(Mechanisms(), ", "))
		}
	}
	return p, nil
}

func (p *Policy) disable(name string) bool {
	for _, s := range mechanisms {
		if s.name == name {
			*s.field(p) = false
			return true
		}
	}
	return false
}

// Order returns the queue options that p selects.
func (p Policy) Order() queue.Options {
	return queue.Options{Tiers: p.Tiers, Shares: p.Shares, Deadlines: p.Deadlines, Fair: p.Fair}
}

// shareOf returns the guaranteed share of c, at least defaultShare for the lower tiers.
func shareOf(c *decl.Class) float64 {
	if c.Tier == 0 {
		return c.Share
	}
	return max(c.Share, defaultShare)
}
