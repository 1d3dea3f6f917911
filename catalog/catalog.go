// Package catalog models what operators declare for an entry instance: routes,
// services, teams and limits on callers.
//
// A Document is the declared form, as plain data. Compile checks a Document
// and returns a Catalog, which is immutable, safe for concurrent use, and
// answers the two questions asked of every request: which route, and whose
// key. The package does no I/O and knows no wire format.
package catalog

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// A Kind says how a route's requests may be repeated and answered.
type Kind string

// The kinds of requests.
const (
	Repeatable Kind = "repeatable" // may run more than once
	Single     Kind = "single"     // runs at most once
	Stream     Kind = "stream"     // answered by events; runs at most once unless it may be resumed
)

// A Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// A Route tells how requests for a host and path prefix are served.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           Kind
	Timeout        time.Duration // the longest that a request is held; zero: no bound
	Objective      time.Duration // until the answer, or a stream's first event
	PauseObjective time.Duration // between a stream's events
	Priority       int           // 0 is the most urgent
	Targets        []Target
	MaxAttempts    int      // servers that one request may be sent to
	Anonymous      bool     // no key is needed
	Resumable      bool     // a stream may be continued after its last event
	HomeRegions    []string // in which its requests may be served; nil: in all, empty: in none
}

// MayRepeat reports whether a request of r may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Target returns the service for a request whose uniform hash is given.
func (r *Route) Target(hash uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total == 0 {
		return r.Targets[0].Service
	}
	at := int(hash % uint64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// An Engine describes the model servers of a service.
type Engine struct {
	Slots        int // requests in a batch
	MemoryTokens int // shared by running requests and kept prompt parts
	// What moving kept parts from one engine to another takes; zero: they can't be moved.
	TokenBytes int     // of memory
	LinkMbps   float64 // of an engine's link to the others
}

// Fetches reports whether an engine may take parts of a prompt from another one.
func (e *Engine) Fetches() bool { return e.TokenBytes > 0 && e.LinkMbps > 0 }

// MoveTime returns how long, in ms, the memory of so many tokens takes from one engine to
// another, where Fetches.
func (e *Engine) MoveTime(tokens int) float64 {
	const bitsPerMS = 1e3 // of one Mbit/s
	return float64(tokens) * float64(e.TokenBytes) * 8 / (e.LinkMbps * bitsPerMS)
}

// A Service is a set of endpoints that serve the same.
type Service struct {
	Name     string
	MaxConns int     // connections that an endpoint accepts from all callers
	Engine   *Engine // nil for a plain service

	ColdFor  time.Duration // how long an endpoint is cold after its start
	ColdRate float64       // requests a second that a cold endpoint bears; zero: no bound
}

// A Team is a group of callers with its keys.
type Team struct {
	Name     string
	Keys     []string
	Priority *int // in place of the route's, if set

	HomeRegions []string // in which its requests may be served; nil: in all, empty: in none
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// A Document is one declared version of everything.
type Document struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// An Endpoint is one server of a service, as it publishes itself. Its ID is
// new at every start; its address may be taken over by another.
type Endpoint struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	ColdLeft   time.Duration // how much longer it was to be cold when that was told
	Born       int64         // its process started, in Unix milliseconds; zero: not told
}

// Incarnation names one process of an endpoint: it may start again under its ID, and holds and
// knows nothing then of what it did before.
func (e *Endpoint) Incarnation() string {
	if e.Born == 0 {
		return e.ID
	}
	return e.ID + "/" + strconv.FormatInt(e.Born, 36)
}

// A Catalog is a checked Document that is ready for look-ups.
type Catalog struct {
	doc      Document
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Team
}

// Compile checks d, which must not be changed afterwards.
func Compile(d Document) (*Catalog, error) {
	c := &Catalog{
		doc:      d,
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service, len(d.Services)),
		keys:     make(map[string]*Team),
	}
	for i := range d.Services {
		c.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		if err := c.addRoute(&d.Routes[i]); err != nil {
			return nil, errors.Wrapf(err, "version %d", d.Version)
		}
	}
	for i := range d.Teams {
		for _, key := range d.Teams[i].Keys {
			c.keys[key] = &d.Teams[i]
		}
	}
	for _, routes := range c.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return c, nil
}

func (c *Catalog) addRoute(r *Route) error {
	switch {
	case r.Host == "":
		return errors.Errorf("route %q has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Errorf("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	case len(r.Targets) == 0:
		return errors.Errorf("route %q has no service", r.Name)
	}
	for _, t := range r.Targets {
		if c.services[t.Service] == nil {
			return errors.Errorf("route %q: service %q is not declared", r.Name, t.Service)
		}
		if t.Weight < 0 {
			return errors.Errorf("route %q: weight %d is negative", r.Name, t.Weight)
		}
	}
	r.MaxAttempts = max(1, r.MaxAttempts)
	host := strings.ToLower(r.Host)
	c.hosts[host] = append(c.hosts[host], r)
	return nil
}

// Document returns what c was compiled from; it must not be changed.
func (c *Catalog) Document() *Document { return &c.doc }

// Version returns the declared version.
func (c *Catalog) Version() int64 { return c.doc.Version }

// Limits returns the limits on callers.
func (c *Catalog) Limits() Limits { return c.doc.Limits }

// Route returns the route of host with the longest prefix of path, or nil.
// A port in host is not looked at.
func (c *Catalog) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service called name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// NeedsKey reports whether requests of r need a team's key.
func (c *Catalog) NeedsKey(r *Route) bool { return len(c.doc.Teams) > 0 && !r.Anonymous }

// Team returns the holder of key, or nil.
func (c *Catalog) Team(key string) *Team { return c.keys[key] }

// Teams returns all teams. They are not to be changed.
func (c *Catalog) Teams() []Team { return c.doc.Teams }

// Ranks of requests at an engine.
const (
	teamRanks = 3 // priorities of teams that are told apart among requests of one route
	lastRank  = 9
)

// Rank returns the place of t's requests on r at an engine, from 0, the most
// urgent, to 9. An engine that runs out of memory or slots puts back the last.
// The priority of the route comes first: a request is never put back while one
// of a less urgent route runs on, whatever teams they are of. Requests of one
// route are ordered by their teams. T may be nil.
func Rank(r *Route, t *Team) int {
	rank := teamRanks*max(0, r.Priority) + min(max(0, Priority(r, t)), teamRanks-1)
	return min(rank, lastRank)
}

// Priority returns the priority of t's requests on r. T may be nil.
func Priority(r *Route, t *Team) int {
	if t != nil && t.Priority != nil {
		return *t.Priority
	}
	return r.Priority
}
