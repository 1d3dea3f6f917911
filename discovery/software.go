package discovery

// This file remembers which software versions of a service were listed. An instance that has seen one
// version only knows which one began any stream of the service.

import (
	"time"

	"ivyridge/catalog"
)

const (
	// SoftwareWindow is how long a service must have had one version only. Streams that are still
	// taken up began within this time.
	SoftwareWindow = time.Minute
	// maxValidationGap is the longest time between validations without which a version may have
	// been listed unseen.
	maxValidationGap = 3 * time.Second
)

// A softwareHistory holds the versions listed within SoftwareWindow.
type softwareHistory struct {
	services    map[string]map[catalog.SoftwareID]*softwareUse
	validatedAt time.Time
	since       time.Time // start of the time without a longer gap between validations
}

type softwareUse struct {
	listed int       // endpoints
	lastAt time.Time // when the number last changed
}

func (h *softwareHistory) validated(at time.Time) {
	if h.since.IsZero() || at.Sub(h.validatedAt) > maxValidationGap {
		h.since = at
	}
	h.validatedAt = at
}

func (h *softwareHistory) add(e *entry, n int, now time.Time) {
	if h.services == nil {
		h.services = make(map[string]map[catalog.SoftwareID]*softwareUse)
	}
	uses := h.services[e.Service]
	if uses == nil {
		uses = make(map[catalog.SoftwareID]*softwareUse)
		h.services[e.Service] = uses
	}
	id := e.SoftwareID()
	if uses[id] == nil {
		uses[id] = new(softwareUse)
	}
	uses[id].listed += n
	uses[id].lastAt = now
}

// recordSoftware records that an entry was replaced by another; either may be nil. The caller holds
// t.mu.
func (t *Table) recordSoftware(before, after *entry) {
	now := t.now()
	if before != nil {
		t.software.add(before, -1, now)
	}
	if after != nil {
		t.software.add(after, 1, now)
	}
}

// OnlySoftware returns the software version that all endpoints of a service have had within
// SoftwareWindow. It reports false if there were several, or the table cannot tell.
func (t *Table) OnlySoftware(service string) (only catalog.SoftwareID, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, h := t.now(), &t.software
	if h.since.IsZero() || now.Sub(h.since) < SoftwareWindow || now.Sub(h.validatedAt) > maxValidationGap {
		return 0, false
	}
	for id, use := range h.services[service] {
		switch {
		case use.listed == 0 && now.Sub(use.lastAt) > SoftwareWindow:
			delete(h.services[service], id)
		case only != 0:
			return 0, false
		default:
			only = id
		}
	}
	return only, only != 0
}
