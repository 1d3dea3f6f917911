// Package gossip exchanges load reports, placement notices and state ages between instances in
// UDP datagrams.
//
// Instances discover each other through seeds and through the addresses that messages contain.
// There is no consensus, and a lost datagram only makes load estimates less accurate. In a large
// fleet a few instances of each data centre, its schedulers, choose endpoints for the others: see
// roles.go. A message carries the age of the sender's state. The receiver subtracts it from the
// time at which it sent the echoed token, so that neither network delay nor a pause of either
// process can make state look newer than it is.
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
	"ivyridge/discovery"
	"ivyridge/inventory"
	"ivyridge/poison"
	"ivyridge/resume"
)

// Sizes in bytes. Those of parts of a message are approximate.
const (
	maxDatagram    = 1400
	readBufferSize = 64 << 10
	noticeBytes    = 60
	reportBytes    = 20
	aggregateBytes = 50 // of one data centre's aggregate
	headerBytes    = 260
)

// tokenWindow is how many of its own tokens an instance remembers with their send times.
const tokenWindow = 512

// Options configure a Gossip.
type Options struct {
	Address     string          // IP:port to listen on
	DataCentre  string          // of this instance
	DataCentres int             // configured number; zero means the number seen
	Regions     balance.Regions // configured region of each data centre
	Cores       float64         // of this instance's machine
	Seeds       []string        // IP:port of the gossip sockets of other instances
	State       *discovery.Table
	Balancer    *balance.Balancer
	Log         *zap.Logger
	Count       func(event string)
	Summary     func() inventory.Summary // build and settings of this instance; nil: not announced
	// CountCrossRegion, if set, is called with the bytes sent to other regions, by kind of message.
	CountCrossRegion func(kind string, bytes int)
	Now              func() time.Time
	Suspects         *poison.Table // requests suspected of crashing endpoints; nil: not exchanged
	// OnSuspects, if set, is called with received entries that changed Suspects.
	OnSuspects func([]poison.Entry)
	Streams    *resume.Table // software versions that began streams; nil: an empty table
	FirstStart bool          // no instance of the fleet has run before
	// FetchSuspects fetches the suspect table, as SuspectsHandler serves it, of the instance with
	// the given gossip address; nil disables fetching.
	FetchSuspects func(address string) ([]byte, error)
	// OnFleetSize is called when the number of live instances, including this one, changes, with
	// the time within which load reports reach all schedulers. It must be set. Like
	// CountCrossRegion and OnSuspects, it is called with locks held and must not call the Gossip.
	OnFleetSize func(n int, delay time.Duration)
}

// A Gossip exchanges state with other instances. It is safe for concurrent use.
type Gossip struct {
	Options
	id   uint64
	conn packetConn

	mu              sync.Mutex
	members         *members
	addrs           map[string]netip.AddrPort
	token           uint32
	sent            [tokenWindow]time.Time // send times by token
	startedAt       time.Time
	lastPrune       time.Time
	lastProbe       time.Time
	directCount     int           // live instances that this one receives from, itself included
	fleetSize       int           // live instances known directly or through another instance
	newerRevision   chan struct{} // closed when a member reports a newer revision
	requestNumber   uint64
	pending         map[uint64]chan balance.Grant // by request number
	backoffs        map[string]*backoff           // by address
	responseTimeout timeoutEstimator
	borrowFailedAt  map[string]time.Time // when no lender had a retry, by service name
	groups          receiverGroups
	retryShare      float64 // of the retry budget
	limits          limitAllocation

	lastTeamsLog  time.Time // last check for teams limited to their share
	crossRegion   crossRegion
	link          link
	suspectSync   suspectSync
	streamLookups map[uint64]chan StreamAnswer // by request number
	background    func(func())                 // runs calls that wait for another instance

	firstStateAnnounced bool
	wasStale            bool // the state has become stale and has not been confirmed since
}

// A packetConn sends and receives datagrams. *net.UDPConn implements it.
type packetConn interface {
	WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error)
	ReadFromUDPAddrPort(buf []byte) (int, netip.AddrPort, error)
	Close() error
}

