package discovery

// This file applies endpoint changes to a Table.

import "time"

// gracePeriod is how long an entry that disappeared during a store outage is kept. An endpoint
// that is alive publishes itself again within that time.
const gracePeriod = 2 * time.Second

type entry struct {
	Record
	graceUntil time.Time // zero while the entry is listed
	coldUntil  time.Time // zero if the endpoint was warm
}

func (t *Table) applyEndpointChanges(u *Update) (changed bool) {
	if u.Full && u.Revision >= t.view.Load().Revision {
		changed = t.removeMissing(u)
		defer t.changeLog.reset(t.nextRevision)
	}
	for i := range u.Endpoints {
		r := &u.Endpoints[i]
		e := t.entries[r.ID]
		if e != nil && e.Revision >= r.Revision && e.graceUntil.IsZero() {
			continue
		}
		if e != nil && e.Revision > r.Revision || t.tombstones[r.ID].revision > r.Revision {
			continue
		}
		next := t.newEntry(r)
		switch {
		case e == nil:
		case r.Born == 0:
			next.Born = e.Born // forwarded by an instance whose build omits start times
		case r.Born < e.Born:
			continue // written by an earlier process, though stored later
		}
		delete(t.inGrace, r.ID)
		t.putEntry(next)
		changed = true
	}
	for _, d := range u.Deleted {
		t.recordTombstone(d)
		e := t.entries[d.ID]
		switch {
		case e == nil || e.Revision >= d.Revision:
		case d.Replaced:
			t.deleteEntry(e)
			changed = true
		case e.graceUntil.IsZero():
			t.removeEntry(e)
			changed = true
		}
	}
	return t.sweep() || changed
}

// tombstoneTTL is how long a deletion is remembered. It exceeds the duration of a call to a source.
const tombstoneTTL = 40 * time.Second

// A tombstone records the deletion of an endpoint, so that an older, delayed response does not
// restore the entry.
type tombstone struct {
	revision int64
	at       time.Time
	replaced bool // see Deletion.Replaced
}

// recordTombstone stores a deletion unless a later one is known. The caller holds t.mu.
func (t *Table) recordTombstone(d Deletion) {
	if d.Revision > t.tombstones[d.ID].revision {
		t.tombstones[d.ID] = tombstone{revision: d.Revision, at: t.now(), replaced: d.Replaced}
	}
}

// newEntry counts the remaining warm-up time from now rather than from when it was sent, so that an
// endpoint is treated as cold rather too long than too short.
func (t *Table) newEntry(r *Record) *entry {
	e := &entry{Record: *r}
	if r.ColdLeft > 0 {
		e.coldUntil = t.now().Add(r.ColdLeft)
	}
	return e
}

func (t *Table) removeMissing(u *Update) (changed bool) {
	present := make(map[string]bool, len(u.Endpoints))
	for i := range u.Endpoints {
		present[u.Endpoints[i].ID] = true
	}
	for id, e := range t.entries {
		if !present[id] && e.Revision <= u.Revision && e.graceUntil.IsZero() {
			t.recordTombstone(Deletion{ID: id, Revision: u.Revision})
			t.removeEntry(e)
			changed = true
		}
	}
	return changed
}

// removeEntry deletes e or, during an outage and in the first update after it, starts its grace
// period. A draining endpoint has left on purpose and gets none.
func (t *Table) removeEntry(e *entry) {
	if t.storeUnavailable() && !e.Draining {
		t.markChanged(e.ID)
		t.digest ^= e.digest()
		e.graceUntil = t.now().Add(gracePeriod)
		t.inGrace[e.ID] = e
		return
	}
	t.deleteEntry(e)
}

const sweepInterval = time.Second

func (t *Table) sweep() (changed bool) {
	now := t.now()
	if now.Sub(t.lastSweep) > sweepInterval {
		t.lastSweep = now
		for id, d := range t.tombstones {
			if now.Sub(d.at) > tombstoneTTL {
				delete(t.tombstones, id)
			}
		}
	}
	for _, e := range t.inGrace {
		if now.After(e.graceUntil) {
			t.deleteEntry(e)
			changed = true
		}
	}
	return changed
}

// record returns the entry's record for other instances, with the remaining warm-up time at now.
func (e *entry) record(now time.Time) Record {
	r := e.Record
	r.ColdLeft = max(0, e.coldUntil.Sub(now))
	return r
}
