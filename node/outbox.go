package node

// This file reports to homes what this entry runs in their cells: ended requests at once in small
// batches, token counts at sync intervals, and all running requests at every fullSyncEvery-th sync,
// so that a home can rebuild its state.

import (
	"context"
	"sync"
	"time"

	"ivyridge/peer/peerpb"
)

const (
	batchDelay    = 3 * time.Millisecond // wait for more ended requests to report in one message
	syncInterval  = 250 * time.Millisecond
	fullSyncEvery = 4 // a full sync lists all running requests
	// A home receives token counts from all entries, so fleets of one, two or three times this many
	// usable instances send them only at every second, third or fourth sync.
	instancesPerSyncStep = 12
	syncTimeout          = 500 * time.Millisecond
)

// An Outcome describes how a granted request ended.
type Outcome struct {
	Failed     bool // the endpoint could not be reached or its answer failed
	Busy       bool // the endpoint refused it with 429
	Tokens     int
	FirstToken time.Duration
	Late       bool
	Complete   bool
}

// tokenCount accumulates an endpoint's tokens and the time they took since counts were last sent.
type tokenCount struct {
	n       int32
	elapsed time.Duration
}

type cellOutbox struct {
	runs       map[uint64]*Grant
	releases   []*peerpb.Release
	endedHomes map[string]bool // homes that granted the ended requests
	tokens     map[string]*tokenCount
	syncedHome string // home that last received a full sync
}

type outbox struct {
	n             *Node
	mu            sync.Mutex
	cells         map[string]*cellOutbox
	waitingByHome map[string]int // number of waiting requests by home
	requestEnded  chan struct{}
	homesChanged  chan struct{} // the homes may have changed
}

func (o *outbox) init(n *Node) {
	o.n = n
	o.cells = make(map[string]*cellOutbox)
	o.waitingByHome = make(map[string]int)
	o.requestEnded = make(chan struct{}, 1)
	o.homesChanged = make(chan struct{}, 1)
}

func (o *outbox) cell(name string) *cellOutbox {
	c := o.cells[name]
	if c == nil {
		c = &cellOutbox{runs: make(map[uint64]*Grant), endedHomes: make(map[string]bool), tokens: make(map[string]*tokenCount)}
		o.cells[name] = c
	}
	return c
}

func (o *outbox) addWaiting(home string, delta int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waitingByHome[home] += delta
	if o.waitingByHome[home] == 0 {
		delete(o.waitingByHome, home)
	}
}

func (o *outbox) addRun(g *Grant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cell(g.Cell).runs[g.seq] = g
}

// Release reports to the home that a granted request has ended.
func (n *Node) Release(g *Grant, e Outcome) {
	o := &n.out
	o.mu.Lock()
	c := o.cell(g.Cell)
	delete(c.runs, g.seq)
	c.endedHomes[g.Home] = true
	c.releases = append(c.releases, &peerpb.Release{
		Seq:          g.seq,
		Team:         g.Team,
		Failed:       e.Failed,
		Tokens:       int32(e.Tokens),
		FirstTokenUs: e.FirstToken.Microseconds(),
		HeldUs:       (n.now() - g.At).Microseconds(),
		Late:         e.Late,
		Whole:        e.Complete,
		Busy:         e.Busy,
	})
	o.mu.Unlock()
	notify(o.requestEnded)
}

// notify sends on a channel with a buffer of one, unless it is full.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// RecordTokens records that count tokens arrived within elapsed after earlier ones.
func (n *Node) RecordTokens(g *Grant, count int, elapsed time.Duration) {
	o := &n.out
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.cell(g.Cell)
	t := c.tokens[g.Endpoint]
	if t == nil {
		t = new(tokenCount)
		c.tokens[g.Endpoint] = t
	}
	t.n += int32(count)
	t.elapsed += elapsed
}

// A flushKind selects what a flush sends.
type flushKind int

const (
	flushEnded    flushKind = iota // only ended requests
	flushProgress                  // also token counts
	flushFull                      // also all running requests
)

// loop flushes when a request has ended, when the homes may have changed and at sync intervals.
func (o *outbox) loop() {
	t := time.NewTicker(syncInterval)
	defer t.Stop()
	for n := 0; ; {
		kind := flushEnded
		select {
		case <-o.n.ctx.Done():
			return
		case <-t.C:
			n++
			step := min(fullSyncEvery, 1+o.n.view.Load().usable/instancesPerSyncStep)
			switch {
			case n%fullSyncEvery == 0:
				kind = flushFull
			case n%step == 0:
				kind = flushProgress
			default:
				continue
			}
		case <-o.homesChanged:
			kind = flushProgress // a new home receives a full sync
		case <-o.requestEnded:
			if !o.n.sleep(batchDelay) {
				return
			}
		}
		o.flush(kind)
	}
}

// flush sends each home the reports for its cells.
func (o *outbox) flush(kind flushKind) {
	v := o.n.view.Load()
	batches := make(map[string]*peerpb.SyncRequest)
	o.mu.Lock()
	for name, c := range o.cells {
		o.collect(batches, v, name, c, kind)
	}
	if kind != flushEnded {
		for home := range o.waitingByHome {
			o.batch(batches, home) // an empty batch probes whether the home responds
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

// collect adds the report of the cell called name to the batches of its current home and of the
// homes that granted its running or ended requests.
func (o *outbox) collect(batches map[string]*peerpb.SyncRequest, v *view, name string, c *cellOutbox, kind flushKind) {
	if len(c.runs)+len(c.releases)+len(c.tokens) == 0 {
		delete(o.cells, name)
		return
	}
	targets := c.endedHomes
	currentHome := ""
	if cv := v.cells[name]; cv != nil && len(cv.homes) > 0 {
		currentHome = cv.homes[0]
	}
	if kind != flushEnded && currentHome != c.syncedHome {
		kind, c.syncedHome = flushFull, currentHome // a new home receives a full sync at once
	}
	cs := &peerpb.CellSync{Cell: name, Releases: c.releases}
	if kind != flushEnded {
		targets[currentHome] = true
		cs.Progress = c.takeTokens()
	}
	if kind == flushFull {
		cs.Full = true
		for _, g := range c.runs {
			cs.Runs = append(cs.Runs, &peerpb.Run{Seq: g.seq, Endpoint: g.Endpoint, Class: g.Class})
			targets[g.Home] = true
		}
	}
	if len(cs.Releases)+len(cs.Progress) > 0 || cs.Full {
		for home := range targets {
			b := o.batch(batches, home)
			b.Cells = append(b.Cells, cs)
		}
	}
	c.releases, c.endedHomes = nil, make(map[string]bool)
}

func (c *cellOutbox) takeTokens() []*peerpb.Progress {
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
		if o.hasWaiting(home) {
			o.n.suspect(home)
		}
	}
}

func (o *outbox) hasWaiting(home string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.waitingByHome[home] > 0
}
