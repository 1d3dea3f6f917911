// Package resume remembers which software version began each event stream.
//
// Endpoints of several software versions may serve one service, and a stream that breaks off may go on
// only at the version that began it. Its caller may take it up at any instance, often because the first
// one has died, so each instance holds records of streams that others relay; package gossip exchanges
// them. A stream is identified by the ID of the request that brought its first event, or by the content of
// that request.
//
// The package does no I/O, and times are passed in. A Table is safe for concurrent use.
package resume

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ivyridge/catalog"
)

const (
	// MinTTL is the least time that a record is kept.
	MinTTL = 30 * time.Second
	// maxTTL is the longest time that a record is kept.
	maxTTL = 10 * time.Minute
	// maxRecords bounds a table, of about 50 bytes a record.
	maxRecords = 1 << 16
	// pruneInterval is the time between removals of expired records.
	pruneInterval = 5 * time.Second
)

// A StreamID identifies a stream.
type StreamID uint64

// ID returns the ID of the stream whose first event the request with the given ID brought.
func ID(request string) StreamID { return StreamID(xxhash.Sum64String(request)) }

// A record says which version began a stream. Conflicting reports leave it unknown, that is, zero.
type record struct {
	software catalog.SoftwareID
	expires  time.Time
	received bool // from another instance
}

// A Table holds the records of one instance. Use NewTable to create one.
type Table struct {
	since time.Time // see NewTable

	mu        sync.Mutex
	records   map[StreamID]record
	nextPrune time.Time
}

// NewTable returns an empty Table. Since is when the instance began to keep records; zero: no stream began
// before.
func NewTable(since time.Time) *Table {
	return &Table{since: since, records: make(map[StreamID]record)}
}

// Record records that software began a stream that this instance relays, for ttl. A second version, or
// zero, makes the stream's version unknown for good.
func (t *Table) Record(now time.Time, stream StreamID, software catalog.SoftwareID, ttl time.Duration) {
	t.record(now, stream, record{software: software}, ttl)
}

// Receive records what another instance has sent, as Record does.
func (t *Table) Receive(now time.Time, stream StreamID, software catalog.SoftwareID, ttl time.Duration) {
	t.record(now, stream, record{software: software, received: true}, ttl)
}

func (t *Table) record(now time.Time, stream StreamID, latest record, ttl time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	r, known := t.records[stream]
	if !known && len(t.records) >= maxRecords {
		return
	}
	if known && r.software != latest.software {
		latest.software = 0
	}
	latest.received = latest.received || r.received
	latest.expires = now.Add(clampTTL(ttl))
	if r.expires.After(latest.expires) {
		latest.expires = r.expires
	}
	t.records[stream] = latest
}

func clampTTL(ttl time.Duration) time.Duration { return min(max(ttl, MinTTL), maxTTL) }

// Software returns the version that began a stream; zero if it is not known. Held reports whether
// there is a record of the stream.
func (t *Table) Software(now time.Time, stream StreamID) (software catalog.SoftwareID, held bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, held := t.records[stream]
	if !held || !now.Before(r.expires) {
		return 0, false
	}
	return r.software, true
}

// Covers reports whether the table may hold all that was recorded of a stream which began up to ttl ago. It
// can't if the instance started since. Nor can the instance that began the stream if no other one has sent
// it a record of the stream, since it may not be among those that get them.
func (t *Table) Covers(now time.Time, stream StreamID, ttl time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records[stream].received && t.ReachesBack(now, ttl)
}

// ReachesBack reports whether the instance has kept records for ttl, or since the first stream.
func (t *Table) ReachesBack(now time.Time, ttl time.Duration) bool {
	return t.since.IsZero() || now.Sub(t.since) >= clampTTL(ttl)
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// prune removes expired records now and then. The caller holds t.mu.
func (t *Table) prune(now time.Time) {
	if now.Before(t.nextPrune) {
		return
	}
	t.nextPrune = now.Add(pruneInterval)
	for stream, r := range t.records {
		if !now.Before(r.expires) {
			delete(t.records, stream)
		}
	}
}
