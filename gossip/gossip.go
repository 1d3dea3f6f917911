// Package gossip lets instances tell each other, in datagrams, what they run
// at endpoints, which prompts they place, and how fresh their beliefs are.
//
// Instances find each other through seeds and through the addresses that
// messages name; nothing is agreed on, and a lost datagram costs a little
// accuracy. In a large fleet a few instances of each data centre, its
// schedulers, choose endpoints for the others, which ask them in one datagram
// and are answered in one: see roles.go. A proof of beliefs travels with its age and is dated by an echo:
// the receiver takes the instant at which it sent the token that came back,
// less the age, so that neither the time on the way nor a pause of either
// process can make a belief look younger than it is.
package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/belief"
	"ivyridge/inventory"
	"ivyridge/poison"
)

// Bounds on datagrams.
const (
	maxDatagram = 1400
	readSize    = 64 << 10
	noticeBytes = 60 // of one notice, about
	reportBytes = 20 // of one report, about
	sumBytes    = 50 // of one report that sums up a data centre, about
	headBytes   = 260
)

// tokensKept is how many own tokens are remembered with their instants.
const tokensKept = 512

// Options assemble a Gossip.
type Options struct {
	Address    string // IP:port to listen at
	DataCentre string // this instance's data centre
	// DataCentres is how many there are, as settings say; zero: as many as are heard.
	DataCentres int
	// Regions gives the region of each data centre, as settings say.
	Regions  balance.Regions
	Cores    float64  // of this instance's machine
	Seeds    []string // IP:port of other instances' gossip
	Beliefs  *belief.Table
	Balancer *balance.Balancer
	Log      *zap.Logger
	Count    func(event string)
	Mark     func() inventory.Mark // what this instance runs; nil: it does not tell
	// Beyond, if set, is told the bytes that are sent to other regions, by what they say.
	Beyond func(kind string, bytes int)
	Now    func() time.Time
	// Suspects holds the requests that end endpoints; nil: nothing is told of them.
	Suspects *poison.Table
	// SuspectNews, if set, is told what other instances told that was new of them.
	SuspectNews func([]poison.Entry)
	// PullSuspects returns all that the instance with a gossip address holds of them, as
	// SuspectsHandler answers; nil: nobody is asked.
	PullSuspects func(address string) ([]byte, error)
	// Instances is told how many instances are heard, this one among them, and
	// within which time they tell what they run.
	Instances func(n int, told time.Duration)
}

// A Gossip speaks to the other instances. It is safe for concurrent use.
type Gossip struct {
	Options
	id   uint64
	conn packetConn

	mu       sync.Mutex
	members  *members
	addrs    map[string]netip.AddrPort
	token    uint32
	sent     [tokensKept]time.Time // by token
	began    time.Time
	forgotAt time.Time // members were last looked through
	hello    time.Time
	heard    int           // instances that are heard, this one among them
	count    int           // that there are, as far as this or another one hears
	newer    chan struct{} // closed when a member knows a newer revision
	asks     uint64
	pending  map[uint64]chan balance.Choice // by the number of the ask
	silences map[string]*silence            // by address
	unlent   map[string]time.Time           // when no other instance had a retry, by the name of the service
	told     audiences
	part     float64 // of the retries
	dividing dividing

	teamsLogged time.Time // the last look for teams that are limited
	beyond      beyond
	link        link
	pull        suspectsPull
	background  func(func()) // runs what waits for another instance

	announced bool // that there are first beliefs
	proofOld  bool // the proof has grown old and was not renewed since
}

// A packetConn sends and receives datagrams; *net.UDPConn is one.
type packetConn interface {
	WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error)
	ReadFromUDPAddrPort(buf []byte) (int, netip.AddrPort, error)
	Close() error
}

// Listen opens the socket.
func Listen(o Options) (*Gossip, error) {
	address, err := net.ResolveUDPAddr("udp4", o.Address)
	if err != nil {
		return nil, errors.Wrap(err, "gossip")
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "gossip")
	}
	return newGossip(o, rand.Uint64()|1, conn), nil
}

