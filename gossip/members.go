package gossip

// This file keeps the picture of the other instances. It does no I/O.

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"ivyridge/balance"
	"ivyridge/inventory"
	"ivyridge/quota"
)

// Times of membership.
const (
	quietFor     = 400 * time.Millisecond // what is to be heard soon is said so often though there is no news
	silentBeats  = 3                      // that a member may miss
	silentLeast  = 1500 * time.Millisecond
	helloEvery   = 500 * time.Millisecond // to seeds and named addresses that are not heard
	helloEarly   = 100 * time.Millisecond // the same, soon after the start
	earlyFor     = 3 * time.Second
	peersNamed   = 6               // addresses in a message
	peersWelcome = 16              // addresses in the first message to a new member
	unheardFor   = 5 * time.Second // an address that was only named is tried so long
)

// A Member is another instance.
type Member struct {
	Address    string // IP:port of its gossip
	ID         uint64
	DataCentre string
	Cores      float64
	Leaving    bool
	Warm       bool    // it has scheduled for some time
	Part       float64 // of the retries
	Divides    bool    // limits
	Revision   int64
	Proved     time.Time // of its beliefs, on this instance's clock, at the earliest; zero: not known

	heard time.Time // zero if it was only named
	named time.Time
	token uint32          // the last it sent
	next  time.Duration   // within which it speaks again
	hears int             // instances
	level int             // what it understands
	mark  *inventory.Mark // what it runs; nil: it does not tell

	hearsHome int // instances of its region
}

// silentAfter returns how long m may be silent before it is taken for lost.
func (m *Member) silentAfter() time.Duration { return max(silentLeast, silentBeats*m.next) }

// members holds the other instances by address.
type members struct {
	self  Member // this instance; its address is learnt from nobody
	seeds []string
	all   map[string]*Member
	// ordered are those of all that were heard, by address: sorted anew at each beat, 600 took
	// three fifths of an instance's time for gossip.
	ordered []*Member
	changed bool               // a member came since they were last looked through
	lost    map[string]*Member // not heard any more

	regions balance.Regions // by data centre
	several bool            // there is more than one region
	home    int             // instances of the own region that are heard, this one among them; zero: there is one region

	roles   roles
	rolesAt time.Time // zero: to be worked out anew
	since   time.Time // this instance has been a scheduler since then; zero: it is none

	coldClaim, retryClaim quota.Claim
}

func newMembers(self Member, seeds []string) *members {
	return &members{self: self, seeds: seeds, all: make(map[string]*Member)}
}

// live calls visit for the members that are heard, in the order of their
// addresses.
func (s *members) live(now time.Time, visit func(*Member)) {
	for _, m := range s.ordered {
		if now.Sub(m.heard) < m.silentAfter() {
			visit(m)
		}
	}
}

// add takes up a member that is heard, in place of one that had its address.
func (s *members) add(m *Member) {
	s.all[m.Address] = m
	s.changed = true
	at, there := s.place(m.Address)
	if there {
		s.ordered[at] = m
		return
	}
	s.ordered = slices.Insert(s.ordered, at, m)
}

// drop removes a member that was heard.
func (s *members) drop(m *Member) {
	delete(s.all, m.Address)
	if at, there := s.place(m.Address); there {
		s.ordered = slices.Delete(s.ordered, at, at+1)
	}
}

// place returns where an address stands in ordered, or would stand.
func (s *members) place(address string) (at int, there bool) {
	return slices.BinarySearchFunc(s.ordered, address, func(m *Member, address string) int { return strings.Compare(m.Address, address) })
}

// count returns how many instances this one hears, itself among them, and how
// many it or another one hears. Only the first is told on: what was told, told
// again, would keep instances that are gone in the count for ever.
func (s *members) count(now time.Time) (heard, most int) {
	heard = 1
	told := 0
	s.live(now, func(m *Member) {
		heard++
		told = max(told, m.hears)
	})
	if s.several {
		var abroad int
		s.home, abroad = s.hearsHome(now)
		heard = max(heard, s.home+abroad)
	}
	return heard, max(heard, told)
}

// heard takes up a message, and reports whether its sender is new.
func (s *members) heard(now time.Time, from string, m *Message, proved time.Time) (fresh bool) {
	if m.Sender == s.self.ID || from == s.self.Address {
		return false
	}
	member := s.all[from]
	if member == nil || member.heard.IsZero() || member.ID != m.Sender {
		member = &Member{Address: from, ID: m.Sender}
		s.add(member)
		delete(s.lost, from)
		fresh = true
	}
	if fresh || member.Leaving != m.Leaving || member.Warm != m.Warm || member.level != m.Level {
		s.rolesAt = time.Time{}
	}
	member.DataCentre = m.DataCentre
	member.Cores = m.Cores
	member.Leaving = m.Leaving
	member.Warm = m.Warm
	member.heard = now
	member.next = m.Next
	member.hears = m.Hears
	member.level = m.Level
	member.Part = m.Part
	member.Divides = m.Divides
	member.hearsHome = m.HearsHome
	member.token = m.Token
	member.Revision = m.Revision
	if m.Mark != nil {
		member.mark = m.Mark
	}
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
	if address == s.self.Address {
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
		case !m.heard.IsZero() && now.Sub(m.heard) > m.silentAfter():
			gone = append(gone, m.ID)
			s.lose(m)
			s.drop(m)
			s.rolesAt = time.Time{}
		}
	}
	return gone
}

// unheard returns the addresses that are named, by others or, if seeds is set, by
// the settings, and not heard yet.
func (s *members) unheard(seeds bool) []string {
	var out []string
	for address, m := range s.all {
		if m.heard.IsZero() {
			out = append(out, address)
		}
	}
	if !seeds {
		return out
	}
	for _, seed := range s.seeds {
		if s.all[seed] == nil && seed != s.self.Address {
			out = append(out, seed)
		}
	}
	return out
}

// sample returns some addresses of members that another instance is to be told
// of.
func sample(of []*Member) []string {
	out := addresses(of)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), peersNamed)]
}

// welcome returns the addresses that a new member should hear first.
func (s *members) welcome() []string {
	out := addresses(s.roles.home)
	return out[:min(len(out), peersWelcome)]
}

// connected reports whether a scheduler of another data centre is heard: whoever
// hears one need not ask seeds for the others.
func (s *members) connected() bool {
	if s.roles.divided && len(s.roles.homeBeyond) == 0 {
		return len(s.roles.home) > 0
	}
	return slices.ContainsFunc(s.roles.schedulers, func(m *Member) bool { return m.DataCentre != s.self.DataCentre })
}

// isSeed reports whether the settings name this instance as a seed.
func (s *members) isSeed() bool { return slices.Contains(s.seeds, s.self.Address) }
