package discovery

// This file tracks which data centres operators want evacuated.

import (
	"slices"

	"ivyridge/catalog"
)

// maxEvacuations bounds memory, as keys in the store may contain arbitrary data centre names.
const maxEvacuations = 256

// applyEvacuations applies the evacuations of u and reports whether any changed. t.mu must be held.
func (t *Table) applyEvacuations(u *Update, c *catalog.Catalog) (changed bool) {
	if u.Full && u.Revision >= t.view.Load().Revision {
		changed = t.endMissingEvacuations(u, c)
	}
	for _, e := range u.Evacuations {
		changed = t.applyEvacuation(e, c) || changed
	}
	return changed
}

func (t *Table) endMissingEvacuations(u *Update, c *catalog.Catalog) (changed bool) {
	for dataCentre, known := range t.evacuations {
		present := slices.ContainsFunc(u.Evacuations, func(e Evacuation) bool { return e.DataCentre == dataCentre })
		if !present && !known.Ended && known.Revision <= u.Revision {
			changed = t.applyEvacuation(Evacuation{DataCentre: dataCentre, Revision: u.Revision, Ended: true}, c) || changed
		}
	}
	return changed
}

// applyEvacuation stores the start or end of an evacuation unless a newer one is known.
func (t *Table) applyEvacuation(e Evacuation, c *catalog.Catalog) (changed bool) {
	known, ok := t.evacuations[e.DataCentre]
	if ok && known.Revision >= e.Revision || !ok && len(t.evacuations) >= maxEvacuations {
		return false
	}
	t.evacuations[e.DataCentre] = e
	if e.Ended != known.Ended || !ok {
		t.markDataCentreDirty(e.DataCentre)
	}
	if e.Ended && !known.Ended && ok {
		t.markCold(e.DataCentre, c)
	}
	return e.Ended != known.Ended || !ok
}

// markCold treats the endpoints of a data centre as cold after its evacuation. They may have become
// cold without requests, and report it only with their next heartbeat.
func (t *Table) markCold(dataCentre string, c *catalog.Catalog) {
	if c == nil {
		return
	}
	now := t.now()
	for _, e := range t.entries {
		service := c.Service(e.Service)
		if e.DataCentre != dataCentre || service == nil || service.ColdRate <= 0 {
			continue
		}
		if until := now.Add(service.ColdFor); until.After(e.coldUntil) {
			e.coldUntil = until
			t.dirty[e.ID] = true
		}
	}
}

// The caller holds t.mu.
func (t *Table) isEvacuated(dataCentre string) bool {
	e, ok := t.evacuations[dataCentre]
	return ok && !e.Ended
}

// evacuatedDataCentres returns the evacuated data centres, sorted. The caller holds t.mu.
func (t *Table) evacuatedDataCentres() []string {
	var out []string
	for dataCentre := range t.evacuations {
		if t.isEvacuated(dataCentre) {
			out = append(out, dataCentre)
		}
	}
	slices.Sort(out)
	return out
}

// markDataCentreDirty schedules a rebuild of a data centre's endpoints. The caller holds t.mu.
func (t *Table) markDataCentreDirty(dataCentre string) {
	for id, e := range t.entries {
		if e.DataCentre == dataCentre {
			t.dirty[id] = true
		}
	}
}
