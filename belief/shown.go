package belief

// This file makes the endpoints of a View from the entries of a Table. Those that did not change
// are shared with the View before it, so that a change costs little beside the copy of one list of
// pointers.

import (
	"sort"
	"strings"
)

// set puts an entry in place of that of the same ID. The caller holds t.mu.
func (t *Table) set(e *entry) {
	t.touch(e.ID)
	if before := t.entries[e.ID]; before != nil {
		t.digest ^= before.digest()
	}
	t.digest ^= e.digest()
	t.entries[e.ID] = e
}

// drop removes an entry. The caller holds t.mu.
func (t *Table) drop(e *entry) {
	t.touch(e.ID)
	t.digest ^= e.digest()
	delete(t.entries, e.ID)
	delete(t.lapsed, e.ID)
}

// touch notes that an endpoint has to be shown anew, and told to those who know it. The caller
// holds t.mu.
func (t *Table) touch(id string) {
	t.touched[id] = true
	t.changes.add(id, t.taking, t.now())
}

// show returns the endpoints by service, as the entries say. The caller holds t.mu.
func (t *Table) show(before map[string][]*Endpoint) map[string][]*Endpoint {
	if len(t.touched) == 0 {
		return before
	}
	edits := t.edits()
	after := make(map[string][]*Endpoint, len(before))
	for service, endpoints := range before {
		if edits[service] == nil {
			after[service] = endpoints
		}
	}
	for service, e := range edits {
		if edited := e.apply(before[service]); len(edited) > 0 {
			after[service] = edited
		}
	}
	clear(t.touched)
	return after
}

// An edit puts an endpoint into a list, or takes it out.
type edit struct {
	id       string
	endpoint *Endpoint // nil: it is taken out
}

type edits []edit

// edits returns what changes in the lists of services. The caller holds t.mu.
func (t *Table) edits() map[string]edits {
	out := make(map[string]edits)
	for id := range t.touched {
		shown, e := t.shown[id], t.entries[id]
		if shown != nil && (e == nil || e.Service != shown.Service) {
			out[shown.Service] = append(out[shown.Service], edit{id: id})
		}
		if e == nil {
			delete(t.shown, id)
			continue
		}
		next := &Endpoint{
			Endpoint: e.Endpoint, incarnation: e.Incarnation(), rank: rank(id), GraceUntil: e.graceUntil, ColdUntil: e.coldUntil, Evacuated: t.emptied(e.DataCentre),
		}
		t.shown[id] = next
		out[e.Service] = append(out[e.Service], edit{id: id, endpoint: next})
	}
	for _, of := range out {
		sort.Slice(of, func(i, j int) bool { return of[i].id < of[j].id })
	}
	return out
}

// apply returns a list, which is ordered by ID, with the edits, which are too.
func (e edits) apply(list []*Endpoint) []*Endpoint {
	out := make([]*Endpoint, 0, len(list)+len(e))
	for _, one := range e {
		at, there := sort.Find(len(list), func(i int) int { return strings.Compare(one.id, list[i].ID) })
		out = append(out, list[:at]...)
		if there {
			at++
		}
		list = list[at:]
		if one.endpoint != nil {
			out = append(out, one.endpoint)
		}
	}
	return append(out, list...)
}
