// Package fake implements fake model engines, services and a fake of the platform's
// configuration service. The endpoints record every run under its request's ID, and
// can be made to fail.
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

// A RunLog records the runs of all fakes of a process. It is safe for concurrent use.
type RunLog struct {
	start time.Time
	mu    sync.Mutex
	runs  map[string][]*Run
}

// NewRunLog returns an empty RunLog.
func NewRunLog() *RunLog { return &RunLog{start: time.Now(), runs: make(map[string][]*Run)} }

// Begin records the start of a run. The result must be modified only by End.
func (l *RunLog) Begin(id, endpoint, team string, leaving bool) *Run {
	r := &Run{Endpoint: endpoint, Team: team, At: time.Since(l.start), AfterLeaving: leaving}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
	return r
}

// End records a run's tokens and whether its response was completed.
func (l *RunLog) End(r *Run, tokens int, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Tokens, r.Complete = tokens, complete
}

// Runs returns a copy of all runs, keyed by request ID.
func (l *RunLog) Runs() map[string][]Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string][]Run, len(l.runs))
	for id, list := range l.runs {
		for _, r := range list {
			out[id] = append(out[id], *r)
		}
	}
	return out
}

// Tokens returns the total number of tokens of ended runs.
func (l *RunLog) Tokens() int {
	n := 0
	for _, list := range l.Runs() {
		for i := range list {
			n += list[i].Tokens
		}
	}
	return n
}

// directivePattern matches directives in a request's text, such as [[length=7]].
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
