// Package node connects one instance to the rest of the fleet. A Node holds the
// accepted configuration and instance list, exchanges heartbeats, serves as home
// of cells and as owner of keys, and calls the homes and owners that its own
// requests need.
//
// The decisions are made by the packages home, member, owner and command, which
// do no I/O; this package adds locks, timers and remote calls. The request path
// (Acquire, Claim) takes the cells, homes and addresses from one immutable view.
// State changes are published to the rest of the process over a watermill
// channel.
package node

import (
	"context"
	"encoding/json"
	"expvar"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ivyridge/chart"
	"ivyridge/clock"
	"ivyridge/command"
	"ivyridge/decl"
	"ivyridge/home"
	"ivyridge/ledger"
	"ivyridge/member"
	"ivyridge/owner"
	"ivyridge/peer"
	"ivyridge/platformclient"
)

// Options configure a Node.
type Options struct {
	Name       string
	DataCentre string
	Addr       string // address at which peers reach this instance
	Seeds      []string
	Policy     home.Policy
	Alone      bool          // each instance is its own home; baseline for experiments
	Quarantine time.Duration // how long an owner that cannot settle refuses claims; see package owner
	ColdStart  bool          // the fleet may be starting for the first time, with no earlier records
	Clock      clock.Clock
	Log        *zap.Logger
	Transport  http.RoundTripper // to peers
	Platform   platformclient.Reader
	Loads      LoadReader
	// Counters receives the node's counters; if nil, they are not published.
	Counters *expvar.Map
}

// A LoadReader reads an endpoint's load report.
type LoadReader interface {
	Load(ctx context.Context, endpoint, addr string) (home.Load, error)
}

// A Node is one instance of the fleet. Its methods are safe for concurrent use.
type Node struct {
	opt         Options
	clk         clock.Clock
	log         *zap.Logger
	dial        *peer.Dialer
	bus         *gochannel.GoChannel
	incarnation uint64
	seq         atomic.Uint64
	view        atomic.Pointer[view]
	refreshing  atomic.Bool
	ledger      *ledger.Ledger
	count       counters

	mu                  sync.Mutex // guards the fields up to fetching
	table               *member.Table
	docs                documents
	commands            *command.Set
	owners              *owner.Owners
	heartbeatReceived   bool
	started             time.Duration
	leaving             bool
	lastPlatformContact time.Duration // last time any instance reached the platform
	fetching            map[fetchKey]bool

	cellMu sync.Mutex
	cells  map[string]*cell

	out     outbox
	answers *answerStore
	peerCtx peerContexts
	query   QueryFunc
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// A QueryFunc answers an operator's query from the state of this instance alone.
type QueryFunc func(text string) ([]byte, error)

// SetQuery sets the function that answers queries of peers. It must be called before Run.
func (n *Node) SetQuery(f QueryFunc) { n.query = f }

// A Topic is a kind of state change that can be subscribed to.
type Topic string

const (
	MembersChanged   Topic = "members"
	DocumentsChanged Topic = "documents"
	CommandsChanged  Topic = "commands"
)

// A Change is a message published on a Topic.
type Change struct {
	Topic    Topic  `json:"topic"`
	What     string `json:"what"`
	Revision int64  `json:"revision,omitempty"`
}

// New returns a Node that has not been started.
func New(opt Options) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		opt:         opt,
		clk:         opt.Clock,
		log:         opt.Log,
		dial:        peer.NewDialer(opt.Transport),
		bus:         gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: 64}, watermill.NopLogger{}),
		incarnation: rand.Uint64() >> 2,
		ledger:      ledger.New(),
		table:       member.New(opt.Name),
		commands:    command.NewSet(),
		fetching:    make(map[fetchKey]bool),
		cells:       make(map[string]*cell),
		answers:     newAnswerStore(),
		ctx:         ctx,
		cancel:      cancel,
	}
	// Start at a random sequence number so that attempts of an earlier process
	// with this name are not taken for attempts of this one.
	n.seq.Store(n.incarnation)
	n.docs.machine = chart.Configuration.New()
	n.out.init(n)
	n.peerCtx.init()
	n.count.init(opt.Counters)
	now := n.now()
	n.started, n.lastPlatformContact = now, now
	n.owners = owner.New(opt.Name, opt.Quarantine, opt.ColdStart)
	n.view.Store(&view{set: new(decl.Set), pools: map[string][]*cellView{}, cells: map[string]*cellView{}, peers: map[string]string{}})
	return n
}

