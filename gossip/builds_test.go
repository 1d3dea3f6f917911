package gossip

// While machines are replaced one after the other, instances of an older build pass on what they
// know of the configuration. They know nothing of fields that came later, and leave them out; a
// newer instance took the gap for "no bound" and served requests outside the regions where they
// may be served: 159, 181 and 90 times beside three former builds, never with new builds alone.
// Its log: "configuration in force", from an older instance, version 2, 1,181 bytes, where the
// store has 2,957.
//
// The files are answers of former builds, each named by its commit, as they were sent.

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ivyridge/belief"
)

// former serves an answer of a former build.
func former(t *testing.T, name string) *Relay {
	answer, err := os.ReadFile(filepath.Join("testdata", "builds", name))
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) }))
	t.Cleanup(server.Close)
	return &Relay{
		Address: strings.TrimPrefix(server.URL, "http://"), HTTP: http.DefaultClient, Now: time.Now,
		Version: func() int64 { return 0 },
	}
}

func TestBeliefsOfFormerBuilds(t *testing.T) {
	for name, lacks := range map[string]string{
		"beliefs-f7612d7.json": "HomeRegions", // and what cold endpoints bear, births
		"beliefs-6a00187.json": "HomeRegions",
		"beliefs-6c0c873.json": "HomeRegions",
		"beliefs-881fb3f.json": "Born",
		"beliefs-a5d942b.json": "",
	} {
		t.Run(name, func(t *testing.T) {
			relay := former(t, name)
			for call, read := range map[string]func() (*belief.Update, error){
				"load":  func() (*belief.Update, error) { return relay.Load(context.Background()) },
				"watch": func() (*belief.Update, error) { return relay.Watch(context.Background(), belief.Query{}) },
			} {
				u, err := read()
				switch {
				case lacks == "" && (err != nil || u.Config == nil || len(u.Present) != 1):
					t.Errorf("%s of a build that knows all fields: %v", call, err)
				case lacks != "" && err == nil:
					t.Errorf("%s of a build that doesn't know %s is taken: %+v", call, lacks, u.Config)
				case lacks != "" && !strings.Contains(err.Error(), lacks):
					t.Errorf("%s: the error doesn't name %s: %v", call, lacks, err)
				}
			}
		})
	}
}
