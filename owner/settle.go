package owner

// This file determines whether an owner holds all records that earlier owners accepted.

import "time"

// A partitionState is the state of a partition that this instance owns.
type partitionState struct {
	owners      []string // under the list in force
	settled     bool
	retained    bool          // owned without interruption since it was settled
	missedLists bool          // revisions of the list were skipped
	since       time.Duration // when settling began
	settledAt   time.Duration
	// priorOwners are the owners under earlier lists that may have been in force. Of each list, all
	// but one must reply.
	priorOwners [][]string
	replies     map[string]PartitionReport
}

// A PartitionReport describes a partition in a PullReply.
type PartitionReport struct {
	Partition   Partition
	Intact      bool       // the instance still has all records that it ever accepted for it
	Fresh       bool       // the instance takes part in a cold start
	PriorOwners [][]string // owners under earlier lists that may have been in force
}

// A PullReply is the reply to a Pull.
type PullReply struct {
	Parts   []PartitionReport
	Records []Record
}

func (s *partitionState) authoritative() bool { return s.settled || s.retained }

// SetList applies a newer list of the live instances, sorted by name. The caller must not change
// live afterwards.
func (o *Owners) SetList(now time.Duration, revision int64, live []LiveInstance) {
	if revision <= o.revision {
		return
	}
	before := o.live
	skipped := o.revision != 0 && revision != o.revision+1
	if skipped && (o.missedAfter == 0 || o.Settled()) {
		o.missedAfter = o.revision
	}
	o.revision, o.live = revision, live
	o.appendHistory()
	if equal(before, live) && !skipped {
		return
	}
	for p := range Partition(Partitions) {
		owners := Of(p, live)
		if !contains(o.self, owners) {
			delete(o.partitions, p)
			continue
		}
		s := o.partitions[p]
		if s == nil {
			o.partitions[p] = o.newPartition(now, p, owners, before, skipped)
		} else if skipped || !equal(s.owners, owners) {
			s.changeOwners(now, owners, skipped)
		}
		o.trySettle(now, p, o.partitions[p])
	}
}

// A listVersion is a list that was in force on this instance.
type listVersion struct {
	revision int64
	live     []LiveInstance
}

// maxHistory is how many lists are kept for instances that missed them.
const maxHistory = 64

func (o *Owners) appendHistory() {
	o.history = append(o.history, listVersion{o.revision, o.live})
	if len(o.history) > maxHistory {
		o.history = o.history[1:]
	}
}

// MissedAfter returns the last revision before the ones that this instance missed and has not
// settled since, or zero. It is passed to Pull.
func (o *Owners) MissedAfter() int64 {
	for _, s := range o.partitions {
		if s.missedLists && !s.settled {
			return o.missedAfter
		}
	}
	return 0
}

// ownersAfter returns the owners of p under each list newer than after that was in force here. A
// list that was in force nowhere has no records: two owners must have held it to record a key.
func (o *Owners) ownersAfter(p Partition, after int64) [][]string {
	var out [][]string
	for _, h := range o.history {
		if h.revision <= after || h.revision == o.revision {
			continue
		}
		owners := Of(p, h.live)
		if len(out) == 0 || !equal(out[len(out)-1], owners) {
			out = append(out, owners)
		}
	}
	return out
}

// newPartition returns the state of p, which this instance did not own before. Without an
// earlier list, the instance may be new or may have restarted, so the owners under a list with it
// and under one without it count as earlier ones.
func (o *Owners) newPartition(now time.Duration, p Partition, owners []string, before []LiveInstance, skipped bool) *partitionState {
	s := &partitionState{owners: owners, since: now, missedLists: skipped, replies: make(map[string]PartitionReport)}
	if before == nil {
		s.priorOwners = append(s.priorOwners, owners)
		before = without(o.live, o.self)
	}
	if prior := Of(p, before); len(prior) > 0 {
		s.priorOwners = append(s.priorOwners, prior)
	}
	return s
}

// changeOwners applies new owners of a partition that this instance keeps.
func (s *partitionState) changeOwners(now time.Duration, owners []string, skipped bool) {
	if s.settled {
		s.since, s.priorOwners = now, nil
	}
	s.retained = s.authoritative() && !skipped
	s.priorOwners = append(s.priorOwners, s.owners)
	s.missedLists = s.missedLists || skipped
	s.owners, s.settled = owners, false
	s.replies = make(map[string]PartitionReport)
}

func without(live []LiveInstance, name string) []LiveInstance {
	var out []LiveInstance
	for _, l := range live {
		if l.Name != name {
			out = append(out, l)
		}
	}
	return out
}

