package inventory

// This file defines the full report of an instance.

import (
	"runtime/debug"
	"slices"
	"sort"
	"strings"
	"time"
)

// A Build identifies the program that an instance runs.
type Build struct {
	Version  string `json:"version"`            // module version
	Commit   string `json:"commit,omitempty"`   // VCS revision; empty: unknown
	Modified bool   `json:"modified,omitempty"` // built from a tree with uncommitted changes
	Go       string `json:"go"`                 // compiler version
}

// ReadBuild returns the build of this process.
func ReadBuild() Build {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Build{Version: "unknown"}
	}
	b := Build{Version: info.Main.Version, Go: info.GoVersion}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Commit = s.Value
		case "vcs.modified":
			b.Modified = s.Value == "true"
		}
	}
	return b
}

// Hash returns a hash that identifies the build.
func (b Build) Hash() uint32 {
	modified := ""
	if b.Modified {
		modified = " modified"
	}
	return Hash(b.Version + " " + b.Commit + modified + " " + b.Go)
}

// A Detail is the full report of an instance. Times are in ms before the report was made.
type Detail struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Role       string `json:"role"`
	Build      Build  `json:"build"`

	Settings         string            `json:"settings"`             // hash of the settings in force
	Fields           map[string]string `json:"fields"`               // settings in force, by path
	InstanceSpecific []string          `json:"own"`                  // paths of instance-specific settings, which are not hashed
	SettingsBy       string            `json:"settings_by"`          // what applied the settings: "start" or "reload"
	SettingsMS       int64             `json:"settings_ms"`          // since the settings were applied
	Rejected         string            `json:"refused,omitempty"`    // why the newest settings file was rejected
	RejectedMS       int64             `json:"refused_ms,omitempty"` // since it was rejected
	PendingRestart   []string          `json:"waiting,omitempty"`    // changed settings that require a restart

	Version     int64  `json:"version"`    // of the configuration in force
	VersionMS   int64  `json:"version_ms"` // since Version came into force
	Revision    int64  `json:"revision"`   // of the published state, which includes the teams' keys
	ValidatedMS int64  `json:"proof_ms"`   // since Revision was last validated as current; negative: never
	Ready       bool   `json:"ready"`
	ReadyMS     int64  `json:"ready_ms"`        // since Ready last changed
	NotReady    string `json:"not_ready"`       // reason; empty if ready
	Uptime      int64  `json:"uptime_s"`        // seconds since start
	Address     string `json:"address"`         // of the listener for other instances
	Error       string `json:"error,omitempty"` // why the instance could not be queried
}

func sortedPaths(fields map[string]string) []string {
	out := make([]string, 0, len(fields))
	for path := range fields {
		out = append(out, path)
	}
	sort.Strings(out)
	return out
}

// A Difference is a setting whose values differ between two instances.
type Difference struct {
	Path             string `json:"path"`
	A                string `json:"a"`
	B                string `json:"b"`
	AffectsResponses bool   `json:"answers"` // it may make the instances respond differently to clients
}

// responsePrefixes are the path prefixes of settings that affect responses to clients.
var responsePrefixes = []string{"promises.", "store", "seeds", "data_centres"}

func affectsResponses(path string) bool {
	return slices.ContainsFunc(responsePrefixes, func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}

// Diff returns the settings that differ between a and b, sorted by path, without those that are
// instance-specific in either.
func Diff(a, b *Detail) []Difference {
	all := make(map[string]string, len(a.Fields))
	for _, fields := range []map[string]string{a.Fields, b.Fields} {
		for path := range fields {
			all[path] = ""
		}
	}
	var out []Difference
	for _, path := range sortedPaths(all) {
		if a.Fields[path] == b.Fields[path] || slices.Contains(a.InstanceSpecific, path) || slices.Contains(b.InstanceSpecific, path) {
			continue
		}
		out = append(out, Difference{Path: path, A: a.Fields[path], B: b.Fields[path], AffectsResponses: affectsResponses(path)})
	}
	return out
}

// Since returns the time from t to now in ms, or -1 if t is zero.
func Since(now, t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Milliseconds()
}