func newGossip(o Options, id uint64, conn packetConn) *Gossip {
	g := &Gossip{
		Options: o, id: id, conn: conn, began: o.Now(),
		addrs: make(map[string]netip.AddrPort), newer: make(chan struct{}),
		pending: make(map[uint64]chan balance.Choice), silences: make(map[string]*silence), unlent: make(map[string]time.Time),
	}
	g.members = newMembers(Member{Address: o.Address, ID: id, DataCentre: o.DataCentre, Cores: o.Cores}, o.Seeds)
	g.members.setRegions(o.Regions)
	g.link = newLink()
	g.dividing.pending, g.dividing.late = make(map[uint64]chan Permit), make(map[uint64]latePermit)
	g.background = func(f func()) { go f() }
	return g
}

// Run speaks and listens until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() })
	defer stop()
	go g.receive()
	for ctx.Err() == nil {
		g.beat()
		select {
		case <-ctx.Done():
		case <-time.After(g.interval()):
		}
	}
}

func (g *Gossip) interval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.current(g.Now()).interval()
}

// Leave tells the others that this instance stops.
func (g *Gossip) Leave() {
	g.mu.Lock()
	g.members.self.Leaving = true
	g.told = audiences{}
	g.beyond.told, g.beyond.abroad = audience{}, audience{}
	g.mu.Unlock()
	g.beat()
}

// SetSeeds replaces the seeds.
func (g *Gossip) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members.seeds = seeds
}

// Members returns the instances that are heard.
func (g *Gossip) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Member
	g.members.live(g.Now(), func(m *Member) { out = append(out, *m) })
	return out
}

// Schedulers returns the other schedulers, and whether this instance is one.
func (g *Gossip) Schedulers() (others []Member, schedules bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.members.current(g.Now())
	for _, m := range r.schedulers {
		others = append(others, *m)
	}
	return others, r.schedules
}

// Upstreams returns the schedulers whose beliefs this instance may follow, the
// first one first, and the newest revision that any scheduler is known to have.
// The first scheduler of a data centre follows none.
func (g *Gossip) Upstreams() (upstreams []Member, newest int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.members.current(g.Now())
	for _, m := range r.schedulers {
		newest = max(newest, m.Revision)
	}
	follows := r.asked
	if r.schedules {
		follows = r.ahead
	}
	for _, m := range follows {
		upstreams = append(upstreams, *m)
	}
	return upstreams, newest
}

// Readers returns how many instances follow the store itself: one in each data
// centre.
func (g *Gossip) Readers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.current(g.Now()).readers
}

// Crowd returns how many instances there are that schedule nothing, if schedulers
// of this one's data centre are heard; otherwise one: cut off, it is alone.
func (g *Gossip) Crowd() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	r := g.members.current(now)
	for _, m := range r.asked {
		if now.Sub(m.heard) < silentLeast {
			return max(1, g.count-len(r.schedulers))
		}
	}
	return 1
}

// ID returns what names this instance among the others; it is new at every
// start.
func (g *Gossip) ID() uint64 { return g.id }

// Newer returns a channel that is closed once a member knows a revision that
// this instance does not.
func (g *Gossip) Newer() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.newer
}

func (g *Gossip) message(now time.Time) *Message {
	g.token++
	g.sent[g.token%tokensKept] = now
	proof, proved := g.Beliefs.Proof()
	m := &Message{Sender: g.id, DataCentre: g.DataCentre, Leaving: g.members.self.Leaving, Token: g.token, Revision: proof.Revision, Age: -time.Millisecond,
		Cores: g.Cores, Warm: g.members.self.Warm, Hears: g.heard, Level: levelNow, Part: g.part}
	m.HearsHome = g.members.home
	m.Divides = g.dividing.part.Share(now) > 0
	if g.Suspects != nil {
		m.Digest = g.Suspects.Digest()
	}
	if proved {
		// Not as of now, which may lie before the arrival of the token that is
		// echoed: the receiver would date the proof too late.
		m.Age = g.Now().Sub(proof.At).Truncate(time.Millisecond) + time.Millisecond
	}
	return m
}

