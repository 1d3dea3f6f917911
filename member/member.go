// Package member tracks the liveness of the other instances of a fleet.
//
// The platform publishes a list of instances that lags; heartbeats between instances detect
// failures sooner. A Table combines both: an instance is known if the list contains it, live while
// heartbeats arrive, suspected when this instance or a peer reports its silence, and leaving by its
// own announcement or by the list.
//
// Rank orders instances for a job by rendezvous hashing, so that all instances with the same list
// agree without communication. A Table does no I/O and is not safe for concurrent use.
package member

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"ivyridge/chart"
)

const (
	HeartbeatInterval = 200 * time.Millisecond
	SilenceTimeout    = 700 * time.Millisecond // three heartbeats missed
	SuspicionLifetime = 5 * time.Second        // lifetime of a suspicion that is not renewed
	SuspendThreshold  = 700 * time.Millisecond // a longer gap between ticks means that this process was suspended
	fullMeshPeers     = 8                      // up to this number, all peers are partners
	fingerBase        = 4                      // partners in a larger fleet are 1, 4, 16, ... positions ahead
	maxSuspicions     = 32                     // per heartbeat
)

// A State is the state of an instance or endpoint in the platform's list.
type State string

const (
	Live    State = "live"
	Leaving State = "leaving"
)

// An Instance is a router instance in the list.
type Instance struct {
	Name       string `json:"name"`
	Addr       string `json:"addr"`
	Operators  string `json:"operators,omitempty"`
	DataCentre string `json:"data_centre"`
	State      State  `json:"state"`
}

// An Endpoint is an endpoint in the list.
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

// A Heartbeat is the state that an instance sends to its partners.
type Heartbeat struct {
	Incarnation       uint64
	ConfigRevision    int64
	ListRevision      int64
	CommandVersion    int64
	SettledRevision   int64
	PlatformHeard     time.Duration // when the sender last heard the platform, on the receiver's clock
	Leaving, Ready    bool
	SuspectedBySender []Suspicion
}

// A Suspicion says that Instance has been silent since Since.
type Suspicion struct {
	Instance string
	Since    time.Duration
}

// A Peer is an instance in a Table.
type Peer struct {
	Instance
	LastHeartbeat Heartbeat
	LastHeard     time.Duration
	machine       chart.Machine
	suspected     time.Duration // time of the newest suspicion
	watchedSince  time.Duration // when this instance began to send it heartbeats
}

// State returns the name of the peer's state.
func (p *Peer) State() string { return p.machine.Name() }

// Usable reports whether p may be given work or queried.
func (p *Peer) Usable() bool {
	s := p.machine.State()
	return s == stListed || s == stLive
}

// A Table is one instance's view of the fleet.
type Table struct {
	self    string
	list    *List
	peers   map[string]*Peer
	version uint64 // see Version
	leaving bool
	drained func(name string) bool // by an operator command
}

// New returns the Table of the instance called self.
func New(self string) *Table {
	return &Table{self: self, list: new(List), peers: make(map[string]*Peer), drained: func(string) bool { return false }}
}

// List returns the list in force, which must not be changed.
func (t *Table) List() *List { return t.list }

// Version returns a number that is incremented whenever the set of usable instances may change.
func (t *Table) Version() uint64 { return t.version }

// SetList applies l and reports true, unless l is not newer than the list in force.
func (t *Table) SetList(now time.Duration, l List) bool {
	if l.Revision <= t.list.Revision {
		return false
	}
	t.list = &l
	t.version++
	listed := make(map[string]bool, len(l.Instances))
	for _, in := range l.Instances {
		listed[in.Name] = true
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
		if !listed[name] {
			p.machine.Step(evUnlisted)
			delete(t.peers, name)
		}
	}
	return true
}

// HandleHeartbeat applies h, a heartbeat of the instance called from or its answer to one. It
// reports whether that instance is in the list.
func (t *Table) HandleHeartbeat(now time.Duration, from string, h Heartbeat) bool {
	p := t.peers[from]
	if p == nil {
		return false
	}
	p.LastHeard, p.LastHeartbeat = now, h
	t.step(p, evHeard)
	if h.Leaving {
		t.step(p, evLeave)
	}
	for _, s := range h.SuspectedBySender {
		t.applySuspicion(now, s)
	}
	return true
}

func (t *Table) step(p *Peer, ev chart.Event) {
	if p.machine.Step(ev) {
		t.version++
	}
}

// applySuspicion ignores an expired suspicion and one of a peer that has been heard from since.
func (t *Table) applySuspicion(now time.Duration, s Suspicion) {
	p := t.peers[s.Instance]
	if p == nil || s.Instance == t.self || now-s.Since > SuspicionLifetime || p.LastHeard >= s.Since {
		return
	}
	p.suspected = max(p.suspected, s.Since)
	t.step(p, evSilent)
}

// Suspect records that a direct call to the instance called name failed.
func (t *Table) Suspect(now time.Duration, name string) {
	if p := t.peers[name]; p != nil && name != t.self {
		p.suspected = now
		t.step(p, evSilent)
	}
}

// Tick marks silent partners as suspected and drops expired suspicions.
func (t *Table) Tick(now time.Duration) {
	partners := make(map[string]bool)
	for _, p := range t.Partners() {
		partners[p.Name] = true
		if p.watchedSince == 0 {
			p.watchedSince = now
		}
		if now-max(p.LastHeard, p.watchedSince) > SilenceTimeout {
			p.suspected = now
			t.step(p, evSilent)
		}
	}
	for _, p := range t.peers {
		if !partners[p.Name] {
			p.watchedSince = 0
		}
		if p.machine.State() == stSuspected && now-p.suspected > SuspicionLifetime {
			t.step(p, evHeard) // not renewed
		}
	}
}

// ResetSilence discounts the silence of all peers until now, because this process was suspended.
func (t *Table) ResetSilence(now time.Duration) {
	for _, p := range t.peers {
		p.LastHeard = max(p.LastHeard, now)
	}
}

// Suspicions returns the suspicions to send in a heartbeat, at most maxSuspicions.
func (t *Table) Suspicions(now time.Duration) []Suspicion {
	var out []Suspicion
	for _, p := range t.peers {
		if p.machine.State() == stSuspected && now-p.suspected <= SuspicionLifetime && len(out) < maxSuspicions {
			out = append(out, Suspicion{p.Name, p.suspected})
		}
	}
	return out
}

// Partners returns the peers to which this instance sends heartbeats. In a large fleet they are 1,
// 4, 16, ... positions ahead on a ring of hashed names, so that their number and the rounds until a
// change reaches all instances grow with the logarithm of the fleet.
func (t *Table) Partners() []*Peer {
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
	if len(ring) <= fullMeshPeers {
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

// Peers returns all listed instances sorted by name, including this one.
func (t *Table) Peers() []*Peer {
	out := make([]*Peer, 0, len(t.peers))
	for _, p := range t.peers {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// SetLeaving marks this instance as leaving in its own table.
func (t *Table) SetLeaving() {
	t.leaving = true
	t.version++
}

// SetDrained sets the function that reports whether an operator drained an instance.
func (t *Table) SetDrained(drained func(name string) bool) {
	t.drained = drained
	t.version++
}

// Usable returns the names of the instances that may be given work, in no particular order. It
// includes this one unless it is leaving.
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

// Rank returns names ordered for job by rendezvous hashing, best first.
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
