package decl_test

import (
	"os"
	"strings"
	"testing"

	"ivyridge/decl"
)

func parseDemo(t testing.TB) *decl.Set {
	t.Helper()
	data, err := os.ReadFile("../demo/huurtoets/declarations.yaml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := decl.Parse("declarations.yaml", data)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestAuthenticate(t *testing.T) {
	s := parseDemo(t)
	id, ok := s.Authenticate("demo-token-agents-zuid")
	if !ok || id.Team.Name != "agents-zuid" || id.Caller != "portal" {
		t.Errorf("valid token: got identity %+v, accepted %v; want team agents-zuid and caller portal", id, ok)
	}
	for _, token := range []string{"", "demo-token", "demo-token-agents-zuid "} {
		if _, ok := s.Authenticate(token); ok {
			t.Errorf("invalid token %q was accepted", token)
		}
	}
}

func TestParseErrors(t *testing.T) {
	const class = "classes: [{name: c, tier: 0, whole: 1s}]\n"
	for _, c := range []struct{ text, want string }{
		{"", "the document is empty"},
		{"classes: []\n", "no class is declared"},
		{"classes: [{name: c, tier: 12, whole: 1s}]\n", "tier must be 0 to 9"},
		{"classes: [{name: c, whole: -1s}]\n", "must not be negative"},
		{"classes: [{name: c, whole: 1s, guaranteed_share: 0.6}]\n", "guaranteed shares sum to 0.60"},
		{class + "pools: [{name: p, kind: car, slots: 1}]\n", "kind must be model or service"},
		{class + "pools: [{name: p, kind: model, slots: 4, max_slots: 2}]\n", "max_slots is below slots"},
		{class + "teams: [{name: t, class: d}]\n", `class "d" is not declared`},
		{class + "teams: [{name: t, class: c, callers: [{name: x, token_sha256: ab}]}]\n", "must be 64 hex digits"},
		{class + "teams: [{name: t, class: c, weight: many}]\n", "want a whole number"},
		{class + "teams: {name: t}\n", "want a list"},
	} {
		_, err := decl.Parse("f", []byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("Parse of %q: got error %v, want one that contains %q", c.text, err, c.want)
		}
	}
}

func TestWithClassCopies(t *testing.T) {
	s := parseDemo(t)
	next, ok := s.WithClass("letter", func(c *decl.Class) { c.Tier = 5 })
	if !ok || next.Class("letter").Tier != 5 || s.Class("letter").Tier != 2 {
		t.Error("WithClass changed the original set or did not change the copy")
	}
}

func FuzzParse(f *testing.F) {
	data, err := os.ReadFile("../demo/huurtoets/declarations.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("classes: [{name: c, whole: 1s}]"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := decl.Parse("f", data)
		if (s == nil) == (err == nil) {
			t.Errorf("Parse returned set %v and error %v, want exactly one of them", s, err)
		}
	})
}
