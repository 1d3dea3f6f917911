package gossip

// This file tracks the other instances. It does no I/O.

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"ivyridge/balance"
	"ivyridge/inventory"
	"ivyridge/quota"
)

const (
	maxUpdateInterval    = 400 * time.Millisecond // longest pause between messages to members that need frequent updates
	missedHeartbeats     = 3                      // missed before a member times out
	minMemberTimeout     = 1500 * time.Millisecond
	probeInterval        = 500 * time.Millisecond // to seeds and candidate addresses
	startupProbeInterval = 100 * time.Millisecond // the same, shortly after the start
	startupPeriod        = 3 * time.Second
	peersPerMessage      = 6               // addresses in a message
	maxInitialPeers      = 16              // addresses in the first message to a new member
	candidateTTL         = 5 * time.Second // how long an address advertised by others is tried
)

// A Member is another instance.
type Member struct {
	Address         string // IP:port of its gossip socket
	ID              uint64
	DataCentre      string
	Cores           float64
	Leaving         bool
	WarmedUp        bool    // it has been a scheduler for at least the warm-up period
	RetryShare      float64 // of the retry budget
	AllocatesLimits bool    // it may allocate endpoint rate limits
	Revision        int64
	ValidatedAt     time.Time // lower bound, on this instance's clock, of when its state was last current; zero: not known

	lastHeard      time.Time // zero if only its address was advertised by others
	lastAdvertised time.Time
	token          uint32             // last one received
	nextWithin     time.Duration      // it sends again within this time
	fleetSize      int                // live instances that it reports
	protocol       int                // version that it supports
	summary        *inventory.Summary // build and settings; nil: not announced

	regionSize int // live instances that it reports for its region
}

// timeout returns how long m may be silent before it counts as lost.
func (m *Member) timeout() time.Duration { return max(minMemberTimeout, missedHeartbeats*m.nextWithin) }

// TakesForwarded reports whether m runs a build that handles forwarded requests.
func (m *Member) TakesForwarded() bool { return m.protocol >= protocolForward }

// KnowsSoftware reports whether m runs a build that keeps streams at their software version.
func (m *Member) KnowsSoftware() bool { return m.protocol >= protocolSoftware }

// members holds the other instances by address.
type members struct {
	self      Member // this instance; its address comes from the settings
	seeds     []string
	byAddress map[string]*Member
	// sorted holds the members that were heard from, by address. It is kept sorted on insertion,
	// since sorting at each tick would dominate the cost in a large fleet.
	sorted  []*Member
	changed bool               // a member joined since the last prune
	lost    map[string]*Member // members that timed out

	regions     balance.Regions // by data centre
	multiRegion bool
	regionSize  int // live instances of this region, this one included; zero: there is one region

	roles           roles
	rolesComputedAt time.Time // zero: roles must be recomputed
	schedulerSince  time.Time // when this instance became a scheduler; zero: it is none

	coldClaim, retryClaim quota.Claim
}

func newMembers(self Member, seeds []string) *members {
	return &members{self: self, seeds: seeds, byAddress: make(map[string]*Member)}
}

// eachLive calls visit for each live member, in order of address.
func (s *members) eachLive(now time.Time, visit func(*Member)) {
	for _, m := range s.sorted {
		if now.Sub(m.lastHeard) < m.timeout() {
			visit(m)
		}
	}
}

// add inserts a member that was heard from, and replaces one with the same address.
func (s *members) add(m *Member) {
	s.byAddress[m.Address] = m
	s.changed = true
	at, found := s.search(m.Address)
	if found {
		s.sorted[at] = m
		return
	}
	s.sorted = slices.Insert(s.sorted, at, m)
}

func (s *members) remove(m *Member) {
	delete(s.byAddress, m.Address)
	if at, found := s.search(m.Address); found {
		s.sorted = slices.Delete(s.sorted, at, at+1)
	}
}

// search returns the index of address in sorted, or the index at which it would be inserted.
func (s *members) search(address string) (at int, found bool) {
	return slices.BinarySearchFunc(s.sorted, address, func(m *Member, address string) int { return strings.Compare(m.Address, address) })
}

