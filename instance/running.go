package instance

// This file keeps what the instance runs: which settings are in force since when, what was
// kept out, and what waits for a restart.

import (
	"slices"
	"strings"
	"sync"
	"time"

	"ivyridge/inventory"
	"ivyridge/yamlfile"
)

// own are the settings that differ from instance to instance; they are in no hash.
var own = []string{
	"name", "data_centre", "listen.callers", "listen.ready", "listen.peers",
	"machine.cores", "machine.memory_mb", "machine.descriptors",
}

// How settings came into force.
const (
	byStart  = "start"
	byReload = "reload"
)

// reloads reports whether a setting is taken up without a restart.
func reloads(path string) bool {
	return strings.HasPrefix(path, "promises.") || path == "seeds" || path == "machine.memory_mb"
}

// running is what this instance runs. It is safe for concurrent use.
type running struct {
	build   inventory.Build
	started time.Time

	mu        sync.Mutex
	fields    map[string]string // settings in force
	hash      uint32
	hashText  string
	by        string
	since     time.Time
	refused   string // why the newest file was kept out; empty: it was not
	refusedAt time.Time
	waiting   []string // changed fields that wait for a restart
	version   since[int64]
	ready     since[bool]
}

// A since is a value and when it was first seen.
type since[T comparable] struct {
	value T
	at    time.Time
}

func (s *since[T]) see(value T, now time.Time) {
	if s.at.IsZero() || value != s.value {
		s.value, s.at = value, now
	}
}

func newRunning(s *Settings, now time.Time) *running {
	r := &running{build: inventory.ReadBuild(), started: now, by: byStart, since: now}
	r.force(yamlfile.Flatten(s))
	return r
}

// force puts settings in force. The caller holds r.mu, or nobody else knows r.
func (r *running) force(fields map[string]string) {
	r.fields = fields
	shared := make(map[string]string, len(fields))
	for path, value := range fields {
		if !slices.Contains(own, path) {
			shared[path] = value
		}
	}
	r.hash = inventory.HashFields(shared)
	r.hashText = inventory.HashText(r.hash)
}

// reload takes up settings that were read anew, and returns the paths of those that changed
// and are in force, and of those that wait for a restart.
func (r *running) reload(s *Settings, now time.Time) (changed, waiting []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fields := make(map[string]string, len(r.fields))
	for path, value := range yamlfile.Flatten(s) {
		before := r.fields[path]
		switch {
		case value == before:
		case reloads(path):
			changed = append(changed, path)
		default:
			waiting = append(waiting, path)
			value = before
		}
		fields[path] = value
	}
	slices.Sort(changed)
	slices.Sort(waiting)
	r.refused, r.refusedAt, r.waiting = "", time.Time{}, waiting
	if len(changed) > 0 {
		r.by, r.since = byReload, now
		r.force(fields)
	}
	return changed, waiting
}

// refuse notes that a file was kept out.
func (r *running) refuse(err error, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused, r.refusedAt = err.Error(), now
}

// settings returns the hash of the settings in force, as text.
func (r *running) settings() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hashText
}

// see notes the version of the configuration and whether the instance is ready.
func (r *running) see(version int64, ready bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version.see(version, now)
	r.ready.see(ready, now)
}

// mark returns what is said with heartbeats.
func (r *running) mark(version int64, ready bool) inventory.Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	return inventory.Mark{
		Build: r.build.Hash(), Settings: r.hash, Version: version,
		Ready: ready, Refused: r.refused != "", Waiting: len(r.waiting) > 0,
	}
}

// detail fills in what is known here.
func (r *running) detail(d *inventory.Detail, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d.Build, d.Own = r.build, own
	d.Settings, d.Fields = r.hashText, r.fields // replaced, never changed
	d.SettingsBy, d.SettingsMS = r.by, inventory.Since(now, r.since)
	d.Waiting = r.waiting
	if r.refused != "" {
		d.Refused, d.RefusedMS = r.refused, inventory.Since(now, r.refusedAt)
	}
	d.VersionMS, d.ReadyMS = inventory.Since(now, r.version.at), inventory.Since(now, r.ready.at)
	d.Uptime = int64(now.Sub(r.started).Seconds())
}
