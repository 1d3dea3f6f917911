// Package gossip lets instances tell each other, in datagrams, what they run
// at endpoints, which prompts they place, and how fresh their beliefs are.
//
// Instances find each other through seeds and through the addresses that
// messages name; nothing is agreed on, and a lost datagram costs a little
// accuracy. A proof of beliefs travels with its age and is dated by an echo:
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
)

// Bounds on datagrams.
const (
	maxDatagram = 1400
	readSize    = 64 << 10
	noticeBytes = 60 // of one notice, about
	headBytes   = 260
)

// tokensKept is how many own tokens are remembered with their instants.
const tokensKept = 256

// Options assemble a Gossip.
type Options struct {
	Address  string   // IP:port to listen at
	Zone     string   // this instance's data centre
	Seeds    []string // IP:port of other instances' gossip
	Beliefs  *belief.Table
	Balancer *balance.Balancer
	Log      *zap.Logger
	Count    func(event string)
	Now      func() time.Time
	// Instances is told how many instances are heard, this one among them.
	Instances func(n int)
}

// A Gossip speaks to the other instances. It is safe for concurrent use.
type Gossip struct {
	Options
	id   uint64
	conn *net.UDPConn

	mu        sync.Mutex
	members   *members
	addrs     map[string]netip.AddrPort
	token     uint32
	sent      [tokensKept]time.Time // by token
	began     time.Time
	lastWhole time.Time
	lastBeat  time.Time
	hello     time.Time
	leaving   bool
	count     int
	newer     chan struct{} // closed when a member knows a newer revision
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
	g := &Gossip{Options: o, id: rand.Uint64() | 1, conn: conn, began: o.Now(), addrs: make(map[string]netip.AddrPort), newer: make(chan struct{})}
	g.members = newMembers(g.id, o.Address, o.Seeds)
	return g, nil
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
	return g.members.interval()
}

// Leave tells the others that this instance stops.
func (g *Gossip) Leave() {
	g.mu.Lock()
	g.leaving = true
	g.lastWhole = time.Time{}
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

// beat sends what there is to say. A quiet instance beats seldom.
func (g *Gossip) beat() {
	notices := g.Balancer.Placed()
	now := g.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forget(now)
	whole := now.Sub(g.lastWhole) >= max(quietFor, wholeBeats*g.members.interval())
	reports := g.Balancer.Reports(whole)
	if whole {
		g.lastWhole = now
	}
	early := now.Sub(g.began) < earlyFor
	if len(notices) == 0 && len(reports) == 0 && !whole && !early && now.Sub(g.lastBeat) < quietFor {
		return
	}
	g.lastBeat = now
	m := g.message(now)
	m.Reports, m.Whole = reports, whole
	seeds := now.Sub(g.hello) >= g.helloEvery(now)
	if seeds {
		g.hello = now
		m.Peers = g.members.sample(now)
	}
	receivers := g.members.receivers(seeds)
	for {
		room := max(1, (maxDatagram-headBytes-reportBytes*len(m.Reports))/noticeBytes)
		n := min(room, len(notices))
		m.Notices, notices = notices[:n], notices[n:]
		g.send(m, receivers)
		if len(notices) == 0 {
			return
		}
		m.Reports, m.Whole, m.Peers = nil, false, nil
	}
}

func (g *Gossip) helloEvery(now time.Time) time.Duration {
	if now.Sub(g.began) < earlyFor {
		return helloEarly
	}
	return helloEvery
}

// reportBytes is the size of one report, about.
const reportBytes = 20

func (g *Gossip) message(now time.Time) *Message {
	g.token++
	g.sent[g.token%tokensKept] = now
	m := &Message{Sender: g.id, Zone: g.Zone, Leaving: g.leaving, Token: g.token, Revision: g.Beliefs.View().Revision, Age: -time.Millisecond}
	if age, ok := g.Beliefs.Age(); ok {
		m.Age = age.Truncate(time.Millisecond) + time.Millisecond
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
			data = appendEcho(common, member.token)
		}
		if _, err := g.conn.WriteToUDPAddrPort(data, to); err != nil {
			g.Count("send-failed")
			continue
		}
		g.Count("sent")
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

func (g *Gossip) forget(now time.Time) {
	for _, id := range g.members.forget(now) {
		g.Balancer.Heard(id, nil, nil, true)
		g.Log.Info("instance lost", zap.Uint64("member", id))
	}
	g.recount(now)
}

func (g *Gossip) recount(now time.Time) {
	n := 1
	g.members.live(now, func(*Member) { n++ })
	if n != g.count {
		g.count = n
		g.Log.Info("instances heard", zap.Int("count", n))
		g.Instances(n)
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
		g.take(from.String(), m)
	}
}

// take takes up a message.
func (g *Gossip) take(from string, m *Message) {
	if m.Sender == g.id {
		return
	}
	now := g.Now()
	g.mu.Lock()
	proved := g.dated(m)
	fresh := g.members.heard(now, from, m, proved)
	newer := m.Revision > g.Beliefs.View().Revision
	if newer {
		close(g.newer)
		g.newer = make(chan struct{})
	}
	g.mu.Unlock()
	g.Count("received")
	if fresh {
		g.Log.Info("instance heard", zap.String("address", from), zap.Uint64("member", m.Sender), zap.String("data_centre", m.Zone))
	}
	if !proved.IsZero() {
		g.Beliefs.Confirm(m.Revision, proved)
	}
	g.Balancer.Heard(m.Sender, m.Notices, m.Reports, m.Whole)
}

// dated returns the instant, on this instance's clock, from which the
// sender's beliefs are proved at the latest; zero if that can't be told.
func (g *Gossip) dated(m *Message) time.Time {
	if m.Age < 0 || m.Echo == 0 || m.Echo > g.token || g.token-m.Echo >= tokensKept {
		return time.Time{}
	}
	return g.sent[m.Echo%tokensKept].Add(-m.Age)
}
