package discovery

// This file tracks which data centres operators want evacuated.

import (
	"slices"

	"ivyridge/catalog"
)

// maxEvacuations bounds the number of data centres whose evacuations are kept, since keys in
// the store may contain arbitrary names.
const maxEvacuations = 256

// applyEvacuations applies the evacuations of u. The caller holds t.mu.
func (t *Table) applyEvacuations(u *Update, c *catalog.Catalog) (changed bool) {
	if u.Full && u.Revision >= t.view.Load().Revision {
		changed = t.endMissingEvacuations(u, c)
	}
	for _, e := range u.Evacuations {
		changed = t.applyEvacuation(e, c) || changed
	}
	return changed
}

// endMissingEvacuations ends the evacuations that a full update does not contain.
func (t *Table) endMissingEvacuations(u *Update, c *catalog.Catalog) (changed bool) {
	for dataCentre, known := range t.evacuations {
		present := slices.ContainsFunc(u.Evacuations, func(e Evacuation) bool { return e.DataCentre == dataCentre })
		if !present && !known.Over && known.Revision <= u.Revision {
			changed = t.applyEvacuation(Evacuation{DataCentre: dataCentre, Revision: u.Revision, Over: true}, c) || changed
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
	if e.Over != known.Over || !ok {
		t.markDataCentreDirty(e.DataCentre)
	}
	if e.Over && !known.Over && ok {
		t.markCold(e.DataCentre, c)
	}
	return e.Over != known.Over || !ok
}

// markCold treats the endpoints of a data centre whose evacuation ended as cold. They may have
// become cold while they received no requests, and report so only with their next heartbeat;
// sending to all slots that look free until then would overload them.
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

// isEvacuated reports whether operators want a data centre evacuated. The caller holds t.mu.
func (t *Table) isEvacuated(dataCentre string) bool {
	e, ok := t.evacuations[dataCentre]
	return ok && !e.Over
}

// evacuatedDataCentres returns the data centres that operators want evacuated, sorted. The caller
// holds t.mu.
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

// markDataCentreDirty has the endpoints of a data centre rebuilt in the next view. The caller
// holds t.mu.
func (t *Table) markDataCentreDirty(dataCentre string) {
	for id, e := range t.entries {
		if e.DataCentre == dataCentre {
			t.dirty[id] = true
		}
	}
}