// Listen opens the UDP socket. Run must be called to serve it.
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
		Options: o, id: id, conn: conn, startedAt: o.Now(),
		addrs: make(map[string]netip.AddrPort), newerRevision: make(chan struct{}),
		pending: make(map[uint64]chan balance.Grant), backoffs: make(map[string]*backoff), borrowFailedAt: make(map[string]time.Time),
	}
	if g.Streams == nil {
		g.Streams = resume.NewTable(recordsSince(o))
	}
	g.members = newMembers(Member{Address: o.Address, ID: id, DataCentre: o.DataCentre, Cores: o.Cores}, o.Seeds)
	g.members.setRegions(o.Regions)
	g.link = newLink()
	g.streamLookups = make(map[uint64]chan StreamAnswer)
	g.limits.pending, g.limits.abandoned = make(map[uint64]chan PermitResponse), make(map[uint64]abandonedRequest)
	g.background = func(f func()) { go f() }
	return g
}

// recordsSince returns when this instance begins to keep records of streams; zero if there are none from before.
func recordsSince(o Options) time.Time {
	if o.FirstStart {
		return time.Time{}
	}
	return o.Now()
}

// Run sends and receives messages until ctx ends, and then closes the socket.
func (g *Gossip) Run(ctx context.Context) {
	defer func() { _ = g.conn.Close() }()
	go g.receive()
	for ctx.Err() == nil {
		g.tick()
		select {
		case <-ctx.Done():
		case <-time.After(g.tickInterval()):
		}
	}
}

func (g *Gossip) tickInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.currentRoles(g.Now()).tickInterval()
}

// Leave announces to the other instances that this one is shutting down.
func (g *Gossip) Leave() {
	g.mu.Lock()
	g.members.self.Leaving = true
	g.groups = receiverGroups{}
	g.crossRegion.gateways, g.crossRegion.schedulers = receiverGroup{}, receiverGroup{}
	g.mu.Unlock()
	g.tick()
}

// SetSeeds replaces the seed addresses.
func (g *Gossip) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members.seeds = seeds
}

// Members returns a copy of the live instances, without this one.
func (g *Gossip) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Member
	g.members.eachLive(g.Now(), func(m *Member) { out = append(out, *m) })
	return out
}

// Schedulers returns the other schedulers, and reports whether this instance is one.
func (g *Gossip) Schedulers() (others []Member, isScheduler bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.members.currentRoles(g.Now())
	for _, m := range r.schedulers {
		others = append(others, *m)
	}
	return others, r.isScheduler
}

// Upstreams returns the schedulers whose state this instance may follow, in order of preference,
// and the newest revision that any scheduler reports. The first scheduler of a data centre
// follows none.
func (g *Gossip) Upstreams() (upstreams []Member, newest int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.members.currentRoles(g.Now())
	for _, m := range r.schedulers {
		newest = max(newest, m.Revision)
	}
	followed := r.schedulerOrder
	if r.isScheduler {
		followed = r.predecessors
	}
	for _, m := range followed {
		upstreams = append(upstreams, *m)
	}
	return upstreams, newest
}

// StoreReaders returns the number of instances that read the store directly: one per data centre.
func (g *Gossip) StoreReaders() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.currentRoles(g.Now()).storeReaders
}

// OrdinaryInstances returns the number of instances that aren't schedulers. It returns one on a
// scheduler, and on an instance that may be isolated because it hears from no local scheduler.
func (g *Gossip) OrdinaryInstances() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	r := g.members.currentRoles(now)
	for _, m := range r.schedulerOrder {
		if now.Sub(m.lastHeard) < minMemberTimeout {
			return max(1, g.fleetSize-len(r.schedulers))
		}
	}
	return 1
}

// ID returns the identifier of this instance. It is random and changes with each start.
func (g *Gossip) ID() uint64 { return g.id }

// NewerRevision returns a channel that is closed when a member reports a newer revision.
func (g *Gossip) NewerRevision() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.newerRevision
}

