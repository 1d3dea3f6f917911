// Package discovery maintains an instance's local copy of the published configuration and endpoint
// list, and the time at which it was last validated, that is, known to contain every change.
//
// A validation is dated by when its request was sent, on a clock that also advances during
// suspension. Dating it by the response or the wall clock would make the state of an instance that
// was paused, or whose requests hang, look fresher than it is.
//
// A Table accepts Updates from the platform's store or from other instances, which forward their
// state with its age. It never reverts to an older version. It is safe for concurrent use.
package discovery

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"ivyridge/catalog"
)

// ErrCompacted is returned by Watch if the changes since the requested revision are no longer
// retained. The caller must load the full state.
var ErrCompacted = errors.New("changes since the requested revision are no longer retained")

// ErrOverloaded is returned by a Source that rejects the call because of load.
var ErrOverloaded = errors.New("source rejected the call because of load")

// A Record is an endpoint and the revision of its entry in the store.
type Record struct {
	catalog.Endpoint
	Revision int64
}

// A Deletion records that the entry of an endpoint was deleted at Revision.
type Deletion struct {
	ID       string
	Revision int64
	// Replaced is set if the entry was overwritten by a value that describes no endpoint. It is
	// then removed without a grace period.
	Replaced bool
}

// An Evacuation is an operator's order to send no new requests to a data centre, or its end.
type Evacuation struct {
	DataCentre string
	Revision   int64
	Ended      bool `json:"Over"` // the order was lifted
}

// An Update is a response of a Source.
type Update struct {
	Revision  int64 // the update covers all changes up to this revision
	Full      bool  // Endpoints and Evacuations are complete, not a delta
	Config    *catalog.Document
	Endpoints []Record
	Deleted   []Deletion

	Evacuations []Evacuation

	Digest uint64 // of all endpoints at Revision; zero if not sent

	ValidatedAt time.Time // when the state was last validated, on the receiver's clock

	Bytes        int           // size of the response body
	TransferTime time.Duration // from the response header to the end of the body
}

// A Query asks a Source for changes.
type Query struct {
	After int64         // return changes after this revision
	Wait  time.Duration // how long to wait for a change if there is none yet
	// Superseded, once closed, ends the wait with an error that matches fetch.ErrCanceled. A
	// response that has begun to arrive is still read: if it were requested again each time, a
	// large one would never complete while changes are frequent.
	Superseded <-chan struct{}
	// OnResponse, if set, is called once a response has begun to arrive.
	OnResponse func()
}

// A Source provides the published state. It is safe for concurrent use.
type Source interface {
	// Load returns the full state.
	Load(ctx context.Context) (*Update, error)
	// Watch returns the changes that q asks for as soon as there are any, or an Update without
	// changes after q.Wait.
	Watch(ctx context.Context, q Query) (*Update, error)
}

// An Endpoint is an endpoint as listed in a View.
type Endpoint struct {
	catalog.Endpoint
	// GraceUntil is set if the entry disappeared during a store outage. Until then the endpoint,
	// which may be alive, is tried if no other is available.
	GraceUntil time.Time
	// ColdUntil is the end of the warm-up, which is limited to the service's ColdRate; zero: warm.
	ColdUntil time.Time
	Evacuated bool // the data centre is evacuated

	incarnation string // computed when the view is built; empty: not yet
	rank        uint32 // valid if incarnation is set, like software
	software    catalog.SoftwareID
}

// SoftwareID returns the ID of the software that e runs.
func (e *Endpoint) SoftwareID() catalog.SoftwareID {
	if e.incarnation != "" {
		return e.software
	}
	return e.Endpoint.SoftwareID()
}

// Incarnation identifies the process of the endpoint; see catalog.Endpoint.
func (e *Endpoint) Incarnation() string {
	if e.incarnation != "" {
		return e.incarnation
	}
	return e.Endpoint.Incarnation()
}

// Rank returns a hash of the endpoint's ID, the same on all instances.
func (e *Endpoint) Rank() uint32 {
	if e.incarnation != "" {
		return e.rank
	}
	return hashRank(e.ID)
}

// hashRank uses the upper half of the hash; the lower half identifies endpoints in gossip.
func hashRank(id string) uint32 { return uint32(xxhash.Sum64String(id) >> 32) }

