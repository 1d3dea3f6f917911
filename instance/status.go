package instance

// This file tracks the status of the instance: the effective settings, rejected settings
// files, and settings that need a restart.

import (
	"slices"
	"strings"
	"sync"
	"time"

	"ivyridge/inventory"
	"ivyridge/yamlfile"
)

// instanceSpecific lists the settings that differ between instances. They are not hashed.
var instanceSpecific = []string{
	"name", "data_centre", "listen.callers", "listen.ready", "listen.peers",
	"machine.cores", "machine.memory_mb", "machine.descriptors",
}

// Sources of the effective settings.
const (
	sourceStart  = "start"
	sourceReload = "reload"
)

// reloadable reports whether a setting is applied without a restart.
func reloadable(path string) bool {
	return strings.HasPrefix(path, "promises.") || path == "seeds" || path == "machine.memory_mb"
}

// status is the status of this instance. It is safe for concurrent use.
type status struct {
	build   inventory.Build
	started time.Time

	mu             sync.Mutex
	fields         map[string]string // settings by path; replaced, never modified
	hash           uint32
	hashText       string
	source         string
	effectiveSince time.Time
	rejection      string // error of the latest settings file; empty if it was accepted
	rejectedAt     time.Time
	pendingRestart []string // paths of changed settings that need a restart
	version        tracked[int64]
	ready          tracked[bool]
}

// tracked is a value and the time of its last change.
type tracked[T comparable] struct {
	value T
	since time.Time
}

func (s *tracked[T]) observe(value T, now time.Time) {
	if s.since.IsZero() || value != s.value {
		s.value, s.since = value, now
	}
}

func newStatus(s *Settings, now time.Time) *status {
	r := &status{build: inventory.ReadBuild(), started: now, source: sourceStart, effectiveSince: now}
	r.apply(yamlfile.Flatten(s))
	return r
}

// apply makes fields effective. The caller holds r.mu or has exclusive access to r.
func (r *status) apply(fields map[string]string) {
	r.fields = fields
	shared := make(map[string]string, len(fields))
	for path, value := range fields {
		if !slices.Contains(instanceSpecific, path) {
			shared[path] = value
		}
	}
	r.hash = inventory.HashFields(shared)
	r.hashText = inventory.HashText(r.hash)
}

// reload applies the reloadable settings of s. It returns the paths of those that
// changed, and of changed settings that need a restart.
func (r *status) reload(s *Settings, now time.Time) (changed, pendingRestart []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fields := make(map[string]string, len(r.fields))
	for path, value := range yamlfile.Flatten(s) {
		previous := r.fields[path]
		switch {
		case value == previous:
		case reloadable(path):
			changed = append(changed, path)
		default:
			pendingRestart = append(pendingRestart, path)
			value = previous
		}
		fields[path] = value
	}
	slices.Sort(changed)
	slices.Sort(pendingRestart)
	r.rejection, r.rejectedAt, r.pendingRestart = "", time.Time{}, pendingRestart
	if len(changed) > 0 {
		r.source, r.effectiveSince = sourceReload, now
		r.apply(fields)
	}
	return changed, pendingRestart
}

// reject records that a settings file was rejected.
func (r *status) reject(err error, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejection, r.rejectedAt = err.Error(), now
}

// settingsHash returns the hash of the effective settings as text.
func (r *status) settingsHash() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hashText
}

// observe records the configuration version and readiness.
func (r *status) observe(version int64, ready bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version.observe(version, now)
	r.ready.observe(ready, now)
}

// summary returns the status summary sent with heartbeats.
func (r *status) summary(version int64, ready bool) inventory.Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return inventory.Summary{
		Build: r.build.Hash(), Settings: r.hash, Version: version,
		Ready: ready, Refused: r.rejection != "", NeedsRestart: len(r.pendingRestart) > 0,
	}
}

// detail sets the fields of d that r holds.
func (r *status) detail(d *inventory.Detail, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d.Build, d.InstanceSpecific = r.build, instanceSpecific
	d.Settings, d.Fields = r.hashText, r.fields
	d.SettingsBy, d.SettingsMS = r.source, inventory.Since(now, r.effectiveSince)
	d.PendingRestart = r.pendingRestart
	if r.rejection != "" {
		d.Refused, d.RefusedMS = r.rejection, inventory.Since(now, r.rejectedAt)
	}
	d.VersionMS, d.ReadyMS = inventory.Since(now, r.version.since), inventory.Since(now, r.ready.since)
	d.Uptime = int64(now.Sub(r.started).Seconds())
}
