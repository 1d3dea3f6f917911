// Package chart compiles and runs state charts.
//
// Every state handles every event, by a transition or by ignoring it, unless it is final. A state may
// name the verdict of a request that ends in it. The package runs no actions: the owner of a Machine
// reads its state. Steps do not allocate.
package chart

import (
	"embed"
	"fmt"

	"github.com/pkg/errors"

	"ivyridge/verdict"
	"ivyridge/yamlfile"
)

//go:embed charts/*.yaml
var files embed.FS

// The charts in charts/, compiled at initialization.
var (
	Request       = mustLoad("request")
	Endpoint      = mustLoad("endpoint")
	Instance      = mustLoad("instance")
	Configuration = mustLoad("configuration")
)

// An Event is an index into the events of one chart.
type Event int

// A State is an index into the states of one chart.
type State int

// A Chart is a compiled state chart. It is immutable and safe for concurrent use.
type Chart struct {
	Name    string
	events  []string
	states  []stateDef
	initial State
	table   [][]State
}

type stateDef struct {
	name    string
	final   bool
	verdict verdict.Verdict
}

type chartFile struct {
	Name    string      `yaml:"chart"`
	Initial string      `yaml:"initial"`
	Events  []string    `yaml:"events"`
	States  []stateFile `yaml:"states"`
}

type stateFile struct {
	Pos     yamlfile.Pos
	Name    string           `yaml:"name"`
	Verdict string           `yaml:"verdict"`
	Final   bool             `yaml:"final"`
	On      []transitionFile `yaml:"on"`
	Ignore  []string         `yaml:"ignore"`
}

type transitionFile struct {
	Pos   yamlfile.Pos
	Event string `yaml:"event"`
	To    string `yaml:"to"`
}

func mustLoad(name string) *Chart {
	file := "charts/" + name + ".yaml"
	data, err := files.ReadFile(file)
	if err != nil {
		panic(errors.Wrap(err, "chart"))
	}
	c, err := Parse(file, data)
	if err != nil {
		panic(errors.Wrap(err, "chart"))
	}
	return c
}

// Parse compiles a chart. A non-nil error is a yamlfile.Errors.
func Parse(file string, data []byte) (*Chart, error) {
	var f chartFile
	if err := yamlfile.Decode(file, data, &f); err != nil {
		return nil, err
	}
	p := &compiler{chart: &Chart{Name: f.Name, events: f.Events}, file: f, fileStart: yamlfile.Pos{File: file, Line: 1, Col: 1}}
	p.compile()
	if err := p.errs.Err(); err != nil {
		return nil, err
	}
	return p.chart, nil
}

type compiler struct {
	chart     *Chart
	file      chartFile
	fileStart yamlfile.Pos
	errs      yamlfile.Errors
}

func (p *compiler) compile() {
	for _, s := range p.file.States {
		v, ok := verdict.Parse(s.Verdict)
		if s.Verdict != "" && !ok {
			p.errs.Add(s.Pos, "state %q: unknown verdict %q", s.Name, s.Verdict)
		}
		p.chart.states = append(p.chart.states, stateDef{s.Name, s.Final, v})
	}
	for _, s := range p.file.States {
		p.chart.table = append(p.chart.table, p.row(s))
	}
	initial, ok := p.chart.lookupState(p.file.Initial)
	if !ok {
		p.errs.Add(p.fileStart, "initial state %q is not defined", p.file.Initial)
	}
	p.chart.initial = initial
}

// row compiles the transitions of s, which must handle every event unless it is final.
func (p *compiler) row(s stateFile) []State {
	const none = State(-1)
	row := make([]State, len(p.chart.events))
	for i := range row {
		row[i] = none
	}
	set := func(pos yamlfile.Pos, event string, to State) {
		ev, ok := p.chart.lookupEvent(event)
		switch {
		case !ok:
			p.errs.Add(pos, "state %q: unknown event %q", s.Name, event)
		case row[ev] != none:
			p.errs.Add(pos, "state %q: event %q is handled twice", s.Name, event)
		default:
			row[ev] = to
		}
	}
	self, _ := p.chart.lookupState(s.Name)
	for _, t := range s.On {
		to, ok := p.chart.lookupState(t.To)
		if !ok {
			p.errs.Add(t.Pos, "state %q: unknown state %q", s.Name, t.To)
		}
		set(t.Pos, t.Event, to)
	}
	for _, event := range s.Ignore {
		set(s.Pos, event, self)
	}
	for ev, to := range row {
		if to == none && !s.Final {
			p.errs.Add(s.Pos, "state %q: event %q is not handled", s.Name, p.chart.events[ev])
		}
		if to == none {
			row[ev] = self
		}
	}
	return row
}

func (c *Chart) lookupEvent(name string) (Event, bool) {
	for i, n := range c.events {
		if n == name {
			return Event(i), true
		}
	}
	return 0, false
}

func (c *Chart) lookupState(name string) (State, bool) {
	for i, s := range c.states {
		if s.name == name {
			return State(i), true
		}
	}
	return 0, false
}

// Event returns the event called name. It panics if there is none.
func (c *Chart) Event(name string) Event {
	ev, ok := c.lookupEvent(name)
	if !ok {
		panic(fmt.Sprintf("chart %s has no event %q", c.Name, name))
	}
	return ev
}

// State returns the state called name. It panics if there is none.
func (c *Chart) State(name string) State {
	s, ok := c.lookupState(name)
	if !ok {
		panic(fmt.Sprintf("chart %s has no state %q", c.Name, name))
	}
	return s
}

// Events returns the number of events.
func (c *Chart) Events() int { return len(c.events) }

// States returns the number of states.
func (c *Chart) States() int { return len(c.states) }

// Initial returns the initial state.
func (c *Chart) Initial() State { return c.initial }

// Next returns the state that follows s on ev.
func (c *Chart) Next(s State, ev Event) State { return c.table[s][ev] }

// StateName returns the name of s.
func (c *Chart) StateName(s State) string { return c.states[s].name }

// Final reports whether s is final.
func (c *Chart) Final(s State) bool { return c.states[s].final }

// Verdict returns the verdict of a request that ends in s.
func (c *Chart) Verdict(s State) verdict.Verdict { return c.states[s].verdict }

// A Machine is a running chart, made by Chart.New. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// New returns a Machine in the initial state of c.
func (c *Chart) New() Machine { return Machine{c, c.initial} }

// Step applies ev and reports whether the state changed.
func (m *Machine) Step(ev Event) bool {
	next := m.chart.table[m.state][ev]
	changed := next != m.state
	m.state = next
	return changed
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Name returns the name of the current state.
func (m *Machine) Name() string { return m.chart.StateName(m.state) }

// Verdict returns the verdict of the current state.
func (m *Machine) Verdict() verdict.Verdict { return m.chart.Verdict(m.state) }

// Final reports whether the current state is final.
func (m *Machine) Final() bool { return m.chart.Final(m.state) }
