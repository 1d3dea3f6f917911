package inventory

// This file defines all that an instance says of what it runs, and compares two of them.

import (
	"runtime/debug"
	"slices"
	"sort"
	"strings"
	"time"
)

// A Build is the program that an instance runs.
type Build struct {
	Version  string `json:"version"`            // of the module
	Commit   string `json:"commit,omitempty"`   // it was built from; empty: not known
	Modified bool   `json:"modified,omitempty"` // the tree had changes that were not committed
	Go       string `json:"go"`                 // version of the compiler
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

// Hash names the build.
func (b Build) Hash() uint32 {
	modified := ""
	if b.Modified {
		modified = " modified"
	}
	return Hash(b.Version + " " + b.Commit + modified + " " + b.Go)
}

// A Detail is all that an instance says of what it runs. Times are in ms before it was told.
type Detail struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Role       string `json:"role"`
	Build      Build  `json:"build"`

	Settings   string            `json:"settings"`    // hash of those in force
	Fields     map[string]string `json:"fields"`      // settings in force, by their paths
	Own        []string          `json:"own"`         // paths that differ from instance to instance, not in the hash
	SettingsBy string            `json:"settings_by"` // "start" or "reload"
	SettingsMS int64             `json:"settings_ms"` // they came into force
	Refused    string            `json:"refused,omitempty"`
	RefusedMS  int64             `json:"refused_ms,omitempty"` // that the newest file was kept out
	Waiting    []string          `json:"waiting,omitempty"`    // changed fields that wait for a restart

	Version   int64  `json:"version"`    // of the configuration in force
	VersionMS int64  `json:"version_ms"` // it came into force
	Revision  int64  `json:"revision"`   // of what is published, teams' keys among it
	ProofMS   int64  `json:"proof_ms"`   // since that was known to be the newest; negative: never
	Ready     bool   `json:"ready"`
	ReadyMS   int64  `json:"ready_ms"`        // since it is ready, or is not
	NotReady  string `json:"not_ready"`       // why not; empty if it is
	Uptime    int64  `json:"uptime_s"`        // seconds since its start
	Address   string `json:"address"`         // of its peers' listener
	Error     string `json:"error,omitempty"` // it could not be asked
}

// paths returns the paths of fields in order.
func paths(fields map[string]string) []string {
	out := make([]string, 0, len(fields))
	for path := range fields {
		out = append(out, path)
	}
	sort.Strings(out)
	return out
}

// A Difference is a field that two instances have unlike.
type Difference struct {
	Path    string `json:"path"`
	A       string `json:"a"`
	B       string `json:"b"`
	Answers bool   `json:"answers"` // the two may answer callers differently for it
}

// answering are the beginnings of the paths of settings that decide how callers are answered.
var answering = []string{"promises.", "store", "seeds", "data_centres"}

// decides reports whether a setting decides how callers are answered.
func decides(path string) bool {
	return slices.ContainsFunc(answering, func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}

// Diff returns the settings that a and b have unlike, those that are an instance's own left out.
func Diff(a, b *Detail) []Difference {
	all := make(map[string]string, len(a.Fields))
	for _, fields := range []map[string]string{a.Fields, b.Fields} {
		for path := range fields {
			all[path] = ""
		}
	}
	var out []Difference
	for _, path := range paths(all) {
		if a.Fields[path] == b.Fields[path] || slices.Contains(a.Own, path) || slices.Contains(b.Own, path) {
			continue
		}
		out = append(out, Difference{Path: path, A: a.Fields[path], B: b.Fields[path], Answers: decides(path)})
	}
	return out
}

// Since returns how long ago t was at now, in ms; -1 if t is not known.
func Since(now, t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Milliseconds()
}
