package belief

// This file keeps the entries of endpoints: which update changes which, and for how long one
// that went while the store was in trouble is kept.

import "time"

// graceFor is how long an entry that went in trouble is remembered: an
// endpoint that lives has published itself anew by then.
const graceFor = 2 * time.Second

type entry struct {
	Record
	graceUntil time.Time // zero while the entry is there
	coldUntil  time.Time // zero if it was not cold
}

func (t *Table) applyEndpoints(u *Update) (moved bool) {
	if u.Whole && u.Revision >= t.view.Load().Revision {
		moved = t.dropAbsent(u)
		defer t.changes.startAt(t.taking)
	}
	for i := range u.Present {
		r := &u.Present[i]
		e := t.entries[r.ID]
		if e != nil && e.Revision >= r.Revision && e.graceUntil.IsZero() {
			continue
		}
		if e != nil && e.Revision > r.Revision || t.departed[r.ID].revision > r.Revision {
			continue
		}
		next := t.enter(r)
		switch {
		case e == nil:
		case r.Born == 0:
			next.Born = e.Born // told by an instance that does not know births
		case r.Born < e.Born:
			continue // an earlier process wrote that, however late it was taken
		}
		delete(t.lapsed, r.ID)
		t.set(next)
		moved = true
	}
	for _, d := range u.Gone {
		t.depart(d)
		e := t.entries[d.ID]
		switch {
		case e == nil || e.Revision >= d.Revision:
		case d.Replaced:
			t.drop(e)
			moved = true
		case e.graceUntil.IsZero():
			t.remove(e)
			moved = true
		}
	}
	return t.forget() || moved
}

// departedFor is how long the departure of an endpoint is remembered: longer than a call to
// the store or to another instance lasts.
const departedFor = 40 * time.Second

// A departure is when an endpoint went: an answer that was given before may come later, and
// tell of its entry.
type departure struct {
	revision int64
	at       time.Time
	replaced bool // see Departure
}

// depart remembers a departure. The caller holds t.mu.
func (t *Table) depart(d Departure) {
	if d.Revision > t.departed[d.ID].revision {
		t.departed[d.ID] = departure{revision: d.Revision, at: t.now(), replaced: d.Replaced}
	}
}

// enter returns the entry of a record. How long its endpoint is still cold counts from
// now, not from when that was told: rather too long than too short.
func (t *Table) enter(r *Record) *entry {
	e := &entry{Record: *r}
	if r.ColdLeft > 0 {
		e.coldUntil = t.now().Add(r.ColdLeft)
	}
	return e
}

func (t *Table) dropAbsent(u *Update) (moved bool) {
	present := make(map[string]bool, len(u.Present))
	for i := range u.Present {
		present[u.Present[i].ID] = true
	}
	for id, e := range t.entries {
		if !present[id] && e.Revision <= u.Revision && e.graceUntil.IsZero() {
			t.depart(Departure{ID: id, Revision: u.Revision})
			t.remove(e)
			moved = true
		}
	}
	return moved
}

// remove drops an entry that went, or keeps it as lapsed if the store is or
// was just in trouble. One that said it leaves has left.
func (t *Table) remove(e *entry) {
	if t.troubled() && !e.Draining {
		t.touch(e.ID)
		t.digest ^= e.digest()
		e.graceUntil = t.now().Add(graceFor)
		t.lapsed[e.ID] = e
		return
	}
	t.drop(e)
}

// tidyEvery is the least pause between two looks for departures that may be forgotten.
const tidyEvery = time.Second

func (t *Table) forget() (moved bool) {
	now := t.now()
	if now.Sub(t.tidied) > tidyEvery {
		t.tidied = now
		for id, d := range t.departed {
			if now.Sub(d.at) > departedFor {
				delete(t.departed, id)
			}
		}
	}
	for _, e := range t.lapsed {
		if now.After(e.graceUntil) {
			t.drop(e)
			moved = true
		}
	}
	return moved
}

// told returns the entry's record as it is told to other instances.
func (e *entry) told(now time.Time) Record {
	r := e.Record
	r.ColdLeft = max(0, e.coldUntil.Sub(now))
	return r
}
