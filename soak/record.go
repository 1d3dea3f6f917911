// Package soak runs router daemons as processes on loopback addresses under injected faults, and
// checks invariants from outside. The platform's store, the endpoints and the callers are
// stand-ins, and the links between them fail as a seeded random plan says.
//
// Only what callers, endpoints and the store observe on their sockets is checked. It is collected
// in Record, and Check evaluates the rules of docs/promises.md on it.
//
// A run is determined by its seed, duration and size. Scheduling and the machine's speed still
// vary, so a failed run can be analysed from its logs but not replayed exactly.
package soak

import (
	"time"

	"ivyridge/platform/standin"
)

// Bounds are the limits that a deployment guarantees and the rules check.
type Bounds struct {
	Contact     time.Duration // fault-free time before an instance counts as in contact
	Propagation time.Duration // from the acknowledgement of a configuration until it is in force everywhere
	Revoke      time.Duration // from the removal of a key until it is rejected everywhere
	Drain       time.Duration // from an endpoint's leaving notice until it receives no new requests
	Recover     time.Duration // from the end of a loss of all instances until requests are served
	RetryWindow time.Duration
	RetryRatio  float64
	RetryExtra  int
	Evacuate    time.Duration // from an evacuation order until the data centre receives no new requests
	ColdOver    float64       // factor on coldRate that a cold endpoint may receive in any second
	ColdSlack   float64       // requests allowed on top
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

// A Request is one attempt by a caller and its response. A caller's retry is a Request of its own.
type Request struct {
	standin.Request
	standin.Response
	Team       string // owner of the key
	Route      string
	Instance   string
	Repeatable bool
	Attempts   int    // maximum number of endpoints
	Service    string // that the route's kind starts with
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

// A Fault is an injected fault or a planned operation that affected an instance, an endpoint or
// the whole site.
type Fault struct {
	Kind         string
	Instance     string // empty: all instances, unless Endpoint is set
	Endpoint     string // empty: not of an endpoint
	From         time.Time
	To           time.Time
	Planned      bool // a stop, reload or configuration change, which must not lose requests
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

// Record are the observations of a run.
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
	RecoveredAt time.Time // when the site has recovered from the last fault; zero: not reached
}

// during reports whether t overlaps the interval from from to to.
func (t *Fault) during(from, to time.Time) bool { return t.From.Before(to) && t.To.After(from) }

// inContact reports whether no fault affected an instance between Bounds.Contact before from and
// to.
func (b *Record) inContact(instance string, from, to time.Time) bool {
	for i := range b.Faults {
		t := &b.Faults[i]
		if !t.KeepsContact && t.Endpoint == "" && (t.Instance == "" || t.Instance == instance) && t.during(from.Add(-b.Bounds.Contact), to) {
			return false
		}
	}
	return true
}

// onlyPlannedFaults reports whether the instance and the endpoints of q were affected by at least
// one planned operation and by no other fault.
func (b *Record) onlyPlannedFaults(q *Request) bool {
	planned := false
	for i := range b.Faults {
		t := &b.Faults[i]
		if !t.during(q.Sent.Add(-b.Bounds.Contact), q.Done) {
			continue
		}
		relevant := t.Endpoint == "" && (t.Instance == "" || t.Instance == q.Instance)
		for _, r := range b.Deliveries[q.ID] {
			relevant = relevant || r.Endpoint == t.Endpoint
		}
		if relevant && !t.Planned {
			return false
		}
		planned = planned || relevant
	}
	return planned
}

// possibleVersions returns the versions that may apply to a request that was sent at sent and done
// at done: the newest one acknowledged at least Bounds.Propagation before sent, and every later
// one published by done.
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
