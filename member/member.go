// Package member keeps one instance's picture of the others.
//
// The platform publishes a list of instances that lags; heartbeats between
// instances tell sooner who is silent. A Table joins both: an instance is
// known if the list names it, live while it is heard, suspected when it or
// its heartbeat partners fall silent, leaving on its own word or the list's.
// Each instance beats to a few partners, a number that grows with the
// logarithm of the fleet; suspicions travel in the heartbeats.
//
// Rank orders instances for a job by rendezvous hashing, so that all who see
// the same list agree without speaking. A Table is pure state and not safe
// for concurrent use.
package member

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"ivyridge/chart"
)

// Times of the failure detector.
const (
	BeatEvery    = 200 * time.Millisecond
	SilentAfter  = 700 * time.Millisecond // three beats missed
	SuspectFor   = 5 * time.Second        // how long a suspicion that is not renewed holds
	SleptAfter   = 700 * time.Millisecond // a gap between ticks that means this process slept
	fewPeers     = 8                      // all of so many are partners
	fingerBase   = 4                      // partners of a larger fleet are 1, 4, 16, ... places on
	maxSuspicion = 32                     // suspicions in one heartbeat
)

// A State is what the platform's list says of an instance or endpoint.
type State string

// The states of the list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// An Instance is a listed router instance.
type Instance struct {
	Name       string `json:"name"`
	Addr       string `json:"addr"`
	Operators  string `json:"operators,omitempty"`
	DataCentre string `json:"data_centre"`
	State      State  `json:"state"`
}

