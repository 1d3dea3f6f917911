// Package owner keeps the records that make a request run at most once.
//
// A key names a request across a caller's repeats. Its owners are the three
// instances that rank first for it in the platform's list; a request that
// must not be repeated is sent only after two of them have recorded its key.
// Any two pairs out of three share an owner, so a second attempt meets the
// record of the first wherever it lands, also when instances cannot see each
// other: what counts is the published list, not who is heard.
//
// The list changes, so owners do. An owner answers only for the revision of
// the list that it holds, and only if it vouches for the key: it has owned
// the key under every list since it was last settled, or it is settled under
// this one. To settle, an instance pulls the records it should hold from all
// others; records survive while no two of their holders are lost at once, so
// it is settled when at most one holder can have been missed. Until then it
// says so, and the request is refused as not run. After a quarantine as long
// as records are kept, nothing it could have missed is still valid. Where the
// operators say that a fleet starts for the first time, instances that all
// find each other fresh need not wait: there is nothing to have missed.
//
// Owners is pure state and not safe for concurrent use.
package owner

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"ivyridge/member"
)

const (
	// Owners is how many instances own a key.
	owners = 3
	// Retention is how long a record is kept after its last change.
	Retention = 5 * time.Minute
	// coldFor is how long after it settled an instance of a cold start
	// still counts as fresh, so that the last one to arrive settles too.
	coldFor = 10 * time.Second
	// MaxRecords bounds the memory of one instance, about 200 bytes each.
	MaxRecords = 200_000
)

// A Key is the hash of a team, a caller's key and the request's path.
type Key [16]byte

// A Record says who runs a key.
type Record struct {
	Key         Key
	Entry       string
	EntryAddr   string
	Incarnation uint64
	Attempt     uint64
	Done        bool
	Touched     time.Duration
}

// An Outcome answers Begin.
type Outcome int

// The outcomes of Begin.
const (
	Unknown     Outcome = iota
	Recorded            // this owner holds the record and vouches for the key
	Duplicate           // another attempt is recorded
	OwnerBehind         // this owner's list is older than the asker's
	EntryBehind         // the asker's list is older
	Unsettled           // this owner cannot vouch for the key yet
	NotOwner            // this instance does not own the key
)

// Quorum returns how many of n owners must record a key.
func Quorum(n int) int { return n/2 + 1 }

// Of returns the owners of k among the instances that the list says live.
func Of(k Key, live []string) []string {
	// The best three are kept in order; the list is short next to sorting it.
	var best [owners]string
	var scores [owners]uint64
	n := 0
	for _, name := range live {
		s := rank(k, name)
		i := n
		for i > 0 && (s > scores[i-1] || s == scores[i-1] && name < best[i-1]) {
			i--
		}
		if i == owners {
			continue
		}
		n = min(n+1, owners)
		copy(best[i+1:n], best[i:n-1])
		copy(scores[i+1:n], scores[i:n-1])
		best[i], scores[i] = name, s
	}
	return append([]string(nil), best[:n]...)
}

