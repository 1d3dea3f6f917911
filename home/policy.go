package home

// This file defines the switches of the policy and the baselines that the
// product's policy is measured against.

import (
	"strings"

	"github.com/pkg/errors"

	"ivyridge/decl"
	"ivyridge/queue"
)

// defaultShare keeps a class without a declared share from starving.
const defaultShare = 0.01

// A Policy says which mechanisms are on. Each has been measured with it
// switched off; see docs/design/policy.md.
type Policy struct {
	Tiers     bool // strict precedence of tiers
	Shares    bool // guaranteed shares
	Deadlines bool // latest start first within a tier
	Fair      bool // fair turns between teams
	Admit     bool // refuse at once what would be late
	Lengths   bool // learned distributions of answer lengths
	Bias      bool // predicted waits corrected by what they were
	Drain     bool // long waits predicted by what a class was granted lately
	Fill      bool // endpoint limits found by feedback
	Slow      bool // slow endpoints noticed from their tokens
	Warm      bool // warm prefixes preferred
	Counts    bool // least loaded by own counts; off, round robin
	Protect   bool // lower tiers fill endpoints less than higher ones may
	Reserve   bool // slots kept for what higher tiers are likely to need
	Foreign   bool // runs of others inferred from load reports
}

// A switchName ties a mechanism's name in settings to its field.
type switchName struct {
	name  string
	field func(*Policy) *bool
}

var switchNames = []switchName{
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

// Mechanisms returns the names that Without accepts.
func Mechanisms() []string {
	names := make([]string, len(switchNames))
	for i, s := range switchNames {
		names[i] = s.name
	}
	return names
}

// Names of the policies that can be set.
const (
	Full   = "full"
	FIFO   = "fifo"   // round robin, one first-in first-out line, no refusal
	Strict = "strict" // least loaded, strict priorities, no refusal
)

// ParsePolicy returns the policy called name with the named mechanisms
// switched off.
func ParsePolicy(name string, without ...string) (Policy, error) {
	var p Policy
	switch name {
	case Full, "":
		for _, s := range switchNames {
			*s.field(&p) = true
		}
	case FIFO:
	case Strict:
		p.Tiers, p.Counts = true, true
	default:
		return p, errors.Errorf("unknown policy %q; want %s, %s or %s", name, Full, FIFO, Strict)
	}
	for _, w := range without {
		if !p.switchOff(w) {
			return p, errors.Errorf("unknown mechanism %q; want one of %s", w, strings.Join(Mechanisms(), ", "))
		}
	}
	return p, nil
}

func (p *Policy) switchOff(name string) bool {
	for _, s := range switchNames {
		if s.name == name {
			*s.field(p) = false
			return true
		}
	}
	return false
}

// Order returns the levels of the queue's order that p switches on.
func (p Policy) Order() queue.Options {
	return queue.Options{Tiers: p.Tiers, Shares: p.Shares, Deadlines: p.Deadlines, Fair: p.Fair}
}

// shareOf returns the guaranteed share of c. The highest tier needs none; a
// lower one without a declared share gets a small one.
func shareOf(c *decl.Class) float64 {
	if c.Tier == 0 {
		return c.Share
	}
	return max(c.Share, defaultShare)
}
