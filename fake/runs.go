// Package fake implements fakes of the router's environment: model engines,
// services, and the platform's configuration service.
//
// Each run of a request is recorded under the request's ID, so that tests and
// load reports can detect duplicate executions and responses to the wrong
// request. Faults are injected through an HTTP control interface.
package fake

import (
	"regexp"
	"strconv"
	"sync"
	"time"
)

// A Run is one execution of a request by an endpoint.
type Run struct {
	Endpoint     string        `json:"endpoint"`
	Team         string        `json:"team"`
	At           time.Duration `json:"at"` // since NewRunLog
	Tokens       int           `json:"tokens"`
	Complete     bool          `json:"whole"`         // the response was completed
	AfterLeaving bool          `json:"after_leaving"` // the endpoint was already leaving
}

// RunLog record the runs of all fakes of a process. They are safe for
// concurrent use.
type RunLog struct {
	start time.Time
	mu    sync.Mutex
	runs  map[string][]*Run
}

// NewRunLog returns an empty record of runs.
func NewRunLog() *RunLog { return &RunLog{start: time.Now(), runs: make(map[string][]*Run)} }

// Begin records the start of a run. The caller must not modify the result, and
// passes it to End.
func (b *RunLog) Begin(id, endpoint, team string, leaving bool) *Run {
	r := &Run{Endpoint: endpoint, Team: team, At: time.Since(b.start), AfterLeaving: leaving}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id] = append(b.runs[id], r)
	return r
}

// End records how a run ended: the number of tokens it produced, and whether
// the response was completed.
func (b *RunLog) End(r *Run, tokens int, whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.Tokens, r.Complete = tokens, whole
}

// Runs returns a copy of all runs, keyed by request ID.
func (b *RunLog) Runs() map[string][]Run {
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

// Tokens returns the total number of tokens of the runs that have ended.
func (b *RunLog) Tokens() int {
	n := 0
	for _, list := range b.Runs() {
		for i := range list {
			n += list[i].Tokens
		}
	}
	return n
}

// directivePattern matches directives to the fakes that clients embed in a
// request's text, such as [[length=7]]. The router does not interpret them.
var directivePattern = regexp.MustCompile(`\[\[([a-z]+)=([^\]]+)\]\]`)

type directives struct {
	id     string
	length int           // of the response, in tokens
	work   time.Duration // processing time of a service
}

// parseDirectives ignores unknown directives and malformed values.
func parseDirectives(body []byte) directives {
	d := directives{}
	for _, m := range directivePattern.FindAllSubmatch(body, -1) {
		switch string(m[1]) {
		case "id":
			d.id = string(m[2])
		case "length":
			d.length, _ = strconv.Atoi(string(m[2]))
		case "work":
			d.work, _ = time.ParseDuration(string(m[2]))
		}
	}
	return d
}