// Cold reports whether e is still warming up at now.
func (e *Endpoint) Cold(now time.Time) bool { return now.Before(e.ColdUntil) }

// RejectsNew reports whether e must not receive new requests.
func (e *Endpoint) RejectsNew() bool { return e.Draining || e.Evacuated }

// A View is an immutable snapshot of a Table.
type View struct {
	Catalog   *catalog.Catalog // nil until a configuration is received
	Revision  int64
	endpoints map[string][]*Endpoint
	evacuated []string
}

// Evacuated returns the evacuated data centres, sorted by name.
func (v *View) Evacuated() []string { return v.evacuated }

func (v *View) endpointCount(dataCentre string) (count int) {
	for _, endpoints := range v.endpoints {
		for _, e := range endpoints {
			if e.DataCentre == dataCentre {
				count++
			}
		}
	}
	return count
}

// Endpoints returns a service's endpoints, ordered by ID. The caller must not modify them.
func (v *View) Endpoints(service string) []*Endpoint { return v.endpoints[service] }

// Services calls visit for each service that has endpoints, in no particular order.
func (v *View) Services(visit func(service string, endpoints []*Endpoint)) {
	for service, endpoints := range v.endpoints {
		visit(service, endpoints)
	}
}

// A Table holds the current state of one instance.
type Table struct {
	now         func() time.Time
	epoch       time.Time
	view        atomic.Pointer[View]
	validatedAt atomic.Int64 // nanoseconds after epoch; zero: never
	outageSince atomic.Int64 // start of the store outage, in nanoseconds after epoch; zero: none

	// applyMu serializes updates. mu is not held while a configuration is compiled, which takes
	// tens of milliseconds, since gossip needs it to read and renew the validation time.
	applyMu         sync.Mutex
	compileFunc     func(catalog.Document) (*catalog.Catalog, error)
	rejectedVersion int64 // the newest version that failed to compile

	mu            sync.Mutex
	entries       map[string]*entry
	tombstones    map[string]tombstone // recent deletions, by ID
	lastSweep     time.Time            // when expired tombstones were last removed
	inGrace       map[string]*entry    // the entries that are in their grace period
	viewEndpoints map[string]*Endpoint // endpoints of the current view, by ID
	dirty         map[string]bool      // IDs of endpoints to rebuild in the next view
	nextRevision  int64                // the revision of the next view
	changeLog     changeLog
	digest        uint64 // of entries
	// evacuations includes ended ones, so that a delayed message can't restart them.
	evacuations map[string]Evacuation
	changed     chan struct{} // closed and replaced at every change
	software    softwareHistory
}

// NewTable returns an empty Table that uses now as its clock, which must never go back.
func NewTable(now func() time.Time) *Table {
	t := &Table{
		now: now, epoch: now().Add(-time.Nanosecond), compileFunc: catalog.Compile,
		entries: make(map[string]*entry), tombstones: make(map[string]tombstone), inGrace: make(map[string]*entry),
		viewEndpoints: make(map[string]*Endpoint), dirty: make(map[string]bool),
		evacuations: make(map[string]Evacuation), changed: make(chan struct{}),
	}
	t.view.Store(&View{})
	return t
}

// View returns the current view.
func (t *Table) View() *View { return t.view.Load() }

// Age returns the time since the last validation; ok is false if there was none.
func (t *Table) Age() (age time.Duration, ok bool) {
	validatedAt := t.validatedAt.Load()
	if validatedAt == 0 {
		return 0, false
	}
	return t.now().Sub(t.epoch) - time.Duration(validatedAt), true
}

// A Validation states that by the time At, no change after Revision had been made.
type Validation struct {
	Revision int64
	At       time.Time
}

// Validation returns the last validation and the current revision, read under one lock so that they
// belong together. ok is false if there was no validation.
func (t *Table) Validation() (v Validation, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	validatedAt := t.validatedAt.Load()
	return Validation{Revision: t.view.Load().Revision, At: t.epoch.Add(time.Duration(validatedAt))}, validatedAt != 0
}

// Changed returns a channel that is closed at the next change of the view.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// MergePeerValidation records another instance's validation. It has an effect only if the table has
// a configuration and is at revision or a later one.
func (t *Table) MergePeerValidation(revision int64, validatedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.view.Load().Catalog == nil {
		return
	}
	t.markValidated(revision, validatedAt)
}

