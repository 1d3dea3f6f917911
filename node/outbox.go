package node

// This file tells homes what this entry runs in their cells. Ends go out at
// once in small batches, seen tokens a little later, and now and then all that
// runs, so that a home needs no memory that an entry could not give it again.

import (
	"context"
	"sync"
	"time"

	"ivyridge/peer/peerpb"
)

const (
	// batchFor is how long an end waits for others to share its message.
	batchFor  = 3 * time.Millisecond
	syncEvery = 250 * time.Millisecond
	fullEvery = 4 // syncs, unless the home has changed
	// entriesASync is from how many instances on each sends only every
	// second, third or fourth sync: a home hears of its endpoints' tokens
	// from all of them.
	entriesASync = 12
	syncTimeout  = 500 * time.Millisecond
)

// An End is how a granted request ended.
type End struct {
	Failed     bool // the endpoint could not be reached or broke
	Busy       bool // the endpoint refused it as too much
	Tokens     int
	FirstToken time.Duration
	Late       bool
	Whole      bool
}

// tokens is what was seen of an endpoint's tokens since the last batch.
type tokens struct {
	n       int32
	elapsed time.Duration
}

type cellOut struct {
	runs     map[uint64]*Grant
	releases []*peerpb.Release
	ended    map[string]bool // homes that granted what has ended
	tokens   map[string]*tokens
	home     string // that was last told all
}

type outbox struct {
	n     *Node
	mu    sync.Mutex
	cells map[string]*cellOut
	waits map[string]int // asks that wait, by home
	wake  chan struct{}
	moved chan struct{} // the homes may have changed
}

func (o *outbox) init(n *Node) {
	o.n = n
	o.cells = make(map[string]*cellOut)
	o.waits = make(map[string]int)
	o.wake = make(chan struct{}, 1)
	o.moved = make(chan struct{}, 1)
}

func (o *outbox) cell(name string) *cellOut {
	c := o.cells[name]
	if c == nil {
		c = &cellOut{runs: make(map[uint64]*Grant), ended: make(map[string]bool), tokens: make(map[string]*tokens)}
		o.cells[name] = c
	}
	return c
}

func (o *outbox) waiting(home string, d int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waits[home] += d
	if o.waits[home] == 0 {
		delete(o.waits, home)
	}
}

func (o *outbox) began(g *Grant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cell(g.Cell).runs[g.seq] = g
}

// Release tells the home that a granted request has ended.
func (n *Node) Release(g *Grant, e End) {
	o := &n.out
	o.mu.Lock()
	c := o.cell(g.Cell)
	delete(c.runs, g.seq)
	c.ended[g.Home] = true
	c.releases = append(c.releases, &peerpb.Release{
		Seq:          g.seq,
		Team:         g.Team,
		Failed:       e.Failed,
		Tokens:       int32(e.Tokens),
		FirstTokenUs: e.FirstToken.Microseconds(),
		HeldUs:       (n.now() - g.At).Microseconds(),
		Late:         e.Late,
		Whole:        e.Whole,
		Busy:         e.Busy,
	})
	o.mu.Unlock()
	signal(o.wake)
}

// signal sends on a channel of one place, unless it is taken.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// SawTokens tells that count tokens followed others within elapsed.
func (n *Node) SawTokens(g *Grant, count int, elapsed time.Duration) {
	o := &n.out
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.cell(g.Cell)
	t := c.tokens[g.Endpoint]
	if t == nil {
		t = new(tokens)
		c.tokens[g.Endpoint] = t
	}
	t.n += int32(count)
	t.elapsed += elapsed
}

// What a flush sends.
type flushKind int

const (
	ends flushKind = iota // only what has ended
	some                  // and the tokens seen
	full                  // and all that runs
)

// loop sends a batch when something ended, and else now and then.
func (o *outbox) loop() {
	t := time.NewTicker(syncEvery)
	defer t.Stop()
	for n := 0; ; {
		kind := ends
		select {
		case <-o.n.ctx.Done():
			return
		case <-t.C:
			n++
			each := min(fullEvery, 1+o.n.view.Load().usable/entriesASync)
			switch {
			case n%fullEvery == 0:
				kind = full
			case n%each == 0:
				kind = some
			default:
				continue
			}
		case <-o.moved:
			kind = some // a new home is told all
		case <-o.wake:
			if !o.n.sleep(batchFor) {
				return
			}
		}
		o.flush(kind)
	}
}

// flush sends each home what concerns its cells.
func (o *outbox) flush(kind flushKind) {
	v := o.n.view.Load()
	batches := make(map[string]*peerpb.SyncRequest)
	o.mu.Lock()
	for name, c := range o.cells {
		o.collect(batches, v, name, c, kind)
	}
	if kind != ends {
		for home := range o.waits {
			o.batch(batches, home) // an empty one tells whether it lives
		}
	}
	o.mu.Unlock()
	for home, b := range batches {
		if home == o.n.opt.Name {
			_, _ = homeService{o.n}.Sync(o.n.ctx, b)
			continue
		}
		if addr := v.peers[home]; addr != "" {
			go o.send(home, addr, b)
		}
	}
}

func (o *outbox) batch(batches map[string]*peerpb.SyncRequest, home string) *peerpb.SyncRequest {
	b := batches[home]
	if b == nil {
		b = &peerpb.SyncRequest{Entry: o.n.opt.Name}
		batches[home] = b
	}
	return b
}

// collect adds one cell to the batches of its present home and of those that
// granted what runs or has ended.
func (o *outbox) collect(batches map[string]*peerpb.SyncRequest, v *view, name string, c *cellOut, kind flushKind) {
	if len(c.runs)+len(c.releases)+len(c.tokens) == 0 {
		delete(o.cells, name)
		return
	}
	to := c.ended
	present := ""
	if cv := v.cells[name]; cv != nil && len(cv.homes) > 0 {
		present = cv.homes[0]
	}
	if kind != ends && present != c.home {
		kind, c.home = full, present // a new home is told all at once
	}
	cs := &peerpb.CellSync{Cell: name, Releases: c.releases}
	if kind != ends {
		to[present] = true
		cs.Progress = c.takeTokens()
	}
	if kind == full {
		cs.Full = true
		for _, g := range c.runs {
			cs.Runs = append(cs.Runs, &peerpb.Run{Seq: g.seq, Endpoint: g.Endpoint, Class: g.Class})
			to[g.Home] = true
		}
	}
	if len(cs.Releases)+len(cs.Progress) > 0 || cs.Full {
		for home := range to {
			b := o.batch(batches, home)
			b.Cells = append(b.Cells, cs)
		}
	}
	c.releases, c.ended = nil, make(map[string]bool)
}

// takeTokens returns what was seen of tokens since the last call.
func (c *cellOut) takeTokens() []*peerpb.Progress {
	var out []*peerpb.Progress
	for e, t := range c.tokens {
		out = append(out, &peerpb.Progress{Endpoint: e, Tokens: t.n, ElapsedUs: t.elapsed.Microseconds()})
	}
	clear(c.tokens)
	return out
}

func (o *outbox) send(home, addr string, b *peerpb.SyncRequest) {
	ctx, cancel := context.WithTimeout(o.n.ctx, syncTimeout)
	defer cancel()
	o.n.count.syncsSent.Add(1)
	if _, err := o.n.dial.To(addr).Sync(ctx, b); err != nil && o.n.ctx.Err() == nil {
		o.n.count.syncErrors.Add(1)
		if o.waitsOn(home) {
			o.n.suspect(home)
		}
	}
}

func (o *outbox) waitsOn(home string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.waits[home] > 0
}
