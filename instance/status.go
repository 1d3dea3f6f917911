package instance

// This file tracks which settings are effective, rejected, or waiting for a restart.

import (
	"slices"
	"strings"
	"sync"
	"time"

	"ivyridge/inventory"
	"ivyridge/yamlfile"
)

// instanceSpecific lists the settings that the hash leaves out, since each instance has its own.
var instanceSpecific = []string{
	"name", "data_centre", "listen.callers", "listen.ready", "listen.peers",
	"machine.cores", "machine.memory_mb", "machine.descriptors", pathFirstStart,
}

// pathFirstStart is the path of Settings.FirstStart, which says nothing after the start.
const pathFirstStart = "first_start"

const (
	sourceStart  = "start"
	sourceReload = "reload"
)

func reloadable(path string) bool {
	return strings.HasPrefix(path, "promises.") || path == "seeds" || path == "machine.memory_mb" || path == pathFirstStart
}

// status records the settings, version and readiness of this instance. It is safe for concurrent use.
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
	st := &status{build: inventory.ReadBuild(), started: now, source: sourceStart, effectiveSince: now}
	st.apply(yamlfile.Flatten(s))
	return st
}

// apply makes fields effective. The caller holds st.mu or has exclusive access to st.
func (st *status) apply(fields map[string]string) {
	st.fields = fields
	shared := make(map[string]string, len(fields))
	for path, value := range fields {
		if !slices.Contains(instanceSpecific, path) {
			shared[path] = value
		}
	}
	st.hash = inventory.HashFields(shared)
	st.hashText = inventory.HashText(st.hash)
}

// reload applies the reloadable settings of s. It returns the sorted paths of those that changed, and
// of changed settings that need a restart.
func (st *status) reload(s *Settings, now time.Time) (changed, pendingRestart []string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	fields := make(map[string]string, len(st.fields))
	for path, value := range yamlfile.Flatten(s) {
		previous := st.fields[path]
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
	st.rejection, st.rejectedAt, st.pendingRestart = "", time.Time{}, pendingRestart
	if len(changed) > 0 {
		st.source, st.effectiveSince = sourceReload, now
		st.apply(fields)
	}
	return changed, pendingRestart
}

func (st *status) reject(err error, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.rejection, st.rejectedAt = err.Error(), now
}

func (st *status) settingsHash() string {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.hashText
}

func (st *status) observe(version int64, ready bool, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.version.observe(version, now)
	st.ready.observe(ready, now)
}

func (st *status) summary(version int64, ready bool) inventory.Summary {
	st.mu.Lock()
	defer st.mu.Unlock()
	return inventory.Summary{
		Build: st.build.Hash(), Settings: st.hash, Version: version,
		Ready: ready, Rejected: st.rejection != "", NeedsRestart: len(st.pendingRestart) > 0,
	}
}

// detail sets the fields of d that st records.
func (st *status) detail(d *inventory.Detail, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	d.Build, d.InstanceSpecific = st.build, instanceSpecific
	d.Settings, d.Fields = st.hashText, st.fields
	d.SettingsBy, d.SettingsMS = st.source, inventory.Since(now, st.effectiveSince)
	d.PendingRestart = st.pendingRestart
	if st.rejection != "" {
		d.Rejected, d.RejectedMS = st.rejection, inventory.Since(now, st.rejectedAt)
	}
	d.VersionMS, d.ReadyMS = inventory.Since(now, st.version.since), inventory.Since(now, st.ready.since)
	d.Uptime = int64(now.Sub(st.started).Seconds())
}
