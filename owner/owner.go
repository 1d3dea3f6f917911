// Package owner replicates the records that make a request run at most once.
//
// A key identifies a request across a caller's retries. Keys are hashed into a fixed number of
// partitions; the owners of a partition are the three instances ranked first for it by rendezvous
// hashing over the platform's list. A request that must not be repeated is sent only after two of
// its key's owners have recorded it. Any two such pairs share an owner, so a second attempt finds
// the record of the first, also under a network partition: ownership depends on the published
// list and not on reachability.
//
// Owners change with the list. An owner answers only for the revision of the list that it holds,
// and only if it is authoritative for the partition: it has settled the partition under this
// list, or has owned it under every list since it last did. To settle, it pulls the partition's
// records from the owners under each list that may have been in force, as far as it and they
// know. Since a record is on two of three owners, one of the three may be missing. An instance
// that cannot settle says so, and the request is refused as not run, until a quarantine as long
// as the retention of records has passed: then no record that it could have missed is still
// valid. In a cold start declared by the operators, owners that find each other fresh settle at
// once, since there are no earlier records.
//
// A change of the list costs messages only between old and new owners of the partitions that
// move, a number that does not grow with the fleet. Owners does no I/O, reads no clock and is not
// safe for concurrent use.
package owner

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"ivyridge/member"
)

const (
	ownersPerPartition = 3 // replication factor
	// Partitions is the number of partitions. Some instances own none in a fleet of more than three
	// times as many.
	Partitions = 128
	// Retention is how long a record is kept after its claim. It exceeds the longest duration of a
	// request, so that a retry finds the record, and for some time the answer.
	Retention = 5 * time.Minute
	// freshPeriod is how long after settling an instance of a cold start still counts as fresh, so
	// that the last one to start settles too.
	freshPeriod = 10 * time.Second
	// MaxRecords bounds the records of one instance, of about 200 bytes each.
	MaxRecords = 200_000
)

// A Key is the hash of a team, a caller's key and the request's path.
type Key [16]byte

// A Record identifies the attempt that claimed a key.
type Record struct {
	Key         Key
	Entry       string
	EntryAddr   string
	Incarnation uint64
	Attempt     uint64
	At          time.Duration // time of its claim, on this owner's clock
}

// An Outcome is the result of Begin.
type Outcome int

const (
	Unknown     Outcome = iota
	Recorded            // this owner holds the record and is authoritative for the key
	Duplicate           // another attempt is recorded
	OwnerBehind         // this owner's list is older than the caller's
	EntryBehind         // the caller's list is older
	Unsettled           // this owner is not authoritative for the key yet
	NotOwner            // this instance does not own the key
)

// Quorum returns how many of n owners must record a key.
func Quorum(n int) int { return n/2 + 1 }

// A Partition is a number from 0 to Partitions-1.
type Partition int

// PartitionOf returns the partition of k.
func PartitionOf(k Key) Partition { return Partition(xxhash.Sum64(k[:]) % Partitions) }

// A LiveInstance is an instance that the list reports as live.
type LiveInstance struct{ Name, DataCentre string }

// Of returns the owners of p among the live instances, in different data centres as far as
// possible: the best-ranked instance of each data centre, then the second-ranked, until there are
// three. The loss of one instance, or of one of three data centres, replaces at most one owner.
func Of(p Partition, live []LiveInstance) []string {
	centres := rankDataCentres(p, live)
	var out []string
	for round := 0; len(out) < ownersPerPartition && len(out) < len(live); round++ {
		for i := range centres {
			if c := &centres[i]; round < len(c.instances) && len(out) < ownersPerPartition {
				out = append(out, c.instances[round].name)
			}
		}
	}
	return out
}

// A dataCentre holds the best-ranked instances of a data centre for a partition.
type dataCentre struct {
	name      string
	score     uint64
	instances []scored // at most ownersPerPartition, best first
}

type scored struct {
	name  string
	score uint64
}

func rankDataCentres(p Partition, live []LiveInstance) []dataCentre {
	var out []dataCentre
	for _, l := range live {
		i := 0
		for i < len(out) && out[i].name != l.DataCentre {
			i++
		}
		if i == len(out) {
			out = append(out, dataCentre{name: l.DataCentre, score: rank(p, "data centre "+l.DataCentre)})
		}
		out[i].add(scored{l.Name, rank(p, l.Name)})
	}
	sort.Slice(out, func(i, j int) bool { return ranksBefore(out[i].score, out[j].score, out[i].name, out[j].name) })
	return out
}

