package discovery

// This file builds the endpoint lists of a View from the entries of a Table. Endpoints that did
// not change are shared with the previous View, so that a change costs little more than copying
// one slice of pointers.

import (
	"sort"
	"strings"
)

// putEntry adds an entry or replaces the one with the same ID. The caller holds t.mu.
func (t *Table) putEntry(e *entry) {
	t.markChanged(e.ID)
	if before := t.entries[e.ID]; before != nil {
		t.digest ^= before.digest()
	}
	t.digest ^= e.digest()
	t.entries[e.ID] = e
}

// deleteEntry removes an entry. The caller holds t.mu.
func (t *Table) deleteEntry(e *entry) {
	t.markChanged(e.ID)
	t.digest ^= e.digest()
	delete(t.entries, e.ID)
	delete(t.inGrace, e.ID)
}

// markChanged adds an endpoint to the change log and has it rebuilt in the next view. The caller
// holds t.mu.
func (t *Table) markChanged(id string) {
	t.dirty[id] = true
	t.changeLog.add(id, t.nextRevision, t.now())
}

// buildEndpoints returns the endpoints of the next view by service, given those of the current
// one. The caller holds t.mu.
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

// An endpointEdit sets or removes an endpoint in a list.
type endpointEdit struct {
	id       string
	endpoint *Endpoint // nil: remove it
}

type endpointEdits []endpointEdit

// collectEdits returns the edits to the list of each service. The caller holds t.mu.
func (t *Table) collectEdits() map[string]endpointEdits {
	out := make(map[string]endpointEdits)
	for id := range t.dirty {
		shown, e := t.viewEndpoints[id], t.entries[id]
		if shown != nil && (e == nil || e.Service != shown.Service) {
			out[shown.Service] = append(out[shown.Service], endpointEdit{id: id})
		}
		if e == nil {
			delete(t.viewEndpoints, id)
			continue
		}
		next := &Endpoint{
			Endpoint: e.Endpoint, incarnation: e.Incarnation(), rank: hashRank(id), GraceUntil: e.graceUntil, ColdUntil: e.coldUntil, Evacuated: t.isEvacuated(e.DataCentre),
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
