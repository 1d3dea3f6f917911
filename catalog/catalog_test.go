package catalog_test

import (
	"strings"
	"testing"

	"ivyridge/catalog"
)

func document(routes ...catalog.Route) catalog.Document {
	return catalog.Document{Version: 3, Services: []catalog.Service{{Name: "a"}, {Name: "b"}}, Routes: routes}
}

func route(host, prefix string) catalog.Route {
	return catalog.Route{Name: prefix, Host: host, Prefix: prefix, Targets: []catalog.Target{{Service: "a", Weight: 1}}}
}

func TestLongestPrefix(t *testing.T) {
	c, err := catalog.Compile(document(route("h", "/"), route("h", "/a/b/"), route("h", "/a/"), route("other", "/a/b/c/")))
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{
		"/": "/", "/a": "/", "/a/": "/a/", "/a/bc": "/a/", "/a/b/": "/a/b/", "/a/b/c/d": "/a/b/", "/x": "/",
	} {
		if r := c.Route("H:8080", path); r == nil || r.Name != want {
			t.Errorf("path %s goes to route %v, want %s", path, r, want)
		}
	}
	if r := c.Route("unknown", "/a/"); r != nil {
		t.Errorf("an undeclared host goes to route %s, want none", r.Name)
	}
}

func TestCompileErrors(t *testing.T) {
	noTarget := route("h", "/a/")
	noTarget.Targets = nil
	unknown := route("h", "/a/")
	unknown.Targets = []catalog.Target{{Service: "c", Weight: 1}}
	negative := route("h", "/a/")
	negative.Targets = []catalog.Target{{Service: "a", Weight: -1}}
	for want, r := range map[string]catalog.Route{
		"has no host": route("", "/a/"), "must begin and end": route("h", "/a"), "has no service": noTarget,
		"is not declared": unknown, "is negative": negative,
	} {
		if _, err := catalog.Compile(document(r)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Compile returned error %v, want one that contains %q", err, want)
		}
	}
}

func TestTargetWeights(t *testing.T) {
	r := route("h", "/")
	r.Targets = []catalog.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}
	count := make(map[string]int)
	for hash := range uint64(1000) {
		count[r.Target(hash)]++
	}
	if count["a"] != 900 || count["b"] != 100 {
		t.Errorf("weights of 90 and 10 divide 1000 hashes as %v, want 900 and 100", count)
	}
	r.Targets[0].Weight, r.Targets[1].Weight = 0, 0
	if got := r.Target(7); got != "a" {
		t.Errorf("with zero weights the target is %s, want the first, a", got)
	}
}

func TestNeedsKey(t *testing.T) {
	d := document(route("h", "/a/"))
	anonymous := route("h", "/open/")
	anonymous.Anonymous = true
	d.Routes = append(d.Routes, anonymous)
	noTeams, err := catalog.Compile(d)
	if err != nil {
		t.Fatal(err)
	}
	if noTeams.NeedsKey(noTeams.Route("h", "/a/")) {
		t.Error("NeedsKey is true without teams, want false")
	}
	d.Teams = []catalog.Team{{Name: "t", Keys: []string{"k"}}}
	withTeams, err := catalog.Compile(d)
	if err != nil {
		t.Fatal(err)
	}
	if !withTeams.NeedsKey(withTeams.Route("h", "/a/")) || withTeams.NeedsKey(withTeams.Route("h", "/open/")) {
		t.Error("want a key required on /a/, and not on /open/, which is anonymous")
	}
}

// No request may be preempted before one of a less urgent route, whatever their teams.
func TestRankOrdersByRouteFirst(t *testing.T) {
	first, second := 0, 1
	preferred, other := &catalog.Team{Priority: &first}, &catalog.Team{Priority: &second}
	urgent, background := &catalog.Route{Priority: 0}, &catalog.Route{Priority: 2}
	if u, l := catalog.Rank(urgent, other), catalog.Rank(background, preferred); u >= l {
		t.Errorf("the urgent route has rank %d, a less urgent one of a preferred team %d, want a larger number for the latter", u, l)
	}
	if f, o := catalog.Rank(urgent, preferred), catalog.Rank(urgent, other); f >= o {
		t.Errorf("a preferred team has rank %d, another %d on the same route, want a larger number for the latter", f, o)
	}
	if got := catalog.Rank(&catalog.Route{Priority: 40}, nil); got != 9 {
		t.Errorf("a route of priority 40 has rank %d, want 9", got)
	}
}
