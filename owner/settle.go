package owner

// This file settles partitions: it finds out whether an owner knows all that
// was recorded before it.

import "time"

// A part is one partition that this instance owns.
type part struct {
	triple   []string // its owners under the list in force
	settled  bool
	vouching bool // owned without a gap since it was settled
	skipped  bool // revisions of the list were never seen; see Owners.gap
	since    time.Duration
	at       time.Duration // of settling
	// covered are the owners under lists that may have been in force
	// before; of each, all but one must be heard.
	covered [][]string
	heard   map[string]Part
}

// A Part is what an instance says of a partition in an Answer.
type Part struct {
	Partition Partition
	Intact    bool       // it still has all that it ever recorded for it
	Fresh     bool       // it is part of a cold start
	Covered   [][]string // owners under lists that may have been in force before
}

// An Answer is what an instance hands out in a Pull.
type Answer struct {
	Parts   []Part
	Records []Record
}

func (x *part) vouches() bool { return x.settled || x.vouching }

// SetList takes up a newer list of the live instances, sorted, which the
// caller does not change afterwards.
func (o *Owners) SetList(now time.Duration, revision int64, live []Live) {
	if revision <= o.revision {
		return
	}
	before := o.live
	skipped := o.revision != 0 && revision != o.revision+1
	if skipped && (o.gap == 0 || o.Settled()) {
		o.gap = o.revision
	}
	o.revision, o.live = revision, live
	o.remember()
	if equal(before, live) && !skipped {
		return
	}
	for p := range Partition(Partitions) {
		triple := Of(p, live)
		if !among(o.self, triple) {
			delete(o.parts, p)
			continue
		}
		x := o.parts[p]
		if x == nil {
			o.parts[p] = o.gain(now, p, triple, before, skipped)
		} else if skipped || !equal(x.triple, triple) {
			x.change(now, triple, skipped)
		}
		o.check(now, p, o.parts[p])
	}
}

// held is a list that was in force here.
type held struct {
	revision int64
	live     []Live
}

// maxHeld is how many lists are remembered for those who missed them.
const maxHeld = 64

func (o *Owners) remember() {
	o.history = append(o.history, held{o.revision, o.live})
	if len(o.history) > maxHeld {
		o.history = o.history[1:]
	}
}

// Gap returns the revision after which this instance has missed some and is
// not settled since, or zero. A Pull passes it on.
func (o *Owners) Gap() int64 {
	for _, x := range o.parts {
		if x.skipped && !x.settled {
			return o.gap
		}
	}
	return 0
}

// between returns the owners of p under the lists after a revision that were
// in force here, each once. A list that was in force on none of those who are
// asked has seen no record: both owners of one must have held it.
func (o *Owners) between(p Partition, after int64) [][]string {
	var out [][]string
	for _, h := range o.history {
		if h.revision <= after || h.revision == o.revision {
			continue
		}
		triple := Of(p, h.live)
		if len(out) == 0 || !equal(out[len(out)-1], triple) {
			out = append(out, triple)
		}
	}
	return out
}

// gain returns the part of a partition that this instance did not own. An
// instance that knows no list before may be new, or may have owned the
// partition until it was restarted; it allows for both.
func (o *Owners) gain(now time.Duration, p Partition, triple []string, before []Live, skipped bool) *part {
	x := &part{triple: triple, since: now, skipped: skipped, heard: make(map[string]Part)}
	if before == nil {
		x.covered = append(x.covered, triple)
		before = without(o.live, o.self)
	}
	if was := Of(p, before); len(was) > 0 {
		x.covered = append(x.covered, was)
	}
	return x
}

// change takes over new owners of a partition that this instance keeps.
func (x *part) change(now time.Duration, triple []string, skipped bool) {
	if x.settled {
		x.since, x.covered = now, nil
	}
	x.vouching = x.vouches() && !skipped
	x.covered = append(x.covered, x.triple)
	x.skipped = x.skipped || skipped
	x.triple, x.settled = triple, false
	x.heard = make(map[string]Part)
}

func without(live []Live, name string) []Live {
	var out []Live
	for _, l := range live {
		if l.Name != name {
			out = append(out, l)
		}
	}
	return out
}

