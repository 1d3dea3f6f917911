// Package decl parses and validates declarations, which operators keep in version
// control and the platform publishes.
//
// A Set declares the classes (service levels), the teams with their callers and
// permitted classes, and the pools of endpoints that serve models or plain
// services. Parse checks a whole file and returns all errors with their positions.
// A Set returned by Parse is consistent and must not be changed.
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
	// Tier is the priority of the class, 0 to MaxTier; zero is the highest.
	Tier int `yaml:"tier"`
	// FirstToken and Whole are the latency targets for the first token and
	// the complete answer, counted from arrival; zero means no target. At
	// least one is set.
	FirstToken time.Duration `yaml:"first_token"`
	Whole      time.Duration `yaml:"whole"`
	// TokenGap is the target for the time between tokens of a stream; zero
	// means no target.
	TokenGap time.Duration `yaml:"token_gap"`
	// Repeatable reports whether a request may run more than once.
	Repeatable bool `yaml:"repeatable"`
	// Share is the fraction of a pool's capacity, at least 0 and below 1, that
	// is guaranteed to this class ahead of higher tiers while it has requests
	// waiting.
	Share float64 `yaml:"guaranteed_share"`
	// FinishLate keeps waiting requests that can no longer meet their target.
	FinishLate bool `yaml:"finish_late"`
}

// Target returns the latency target by which an answer counts as on time: that of
// the first token if set, else that of the complete answer.
func (c *Class) Target() time.Duration {
	if c.FirstToken > 0 {
		return c.FirstToken
	}
	return c.Whole
}

// A Caller is the holder of a bearer token, declared by the token's hash.
type Caller struct {
	Pos  yamlfile.Pos
	Name string `yaml:"name"`
	// TokenHash is the hex SHA-256 of the bearer token.
	TokenHash string `yaml:"token_sha256"`
}

// A Team declares its callers, the classes they may use and their limits.
type Team struct {
	Pos     yamlfile.Pos
	Name    string   `yaml:"name"`
	Callers []Caller `yaml:"callers"`
	// Class is the default class of a request; Classes lists the others that
	// a request may specify.
	Class   string   `yaml:"class"`
	Classes []string `yaml:"classes"`
	// Weight is the team's weight in fair queuing within a class, 1 to
	// MaxWeight; the default is 1.
	Weight int `yaml:"weight"`
	// MaxWaiting bounds the team's waiting requests per class in one cell;
	// zero means no bound.
	MaxWaiting int `yaml:"max_waiting"`
}

// MayUse reports whether t may use the class named class.
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

// A Kind distinguishes model engines from plain services.
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
	// Slots is the initial concurrency limit of an endpoint; MaxSlots is the
	// highest limit that feedback may set, by default Slots.
	Slots    int `yaml:"slots"`
	MaxSlots int `yaml:"max_slots"`
	// Class is the default class of requests to a service.
	Class string `yaml:"class"`
}

// A Set is a complete and consistent set of declarations.
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

// Parse parses and validates a file of declarations. The error, if any, is a
// yamlfile.Errors with all errors found.
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
