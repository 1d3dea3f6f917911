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

// A Live is an instance that the list says live.
type Live struct{ Name, DataCentre string }

// Of returns the owners of p among the live instances. They stand in
// different data centres as far as there are so many: the data centres are
// ranked by hashing, and of each the instance that ranks first is taken; then
// of each the second, until there are three. The loss of one instance moves
// one owner, and the loss of a data centre takes one of three.
func Of(p Partition, live []Live) []string {
	centres := byCentre(p, live)
	var out []string
	for round := 0; len(out) < owners && len(out) < len(live); round++ {
		for i := range centres {
			if c := &centres[i]; round < len(c.best) && len(out) < owners {
				out = append(out, c.best[round].name)
			}
		}
	}
	return out
}

// A centre is a data centre with its best instances for a partition.
type centre struct {
	name  string
	score uint64
	best  []scored // at most owners, best first
}

type scored struct {
	name  string
	score uint64
}

// byCentre ranks the data centres for p, and the instances in each.
func byCentre(p Partition, live []Live) []centre {
	var out []centre
	for _, l := range live {
		i := 0
		for i < len(out) && out[i].name != l.DataCentre {
			i++
		}
		if i == len(out) {
			out = append(out, centre{name: l.DataCentre, score: rank(p, "data centre "+l.DataCentre)})
		}
		out[i].add(scored{l.Name, rank(p, l.Name)})
	}
	sort.Slice(out, func(i, j int) bool { return before(out[i].score, out[j].score, out[i].name, out[j].name) })
	return out
}

func before(a, b uint64, nameA, nameB string) bool {
	return a > b || a == b && nameA < nameB
}

// add keeps s if it is among the best.
func (c *centre) add(s scored) {
	i := len(c.best)
	for i > 0 && before(s.score, c.best[i-1].score, s.name, c.best[i-1].name) {
		i--
	}
	if i == owners {
		return
	}
	if len(c.best) < owners {
		c.best = append(c.best, scored{})
	}
	copy(c.best[i+1:], c.best[i:])
	c.best[i] = s
}

func rank(p Partition, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write([]byte{byte(p), byte(p >> 8)})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Eligible returns l's live instances, sorted by name.
func Eligible(l *member.List) []Live {
	var live []Live
	for _, in := range l.Instances {
		if in.State == member.Live {
			live = append(live, Live{in.Name, in.DataCentre})
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

// Owners is the part of one instance in keeping records.
type Owners struct {
	self       string
	quarantine time.Duration
	cold       bool // the whole fleet may be starting for the first time
	revision   int64
	live       []Live
	history    []held
	gap        int64
	parts      map[Partition]*part // those owned under the list in force
	// once holds the partitions for which this process was ever settled:
	// it still has all that it recorded for them.
	once map[Partition]bool
	// records holds every attempt at a key that is known. Begin adds one
	// only where there is none, but a Pull may bring several: one that a
	// quorum recorded, and others that are about to be withdrawn. None may
	// hide another.
	records map[Key][]Record
	count   int
}

// New returns the Owners of a new instance. Quarantine is how long records
// of before may still be valid where nobody can vouch. Cold says that the
// whole fleet may be starting for the first time.
func New(self string, quarantine time.Duration, cold bool) *Owners {
	return &Owners{
		self: self, quarantine: quarantine, cold: cold,
		parts: make(map[Partition]*part), once: make(map[Partition]bool), records: make(map[Key][]Record),
	}
}

// Revision returns the revision of the list in force.
func (o *Owners) Revision() int64 { return o.revision }

// Live returns the instances among which keys are owned.
func (o *Owners) Live() []Live { return o.live }

// merge adds an attempt that is not known yet.
func (o *Owners) merge(r Record) {
	for _, old := range o.records[r.Key] {
		if old.same(&r) {
			return
		}
	}
	o.records[r.Key] = append(o.records[r.Key], r)
	o.count++
}

// same reports whether r and x are of one attempt.
func (r *Record) same(x *Record) bool { return r.Entry == x.Entry && r.Attempt == x.Attempt }

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
	if known := o.records[r.Key]; len(known) > 0 {
		for i := range known {
			if !known[i].same(&r) {
				return Duplicate, known[i]
			}
		}
		return o.standing(r.Key), known[0]
	}
	if o.count >= MaxRecords {
		return Unsettled, Record{}
	}
	r.At = now
	o.merge(r)
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
	o.keep(k, func(r *Record) bool { return r.Entry != entry || r.Attempt != attempt })
}

// keep drops the attempts at a key for which wanted is false.
func (o *Owners) keep(k Key, wanted func(r *Record) bool) {
	known := o.records[k]
	kept := known[:0]
	for i := range known {
		if wanted(&known[i]) {
			kept = append(kept, known[i])
		}
	}
	o.count -= len(known) - len(kept)
	if len(kept) == 0 {
		delete(o.records, k)
		return
	}
	o.records[k] = kept
}

// Tick forgets records that have expired, and ends a quarantine.
func (o *Owners) Tick(now time.Duration) {
	for k := range o.records {
		o.keep(k, func(r *Record) bool { return now-r.At <= Retention })
	}
	for p, x := range o.parts {
		if !x.settled && now-x.since >= o.quarantine {
			o.check(now, p, x)
		}
	}
}

// Len returns the number of records held.
func (o *Owners) Len() int { return o.count }

func equal[T comparable](a, b []T) bool {
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