// check settles a partition once enough of its earlier owners are heard.
func (o *Owners) check(now time.Duration, p Partition, x *part) {
	if x.settled {
		return
	}
	if !o.enough(p, x) && !o.coldStart(p, x) && now-x.since < o.quarantine {
		return
	}
	x.settled, x.vouching, x.skipped, x.covered = true, false, false, nil
	x.at = now
	o.once[p] = true
}

// enough reports whether, of the owners under each list that may have been
// in force, at most one less than a quorum is missing: a record is on a
// quorum of them.
func (o *Owners) enough(p Partition, x *part) bool {
	lists := append([][]string(nil), x.covered...)
	for _, said := range x.heard {
		lists = append(lists, said.Covered...)
	}
	if len(lists) == 0 {
		return false // nobody to ask, and nothing known
	}
	for _, triple := range lists {
		missing := 0
		for _, name := range triple {
			if !o.has(p, x, name) {
				missing++
			}
		}
		if missing > Quorum(len(triple))-1 {
			return false
		}
	}
	return true
}

// has reports whether this instance knows all that name ever recorded.
func (o *Owners) has(p Partition, x *part, name string) bool {
	if name == o.self {
		return o.once[p]
	}
	return x.heard[name].Intact
}

// coldStart reports whether the fleet starts for the first time, as far as
// the owners of a partition can tell: all of them find each other fresh.
func (o *Owners) coldStart(p Partition, x *part) bool {
	if !o.cold || o.once[p] {
		return false
	}
	for _, name := range x.triple {
		if name != o.self && !x.heard[name].Fresh {
			return false
		}
	}
	return true
}

// Settled reports whether this instance vouches for all its partitions, and
// is settled in each.
func (o *Owners) Settled() bool {
	for _, x := range o.parts {
		if !x.settled {
			return false
		}
	}
	return o.revision != 0
}

// ToPull returns the instances whose records are still wanted, and for which
// partitions.
func (o *Owners) ToPull() map[string][]Partition {
	out := make(map[string][]Partition)
	for p, x := range o.parts {
		if x.settled {
			continue
		}
		for name := range x.wanted() {
			if h, ok := x.heard[name]; name != o.self && !(ok && h.Intact) {
				out[name] = append(out[name], p)
			}
		}
	}
	return out
}

// wanted returns all who may have owned the partition, and its owners now.
func (x *part) wanted() map[string]bool {
	names := make(map[string]bool)
	add := func(triple []string) {
		for _, name := range triple {
			names[name] = true
		}
	}
	add(x.triple)
	for _, triple := range x.covered {
		add(triple)
	}
	for _, said := range x.heard {
		for _, triple := range said.Covered {
			add(triple)
		}
	}
	return names
}

// Pull returns what this instance has for the given partitions. It answers
// only when it has that very revision of the list in force: an owner that
// holds another may still accept what the asker would never hear of.
// Gap is that of the asker.
func (o *Owners) Pull(now time.Duration, revision, gap int64, parts []Partition) (a Answer, ok bool) {
	if o.revision != revision {
		return a, false
	}
	asked := make(map[Partition]bool, len(parts))
	for _, p := range parts {
		asked[p] = true
		a.Parts = append(a.Parts, o.say(now, p, gap))
	}
	for k, known := range o.records {
		if asked[PartitionOf(k)] {
			a.Records = append(a.Records, known...)
		}
	}
	return a, true
}

// say tells what this instance knows of a partition.
func (o *Owners) say(now time.Duration, p Partition, gap int64) Part {
	out := Part{Partition: p, Intact: o.once[p]}
	if gap > 0 {
		out.Covered = o.between(p, gap)
	}
	x := o.parts[p]
	if x == nil {
		return out
	}
	out.Fresh = o.cold && (!o.once[p] || x.settled && now-x.at < coldFor)
	if !x.settled {
		out.Covered = append(out.Covered, x.covered...)
	}
	return out
}

// Pulled takes in the answer of an instance to a Pull for a revision.
func (o *Owners) Pulled(now time.Duration, from string, revision int64, a Answer) {
	if revision != o.revision {
		return
	}
	for i := range a.Records {
		o.merge(a.Records[i])
	}
	for _, said := range a.Parts {
		if x := o.parts[said.Partition]; x != nil && !x.settled {
			x.heard[from] = said
			o.check(now, said.Partition, x)
		}
	}
}
