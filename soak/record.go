// Package soak runs router daemons as processes on loopback addresses under injected faults, and
// checks the rules of docs/promises.md on what callers, endpoints and the store observe. The store,
// the endpoints, the callers and the links are simulated.
//
// Seed, duration and size determine the injected faults. Scheduling and the speed of the machine
// vary, so a failed run can be analysed from its logs but not replayed exactly.
package soak

import (
	"time"

	"ivyridge/platform/standin"
)

// Bounds are the limits that a deployment guarantees and the rules check.
type Bounds struct {
	Contact     time.Duration // without faults, until an instance counts as in contact
	Propagation time.Duration // from the acknowledgement of a configuration until it is in force everywhere
	Revoke      time.Duration // from the removal of a key until it is rejected everywhere
	Drain       time.Duration // from an endpoint's leaving notice until it receives no new requests
	Recover     time.Duration // from the end of a loss of all instances until requests are served
	RetryWindow time.Duration
	RetryRatio  float64       // maximum ratio of repeats to first attempts in each RetryWindow
	RetryExtra  int           // repeats allowed in each RetryWindow in addition to RetryRatio
	Evacuate    time.Duration // from an evacuation order until the data centre receives no new requests
	ColdOver    float64       // factor on the rate of a cold endpoint that it may receive in any second
	ColdSlack   float64       // requests allowed in any second in addition to ColdOver times the rate
}

// A Route is the part of a declared route that the rules need.
type Route struct {
	Service string
	Timeout time.Duration // maximum duration of a request
}

// A Version is a published configuration.
type Version struct {
	Number int
	Sent   time.Time
	Acked  time.Time
	Routes map[string]Route  // by name, which is the first path segment
	Keys   map[string]string // team by key

	RouteHomes map[string][]string // regions allowed to a route; a missing route may be served anywhere
	TeamHomes  map[string][]string // regions allowed to a team; likewise
}

// A Request is one attempt by a caller and its response. A retry is a Request of its own.
type Request struct {
	standin.Request
	standin.Response
	Team       string // owner of the key
	Route      string
	Instance   string
	Repeatable bool
	Attempts   int    // maximum number of endpoints
	Service    string // initial service of the route
	Priority   int    // 0 is the most urgent
	Sent       time.Time
	Done       time.Time
	Cancelled  bool // the caller cancelled at Done, before the response was complete
	Steady     bool // the caller never stops sending or reading, though it may be slow
}

// A Delivery is a request as an endpoint received it.
type Delivery struct {
	standin.ReceivedRequest
	Endpoint string
	Service  string

	DataCentre string // of the endpoint
}

// A Fault is an injected fault or a planned operation. It affects an instance, an endpoint or all.
type Fault struct {
	Kind         string
	Instance     string // empty: all instances, unless Endpoint is set
	Endpoint     string // empty: no fault of an endpoint
	From         time.Time
	To           time.Time
	Planned      bool // an operation that must not lose requests, such as a stop
	KeepsContact bool // instances stay in contact during it
	AllInstances bool // all instances were lost
}

// A Departure is an endpoint's leaving notice.
type Departure struct {
	Endpoint string
	Acked    time.Time
}

// An Exit is an unexpected end of an instance's process.
type Exit struct {
	Instance string
	At       time.Time
	Error    string
}

// A Footprint is the resource use of an instance at the end of a run.
type Footprint struct {
	Instance    string
	Descriptors int
	Goroutines  int
	MemoryMB    int
	Ready       bool
}

// A Record holds the observations of a run.
type Record struct {
	Bounds     Bounds
	Versions   []Version
	Requests   map[string]*Request   // by ID
	Deliveries map[string][]Delivery // by request ID, in order of arrival
	Faults     []Fault
	Departures []Departure

	Evacuations   []Evacuation
	ColdPeriods   []ColdPeriod
	Rushes        []Rush
	CrashRequests []CrashRequest

	OlderBuildPeriods []OlderBuildPeriod
	OlderRules        []string // not checked for requests to the older build

	Exits       []Exit
	Footprints  []Footprint
	RecoveredAt time.Time // when the site has recovered from the last fault; zero: it has not
}

// during reports whether f overlaps the interval between from and to.
func (f *Fault) during(from, to time.Time) bool { return f.From.Before(to) && f.To.After(from) }

// inContact reports whether the instance was free of contact-breaking faults from Bounds.Contact
// before from until to.
func (b *Record) inContact(instance string, from, to time.Time) bool {
	for i := range b.Faults {
		f := &b.Faults[i]
		if !f.KeepsContact && f.Endpoint == "" && (f.Instance == "" || f.Instance == instance) && f.during(from.Add(-b.Bounds.Contact), to) {
			return false
		}
	}
	return true
}

// onlyPlannedFaults reports whether planned operations, and no other faults, affected the instance
// and the endpoints of q.
func (b *Record) onlyPlannedFaults(q *Request) bool {
	planned := false
	for i := range b.Faults {
		f := &b.Faults[i]
		if !f.during(q.Sent.Add(-b.Bounds.Contact), q.Done) {
			continue
		}
		relevant := f.Endpoint == "" && (f.Instance == "" || f.Instance == q.Instance)
		for _, r := range b.Deliveries[q.ID] {
			relevant = relevant || r.Endpoint == f.Endpoint
		}
		if relevant && !f.Planned {
			return false
		}
		planned = planned || relevant
	}
	return planned
}

// possibleVersions returns the versions that may apply to a request: the newest one acknowledged at
// least Bounds.Propagation before sent, and every later one published by done.
func (b *Record) possibleVersions(sent, done time.Time) []*Version {
	first := 0
	for i := range b.Versions {
		if v := &b.Versions[i]; !v.Acked.IsZero() && sent.After(v.Acked.Add(b.Bounds.Propagation)) {
			first = i
		}
	}
	var out []*Version
	for i := first; i < len(b.Versions); i++ {
		if !b.Versions[i].Sent.After(done) {
			out = append(out, &b.Versions[i])
		}
	}
	return out
}
