// Package belief keeps what an instance believes about declarations and
// endpoints, each with the instant at which it was last proved true.
//
// A proof is dated by the sending of the call whose answer gave it, on the
// steady clock, never by the answer's arrival and never by the time of day.
// So an instance that was paused, or whose calls hang, knows how old its
// beliefs are. A Table takes Updates from any Source, the platform's store or
// another instance that passes its own beliefs on with their age, and never
// goes back to an older version.
//
// A Table is safe for concurrent use. Views are immutable.
package belief

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

// ErrHistoryGone is returned by Watch when changes since the revision asked
// for are no longer kept; the caller loads everything again.
var ErrHistoryGone = errors.New("history is gone")

// ErrBusy is returned by a source that turns calls away.
var ErrBusy = errors.New("the source turns calls away")

// A Record is an endpoint and the revision of its entry.
type Record struct {
	catalog.Endpoint
	Revision int64
}

// A Departure says that the entry of an endpoint went at a revision.
type Departure struct {
	ID       string
	Revision int64
	// Replaced is set where something that names no endpoint stands in its place: it has not
	// lapsed, whatever trouble the store is in.
	Replaced bool
}

// An Evacuation says that operators want nothing sent to the endpoints of a data centre
// any more, or that this is over.
type Evacuation struct {
	DataCentre string
	Revision   int64
	Over       bool
}

// An Update is an answer of a Source.
type Update struct {
	Revision int64 // all changes up to here are known after the update
	Whole    bool  // Present and Evacuations are all there are
	Config   *catalog.Document
	Present  []Record
	Gone     []Departure

	Evacuations []Evacuation

	Digest uint64 // of all endpoints at that revision; zero: not told

	Proved time.Time // on the receiver's steady clock

	Bytes   int           // of the answer's body
	Arrival time.Duration // from the answer's head to its end
}

// A Query asks a Source for changes.
type Query struct {
	After int64         // the revision after which they came
	Wait  time.Duration // for a change, where there is none yet
	// Overtaken, once closed, ends the wait with an error of
	// fetch.ErrAbandoned; nil: nothing does. An answer that has begun is read
	// to its end all the same: cut short, it would be asked for again, and a
	// large one never arrive while news is frequent.
	Overtaken <-chan struct{}
	// Begun, if set, is called once an answer has begun to arrive.
	Begun func()
}

// A Source tells what operators and endpoints have published. It is safe for
// concurrent use.
type Source interface {
	// Load returns everything.
	Load(ctx context.Context) (*Update, error)
	// Watch returns the changes that q asks for as soon as there are any, or
	// an Update without changes when its wait has passed.
	Watch(ctx context.Context, q Query) (*Update, error)
}

// An Endpoint is a believed endpoint.
type Endpoint struct {
	catalog.Endpoint
	// GraceUntil is set if its entry went while the store was in trouble, when
	// entries go though their endpoints live: until then the endpoint may
	// still be tried if there is no other.
	GraceUntil time.Time
	// ColdUntil is when it has been in service for long enough to bear any rate that
	// its slots do; before, it bears its service's ColdRate. Zero: it is not cold.
	ColdUntil time.Time
	// Evacuated is set while operators want its data centre emptied.
	Evacuated bool

	incarnation string // worked out once a view; empty: not yet
	rank        uint32 // the same, with incarnation
}

// Incarnation names the process of the endpoint; see catalog.Endpoint.
func (e *Endpoint) Incarnation() string {
	if e.incarnation != "" {
		return e.incarnation
	}
	return e.Endpoint.Incarnation()
}

// Rank returns a number that is drawn for the endpoint's ID, the same at all instances.
func (e *Endpoint) Rank() uint32 {
	if e.incarnation != "" {
		return e.rank
	}
	return rank(e.ID)
}

// rank draws a number for an ID. The upper half of the hash: the lower one names endpoints between
// instances.
func rank(id string) uint32 { return uint32(xxhash.Sum64String(id) >> 32) }

