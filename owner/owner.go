// Package owner keeps the records that make a request run at most once.
//
// A key names a request across a caller's repeats. Keys fall into a fixed
// number of partitions; a partition's owners are the three instances that
// rank first for it in the platform's list. A request that must not be
// repeated is sent only after two of its key's owners have recorded it. Any
// two pairs out of three share an owner, so a second attempt meets the record
// of the first wherever it lands, also when instances cannot see each other:
// what counts is the published list, not who is heard.
//
// The list changes, so owners do. An owner answers only for the revision of
// the list that it holds, and only if it vouches for the partition: it has
// owned it under every list since it was last settled, or it is settled under
// this one. To settle, it pulls the partition's records from those who owned
// it under each list that may have been in force, as far as it or those who
// answer know. A record is on two of three owners, so one of the three may be
// missed. An instance that cannot settle says so, and the request is refused
// as not run. After a quarantine as long as records are kept, nothing that it
// could have missed is still valid. Where the operators say that a fleet
// starts for the first time, owners that find each other fresh settle at
// once: there is nothing to have missed.
//
// A change of the list costs messages only between old and new owners of the
// partitions that move, a number that does not grow with the fleet.
//
// Owners is pure state and not safe for concurrent use. The files: owner.go
// (records), settle.go (partitions and settling).
package owner

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"ivyridge/member"
)

const (
	// owners is how many instances own a partition.
	owners = 3
	// Partitions is into how many parts keys fall. Instances beyond three
	// times as many would own nothing.
	Partitions = 128
	// Retention is how long a record is kept after its claim. It is longer
	// than a request may take, so a repeat finds the record, and for some
	// time after that the answer.
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
	At          time.Duration // instant of its claim, on this owner's clock
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

// A Partition is a part of the keys.
type Partition int

// PartitionOf returns the partition of k.
func PartitionOf(k Key) Partition { return Partition(xxhash.Sum64(k[:]) % Partitions) }

// Of returns the owners of p among the instances that the list says live,
// best first.
func Of(p Partition, live []string) []string {
	// The best three are kept in order; the list is short next to sorting it.
	var best [owners]string
	var scores [owners]uint64
	n := 0
	for _, name := range live {
		s := rank(p, name)
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

func rank(p Partition, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write([]byte{byte(p), byte(p >> 8)})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Eligible returns the names of l's live instances, sorted.
func Eligible(l *member.List) []string {
	var live []string
	for _, in := range l.Instances {
		if in.State == member.Live {
			live = append(live, in.Name)
		}
	}
	sort.Strings(live)
	return live
}

// Owners is the part of one instance in keeping records.
type Owners struct {
	self       string
	quarantine time.Duration
	cold       bool // the whole fleet may be starting for the first time
	revision   int64
	live       []string
	parts      map[Partition]*part // those owned under the list in force
	// once holds the partitions for which this process was ever settled:
	// it still has all that it recorded for them.
	once    map[Partition]bool
	records map[Key]*Record
}

// New returns the Owners of a new instance. Quarantine is how long records
// of before may still be valid where nobody can vouch. Cold says that the
// whole fleet may be starting for the first time.
func New(self string, quarantine time.Duration, cold bool) *Owners {
	return &Owners{
		self: self, quarantine: quarantine, cold: cold,
		parts: make(map[Partition]*part), once: make(map[Partition]bool), records: make(map[Key]*Record),
	}
}

// Revision returns the revision of the list in force.
func (o *Owners) Revision() int64 { return o.revision }

// Live returns the instances among which keys are owned.
func (o *Owners) Live() []string { return o.live }

// merge adds a record unless one is held already: the first one stands.
func (o *Owners) merge(r *Record) {
	if o.records[r.Key] != nil {
		return
	}
	c := *r
	o.records[r.Key] = &c
}

func among(name string, names []string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
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
	case o.parts[PartitionOf(r.Key)] == nil:
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
	r.At = now
	o.records[r.Key] = &r
	return o.standing(r.Key), r
}

func (o *Owners) standing(k Key) Outcome {
	if o.parts[PartitionOf(k)].vouches() {
		return Recorded
	}
	return Unsettled
}

// Withdraw takes back the record of an attempt that was not sent and never
// will be, so that the key may be tried again.
func (o *Owners) Withdraw(k Key, entry string, attempt uint64) {
	if r := o.records[k]; r != nil && r.Entry == entry && r.Attempt == attempt {
		delete(o.records, k)
	}
}

// Tick forgets records that have expired, and ends a quarantine.
func (o *Owners) Tick(now time.Duration) {
	for k, r := range o.records {
		if now-r.At > Retention {
			delete(o.records, k)
		}
	}
	for p, x := range o.parts {
		if !x.settled && now-x.since >= o.quarantine {
			o.check(now, p, x)
		}
	}
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
