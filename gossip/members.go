package gossip

// This file keeps the picture of the other instances. It does no I/O.

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Times of membership. An instance beats to all others; the pause between
// beats grows with the fleet, so that what one receives hardly does.
const (
	beatLeast     = 40 * time.Millisecond
	beatMost      = time.Second
	beatPerMember = 6 * time.Millisecond
	quietFor      = 400 * time.Millisecond // a beat is sent though there is nothing to say
	wholeBeats    = 4                      // every so many beats tell everything, and not sooner than quietFor
	silentBeats   = 5                      // that a member may miss
	silentLeast   = 1500 * time.Millisecond
	helloEvery    = 500 * time.Millisecond // to seeds that are not heard
	helloEarly    = 100 * time.Millisecond // the same, soon after the start
	earlyFor      = 3 * time.Second
	peersNamed    = 6               // addresses in a message
	unheardFor    = 5 * time.Second // an address that was only named is tried so long
)

// A Member is another instance.
type Member struct {
	Address  string // IP:port of its gossip
	ID       uint64
	Zone     string
	Leaving  bool
	Revision int64
	Proved   time.Time // of its beliefs, on this instance's clock, at the earliest; zero: not known
	heard    time.Time // zero if it was only named
	named    time.Time
	token    uint32 // the last it sent
}

// members holds the other instances by address.
type members struct {
	self  uint64
	own   string // address; learnt from nobody, never a member
	seeds []string
	all   map[string]*Member
}

func newMembers(self uint64, own string, seeds []string) *members {
	return &members{self: self, own: own, seeds: seeds, all: make(map[string]*Member)}
}

// interval is the pause between beats.
func (s *members) interval() time.Duration {
	return min(max(time.Duration(len(s.all)+1)*beatPerMember, beatLeast), beatMost)
}

func (s *members) silentAfter() time.Duration {
	return max(silentLeast, silentBeats*max(s.interval(), quietFor)/2)
}

// live calls visit for the members that are heard, in the order of their
// addresses.
func (s *members) live(now time.Time, visit func(*Member)) {
	addresses := make([]string, 0, len(s.all))
	for address, m := range s.all {
		if !m.heard.IsZero() && now.Sub(m.heard) < s.silentAfter() {
			addresses = append(addresses, address)
		}
	}
	sort.Strings(addresses)
	for _, address := range addresses {
		visit(s.all[address])
	}
}

// heard takes up a message, and reports whether its sender is new.
func (s *members) heard(now time.Time, from string, m *Message, proved time.Time) (fresh bool) {
	if m.Sender == s.self || from == s.own {
		return false
	}
	member := s.all[from]
	if member == nil || member.heard.IsZero() || member.ID != m.Sender {
		member = &Member{Address: from, ID: m.Sender}
		s.all[from] = member
		fresh = true
	}
	member.Zone = m.Zone
	member.Leaving = m.Leaving
	member.heard = now
	member.token = m.Token
	member.Revision = m.Revision
	if proved.After(member.Proved) {
		member.Proved = proved
	}
	for _, address := range m.Peers {
		s.name(now, address)
	}
	return fresh
}

// name notes an address that another instance hears.
func (s *members) name(now time.Time, address string) {
	if address == s.own {
		return
	}
	if m := s.all[address]; m == nil {
		s.all[address] = &Member{Address: address, named: now}
	} else if m.heard.IsZero() {
		m.named = now
	}
}

// forget drops the members that have long been silent, and returns their IDs.
func (s *members) forget(now time.Time) []uint64 {
	var gone []uint64
	for address, m := range s.all {
		switch {
		case m.heard.IsZero() && now.Sub(m.named) > unheardFor:
			delete(s.all, address)
		case !m.heard.IsZero() && now.Sub(m.heard) > s.silentAfter():
			gone = append(gone, m.ID)
			delete(s.all, address)
		}
	}
	return gone
}

// receivers returns the addresses to beat to: all members, and the seeds.
func (s *members) receivers(seeds bool) []string {
	out := make([]string, 0, len(s.all)+len(s.seeds))
	for address := range s.all {
		out = append(out, address)
	}
	if !seeds {
		return out
	}
	for _, seed := range s.seeds {
		if s.all[seed] == nil && seed != s.own {
			out = append(out, seed)
		}
	}
	return out
}

// sample returns some addresses that are heard.
func (s *members) sample(now time.Time) []string {
	var out []string
	s.live(now, func(m *Member) { out = append(out, m.Address) })
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), peersNamed)]
}