// Cold reports whether e is cold at now.
func (e *Endpoint) Cold(now time.Time) bool { return now.Before(e.ColdUntil) }

// Closed reports whether nothing new may be sent to e: it leaves, or its data centre is
// being emptied.
func (e *Endpoint) Closed() bool { return e.Draining || e.Evacuated }

// A View is what is believed at one instant.
type View struct {
	Catalog   *catalog.Catalog // nil until one is known
	Revision  int64
	endpoints map[string][]*Endpoint
	evacuated []string
}

// Evacuated returns the data centres that operators want emptied, in their order.
func (v *View) Evacuated() []string { return v.evacuated }

// endpointsIn returns how many endpoints a data centre has; zero also where nobody knows it.
func (v *View) endpointsIn(dataCentre string) (n int) {
	for _, endpoints := range v.endpoints {
		for _, e := range endpoints {
			if e.DataCentre == dataCentre {
				n++
			}
		}
	}
	return n
}

// Endpoints returns a service's endpoints, ordered by ID.
func (v *View) Endpoints(service string) []*Endpoint { return v.endpoints[service] }

// Services calls visit for each service that has endpoints.
func (v *View) Services(visit func(service string, endpoints []*Endpoint)) {
	for service, endpoints := range v.endpoints {
		visit(service, endpoints)
	}
}

// A Table holds the beliefs of one instance.
type Table struct {
	now     func() time.Time
	origin  time.Time
	view    atomic.Pointer[View]
	proved  atomic.Int64 // nanoseconds after origin; zero: never
	trouble atomic.Int64 // since when the store could not be read, as proved; zero: it could

	// applying is held while an update is taken up, mu only while what it changes is
	// replaced: to compile a large configuration takes tens of milliseconds, and gossip
	// reads and renews the proof meanwhile.
	applying sync.Mutex
	compiler func(catalog.Document) (*catalog.Catalog, error)
	invalid  int64 // the newest version that could not be compiled

	mu       sync.Mutex
	entries  map[string]*entry
	departed map[string]departure // by ID, of late
	tidied   time.Time            // when departed was last
	lapsed   map[string]*entry    // of entries, those in their grace period
	shown    map[string]*Endpoint // by ID, in the present view
	touched  map[string]bool      // IDs of endpoints that the next view shows anew
	taking   int64                // the revision of the next view
	changes  changes
	digest   uint64 // of entries
	// evacuations holds the last that is known of each data centre, also those that are
	// over: told again by whoever knows less, they must not begin anew.
	evacuations map[string]Evacuation
	changed     chan struct{} // closed and replaced at every change
}

// NewTable returns an empty Table over the steady clock now.
func NewTable(now func() time.Time) *Table {
	t := &Table{
		now: now, origin: now().Add(-time.Nanosecond), compiler: catalog.Compile,
		entries: make(map[string]*entry), departed: make(map[string]departure), lapsed: make(map[string]*entry),
		shown: make(map[string]*Endpoint), touched: make(map[string]bool),
		evacuations: make(map[string]Evacuation), changed: make(chan struct{}),
	}
	t.view.Store(&View{})
	return t
}

// View returns the present beliefs.
func (t *Table) View() *View { return t.view.Load() }

// Age returns how long ago the beliefs were proved; ok is false if never.
func (t *Table) Age() (age time.Duration, ok bool) {
	proved := t.proved.Load()
	if proved == 0 {
		return 0, false
	}
	return t.now().Sub(t.origin) - time.Duration(proved), true
}

// A Proof says that at an instant no change after a revision had been made.
type Proof struct {
	Revision int64
	At       time.Time
}

// Proof returns that of the beliefs; ok is false if they were never proved. Read
// one after the other, a revision and its age may not belong together.
func (t *Table) Proof() (p Proof, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	proved := t.proved.Load()
	return Proof{Revision: t.view.Load().Revision, At: t.origin.Add(time.Duration(proved))}, proved != 0
}

