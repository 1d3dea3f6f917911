package belief

// This file remembers which endpoints changed of late, so that an instance which knows most of
// them is told the others only. A list of thousands of endpoints that is passed on whole at each
// change keeps a small machine busy with nothing else while endpoints are released.

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// changesKept bounds the changes that are remembered, and changesFor the time. Whoever
	// knows less is told everything.
	changesKept = 8192
	changesFor  = departedFor / 2
)

// A change says that an endpoint changed.
type change struct {
	id       string
	revision int64 // of the view that first had it
	at       time.Time
}

// changes are the last changes, oldest first.
type changes struct {
	kept  []change
	since int64 // all changes after that revision are kept
}

// add remembers a change.
func (c *changes) add(id string, revision int64, now time.Time) {
	if n := len(c.kept); n > 0 && c.kept[n-1].id == id && c.kept[n-1].revision == revision {
		return
	}
	c.kept = append(c.kept, change{id, revision, now})
}

// trim drops what is too old, or too many.
func (c *changes) trim(now time.Time) {
	n := max(0, len(c.kept)-changesKept)
	for n < len(c.kept) && now.Sub(c.kept[n].at) > changesFor {
		n++
	}
	if n == 0 {
		return
	}
	c.since = max(c.since, c.kept[n-1].revision)
	c.kept = c.kept[n:] // append moves them, now and then
}

// startAt drops all changes: what came before the revision is not known one by one.
func (c *changes) startAt(revision int64) {
	c.kept = nil
	c.since = revision
}

// after returns the IDs of endpoints that changed after a revision, each once. Ok is false if not
// all are known.
func (c *changes) after(revision int64) (ids []string, ok bool) {
	if revision < c.since {
		return nil, false
	}
	seen := make(map[string]bool)
	for i := len(c.kept) - 1; i >= 0 && c.kept[i].revision > revision; i-- {
		if id := c.kept[i].id; !seen[id] {
			seen[id] = true
			ids = append(ids, id)
		}
	}
	return ids, true
}

// Since returns what changed after a revision as an Update for another instance that knows
// everything up to there. Ok is false if that is not known any more, or there is nothing older.
func (t *Table) Since(revision int64) (u *Update, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids, ok := t.changes.after(revision)
	if !ok || revision <= 0 {
		return nil, false
	}
	u = t.update()
	now := t.now()
	for _, id := range ids {
		if e := t.entries[id]; e != nil && e.graceUntil.IsZero() {
			u.Present = append(u.Present, e.told(now))
		} else if d, departed := t.departed[id]; departed {
			u.Gone = append(u.Gone, Departure{ID: id, Revision: d.revision, Replaced: d.replaced})
		}
	}
	return u, true
}

// Digest returns one of all endpoints that are listed, with the revision of the view that they
// belong to: two instances that list the same have the same.
func (t *Table) Digest() (revision int64, digest uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.Load().Revision, t.digest
}

// digest returns that of one entry. Those of several are combined by xor, so that one that
// changes is taken out and put in alone.
func (e *entry) digest() uint64 {
	if !e.graceUntil.IsZero() {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(e.ID)
	var revision [8]byte
	binary.LittleEndian.PutUint64(revision[:], uint64(e.Revision))
	_, _ = d.Write(revision[:])
	return d.Sum64()
}
