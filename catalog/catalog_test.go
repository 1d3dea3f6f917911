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
			t.Errorf("%s goes to %v, want %s", path, r, want)
		}
	}
	if r := c.Route("unknown", "/a/"); r != nil {
		t.Errorf("a host without routes goes to %s", r.Name)
	}
}

func TestFaults(t *testing.T) {
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
			t.Errorf("got %v, want %q", err, want)
		}
	}
}

func TestTargetsTakeTheirShares(t *testing.T) {
	r := route("h", "/")
	r.Targets = []catalog.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}
	count := make(map[string]int)
	for hash := range uint64(1000) {
		count[r.Target(hash)]++
	}
	if count["a"] != 900 || count["b"] != 100 {
		t.Errorf("shares of 90 and 10 came out as %v", count)
	}
	r.Targets[0].Weight, r.Targets[1].Weight = 0, 0
	if got := r.Target(7); got != "a" {
		t.Errorf("without weights the first is meant, got %s", got)
	}
}

func TestWhoNeedsAKey(t *testing.T) {
	d := document(route("h", "/a/"))
	open := route("h", "/open/")
	open.Anonymous = true
	d.Routes = append(d.Routes, open)
	without, err := catalog.Compile(d)
	if err != nil {
		t.Fatal(err)
	}
	if without.NeedsKey(without.Route("h", "/a/")) {
		t.Error("a key is asked for though there are no teams")
	}
	d.Teams = []catalog.Team{{Name: "t", Keys: []string{"k"}}}
	with, err := catalog.Compile(d)
	if err != nil {
		t.Fatal(err)
	}
	if !with.NeedsKey(with.Route("h", "/a/")) || with.NeedsKey(with.Route("h", "/open/")) {
		t.Error("keys are asked for on the wrong routes")
	}
}
