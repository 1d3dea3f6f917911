package discovery

// This file records recent endpoint changes, so that an instance can be sent a delta. Sending
// thousands of endpoints at each change would saturate a small machine during a rolling release.

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Instances that are further behind than these limits receive the full state.
	maxChangeLogEntries = 8192
	changeLogTTL        = tombstoneTTL / 2
)

// A change records that an endpoint was added, changed or deleted.
type change struct {
	id       string
	revision int64 // of the first view that contains the change
	at       time.Time
}

// A changeLog holds the most recent changes, oldest first.
type changeLog struct {
	entries      []change
	baseRevision int64 // the log contains all changes after this revision
}

func (c *changeLog) add(id string, revision int64, now time.Time) {
	if n := len(c.entries); n > 0 && c.entries[n-1].id == id && c.entries[n-1].revision == revision {
		return
	}
	c.entries = append(c.entries, change{id, revision, now})
}

func (c *changeLog) trim(now time.Time) {
	n := max(0, len(c.entries)-maxChangeLogEntries)
	for n < len(c.entries) && now.Sub(c.entries[n].at) > changeLogTTL {
		n++
	}
	if n == 0 {
		return
	}
	c.baseRevision = max(c.baseRevision, c.entries[n-1].revision)
	c.entries = c.entries[n:] // append reclaims the space when it reallocates
}

// reset empties the log. Changes up to revision are then unknown.
func (c *changeLog) reset(revision int64) {
	c.entries = nil
	c.baseRevision = revision
}

// after returns the distinct IDs changed after revision. ok is false if the log starts later.
func (c *changeLog) after(revision int64) (ids []string, ok bool) {
	if revision < c.baseRevision {
		return nil, false
	}
	seen := make(map[string]bool)
	for i := len(c.entries) - 1; i >= 0 && c.entries[i].revision > revision; i-- {
		if id := c.entries[i].id; !seen[id] {
			seen[id] = true
			ids = append(ids, id)
		}
	}
	return ids, true
}

// Since returns the changes after revision, for an instance that has all changes up to it. ok is
// false if revision is not positive or precedes the change log.
func (t *Table) Since(revision int64) (u *Update, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids, ok := t.changeLog.after(revision)
	if !ok || revision <= 0 {
		return nil, false
	}
	u = t.newUpdate()
	now := t.now()
	for _, id := range ids {
		if e := t.entries[id]; e != nil && e.graceUntil.IsZero() {
			u.Endpoints = append(u.Endpoints, e.record(now))
		} else if d, deleted := t.tombstones[id]; deleted {
			u.Deleted = append(u.Deleted, Deletion{ID: id, Revision: d.revision, Replaced: d.replaced})
		}
	}
	return u, true
}

// Digest returns the revision of the current view, and a hash of the IDs and revisions of all
// endpoints listed in it, without those in their grace period.
func (t *Table) Digest() (revision int64, digest uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.Load().Revision, t.digest
}

// digest returns the entry's hash, or zero in its grace period. Table.digest is the xor of these.
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
