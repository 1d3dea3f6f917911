package discovery

// This file builds the endpoint lists of a View. Unchanged endpoints are shared with the previous
// View, so a change costs little more than copying one slice of pointers.

import (
	"sort"
	"strings"
)

// putEntry adds or replaces an entry. The caller holds t.mu.
func (t *Table) putEntry(e *entry) {
	t.markChanged(e.ID)
	if old := t.entries[e.ID]; old != nil {
		t.digest ^= old.digest()
	}
	t.digest ^= e.digest()
	t.recordSoftware(t.entries[e.ID], e)
	t.entries[e.ID] = e
}

// The caller holds t.mu.
func (t *Table) deleteEntry(e *entry) {
	t.markChanged(e.ID)
	t.digest ^= e.digest()
	t.recordSoftware(e, nil)
	delete(t.entries, e.ID)
	delete(t.inGrace, e.ID)
}

// markChanged adds endpoint id to the change log and schedules its rebuild. The caller holds t.mu.
func (t *Table) markChanged(id string) {
	t.dirty[id] = true
	t.changeLog.add(id, t.nextRevision, t.now())
}

// buildEndpoints returns the endpoints of the next view by service. The caller holds t.mu.
func (t *Table) buildEndpoints(before map[string][]*Endpoint) map[string][]*Endpoint {
	if len(t.dirty) == 0 {
		return before
	}
	edits := t.collectEdits()
	after := make(map[string][]*Endpoint, len(before))
	for service, endpoints := range before {
		if edits[service] == nil {
			after[service] = endpoints
		}
	}
	for service, serviceEdits := range edits {
		if edited := serviceEdits.apply(before[service]); len(edited) > 0 {
			after[service] = edited
		}
	}
	clear(t.dirty)
	return after
}

type endpointEdit struct {
	id       string
	endpoint *Endpoint // nil: remove the endpoint
}

type endpointEdits []endpointEdit

// collectEdits returns the edits of each service's list, sorted by ID. The caller holds t.mu.
func (t *Table) collectEdits() map[string]endpointEdits {
	out := make(map[string]endpointEdits)
	for id := range t.dirty {
		current, e := t.viewEndpoints[id], t.entries[id]
		if current != nil && (e == nil || e.Service != current.Service) {
			out[current.Service] = append(out[current.Service], endpointEdit{id: id})
		}
		if e == nil {
			delete(t.viewEndpoints, id)
			continue
		}
		next := &Endpoint{
			Endpoint: e.Endpoint, incarnation: e.Incarnation(), rank: hashRank(id), software: e.SoftwareID(), GraceUntil: e.graceUntil, ColdUntil: e.coldUntil, Evacuated: t.isEvacuated(e.DataCentre),
		}
		t.viewEndpoints[id] = next
		out[e.Service] = append(out[e.Service], endpointEdit{id: id, endpoint: next})
	}
	for _, serviceEdits := range out {
		sort.Slice(serviceEdits, func(i, j int) bool { return serviceEdits[i].id < serviceEdits[j].id })
	}
	return out
}

// apply returns a copy of list with the edits applied. Both are sorted by ID.
func (edits endpointEdits) apply(list []*Endpoint) []*Endpoint {
	out := make([]*Endpoint, 0, len(list)+len(edits))
	for _, edit := range edits {
		at, found := sort.Find(len(list), func(i int) int { return strings.Compare(edit.id, list[i].ID) })
		out = append(out, list[:at]...)
		if found {
			at++
		}
		list = list[at:]
		if edit.endpoint != nil {
			out = append(out, edit.endpoint)
		}
	}
	return append(out, list...)
}