// Handler returns the HTTP handler of the services that peers call.
func (n *Node) Handler() http.Handler {
	return peer.Services{Home: homeService{n}, Owner: ownerService{n}, Member: memberService{n}}.Handler()
}

func (n *Node) Name() string { return n.opt.Name }

// Ledger returns the counts of request outcomes.
func (n *Node) Ledger() *ledger.Ledger { return n.ledger }

// Now returns the current time of the node's clock.
func (n *Node) Now() time.Duration { return n.clk.Now() }

func (n *Node) now() time.Duration { return n.clk.Now() }

// Run starts the background loops, which run until Close. The caller must serve Handler.
func (n *Node) Run() {
	n.spawn(n.logChanges)
	n.spawn(n.bootstrap)
	n.spawn(n.heartbeatLoop)
	n.spawn(n.tickLoop)
	n.spawn(n.watchLoop(platformclient.Config))
	n.spawn(n.watchLoop(platformclient.List))
	n.spawn(n.out.loop)
	n.spawn(n.settleLoop)
	n.spawn(n.pollLoop)
}

func (n *Node) spawn(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

// Close stops the node immediately and waits for its background loops. For a planned stop, call
// Leave first.
func (n *Node) Close() {
	n.cancel()
	_ = n.bus.Close()
	n.dial.Close()
	n.wg.Wait()
}

func (n *Node) publish(c Change) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(errors.Wrap(err, "change")) // a Change can always be encoded
	}
	_ = n.bus.Publish(string(c.Topic), message.NewMessage(watermill.NewShortUUID(), data))
}

// Subscribe returns a channel of the changes of topic t, which is closed after ctx is done.
func (n *Node) Subscribe(ctx context.Context, t Topic) (<-chan Change, error) {
	in, err := n.bus.Subscribe(ctx, string(t))
	if err != nil {
		return nil, errors.Wrap(err, "subscribe")
	}
	out := make(chan Change)
	go func() {
		defer close(out)
		for m := range in {
			var c Change
			if json.Unmarshal(m.Payload, &c) == nil {
				select {
				case out <- c:
				case <-ctx.Done():
				}
			}
			m.Ack()
		}
	}()
	return out, nil
}

func (n *Node) logChanges() {
	var wg sync.WaitGroup
	for _, t := range []Topic{MembersChanged, DocumentsChanged, CommandsChanged} {
		ch, err := n.Subscribe(n.ctx, t)
		if err != nil {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for c := range ch {
				n.log.Info("changed", zap.String("topic", string(c.Topic)), zap.String("what", c.What), zap.Int64("revision", c.Revision))
			}
		}()
	}
	wg.Wait()
}

// sleep waits for d and reports whether the node is still open.
func (n *Node) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-n.ctx.Done():
		return false
	}
}

const tickInterval = 20 * time.Millisecond

// tickLoop advances the time-dependent state and detects that the process was suspended.
func (n *Node) tickLoop() {
	last := n.now()
	for n.sleep(tickInterval) {
		now := n.now()
		if now-last > member.SuspendThreshold {
			n.resume(now, now-last)
		}
		last = now
		n.tick(now)
	}
}

func (n *Node) tick(now time.Duration) {
	n.mu.Lock()
	before := n.table.Version()
	n.table.Tick(now)
	changed := n.table.Version() != before
	n.owners.Tick(now)
	n.mu.Unlock()
	if changed {
		n.refreshSoon()
		n.publish(Change{Topic: MembersChanged, What: "silence"})
	}
	n.tickCells(now)
	n.answers.expire(now)
}

// resume handles a suspension of the process: the silence of peers during it does not count, and
// waiting callers ask other homes.
func (n *Node) resume(now, suspended time.Duration) {
	n.count.suspensions.Add(1)
	n.log.Warn("process was suspended", zap.Duration("for", suspended))
	n.mu.Lock()
	n.table.ResetSilence(now)
	n.mu.Unlock()
	n.redirectAllWaiters(now)
	n.refresh()
}
