// Package catalog models the configuration that operators declare: routes, services, teams and
// request limits. It does no I/O and knows no wire format.
//
// Compile checks a Document, the declared form, and returns a Catalog, which is immutable and safe
// for concurrent use.
package catalog

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// A Kind determines how often a route's requests may run and how they are answered.
type Kind string

const (
	Repeatable Kind = "repeatable" // may run more than once
	AtMostOnce Kind = "single"     // runs at most once
	Stream     Kind = "stream"     // answered by an event stream; runs at most once unless it is resumable
)

// A Target is a service that receives a share of a route's requests, in proportion to its Weight.
type Target struct {
	Service string
	Weight  int
}

// A Route determines how requests for a host and path prefix are served.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           Kind
	Timeout        time.Duration // maximum duration of a request; zero: not set
	Objective      time.Duration // target time to the response, or to the first event of a stream
	PauseObjective time.Duration // target time between the events of a stream
	Priority       int           // 0 is the most urgent
	Targets        []Target
	MaxAttempts    int      // maximum number of endpoints that a request is sent to, at least 1
	Anonymous      bool     // no API key is required
	Resumable      bool     // a stream may be continued after its last event
	HomeRegions    []string // regions in which its requests may be served; nil: all, empty: none
}

// Retryable reports whether a request of r may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Target returns the service for a request, chosen by weight from a uniformly distributed hash.
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
	Slots        int // maximum batch size, in requests
	MemoryTokens int // capacity of the key-value cache, shared by running requests and cached prompt prefixes
	// Cost of transferring cached prefixes between engines; zero: transfer is not supported.
	TokenBytes int     // cache memory per token
	LinkMbps   float64 // bandwidth of an engine's link to the others
}

// CanFetchCache reports whether an engine can fetch cached prompt prefixes from another one.
func (e *Engine) CanFetchCache() bool { return e.TokenBytes > 0 && e.LinkMbps > 0 }

// CacheTransferMS returns the time in ms to transfer the cache of tokens between engines. It must be
// called only if CanFetchCache reports true.
func (e *Engine) CacheTransferMS(tokens int) float64 {
	const bitsPerMS = 1e3 // at 1 Mbit/s
	return float64(tokens) * float64(e.TokenBytes) * 8 / (e.LinkMbps * bitsPerMS)
}

// A Service is a set of interchangeable endpoints.
type Service struct {
	Name     string
	MaxConns int     // connections that an endpoint accepts from all instances together
	Engine   *Engine // nil if the endpoints are not model servers

	ColdFor  time.Duration // how long an endpoint warms up after its start
	ColdRate float64       // maximum requests per second of an endpoint during warm-up; zero: no limit
}

// A Team is a customer with its API keys.
type Team struct {
	Name     string
	Keys     []string
	Priority *int // overrides the route's priority, if set

	HomeRegions []string // regions in which its requests may be served; nil: all, empty: none
}

// Limits bound the requests that clients may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// A Document is one version of the declared configuration.
type Document struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// An Endpoint is one server of a service, as it registers itself. Addresses may be reused.
type Endpoint struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	ColdLeft   time.Duration // remaining warm-up time when this was sent
	Born       int64         // start time of its process in Unix milliseconds; zero: not sent
	Software   string        // version of the software that it runs
}

// A SoftwareID identifies a software version of one service. Versions have no order, and what two of
// them write does not fit together. Zero means that the version is not known.
type SoftwareID uint32

// SoftwareID returns the ID of the software that e runs.
func (e *Endpoint) SoftwareID() SoftwareID {
	return SoftwareID(xxhash.Sum64String(e.Service+"\x00"+e.Software)) | 1 // never zero
}

// Incarnation identifies one process of an endpoint, which may restart under the same ID. A new
// process has none of the requests and cached data of the earlier one.
func (e *Endpoint) Incarnation() string {
	if e.Born == 0 {
		return e.ID
	}
	return e.ID + "/" + strconv.FormatInt(e.Born, 36)
}

// A Catalog is a validated Document, indexed for lookups.
type Catalog struct {
	doc      Document
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Team
}

// Compile validates d and builds its indexes. The caller must not modify d afterwards.
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
			return nil, errors.Wrapf(err, "configuration version %d", d.Version)
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

// Document returns the document that c was compiled from. The caller must not modify it.
func (c *Catalog) Document() *Document { return &c.doc }

func (c *Catalog) Version() int64 { return c.doc.Version }

// Limits returns the limits on client requests.
func (c *Catalog) Limits() Limits { return c.doc.Limits }

// Route returns the route of host with the longest prefix of path, or nil. A port is ignored.
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

// Service returns the service called name, or nil if there is none.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// NeedsKey reports whether requests on r must carry a team's API key.
func (c *Catalog) NeedsKey(r *Route) bool { return len(c.doc.Teams) > 0 && !r.Anonymous }

// Team returns the team that owns key, or nil.
func (c *Catalog) Team(key string) *Team { return c.keys[key] }

// Teams returns all teams. The caller must not modify them.
func (c *Catalog) Teams() []Team { return c.doc.Teams }

const (
	teamPriorities = 3 // number of team priorities that are distinguished within one route
	maxRank        = 9
)

// Rank returns the priority of t's requests on r at an engine, from 0, the most urgent, to 9. An
// engine preempts the highest rank first. Ranks are ordered by route priority, then by team
// priority; all routes of priority 3 or above share rank 9. t may be nil.
func Rank(r *Route, t *Team) int {
	rank := teamPriorities*max(0, r.Priority) + min(max(0, Priority(r, t)), teamPriorities-1)
	return min(rank, maxRank)
}

// Priority returns the team's priority if set, and otherwise the route's. t may be nil.
func Priority(r *Route, t *Team) int {
	if t != nil && t.Priority != nil {
		return *t.Priority
	}
	return r.Priority
}