// An Endpoint is a listed endpoint.
type Endpoint struct {
	Name       string `json:"name"`
	Addr       string `json:"addr"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Pool       string `json:"pool"`
	State      State  `json:"state"`
}

// A List is the platform's list of instances and endpoints.
type List struct {
	Revision  int64      `json:"revision"`
	Instances []Instance `json:"instances"`
	Endpoints []Endpoint `json:"endpoints"`
}

// A Heard is what one heartbeat says of its sender.
type Heard struct {
	Incarnation       uint64
	ConfigRevision    int64
	ListRevision      int64
	CommandVersion    int64
	SettledRevision   int64
	PlatformHeard     time.Duration // instant, on the receiver's clock
	Leaving, Ready    bool
	SuspectedBySender []Suspicion
}

// A Suspicion says that an instance was silent since an instant.
type Suspicion struct {
	Instance string
	Since    time.Duration
}

// A Peer is one instance in a Table.
type Peer struct {
	Instance
	Last      Heard
	LastHeard time.Duration
	machine   chart.Machine
	suspected time.Duration // instant of the newest suspicion
	watched   time.Duration // since when this instance beats to it
}

// State returns the name of the peer's chart state.
func (p *Peer) State() string { return p.machine.Name() }

// Usable reports whether p may be given work or asked.
func (p *Peer) Usable() bool {
	s := p.machine.State()
	return s == stListed || s == stLive
}

// A Table is one instance's picture of the others.
type Table struct {
	self    string
	list    *List
	peers   map[string]*Peer
	version uint64 // grows with every change that can move a rank
	leaving bool
	drained func(name string) bool // by an operator's command
}

// New returns the Table of the instance called self.
func New(self string) *Table {
	return &Table{self: self, list: new(List), peers: make(map[string]*Peer), drained: func(string) bool { return false }}
}

// List returns the list in force, which is never changed.
func (t *Table) List() *List { return t.list }

// Version grows whenever the set of usable instances changes.
func (t *Table) Version() uint64 { return t.version }

// SetList takes up a list. An older one than that in force is refused.
func (t *Table) SetList(now time.Duration, l List) bool {
	if l.Revision <= t.list.Revision {
		return false
	}
	t.list = &l
	t.version++
	named := make(map[string]bool, len(l.Instances))
	for _, in := range l.Instances {
		named[in.Name] = true
		p := t.peers[in.Name]
		if p == nil {
			p = &Peer{machine: chart.Instance.New(), LastHeard: now}
			t.peers[in.Name] = p
		}
		p.Instance = in
		p.machine.Step(evListed)
		if in.State == Leaving {
			p.machine.Step(evLeave)
		}
	}
	for name, p := range t.peers {
		if !named[name] {
			p.machine.Step(evUnlisted)
			delete(t.peers, name)
		}
	}
	return true
}

// Hear takes in a heartbeat from a peer, or its answer to one. It reports
// whether the sender is listed.
func (t *Table) Hear(now time.Duration, from string, h Heard) bool {
	p := t.peers[from]
	if p == nil {
		return false
	}
	p.LastHeard, p.Last = now, h
	t.step(p, evHeard)
	if h.Leaving {
		t.step(p, evLeave)
	}
	for _, s := range h.SuspectedBySender {
		t.rumour(now, s)
	}
	return true
}

func (t *Table) step(p *Peer, ev chart.Event) {
	if p.machine.Step(ev) {
		t.version++
	}
}

// rumour takes in a suspicion of others. What this instance heard by itself
// since then goes first.
func (t *Table) rumour(now time.Duration, s Suspicion) {
	p := t.peers[s.Instance]
	if p == nil || s.Instance == t.self || now-s.Since > SuspectFor || p.LastHeard >= s.Since {
		return
	}
	p.suspected = max(p.suspected, s.Since)
	t.step(p, evSilent)
}

// Suspect records that a direct call to an instance failed.
func (t *Table) Suspect(now time.Duration, name string) {
	if p := t.peers[name]; p != nil && name != t.self {
		p.suspected = now
		t.step(p, evSilent)
	}
}

// Tick suspects partners that have fallen silent.
func (t *Table) Tick(now time.Duration) {
	partners := make(map[string]bool)
	for _, p := range t.BeatTo() {
		partners[p.Name] = true
		if p.watched == 0 {
			p.watched = now
		}
		if now-max(p.LastHeard, p.watched) > SilentAfter {
			p.suspected = now
			t.step(p, evSilent)
		}
	}
	for _, p := range t.peers {
		if !partners[p.Name] {
			p.watched = 0
		}
		if p.machine.State() == stSuspected && now-p.suspected > SuspectFor {
			t.step(p, evHeard) // nobody renews it
		}
	}
}

// Slept tells that this process did not run for a while: silence in that
// time was its own.
func (t *Table) Slept(now time.Duration) {
	for _, p := range t.peers {
		p.LastHeard = max(p.LastHeard, now)
	}
}

// Suspicions returns what a heartbeat should pass on.
func (t *Table) Suspicions(now time.Duration) []Suspicion {
	var out []Suspicion
	for _, p := range t.peers {
		if p.machine.State() == stSuspected && now-p.suspected <= SuspectFor && len(out) < maxSuspicion {
			out = append(out, Suspicion{p.Name, p.suspected})
		}
	}
	return out
}

// BeatTo returns the partners this instance beats to. On a ring of hashed
// names they are 1, 4, 16, ... places further on, so that their number grows
// with the logarithm of the fleet, and so do the beats until all have heard
// what one knows. All of a small fleet are partners.
func (t *Table) BeatTo() []*Peer {
	ring := make([]*Peer, 0, len(t.peers))
	for _, p := range t.peers {
		if p.Name != t.self {
			ring = append(ring, p)
		}
	}
	own := xxhash.Sum64String(t.self)
	sort.Slice(ring, func(i, j int) bool {
		return xxhash.Sum64String(ring[i].Name)-own < xxhash.Sum64String(ring[j].Name)-own
	})
	if len(ring) <= fewPeers {
		return ring
	}
	var out []*Peer
	for at := 1; at <= len(ring); at *= fingerBase {
		out = append(out, ring[at-1])
	}
	return out
}

// Peer returns the peer called name, or nil.
func (t *Table) Peer(name string) *Peer { return t.peers[name] }

// Peers returns all listed instances by name, this one among them.
func (t *Table) Peers() []*Peer {
	out := make([]*Peer, 0, len(t.peers))
	for _, p := range t.peers {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// SetLeaving marks this instance as leaving in its own eyes.
func (t *Table) SetLeaving() {
	t.leaving = true
	t.version++
}

// SetDrained tells which instances an operator has drained.
func (t *Table) SetDrained(drained func(name string) bool) {
	t.drained = drained
	t.version++
}

// Usable returns the names of the instances that may be given work, this
// one included unless it is leaving.
func (t *Table) Usable() []string {
	var out []string
	for name, p := range t.peers {
		if t.drained(name) {
			continue
		}
		if name == t.self {
			if !t.leaving {
				out = append(out, name)
			}
		} else if p.Usable() {
			out = append(out, name)
		}
	}
	return out
}

// Rank orders names for job, best first, by rendezvous hashing.
func Rank(job string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	for i, n := range names {
		all[i] = scored{n, score(job, n)}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].name < all[j].name
	})
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.name
	}
	return out
}

func score(job, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(job)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

var (
	evHeard     = chart.Instance.Event("heard")
	evSilent    = chart.Instance.Event("silent")
	evLeave     = chart.Instance.Event("leave")
	evUnlisted  = chart.Instance.Event("unlisted")
	evListed    = chart.Instance.Event("listed")
	stListed    = chart.Instance.State("listed")
	stLive      = chart.Instance.State("live")
	stSuspected = chart.Instance.State("suspected")
)
