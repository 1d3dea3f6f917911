// Package decl parses and validates the declarations of classes (service levels),
// teams (customers) and pools of endpoints, which the platform publishes.
package decl

import (
	"time"

	"ivyridge/yamlfile"
)

// Limits of declared values.
const (
	MaxTier   = 9
	MaxWeight = 100
	maxShare  = 0.5 // sum of all guaranteed shares
)

// A Class is a service level: a priority and latency targets.
type Class struct {
	Pos  yamlfile.Pos
	Name string `yaml:"name"`
	// Tier is the priority, from 0 (highest) to MaxTier.
	Tier int `yaml:"tier"`
	// FirstToken and Whole are latency targets from arrival to the first token and
	// to the end of the response. Zero means no target; at least one is set.
	FirstToken time.Duration `yaml:"first_token"`
	Whole      time.Duration `yaml:"whole"`
	// TokenGap is the target for the mean time between tokens, zero for none.
	TokenGap time.Duration `yaml:"token_gap"`
	// Repeatable allows a request to run more than once.
	Repeatable bool `yaml:"repeatable"`
	// Share is the fraction of a pool's capacity, in [0, 1), that waiting requests
	// of this class get even when requests of other tiers are waiting.
	Share float64 `yaml:"guaranteed_share"`
	// FinishLate keeps requests queued that can no longer meet their target.
	FinishLate bool `yaml:"finish_late"`
}

// Target returns FirstToken if set, else Whole.
func (c *Class) Target() time.Duration {
	if c.FirstToken > 0 {
		return c.FirstToken
	}
	return c.Whole
}

// A Caller is the holder of a bearer token.
type Caller struct {
	Pos       yamlfile.Pos
	Name      string `yaml:"name"`
	TokenHash string `yaml:"token_sha256"` // SHA-256 in hex
}

// A Team is a customer.
type Team struct {
	Pos     yamlfile.Pos
	Name    string   `yaml:"name"`
	Callers []Caller `yaml:"callers"`
	// Class is the default class, Classes the others that a request may name.
	Class   string   `yaml:"class"`
	Classes []string `yaml:"classes"`
	// Weight is the weight in fair queuing within a class, from 1 (default) to
	// MaxWeight.
	Weight int `yaml:"weight"`
	// MaxWaiting bounds the queued requests per class and cell, which is a group of
	// identical endpoints. Zero means no bound.
	MaxWaiting int `yaml:"max_waiting"`
}

// MayUse reports whether t may use the named class.
func (t *Team) MayUse(class string) bool {
	if t.Class == class {
		return true
	}
	for _, c := range t.Classes {
		if c == class {
			return true
		}
	}
	return false
}

// A Kind is the kind of endpoint in a pool.
type Kind string

// The kinds of pool.
const (
	Model   Kind = "model"
	Service Kind = "service"
)

// A Pool is a set of equivalent endpoints that serve one model or service.
type Pool struct {
	Pos  yamlfile.Pos
	Name string `yaml:"name"`
	Kind Kind   `yaml:"kind"`
	// Slots is the initial concurrency limit of an endpoint, MaxSlots the highest
	// to which it may adapt, by default Slots.
	Slots    int `yaml:"slots"`
	MaxSlots int `yaml:"max_slots"`
	// Class is the default class, which overrides that of the team.
	Class string `yaml:"class"`
}

// A Set is a consistent set of declarations. It must not be modified.
type Set struct {
	Classes []Class `yaml:"classes"`
	Teams   []Team  `yaml:"teams"`
	Pools   []Pool  `yaml:"pools"`

	classes map[string]*Class
	teams   map[string]*Team
	pools   map[string]*Pool
	callers map[string]Identity
}

// An Identity is the authenticated holder of a bearer token.
type Identity struct {
	Team   *Team
	Caller string
}

// Class returns the class called name, or nil.
func (s *Set) Class(name string) *Class { return s.classes[name] }

// Team returns the team called name, or nil.
func (s *Set) Team(name string) *Team { return s.teams[name] }

// Pool returns the pool called name, or nil.
func (s *Set) Pool(name string) *Pool { return s.pools[name] }

// Parse parses and validates declarations; file is used in error positions. The
// error, if any, is a yamlfile.Errors with all errors found.
func Parse(file string, data []byte) (*Set, error) {
	s := new(Set)
	err := yamlfile.Decode(file, data, s)
	errs, _ := err.(yamlfile.Errors)
	if errs.Unreadable() {
		return nil, errs
	}
	c := &checker{file: file, set: s, errs: errs}
	c.check()
	if err := c.errs.Err(); err != nil {
		return nil, err
	}
	return s, nil
}