func (g *Gossip) newMessage(now time.Time) *Message {
	g.token++
	g.sent[g.token%tokenWindow] = now
	validation, confirmed := g.State.Validation()
	m := &Message{Sender: g.id, DataCentre: g.DataCentre, Leaving: g.members.self.Leaving, Token: g.token, Revision: validation.Revision, Age: -time.Millisecond,
		Cores: g.Cores, WarmedUp: g.members.self.WarmedUp, FleetSize: g.directCount, Protocol: protocolCurrent, RetryShare: g.retryShare}
	m.RegionSize = g.members.regionSize
	m.AllocatesLimits = g.limits.share.Share(now) > 0
	if g.Suspects != nil {
		m.Digest = g.Suspects.Digest()
	}
	if confirmed {
		// Uses the present time instead of now, which may precede the arrival of the echoed token:
		// the receiver would then date the state too late.
		m.Age = g.Now().Sub(validation.At).Truncate(time.Millisecond) + time.Millisecond
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
		if member := g.members.byAddress[receiver]; member != nil && member.token != 0 {
			data = appendHeld(appendEcho(common, member.token), g.tokenHoldTime(member))
		}
		if _, err := g.conn.WriteToUDPAddrPort(data, to); err != nil {
			g.Count("send-failed")
			continue
		}
		g.Count("sent")
		g.countCrossRegion(m, receiver, len(data))
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

// pruneInterval is the pause between checks for timed-out members.
const pruneInterval = 100 * time.Millisecond

// prune drops members that have timed out and counts the rest. The caller holds g.mu.
func (g *Gossip) prune(now time.Time) {
	if now.Sub(g.lastPrune) < pruneInterval && !g.members.changed {
		return
	}
	g.lastPrune, g.members.changed = now, false
	for _, id := range g.members.prune(now) {
		g.Balancer.Merge(id, nil, nil, true)
		g.Log.Info("instance timed out", zap.Uint64("member", id))
	}
	g.updateCounts(now)
}

func (g *Gossip) updateCounts(now time.Time) {
	var n int
	g.directCount, n = g.members.count(now)
	if n != g.fleetSize {
		g.fleetSize = n
		g.Log.Info("live instance count changed", zap.Int("count", n))
		g.OnFleetSize(n, g.members.currentRoles(now).propagationDelay(n))
	}
}

func (g *Gossip) receive() {
	buf := make([]byte, readBufferSize)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // ICMP error for an earlier datagram
		}
		m, err := Decode(buf[:n])
		if err != nil {
			g.Count("unreadable")
			continue
		}
		g.handle(from, m)
	}
}

func (g *Gossip) handle(from netip.AddrPort, m *Message) {
	switch {
	case m.Sender == g.id:
		return
	case m.PlacementRequest != nil:
		g.handlePlacementRequest(from, m.Sender, m.PlacementRequest)
		return
	case m.PlacementResponse != nil:
		g.handlePlacementResponse(m.PlacementResponse)
		return
	case m.PermitRequest != nil:
		g.handlePermitRequest(from, m.PermitRequest)
		return
	case m.PermitResponse != nil:
		g.handlePermitResponse(m.PermitResponse)
		return
	case m.StreamRecord != nil:
		g.handleStreamRecord(m.StreamRecord)
		return
	case m.StreamQuery != nil:
		g.handleStreamQuery(from, m.StreamQuery)
		return
	case m.StreamAnswer != nil:
		g.handleStreamAnswer(m.StreamAnswer)
		return
	}
	now := g.Now()
	address := from.String()
	g.mu.Lock()
	confirmedAt := g.confirmationTime(m)
	g.measureLink(now, m)
	joined := g.members.observe(now, address, m, confirmedAt)
	newer := m.Revision > g.State.View().Revision
	if newer {
		close(g.newerRevision)
		g.newerRevision = make(chan struct{})
	}
	if joined {
		g.sendInitialPeers(now, address)
	}
	g.handleAggregates(now, m)
	g.handleRegionState(now, m)
	g.collectNotices(now, m)
	g.handleSuspects(now, address, m)
	g.mu.Unlock()
	g.Count("received")
	if joined {
		g.Log.Info("instance joined", zap.String("address", address), zap.Uint64("member", m.Sender), zap.String("data_centre", m.DataCentre))
	}
	if !confirmedAt.IsZero() {
		g.State.MergePeerValidation(m.Revision, confirmedAt)
	}
	g.Balancer.Merge(m.Sender, m.Notices, m.Reports, m.Complete)
	g.Balancer.MergeTeams(m.Sender, m.Teams)
}

// confirmationTime returns the latest time, on this instance's clock, at which the sender's state
// is known to have been current. It is zero if the message doesn't echo a remembered token.
func (g *Gossip) confirmationTime(m *Message) time.Time {
	if m.Age < 0 || m.Echo == 0 || m.Echo > g.token || g.token-m.Echo >= tokenWindow {
		return time.Time{}
	}
	return g.sent[m.Echo%tokenWindow].Add(-m.Age)
}