// MarkStoreDown records that the store is unavailable. Entries that are missing when it is next read
// get a grace period.
func (t *Table) MarkStoreDown() { t.outageSince.CompareAndSwap(0, int64(t.now().Sub(t.epoch))) }

// detectOutage records an outage if the last validation is older than outageAge.
func (t *Table) detectOutage() {
	if age, ok := t.Age(); ok && age > outageAge {
		t.outageSince.CompareAndSwap(0, t.validatedAt.Load())
	}
}

// MarkStoreUp ends an outage. It must follow Apply, which grants grace periods during an outage.
func (t *Table) MarkStoreUp() { t.outageSince.Store(0) }

// storeUnavailable reports whether the store has been unavailable since it was last read.
func (t *Table) storeUnavailable() bool { return t.outageSince.Load() != 0 }

// validatedSinceOutage reports whether validatedAt is later than the start of the outage, if any.
func (t *Table) validatedSinceOutage(validatedAt time.Time) bool {
	return int64(validatedAt.Sub(t.epoch)) > t.outageSince.Load()
}

// Apply applies u. If the configuration in u is invalid, it returns an error, keeps the previous
// configuration, and still applies the other changes.
func (t *Table) Apply(u *Update) error {
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
	old := t.view.Load()
	config, err := t.compileConfig(old.Catalog, u.Config)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextRevision = max(u.Revision, old.Revision)
	changed := t.applyEndpointChanges(u)
	changed = t.applyEvacuations(u, config) || changed
	t.changeLog.trim(t.now())
	if changed || config != old.Catalog || u.Revision > old.Revision {
		t.view.Store(&View{Catalog: config, Revision: t.nextRevision, endpoints: t.buildEndpoints(old.endpoints), evacuated: t.evacuatedDataCentres()})
		close(t.changed)
		t.changed = make(chan struct{})
	}
	t.markValidated(u.Revision, u.ValidatedAt)
	return err
}

// markValidated records that at validatedAt, a source knew of no change after revision. It also
// counts if the table is at a later revision by now. Otherwise, the whole fleet would appear stale
// while changes arrive faster than responses.
func (t *Table) markValidated(revision int64, validatedAt time.Time) {
	if revision > t.view.Load().Revision {
		return
	}
	if at := int64(validatedAt.Sub(t.epoch)); at > t.validatedAt.Load() {
		t.software.validated(validatedAt)
		t.validatedAt.Store(at)
	}
}

func (t *Table) compileConfig(old *catalog.Catalog, d *catalog.Document) (*catalog.Catalog, error) {
	if d == nil || old != nil && d.Version <= old.Version() || d.Version == t.rejectedVersion && d.Version != 0 {
		return old, nil
	}
	c, err := t.compileFunc(*d)
	if err != nil {
		t.rejectedVersion = d.Version
		return old, err
	}
	return c, nil
}

// Snapshot returns the full state for another instance, without endpoints in their grace period.
func (t *Table) Snapshot() *Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.newUpdate()
	u.Full = true
	now := t.now()
	for _, e := range t.entries {
		if e.graceUntil.IsZero() {
			u.Endpoints = append(u.Endpoints, e.record(now))
		}
	}
	return u
}

// newUpdate returns an Update without endpoints. The caller holds t.mu.
func (t *Table) newUpdate() *Update {
	v := t.view.Load()
	u := &Update{Revision: v.Revision, Digest: t.digest, ValidatedAt: t.epoch.Add(time.Duration(t.validatedAt.Load()))}
	if v.Catalog != nil {
		u.Config = v.Catalog.Document()
	}
	for _, e := range t.evacuations {
		u.Evacuations = append(u.Evacuations, e)
	}
	return u
}

// HasIncarnation reports whether the process incarnation is listed or in its grace period.
func (t *Table) HasIncarnation(incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[incarnation]; e != nil && e.Incarnation() == incarnation {
		return true
	}
	at := strings.LastIndexByte(incarnation, '/')
	if at < 0 {
		return false
	}
	e := t.entries[incarnation[:at]]
	return e != nil && e.Incarnation() == incarnation
}
