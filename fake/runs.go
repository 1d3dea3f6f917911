// Package fake holds the stand-ins for what surrounds the system: model
// engines, plain services, and the platform's configuration service with its
// lagging list.
//
// They are small, speak the published protocols, and keep books: every run
// of a request is counted by its id, so that tests and reports measure
// duplicates, lost and crossed answers instead of assuming that there are
// none. Faults are set on a control address.
//
// The files: runs.go (the books), engine.go, service.go, platform.go,
// control.go (faults), config.go (the file that ivyfake reads).
package fake

import (
	"regexp"
	"strconv"
	"sync"
	"time"
)

// A Run is one time that a request was begun by an endpoint.
type Run struct {
	Endpoint string        `json:"endpoint"`
	Team     string        `json:"team"`
	At       time.Duration `json:"at"` // since the books were opened
	Tokens   int           `json:"tokens"`
	Whole    bool          `json:"whole"`
	Late     bool          `json:"after_leaving"` // sent to an endpoint that was leaving
}

// Books count the runs of all stand-ins of a process. They are safe for
// concurrent use.
type Books struct {
	start time.Time
	mu    sync.Mutex
	runs  map[string][]*Run
}

// NewBooks returns empty books.
func NewBooks() *Books { return &Books{start: time.Now(), runs: make(map[string][]*Run)} }

// Begin enters that an endpoint begins a request.
func (b *Books) Begin(id, endpoint, team string, leaving bool) *Run {
	r := &Run{Endpoint: endpoint, Team: team, At: time.Since(b.start), Late: leaving}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id] = append(b.runs[id], r)
	return r
}

// End enters how a run ended.
func (b *Books) End(r *Run, tokens int, whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.Tokens, r.Whole = tokens, whole
}

// Runs returns a copy of all runs by request id.
func (b *Books) Runs() map[string][]Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string][]Run, len(b.runs))
	for id, list := range b.runs {
		for _, r := range list {
			out[id] = append(out[id], *r)
		}
	}
	return out
}

// Tokens returns the tokens computed in all runs.
func (b *Books) Tokens() int {
	n := 0
	for _, list := range b.Runs() {
		for i := range list {
			n += list[i].Tokens
		}
	}
	return n
}

// orders are what a request's text tells a stand-in: its id, the length of
// its answer, how long a service works on it. The system does not read them.
var orders = regexp.MustCompile(`\[\[([a-z]+)=([^\]]+)\]\]`)

type order struct {
	id     string
	length int
	work   time.Duration
}

func readOrders(body []byte) order {
	o := order{}
	for _, m := range orders.FindAllSubmatch(body, -1) {
		switch string(m[1]) {
		case "id":
			o.id = string(m[2])
		case "length":
			o.length, _ = strconv.Atoi(string(m[2]))
		case "work":
			o.work, _ = time.ParseDuration(string(m[2]))
		}
	}
	return o
}