// count returns the number of live instances that this one receives from or that other regions
// report as theirs, itself included, and the largest number known to any instance. Only the first
// is announced: announcing reported numbers would keep lost instances in the count forever.
func (s *members) count(now time.Time) (direct, total int) {
	direct = 1
	reported := 0
	s.eachLive(now, func(m *Member) {
		direct++
		reported = max(reported, m.fleetSize)
	})
	if s.multiRegion {
		var remote int
		s.regionSize, remote = s.countByRegion(now)
		direct = max(direct, s.regionSize+remote)
	}
	return direct, max(direct, reported)
}

// observe records message m from the address from, and reports whether its sender is new.
func (s *members) observe(now time.Time, from string, m *Message, confirmedAt time.Time) (joined bool) {
	if m.Sender == s.self.ID || from == s.self.Address {
		return false
	}
	member := s.byAddress[from]
	if member == nil || member.lastHeard.IsZero() || member.ID != m.Sender {
		member = &Member{Address: from, ID: m.Sender}
		s.add(member)
		delete(s.lost, from)
		joined = true
	}
	if joined || member.Leaving != m.Leaving || member.WarmedUp != m.WarmedUp || member.protocol != m.Protocol {
		s.rolesComputedAt = time.Time{}
	}
	member.DataCentre = m.DataCentre
	member.Cores = m.Cores
	member.Leaving = m.Leaving
	member.WarmedUp = m.WarmedUp
	member.lastHeard = now
	member.nextWithin = m.NextWithin
	member.fleetSize = m.FleetSize
	member.protocol = m.Protocol
	member.RetryShare = m.RetryShare
	member.AllocatesLimits = m.AllocatesLimits
	member.regionSize = m.RegionSize
	member.token = m.Token
	member.Revision = m.Revision
	if m.Summary != nil {
		member.summary = m.Summary
	}
	if confirmedAt.After(member.ValidatedAt) {
		member.ValidatedAt = confirmedAt
	}
	for _, address := range m.Peers {
		s.addCandidate(now, address)
	}
	return joined
}

// addCandidate records that another instance advertised address.
func (s *members) addCandidate(now time.Time, address string) {
	if address == s.self.Address {
		return
	}
	if m := s.byAddress[address]; m == nil {
		s.byAddress[address] = &Member{Address: address, lastAdvertised: now}
	} else if m.lastHeard.IsZero() {
		m.lastAdvertised = now
	}
}

// prune drops members that have timed out, and returns their IDs.
func (s *members) prune(now time.Time) []uint64 {
	var timedOut []uint64
	for address, m := range s.byAddress {
		switch {
		case m.lastHeard.IsZero() && now.Sub(m.lastAdvertised) > candidateTTL:
			delete(s.byAddress, address)
		case !m.lastHeard.IsZero() && now.Sub(m.lastHeard) > m.timeout():
			timedOut = append(timedOut, m.ID)
			s.recordLost(m)
			s.remove(m)
			s.rolesComputedAt = time.Time{}
		}
	}
	return timedOut
}

// candidates returns advertised addresses not heard from yet and, if seeds is set, unknown seeds.
func (s *members) candidates(seeds bool) []string {
	var out []string
	for address, m := range s.byAddress {
		if m.lastHeard.IsZero() {
			out = append(out, address)
		}
	}
	if !seeds {
		return out
	}
	for _, seed := range s.seeds {
		if s.byAddress[seed] == nil && seed != s.self.Address {
			out = append(out, seed)
		}
	}
	return out
}

// samplePeers returns up to peersPerMessage random addresses.
func samplePeers(members []*Member) []string {
	out := addresses(members)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), peersPerMessage)]
}

// initialPeers returns the addresses to send to a new member.
func (s *members) initialPeers() []string {
	out := addresses(s.roles.regionSchedulers)
	return out[:min(len(out), maxInitialPeers)]
}

// connected reports whether this instance knows enough schedulers to need no seeds: another one in
// its region if regions use gateways, otherwise one in another data centre.
func (s *members) connected() bool {
	if s.roles.useGateways && len(s.roles.regionRemoteSchedulers) == 0 {
		return len(s.roles.regionSchedulers) > 0
	}
	return slices.ContainsFunc(s.roles.schedulers, func(m *Member) bool { return m.DataCentre != s.self.DataCentre })
}

func (s *members) isSeed() bool { return slices.Contains(s.seeds, s.self.Address) }