// Changed returns a channel that is closed at the next change of the view.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Confirm dates the beliefs by another instance's proof that no change after a
// revision had been made at an instant. Beliefs of that revision or of a later
// one hold all that was published until then.
func (t *Table) Confirm(revision int64, proved time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.view.Load().Catalog == nil {
		return
	}
	t.prove(revision, proved)
}

// Trouble records that the store could not be read. The entries that are
// missing when it is read again are taken for lapsed ones; those that go later
// have gone.
func (t *Table) Trouble() { t.trouble.CompareAndSwap(0, int64(t.now().Sub(t.origin))) }

// agedInTrouble records trouble since the last proof if that is older than troubleAge.
func (t *Table) agedInTrouble() {
	if age, proved := t.Age(); proved && age > troubleAge {
		t.trouble.CompareAndSwap(0, t.proved.Load())
	}
}

// Recovered records that the store was read again, after Apply.
func (t *Table) Recovered() { t.trouble.Store(0) }

// troubled reports whether the store could not be read, and was not since.
func (t *Table) troubled() bool { return t.trouble.Load() != 0 }

// readSince reports whether beliefs proved at an instant are such as were read from the
// store after its trouble began.
func (t *Table) readSince(proved time.Time) bool {
	return int64(proved.Sub(t.origin)) > t.trouble.Load()
}

// Apply takes up u. An error means that its configuration was kept out; the
// one in force stays, and endpoints are taken up all the same.
func (t *Table) Apply(u *Update) error {
	t.applying.Lock()
	defer t.applying.Unlock()
	old := t.view.Load()
	config, err := t.compile(old.Catalog, u.Config)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.taking = max(u.Revision, old.Revision)
	moved := t.applyEndpoints(u)
	moved = t.applyEvacuations(u, config) || moved
	t.changes.trim(t.now())
	if moved || config != old.Catalog || u.Revision > old.Revision {
		t.view.Store(&View{Catalog: config, Revision: t.taking, endpoints: t.show(old.endpoints), evacuated: t.evacuated()})
		close(t.changed)
		t.changed = make(chan struct{})
	}
	t.prove(u.Revision, u.Proved)
	return err
}

// prove dates the beliefs by a source that at the instant proved, or later, knew
// of no change after a revision. Later beliefs hold everything up to there as
// well: were they not dated, changes that follow each other faster than calls
// are answered would make the beliefs of the whole fleet look old.
func (t *Table) prove(revision int64, proved time.Time) {
	if revision > t.view.Load().Revision {
		return
	}
	if at := int64(proved.Sub(t.origin)); at > t.proved.Load() {
		t.proved.Store(at)
	}
}

func (t *Table) compile(old *catalog.Catalog, d *catalog.Document) (*catalog.Catalog, error) {
	if d == nil || old != nil && d.Version <= old.Version() || d.Version == t.invalid && d.Version != 0 {
		return old, nil
	}
	c, err := t.compiler(*d)
	if err != nil {
		t.invalid = d.Version
		return old, err
	}
	return c, nil
}

// Snapshot returns the beliefs as an Update for another instance. Lapsed
// endpoints are left out.
func (t *Table) Snapshot() *Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.update()
	u.Whole = true
	now := t.now()
	for _, e := range t.entries {
		if e.graceUntil.IsZero() {
			u.Present = append(u.Present, e.told(now))
		}
	}
	return u
}

// update returns an Update for another instance without endpoints. The caller holds t.mu.
func (t *Table) update() *Update {
	v := t.view.Load()
	u := &Update{Revision: v.Revision, Digest: t.digest, Proved: t.origin.Add(time.Duration(t.proved.Load()))}
	if v.Catalog != nil {
		u.Config = v.Catalog.Document()
	}
	for _, e := range t.evacuations {
		u.Evacuations = append(u.Evacuations, e)
	}
	return u
}

// Lists reports whether an endpoint's incarnation is listed, or in its grace period.
func (t *Table) Lists(incarnation string) bool {
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