func ranksBefore(a, b uint64, nameA, nameB string) bool {
	return a > b || a == b && nameA < nameB
}

// add inserts s if it is among the best ownersPerPartition instances.
func (c *dataCentre) add(s scored) {
	i := len(c.instances)
	for i > 0 && ranksBefore(s.score, c.instances[i-1].score, s.name, c.instances[i-1].name) {
		i--
	}
	if i == ownersPerPartition {
		return
	}
	if len(c.instances) < ownersPerPartition {
		c.instances = append(c.instances, scored{})
	}
	copy(c.instances[i+1:], c.instances[i:])
	c.instances[i] = s
}

func rank(p Partition, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write([]byte{byte(p), byte(p >> 8)})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Eligible returns l's live instances, sorted by name.
func Eligible(l *member.List) []LiveInstance {
	var live []LiveInstance
	for _, in := range l.Instances {
		if in.State == member.Live {
			live = append(live, LiveInstance{in.Name, in.DataCentre})
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

// Owners is the state of one instance as an owner of records.
type Owners struct {
	self        string
	quarantine  time.Duration
	coldStart   bool
	revision    int64
	live        []LiveInstance
	history     []listVersion
	missedAfter int64                         // last revision before the skipped ones, zero if none
	partitions  map[Partition]*partitionState // owned under the list in force
	// everSettled holds the partitions that this process has ever settled: it still holds all
	// records that it accepted for them.
	everSettled map[Partition]bool
	// records holds all known attempts of each key. A Pull may bring several: the one that a quorum
	// recorded, which must not be dropped, and others about to be withdrawn.
	records map[Key][]Record
	count   int
}

// New returns the Owners of a new instance. Quarantine is how long earlier records may remain valid
// while no instance is authoritative. ColdStart says that the fleet may have no earlier records.
func New(self string, quarantine time.Duration, coldStart bool) *Owners {
	return &Owners{
		self: self, quarantine: quarantine, coldStart: coldStart,
		partitions: make(map[Partition]*partitionState), everSettled: make(map[Partition]bool), records: make(map[Key][]Record),
	}
}

// Revision returns the revision of the list in force.
func (o *Owners) Revision() int64 { return o.revision }

// Live returns the live instances of the list in force.
func (o *Owners) Live() []LiveInstance { return o.live }

// merge adds r unless its attempt is known.
func (o *Owners) merge(r Record) {
	for _, old := range o.records[r.Key] {
		if old.sameAttempt(&r) {
			return
		}
	}
	o.records[r.Key] = append(o.records[r.Key], r)
	o.count++
}

func (r *Record) sameAttempt(x *Record) bool { return r.Entry == x.Entry && r.Attempt == x.Attempt }

func contains(name string, names []string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// Begin records the attempt r at its key. Revision is that of the caller's list. With Duplicate, it
// returns the record of the other attempt.
func (o *Owners) Begin(now time.Duration, r Record, revision int64) (Outcome, Record) {
	switch {
	case o.revision < revision:
		return OwnerBehind, Record{}
	case o.revision > revision:
		return EntryBehind, Record{}
	case o.partitions[PartitionOf(r.Key)] == nil:
		return NotOwner, Record{}
	}
	if known := o.records[r.Key]; len(known) > 0 {
		for i := range known {
			if !known[i].sameAttempt(&r) {
				return Duplicate, known[i]
			}
		}
		return o.outcome(r.Key), known[0]
	}
	if o.count >= MaxRecords {
		return Unsettled, Record{}
	}
	r.At = now
	o.merge(r)
	return o.outcome(r.Key), r
}

func (o *Owners) outcome(k Key) Outcome {
	if o.partitions[PartitionOf(k)].authoritative() {
		return Recorded
	}
	return Unsettled
}

// Withdraw removes the record of an attempt at k that was not and will not be sent, so that k
// can be claimed again.
func (o *Owners) Withdraw(k Key, entry string, attempt uint64) {
	o.filter(k, func(r *Record) bool { return r.Entry != entry || r.Attempt != attempt })
}

// filter drops the attempts at k for which keep returns false.
func (o *Owners) filter(k Key, keep func(r *Record) bool) {
	known := o.records[k]
	kept := known[:0]
	for i := range known {
		if keep(&known[i]) {
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

// Tick drops expired records and settles partitions whose quarantine has passed.
func (o *Owners) Tick(now time.Duration) {
	for k := range o.records {
		o.filter(k, func(r *Record) bool { return now-r.At <= Retention })
	}
	for p, s := range o.partitions {
		if !s.settled && now-s.since >= o.quarantine {
			o.trySettle(now, p, s)
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