func (g *Gossip) send(m *Message, receivers []string) {
	common := m.Append(make([]byte, 0, maxDatagram))
	for _, receiver := range receivers {
		to, ok := g.resolve(receiver)
		if !ok {
			continue
		}
		data := common
		if member := g.members.all[receiver]; member != nil && member.token != 0 {
			data = appendHeld(appendEcho(common, member.token), g.held(member))
		}
		if _, err := g.conn.WriteToUDPAddrPort(data, to); err != nil {
			g.Count("send-failed")
			continue
		}
		g.Count("sent")
		g.countBeyond(m, receiver, len(data))
	}
}

func (g *Gossip) resolve(address string) (netip.AddrPort, bool) {
	to, ok := g.addrs[address]
	if ok {
		return to, true
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return to, false
	}
	g.addrs[address] = to
	return to, true
}

// forgetEvery is the pause between looks for instances that are not heard any more, which may
// be silent for much longer than that.
const forgetEvery = 100 * time.Millisecond

// forget drops the instances that are not heard any more, and counts the others. The caller holds
// g.mu.
func (g *Gossip) forget(now time.Time) {
	if now.Sub(g.forgotAt) < forgetEvery && !g.members.changed {
		return
	}
	g.forgotAt, g.members.changed = now, false
	for _, id := range g.members.forget(now) {
		g.Balancer.Merge(id, nil, nil, true)
		g.Log.Info("instance lost", zap.Uint64("member", id))
	}
	g.recount(now)
}

func (g *Gossip) recount(now time.Time) {
	var n int
	g.heard, n = g.members.count(now)
	if n != g.count {
		g.count = n
		g.Log.Info("instances heard", zap.Int("count", n))
		g.Instances(n, g.members.current(now).told(n))
	}
}

func (g *Gossip) receive() {
	buf := make([]byte, readSize)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an answer to an earlier datagram that could not be delivered
		}
		m, err := Decode(buf[:n])
		if err != nil {
			g.Count("unreadable")
			continue
		}
		g.take(from, m)
	}
}

// take takes up a message.
func (g *Gossip) take(from netip.AddrPort, m *Message) {
	switch {
	case m.Sender == g.id:
		return
	case m.Ask != nil:
		g.grant(from, m.Sender, m.Ask)
		return
	case m.Grant != nil:
		g.settle(m.Grant)
		return
	case m.PermitAsk != nil:
		g.grantPermit(from, m.PermitAsk)
		return
	case m.Permit != nil:
		g.settlePermit(m.Permit)
		return
	}
	now := g.Now()
	address := from.String()
	g.mu.Lock()
	proved := g.dated(m)
	g.measure(now, m)
	fresh := g.members.heard(now, address, m, proved)
	newer := m.Revision > g.Beliefs.View().Revision
	if newer {
		close(g.newer)
		g.newer = make(chan struct{})
	}
	if fresh {
		g.welcome(now, address)
	}
	g.takeSums(now, m)
	g.takeRegion(now, m)
	g.collect(now, m)
	g.takeSuspects(now, address, m)
	g.mu.Unlock()
	g.Count("received")
	if fresh {
		g.Log.Info("instance heard", zap.String("address", address), zap.Uint64("member", m.Sender), zap.String("data_centre", m.DataCentre))
	}
	if !proved.IsZero() {
		g.Beliefs.Confirm(m.Revision, proved)
	}
	g.Balancer.Merge(m.Sender, m.Notices, m.Reports, m.Whole)
	g.Balancer.MergeTeams(m.Sender, m.Teams)
}

// dated returns the instant, on this instance's clock, from which the
// sender's beliefs are proved at the latest; zero if that can't be told.
func (g *Gossip) dated(m *Message) time.Time {
	if m.Age < 0 || m.Echo == 0 || m.Echo > g.token || g.token-m.Echo >= tokensKept {
		return time.Time{}
	}
	return g.sent[m.Echo%tokensKept].Add(-m.Age)
}
