package belief

// This file holds which data centres operators want emptied.

import (
	"slices"

	"ivyridge/catalog"
)

// mostDataCentres bounds the data centres whose evacuations are kept: keys of the store
// may name any.
const mostDataCentres = 256

// applyEvacuations takes up the evacuations of u. The caller holds t.mu.
func (t *Table) applyEvacuations(u *Update, c *catalog.Catalog) (moved bool) {
	if u.Whole && u.Revision >= t.view.Load().Revision {
		moved = t.endAbsent(u, c)
	}
	for _, e := range u.Evacuations {
		moved = t.evacuate(e, c) || moved
	}
	return moved
}

// endAbsent ends the evacuations that are not among all that there are.
func (t *Table) endAbsent(u *Update, c *catalog.Catalog) (moved bool) {
	for dataCentre, known := range t.evacuations {
		there := slices.ContainsFunc(u.Evacuations, func(e Evacuation) bool { return e.DataCentre == dataCentre })
		if !there && !known.Over && known.Revision <= u.Revision {
			moved = t.evacuate(Evacuation{DataCentre: dataCentre, Revision: u.Revision, Over: true}, c) || moved
		}
	}
	return moved
}

// evacuate takes up one evacuation, or the end of one, unless more is known already.
func (t *Table) evacuate(e Evacuation, c *catalog.Catalog) (moved bool) {
	known, ok := t.evacuations[e.DataCentre]
	if ok && known.Revision >= e.Revision || !ok && len(t.evacuations) >= mostDataCentres {
		return false
	}
	t.evacuations[e.DataCentre] = e
	if e.Over != known.Over || !ok {
		t.touchAll(e.DataCentre)
	}
	if e.Over && !known.Over && ok {
		t.cool(e.DataCentre, c)
	}
	return e.Over != known.Over || !ok
}

// cool takes the endpoints of a data centre that was emptied for cold: they may have
// turned cold while nothing was sent there, and say so only with their next heartbeat.
// Sent all that looked free there, they fell over (30 requests a second where 24.5 are
// allowed).
func (t *Table) cool(dataCentre string, c *catalog.Catalog) {
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
			t.touched[e.ID] = true
		}
	}
}

// emptied reports whether operators want a data centre emptied. The caller holds t.mu.
func (t *Table) emptied(dataCentre string) bool {
	e, ok := t.evacuations[dataCentre]
	return ok && !e.Over
}

// evacuated returns the data centres that operators want emptied. The caller holds t.mu.
func (t *Table) evacuated() []string {
	var out []string
	for dataCentre := range t.evacuations {
		if t.emptied(dataCentre) {
			out = append(out, dataCentre)
		}
	}
	slices.Sort(out)
	return out
}

// touchAll has the endpoints of a data centre shown anew. The caller holds t.mu.
func (t *Table) touchAll(dataCentre string) {
	for id, e := range t.entries {
		if e.DataCentre == dataCentre {
			t.touched[id] = true
		}
	}
}
