package chart_test

import (
	"strings"
	"testing"

	"ivyridge/chart"
	"ivyridge/verdict"
)

var charts = []*chart.Chart{chart.Request, chart.Endpoint, chart.Instance, chart.Configuration}

func reachable(c *chart.Chart, s chart.State) map[chart.State]bool {
	seen := map[chart.State]bool{s: true}
	for todo := []chart.State{s}; len(todo) > 0; {
		at := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for ev := range c.Events() {
			if next := c.Next(at, chart.Event(ev)); !seen[next] {
				seen[next] = true
				todo = append(todo, next)
			}
		}
	}
	return seen
}

func TestEveryStateIsReachable(t *testing.T) {
	for _, c := range charts {
		if n := len(reachable(c, c.Initial())); n != c.States() {
			t.Errorf("%s: %d of %d states are reachable", c.Name, n, c.States())
		}
	}
}

func TestNoDeadEnds(t *testing.T) {
	for _, c := range charts {
		for s := range c.States() {
			at := chart.State(s)
			if n := len(reachable(c, at)); n == 1 && !c.Final(at) {
				t.Errorf("%s: state %s is not final, but no transition leaves it", c.Name, c.StateName(at))
			}
			for ev := range c.Events() {
				if c.Final(at) && c.Next(at, chart.Event(ev)) != at {
					t.Errorf("%s: final state %s has a transition", c.Name, c.StateName(at))
				}
			}
		}
	}
}

// Once bytes may have reached an endpoint, only an event that proves it leads to "not run".
func TestNotRunRequiresProof(t *testing.T) {
	c := chart.Request
	proofs := map[chart.Event]bool{c.Event("unsent"): true, c.Event("refused_unrun"): true}
	seen := map[chart.State]bool{}
	var walk func(s chart.State)
	walk = func(s chart.State) {
		if seen[s] {
			return
		}
		seen[s] = true
		if c.Verdict(s) == verdict.NotRun {
			t.Errorf("%s is reachable after sending without proof", c.StateName(s))
		}
		for ev := range c.Events() {
			if !proofs[chart.Event(ev)] {
				walk(c.Next(s, chart.Event(ev)))
			}
		}
	}
	walk(c.State("sent"))
}

func TestLeavingEndpointIsFinal(t *testing.T) {
	c := chart.Endpoint
	if n := len(reachable(c, c.State("leaving"))); n != 1 {
		t.Errorf("%d other states are reachable from leaving, want none", n-1)
	}
}

func TestParseReportsErrors(t *testing.T) {
	text := "chart: x\ninitial: nowhere\nevents: [go]\nstates:\n  - {name: a, verdict: perhaps, on: [{event: come, to: b}]}\n"
	_, err := chart.Parse("x.yaml", []byte(text))
	if err == nil {
		t.Fatal("an invalid chart was accepted")
	}
	for _, want := range []string{`x.yaml:5:5: state "a": unknown verdict "perhaps"`, `unknown event "come"`, `unknown state "b"`, `event "go" is not handled`, `initial state "nowhere" is not defined`} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("the error lacks %q:\n%v", want, err)
		}
	}
}
