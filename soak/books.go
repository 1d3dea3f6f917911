// Package soak proves the daemon as processes: real instances on loopback
// addresses, with stand-ins of the platform's store, of endpoints and of
// callers, and with links between them that fail as a seeded plan wants.
//
// What is judged is only what callers, endpoints and the store saw on their
// sockets, as Books. Check holds them against the promises of docs/promises.md.
// A run is its seed, its length and its size; what depends on the machine's
// speed is logged, so that a failure can be retold though not replayed exactly.
package soak

import (
	"time"

	"ivyridge/platform/standin"
)

// Bounds are the times and shares that the promises name.
type Bounds struct {
	Contact     time.Duration // without trouble, before an instance is in touch
	Propagation time.Duration // of a configuration that was acknowledged
	Revoke      time.Duration // of a key that was taken away
	Drain       time.Duration // after an endpoint said that it leaves
	Recover     time.Duration // after all instances were lost
	RetryWindow time.Duration
	RetryRatio  float64
	RetryExtra  int
	Evacuate    time.Duration // after a data centre was to be emptied
	ColdOver    float64       // times its rate that a cold endpoint may get within a second
	ColdSlack   float64       // requests more
}

// A Route is a declared route, as the books need it.
type Route struct {
	Service string
	Timeout time.Duration // the longest that a request is held
}

// A Version is a published configuration.
type Version struct {
	Number int
	Sent   time.Time
	Acked  time.Time
	Routes map[string]Route  // by the first part of the path
	Keys   map[string]string // the team, by key

	RouteHomes map[string][]string // the regions that a route's requests may be served in; left out: all
	TeamHomes  map[string][]string // those of a team's
}

// A Request is one try of a caller, with its answer.
type Request struct {
	standin.Ask
	standin.Reply
	Team       string // that holds the key
	Route      string
	Instance   string
	Repeatable bool
	Attempts   int    // endpoints that it may be sent to
	Service    string // as first published; empty if it moves
	Priority   int    // 0 is the most urgent
	Sent       time.Time
	Done       time.Time
	Left       bool // the caller left at Done, before an answer
	Steady     bool // it sends and reads on, if slowly
}

// A Run is a request as an endpoint got it.
type Run struct {
	standin.Received
	Endpoint string
	Service  string

	DataCentre string // the endpoint's
}

// A Trouble is what befell an instance, an endpoint, or all of the site.
type Trouble struct {
	Kind     string
	Instance string // empty: all, or an endpoint
	Endpoint string // empty: none
	From     time.Time
	To       time.Time
	Planned  bool // stops, reloads and configurations, which may cost no request
	Spares   bool // it leaves instances in touch
	All      bool // all instances were lost
}

// A Departure is an endpoint that said that it leaves.
type Departure struct {
	Endpoint string
	Acked    time.Time
}

// An Exit is a process that ended though nobody ended it.
type Exit struct {
	Instance string
	At       time.Time
	Error    string
}

// A Footprint is what an instance holds once all is calm.
type Footprint struct {
	Instance    string
	Descriptors int
	Goroutines  int
	MemoryMB    int
	Ready       bool
}

// Books are what was seen in a run.
type Books struct {
	Bounds     Bounds
	Versions   []Version
	Requests   map[string]*Request // by ID
	Runs       map[string][]Run    // by the request's ID, in the order of arrival
	Troubles   []Trouble
	Departures []Departure

	Evacuations []Evacuation
	Colds       []Cold
	Rushes      []Rush
	Deadlies    []Deadly

	OlderSpans []OlderSpan
	OlderRules []string // that the older build doesn't know

	Exits      []Exit
	Footprints []Footprint
	Calm       time.Time // the last trouble is over, for long enough
}

// during returns whether t befell between from and to.
func (t *Trouble) during(from, to time.Time) bool { return t.From.Before(to) && t.To.After(from) }

// inTouch reports whether nothing befell an instance from a contact time
// before from until to.
func (b *Books) inTouch(instance string, from, to time.Time) bool {
	for i := range b.Troubles {
		t := &b.Troubles[i]
		if !t.Spares && t.Endpoint == "" && (t.Instance == "" || t.Instance == instance) && t.during(from.Add(-b.Bounds.Contact), to) {
			return false
		}
	}
	return true
}

// beside reports whether only planned work befell the instance and the
// endpoints of a request, and some did.
func (b *Books) beside(q *Request) bool {
	planned := false
	for i := range b.Troubles {
		t := &b.Troubles[i]
		if !t.during(q.Sent.Add(-b.Bounds.Contact), q.Done) {
			continue
		}
		mine := t.Endpoint == "" && (t.Instance == "" || t.Instance == q.Instance)
		for _, r := range b.Runs[q.ID] {
			mine = mine || r.Endpoint == t.Endpoint
		}
		if mine && !t.Planned {
			return false
		}
		planned = planned || mine
	}
	return planned
}

// possible returns the versions that may be in force for a request that was
// sent at a time and done at another: the newest that was acknowledged a
// propagation time before, and all newer ones that were published by the end.
func (b *Books) possible(sent, done time.Time) []*Version {
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