func rank(k Key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(k[:])
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Eligible returns the names of l's live instances, sorted, and of all that
// it lists.
func Eligible(l *member.List) (live, listed []string) {
	for _, in := range l.Instances {
		listed = append(listed, in.Name)
		if in.State == member.Live {
			live = append(live, in.Name)
		}
	}
	sort.Strings(live)
	sort.Strings(listed)
	return live, listed
}

// Owners is the part of one instance in keeping records.
type Owners struct {
	self       string
	cold       bool // the whole fleet may be starting for the first time
	quarantine time.Duration
	revision   int64
	live       []string
	listed     []string
	// vouched is the list under which this instance was last settled; it
	// still vouches for the keys it has owned ever since.
	vouched     []string
	chain       [][]string // lists of live instances since, the present one last
	settled     bool
	skipped     bool // a revision of the list was never seen
	born        bool // it may have forgotten what it recorded
	unsettledAt time.Duration
	settledAt   time.Duration
	pulled      map[string]bool
	fresh       map[string]bool // peers of a cold start
	records     map[Key]*Record
}

// New returns the Owners of a new instance at time now. Quarantine is how
// long records of before may still be valid where nobody can vouch. Cold says
// that the whole fleet may be starting for the first time.
func New(now time.Duration, self string, quarantine time.Duration, cold bool) *Owners {
	return &Owners{
		self: self, quarantine: quarantine, cold: cold, born: true, unsettledAt: now,
		records: make(map[Key]*Record), fresh: make(map[string]bool),
	}
}

// SetList takes up a newer list of instances.
func (o *Owners) SetList(now time.Duration, revision int64, live, listed []string) {
	if revision <= o.revision {
		return
	}
	same := equal(o.live, live)
	if o.revision != 0 && revision != o.revision+1 {
		same, o.skipped = false, true
	}
	o.revision, o.live, o.listed = revision, live, listed
	if same && o.settled {
		return
	}
	if o.settled {
		o.settled = false
		o.unsettledAt = now
	}
	if !same {
		o.chain = append(o.chain, live)
	}
	o.pulled, o.fresh = make(map[string]bool), make(map[string]bool)
	o.check(now)
}

// Revision returns the revision of the list in force.
func (o *Owners) Revision() int64 { return o.revision }

// Live returns the instances among which keys are owned.
func (o *Owners) Live() []string { return o.live }

// Settled reports whether this instance vouches for all its keys.
func (o *Owners) Settled() bool { return o.settled }

// ToPull returns the instances whose records are still wanted.
func (o *Owners) ToPull() []string {
	if o.settled {
		return nil
	}
	var out []string
	for _, name := range o.listed {
		if name != o.self && !o.pulled[name] {
			out = append(out, name)
		}
	}
	return out
}

// Pull returns the records that from should hold, for the revision of its
// list. It answers only when this instance has that very list in force: who
// should hold what depends on it.
func (o *Owners) Pull(now time.Duration, from string, revision int64) (a Answer, ok bool) {
	if o.revision != revision {
		return a, false
	}
	for k, r := range o.records {
		if among(from, Of(k, o.live)) {
			a.Records = append(a.Records, *r)
		}
	}
	a.Intact = !o.born
	a.Fresh = o.cold && (o.born || now-o.settledAt < coldFor)
	return a, true
}

// An Answer is what an instance hands out in a Pull.
type Answer struct {
	Records []Record
	Intact  bool // it still has all that it ever recorded
	Fresh   bool // it is part of a cold start
}

// Pulled takes in the answer of an instance to a Pull.
func (o *Owners) Pulled(now time.Duration, from string, a Answer) {
	for i := range a.Records {
		o.merge(&a.Records[i])
	}
	if o.pulled != nil {
		o.pulled[from] = a.Intact
		o.fresh[from] = a.Fresh
	}
	o.check(now)
}

// merge adds a record unless one is held already: the first one stands.
func (o *Owners) merge(r *Record) {
	if old := o.records[r.Key]; old != nil {
		if old.Entry == r.Entry && old.Attempt == r.Attempt {
			old.Done = old.Done || r.Done
		}
		return
	}
	c := *r
	o.records[r.Key] = &c
}

// check settles this instance if at most one holder can have been missed.
func (o *Owners) check(now time.Duration) {
	if o.settled || o.revision == 0 {
		return
	}
	if o.missed() <= o.tolerated() || o.coldStart() || now-o.unsettledAt >= o.quarantine {
		o.settled, o.born, o.skipped = true, false, false
		o.settledAt = now
		o.vouched, o.chain = o.live, nil
	}
}

// coldStart reports whether this is the first start of the fleet: all that
// are listed find each other fresh.
func (o *Owners) coldStart() bool {
	if !o.cold || !o.born {
		return false
	}
	for _, name := range o.listed {
		if name != o.self && !o.fresh[name] {
			return false
		}
	}
	return true
}

// missed counts the holders whose records this instance may lack.
func (o *Owners) missed() int {
	n := 0
	if o.born {
		n++ // its own memory
	}
	if o.skipped {
		n++ // an instance of a list that it never saw
	}
	listed := make(map[string]bool, len(o.listed))
	for _, name := range o.listed {
		listed[name] = true
		if name != o.self && !o.pulled[name] {
			n++
		}
	}
	return n + o.gone(listed)
}

// gone counts the instances that were owners under some list since this one
// was settled and are no longer listed, with what they held.
func (o *Owners) gone(listed map[string]bool) int {
	gone := make(map[string]bool)
	for _, live := range append(o.chain[:len(o.chain):len(o.chain)], o.vouched) {
		for _, name := range live {
			if !listed[name] {
				gone[name] = true
			}
		}
	}
	return len(gone)
}

// tolerated is how many holders may be lost before a record can be.
func (o *Owners) tolerated() int {
	basis := o.vouched
	if basis == nil {
		basis = o.live
	}
	return Quorum(min(owners, len(basis))) - 1
}

// vouches reports whether this instance knows all that was recorded for k
// under the list in force.
func (o *Owners) vouches(k Key) bool {
	if o.settled {
		return true
	}
	if o.born || o.skipped {
		return false
	}
	// It has owned the key under every list since it was settled.
	for _, live := range append(o.chain[:len(o.chain):len(o.chain)], o.vouched) {
		if !among(o.self, Of(k, live)) {
			return false
		}
	}
	return true
}

func among(name string, names []string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func (o *Owners) owns(k Key) bool {
	return among(o.self, Of(k, o.live))
}

// Begin records that an attempt wants to run a key. The record returned with
// Duplicate is that of the other attempt. Revision is that of the asker's
// list.
func (o *Owners) Begin(now time.Duration, r Record, revision int64) (Outcome, Record) {
	switch {
	case o.revision < revision:
		return OwnerBehind, Record{}
	case o.revision > revision:
		return EntryBehind, Record{}
	case !o.owns(r.Key):
		return NotOwner, Record{}
	}
	if old := o.records[r.Key]; old != nil {
		if old.Entry == r.Entry && old.Attempt == r.Attempt {
			return o.standing(r.Key), *old
		}
		return Duplicate, *old
	}
	if len(o.records) >= MaxRecords {
		return Unsettled, Record{}
	}
	r.Touched = now
	o.records[r.Key] = &r
	return o.standing(r.Key), r
}

func (o *Owners) standing(k Key) Outcome {
	if o.vouches(k) {
		return Recorded
	}
	return Unsettled
}

// Finish ends an attempt: its record stays until it expires, or goes at once
// if the attempt was not run, so that the key may be tried again.
func (o *Owners) Finish(now time.Duration, k Key, entry string, attempt uint64, notRun bool) {
	r := o.records[k]
	if r == nil || r.Entry != entry || r.Attempt != attempt {
		return
	}
	if notRun {
		delete(o.records, k)
		return
	}
	r.Done, r.Touched = true, now
}

// Tick forgets records that have expired, and ends a quarantine.
func (o *Owners) Tick(now time.Duration) {
	for k, r := range o.records {
		if now-r.Touched > Retention {
			delete(o.records, k)
		}
	}
	o.check(now)
}

// Len returns the number of records held.
func (o *Owners) Len() int { return len(o.records) }

func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
