// Package decl defines the declarations: what operators keep in version
// control and the platform publishes.
//
// A Set names the classes (service levels), the teams with their callers and
// bindings, and the pools of endpoints: models and plain services. Parse
// checks a file as a whole and returns every fault with its position; a Set
// that Parse returned without error is consistent, and is never changed
// afterwards.
package decl

import (
	"time"

	"ivyridge/yamlfile"
)

// Limits of what a file may declare.
const (
	MaxTier   = 9
	MaxWeight = 100
	maxShare  = 0.5 // of all guaranteed shares together
)

// A Class is a service level: its place in the order and its target.
type Class struct {
	Pos  yamlfile.Pos
	Name string `yaml:"name"`
	// Tier orders classes; zero is the highest.
	Tier int `yaml:"tier"`
	// FirstToken and Whole are the latency targets, counted from arrival;
	// zero sets no target. At least one is set.
	FirstToken time.Duration `yaml:"first_token"`
	Whole      time.Duration `yaml:"whole"`
	// TokenGap is the target for the time between tokens of a stream.
	TokenGap time.Duration `yaml:"token_gap"`
	// Repeatable says whether a request may run more than once.
	Repeatable bool `yaml:"repeatable"`
	// Share is the part of a pool's capacity that this class is served
	// before higher tiers whenever it has work waiting.
	Share float64 `yaml:"guaranteed_share"`
	// FinishLate keeps accepted requests whose target has passed.
	FinishLate bool `yaml:"finish_late"`
}

// Target returns the time by which an answer counts as on time: the first
// token where the class has that target, else the whole answer.
func (c *Class) Target() time.Duration {
	if c.FirstToken > 0 {
		return c.FirstToken
	}
	return c.Whole
}

// A Caller is a holder of a bearer token; the file holds only its hash.
type Caller struct {
	Pos  yamlfile.Pos
	Name string `yaml:"name"`
	// TokenHash is the hex SHA-256 of the bearer token.
	TokenHash string `yaml:"token_sha256"`
}

// A Team groups callers, the classes they may use and their limits.
type Team struct {
	Pos     yamlfile.Pos
	Name    string   `yaml:"name"`
	Callers []Caller `yaml:"callers"`
	// Class is used when a request names none; Classes lists the others
	// that a request may name.
	Class   string   `yaml:"class"`
	Classes []string `yaml:"classes"`
	// Weight is the team's part within a class, one where unset.
	Weight int `yaml:"weight"`
	// MaxWaiting bounds the team's waiting requests in one cell; zero sets
	// no bound.
	MaxWaiting int `yaml:"max_waiting"`
}

// May reports whether t may use the class named class.
func (t *Team) May(class string) bool {
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

// A Kind tells model engines from plain services.
type Kind string

// The kinds of pool.
const (
	Model   Kind = "model"
	Service Kind = "service"
)

// A Pool is a set of alike endpoints that serve one model or service.
type Pool struct {
	Pos  yamlfile.Pos
	Name string `yaml:"name"`
	Kind Kind   `yaml:"kind"`
	// Slots is how many requests an endpoint starts with at once; MaxSlots
	// is the most that feedback may raise it to.
	Slots    int `yaml:"slots"`
	MaxSlots int `yaml:"max_slots"`
	// Class is the class of requests to a service that name none.
	Class string `yaml:"class"`
}

// A Set is a whole, consistent publication.
type Set struct {
	Classes []Class `yaml:"classes"`
	Teams   []Team  `yaml:"teams"`
	Pools   []Pool  `yaml:"pools"`

	classes map[string]*Class
	teams   map[string]*Team
	pools   map[string]*Pool
	callers map[string]Identity
}

// An Identity is what a bearer token proves.
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

// Parse reads and checks a file of declarations. The error, if any, is a
// yamlfile.Errors with every fault found.
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