// trySettle settles p if enough earlier owners have replied or the quarantine has passed.
func (o *Owners) trySettle(now time.Duration, p Partition, s *partitionState) {
	if s.settled {
		return
	}
	if !o.quorumReplied(p, s) && !o.allFresh(p, s) && now-s.since < o.quarantine {
		return
	}
	s.settled, s.retained, s.missedLists, s.priorOwners = true, false, false, nil
	s.settledAt = now
	o.everSettled[p] = true
}

// quorumReplied reports whether so few owners are missing under each list that may have been in
// force that every record of a quorum is known.
func (o *Owners) quorumReplied(p Partition, s *partitionState) bool {
	lists := append([][]string(nil), s.priorOwners...)
	for _, reply := range s.replies {
		lists = append(lists, reply.PriorOwners...)
	}
	if len(lists) == 0 {
		return false // no owner to ask
	}
	for _, owners := range lists {
		missing := 0
		for _, name := range owners {
			if !o.hasRecordsOf(p, s, name) {
				missing++
			}
		}
		if missing > Quorum(len(owners))-1 {
			return false
		}
	}
	return true
}

// hasRecordsOf reports whether this instance holds all records that name accepted.
func (o *Owners) hasRecordsOf(p Partition, s *partitionState, name string) bool {
	if name == o.self {
		return o.everSettled[p]
	}
	return s.replies[name].Intact
}

// allFresh reports whether, in a cold start, all owners of p are fresh: no earlier records exist.
func (o *Owners) allFresh(p Partition, s *partitionState) bool {
	if !o.coldStart || o.everSettled[p] {
		return false
	}
	for _, name := range s.owners {
		if name != o.self && !s.replies[name].Fresh {
			return false
		}
	}
	return true
}

// Settled reports whether a member list has been applied and this instance has, or no longer waits
// for, earlier owners' records of all its partitions.
func (o *Owners) Settled() bool {
	for _, s := range o.partitions {
		if !s.settled {
			return false
		}
	}
	return o.revision != 0
}

// ToPull returns the instances to pull records from, each with its partitions.
func (o *Owners) ToPull() map[string][]Partition {
	out := make(map[string][]Partition)
	for p, s := range o.partitions {
		if s.settled {
			continue
		}
		for name := range s.pullTargets() {
			if r, ok := s.replies[name]; name != o.self && !(ok && r.Intact) {
				out[name] = append(out[name], p)
			}
		}
	}
	return out
}

// pullTargets returns the current and all possible earlier owners.
func (s *partitionState) pullTargets() map[string]bool {
	names := make(map[string]bool)
	add := func(owners []string) {
		for _, name := range owners {
			names[name] = true
		}
	}
	add(s.owners)
	for _, owners := range s.priorOwners {
		add(owners)
	}
	for _, reply := range s.replies {
		for _, owners := range reply.PriorOwners {
			add(owners)
		}
	}
	return names
}

// Pull returns the records of parts. It answers only if revision, the caller's, is in force here:
// under another, more records might be accepted that the caller would miss. MissedAfter is the last
// revision before the ones that the caller missed, or zero.
func (o *Owners) Pull(now time.Duration, revision, missedAfter int64, parts []Partition) (a PullReply, ok bool) {
	if o.revision != revision {
		return a, false
	}
	asked := make(map[Partition]bool, len(parts))
	for _, p := range parts {
		asked[p] = true
		a.Parts = append(a.Parts, o.describe(now, p, missedAfter))
	}
	for k, known := range o.records {
		if asked[PartitionOf(k)] {
			a.Records = append(a.Records, known...)
		}
	}
	return a, true
}

func (o *Owners) describe(now time.Duration, p Partition, missedAfter int64) PartitionReport {
	out := PartitionReport{Partition: p, Intact: o.everSettled[p]}
	if missedAfter > 0 {
		out.PriorOwners = o.ownersAfter(p, missedAfter)
	}
	s := o.partitions[p]
	if s == nil {
		return out
	}
	out.Fresh = o.coldStart && (!o.everSettled[p] || s.settled && now-s.settledAt < freshPeriod)
	if !s.settled {
		out.PriorOwners = append(out.PriorOwners, s.priorOwners...)
	}
	return out
}

// ApplyPull applies a, the reply of the instance called from to a Pull under revision.
func (o *Owners) ApplyPull(now time.Duration, from string, revision int64, a PullReply) {
	if revision != o.revision {
		return
	}
	for i := range a.Records {
		o.merge(a.Records[i])
	}
	for _, reply := range a.Parts {
		if s := o.partitions[reply.Partition]; s != nil && !s.settled {
			s.replies[from] = reply
			o.trySettle(now, reply.Partition, s)
		}
	}
}
