// Package node is one instance among the others: it keeps the documents in
// force, knows who is here, is home of cells and owner of keys, and finds the
// homes and owners that a request of its own needs.
//
// All that must be decided is decided by the pure packages home, member,
// owner and command; this package holds their locks, clocks, timers and
// calls. The request's path (Acquire, Claim) reads one immutable view and
// takes no lock of the core. Parts of the process hear of changes through a
// watermill channel.
//
// The files: documents.go (configuration and list), beat.go (heartbeats),
// view.go (who is home of what), cell.go (being a home), ask.go (asking one),
// outbox.go (telling homes what runs), claim.go and settle.go (keys),
// answers.go (repeats), commands.go
// (operators' commands), leave.go (planned stops).
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
	"ivyridge/publish"
)

// Options are what a Node is made from.
type Options struct {
	Name       string
	DataCentre string
	Addr       string // where peers reach it
	Seeds      []string
	Policy     home.Policy
	Alone      bool          // every instance its own home, a baseline
	Quarantine time.Duration // see package owner
	ColdStart  bool          // the whole fleet may be starting for the first time
	Clock      clock.Clock
	Log        *zap.Logger
	Transport  http.RoundTripper // to peers
	Platform   publish.Reader
	Loads      LoadReader
	// Counters receives the node's counters; nil keeps them private.
	Counters *expvar.Map
}

// A LoadReader reads an endpoint's own load report.
type LoadReader interface {
	Load(ctx context.Context, endpoint, addr string) (home.Load, error)
}

// A Node is one instance. Its methods are safe for concurrent use.
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

	mu       sync.Mutex // guards what follows
	table    *member.Table
	docs     documents
	commands *command.Set
	owners   *owner.Owners
	heardAny bool
	started  time.Duration
	leaving  bool
	platform time.Duration // instant the platform was last heard, by anyone
	fetching map[fetchKey]bool

	cellMu sync.Mutex
	cells  map[string]*cell

	out     outbox
	answers *answers
	lines   peerLines
	query   QueryFunc
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// A QueryFunc answers an operator's query for this instance alone.
type QueryFunc func(text string) ([]byte, error)

// SetQuery sets what answers the queries of peers. It is to be called before
// Run.
func (n *Node) SetQuery(f QueryFunc) { n.query = f }

// A Topic is a kind of change that parts of the process hear of.
type Topic string

// The topics.
const (
	MembersChanged   Topic = "members"
	DocumentsChanged Topic = "documents"
	CommandsChanged  Topic = "commands"
)

// A Change is the message of a Topic.
type Change struct {
	Topic    Topic  `json:"topic"`
	What     string `json:"what"`
	Revision int64  `json:"revision,omitempty"`
}

// New returns a Node that is not yet running.
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
		answers:     newAnswers(),
		ctx:         ctx,
		cancel:      cancel,
	}
	// Attempts of an instance that was here before under this name must not
	// be taken for this one's.
	n.seq.Store(n.incarnation)
	n.docs.machine = chart.Configuration.New()
	n.out.init(n)
	n.lines.init()
	n.count.init(opt.Counters)
	now := n.now()
	n.started, n.platform = now, now
	n.owners = owner.New(opt.Name, opt.Quarantine, opt.ColdStart)
	n.view.Store(&view{set: new(decl.Set), pools: map[string][]*cellView{}, cells: map[string]*cellView{}, peers: map[string]string{}})
	return n
}

// Handler returns the handler of the services for peers.
func (n *Node) Handler() http.Handler {
	return peer.Services{Home: homeService{n}, Owner: ownerService{n}, Member: memberService{n}}.Handler()
}

// Name returns the name of the instance.
func (n *Node) Name() string { return n.opt.Name }

// Ledger returns the counts of what became of requests.
func (n *Node) Ledger() *ledger.Ledger { return n.ledger }

// Now returns the present instant on the node's clock.
func (n *Node) Now() time.Duration { return n.clk.Now() }

func (n *Node) now() time.Duration { return n.clk.Now() }

// Run takes part in the fleet until Close. The handler is to be served.
func (n *Node) Run() {
	n.spawn(n.followChanges)
	n.spawn(n.bootstrap)
	n.spawn(n.beatLoop)
	n.spawn(n.tickLoop)
	n.spawn(n.watchLoop(publish.Config))
	n.spawn(n.watchLoop(publish.List))
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

// Close stops the node at once. Leave comes first in a planned stop.
func (n *Node) Close() {
	n.cancel()
	_ = n.bus.Close()
	n.dial.Close()
	n.wg.Wait()
}

// publish tells the parts of the process of a change.
func (n *Node) publish(c Change) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(errors.Wrap(err, "change")) // a Change always encodes
	}
	_ = n.bus.Publish(string(c.Topic), message.NewMessage(watermill.NewShortUUID(), data))
}

// Subscribe returns the changes of a topic until ctx is done.
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

// followChanges logs changes of state, and asks peers for what they know.
func (n *Node) followChanges() {
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

// sleep waits for d, and reports false if the node was closed meanwhile.
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

const tickEvery = 20 * time.Millisecond

// tickLoop drives everything that depends on time, and notices when this
// process has slept.
func (n *Node) tickLoop() {
	last := n.now()
	for n.sleep(tickEvery) {
		now := n.now()
		if now-last > member.SleptAfter {
			n.woke(now, now-last)
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

// woke acts on having slept: beliefs of before are not acted on until they
// have been refreshed.
func (n *Node) woke(now, gap time.Duration) {
	n.count.slept.Add(1)
	n.log.Warn("this process did not run", zap.Duration("for", gap))
	n.mu.Lock()
	n.table.Slept(now)
	n.mu.Unlock()
	n.releaseWaiters(now)
	n.refresh()
}
