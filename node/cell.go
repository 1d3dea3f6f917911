package node

// This file serves this instance's cells. It wraps each home.Home with a lock, lets callers on this
// and other instances wait for its decisions, and polls the load reports of the endpoints.

import (
	"context"
	"sync"
	"time"

	"ivyridge/decl"
	"ivyridge/home"
	"ivyridge/peer/peerpb"
	"ivyridge/verdict"
)

const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 400 * time.Millisecond
	// takeoverPeriod is how long a new home grants only takeoverShare of the
	// endpoints' limits, since the entries have not yet reported what they run.
	takeoverPeriod = 200 * time.Millisecond
	takeoverShare  = 0.5
	// While the home is unreachable, an instance of rank r, 0 < r < fallbackRanks, grants up to
	// 1/2^r of an endpoint's limit, so that these and the home stay below twice the limit. Any
	// other instance grants the limit divided by the number of usable instances.
	fallbackRanks   = 3
	cellIdleTimeout = 10 * time.Second
)

// A cell is the state of one cell on this instance, as its home or as a fallback.
type cell struct {
	name      string
	mu        sync.Mutex
	home      *home.Home
	waiters   map[home.Key]chan home.Decision
	rank      int
	homeSince time.Duration // when this instance became home
	share     float64
	lastUsed  time.Duration
	view      *view // last view applied
}

// getCell returns the state of the cell on this instance, and creates it on first use.
func (n *Node) getCell(c *cellView, v *view) *cell {
	n.cellMu.Lock()
	defer n.cellMu.Unlock()
	x := n.cells[c.name]
	if x != nil {
		return x
	}
	x = &cell{
		name:    c.name,
		home:    home.New(v.set, c.pool, n.opt.Policy),
		waiters: make(map[home.Key]chan home.Decision),
		rank:    -1,
	}
	x.mu.Lock() // update starts polls, which must wait until the cell is ready
	defer x.mu.Unlock()
	x.lastUsed = n.now()
	n.cells[c.name] = x
	x.update(n, c, v)
	if x.rank != 0 {
		n.pollCell(x, c)
	}
	return x
}

func (n *Node) allCells() []*cell {
	n.cellMu.Lock()
	defer n.cellMu.Unlock()
	out := make([]*cell, 0, len(n.cells))
	for _, c := range n.cells {
		out = append(out, c)
	}
	return out
}

func (n *Node) updateCells(v *view) {
	for _, c := range n.allCells() {
		if cv := v.cells[c.name]; cv != nil {
			c.mu.Lock()
			c.update(n, cv, v)
			c.deliver()
			c.mu.Unlock()
		}
	}
}

// update applies v, in which cv describes c. The caller holds c.mu.
func (c *cell) update(n *Node, cv *cellView, v *view) {
	now := n.now()
	rank := cv.rank(n.opt.Name)
	if rank == 0 && c.rank != 0 {
		c.homeSince = now
		c.home.RequireReports(now)
		n.pollCell(c, cv)
	}
	c.rank = rank
	if c.view == nil || c.view.set != v.set {
		c.home.Configure(now, v.set, cv.pool)
	}
	if c.view == nil || c.view.list != v.list || c.view.commands != v.commands {
		c.home.SetEndpoints(now, cv.endpoints)
	}
	c.view = v
	c.setShare(n, now, v)
	if n.isLeaving() {
		c.redirectWaiters()
	}
}

// setShare sets the part of the limits that this instance may grant, by its rank. The caller holds
// c.mu.
func (c *cell) setShare(n *Node, now time.Duration, v *view) {
	share := 1.0 / float64(max(1, v.usable))
	switch {
	case c.rank == 0 && (now-c.homeSince >= takeoverPeriod || n.opt.Alone):
		share = 1
	case c.rank == 0:
		share = takeoverShare
	case c.rank > 0 && c.rank < fallbackRanks:
		share = 1 / float64(int(1)<<c.rank)
	}
	if share != c.share {
		c.share = share
		c.home.SetShare(now, share)
	}
}

// ask submits a and waits for the decision. The result moved reports that this instance no longer
// serves the cell and that another one must be asked.
func (c *cell) ask(ctx context.Context, n *Node, a home.Request) (d home.Decision, moved bool, err error) {
	ch := make(chan home.Decision, 1)
	now := n.now()
	c.mu.Lock()
	c.lastUsed = now
	c.waiters[a.Key] = ch
	c.home.Submit(now, a)
	c.deliver()
	c.mu.Unlock()
	select {
	case d, ok := <-ch:
		return d, !ok, nil
	case <-ctx.Done():
		c.cancel(n, a.Key)
		return d, false, ctx.Err()
	}
}

// deliver passes decisions to the callers that wait for them, and releases grants whose caller has
// gone. The caller holds c.mu.
func (c *cell) deliver() {
	for {
		var abandoned []home.Key // grants whose callers have gone
		for _, d := range c.home.TakeDecisions() {
			if ch := c.waiters[d.Key]; ch != nil {
				delete(c.waiters, d.Key)
				ch <- d
			} else if d.Refusal == nil {
				abandoned = append(abandoned, d.Key)
			}
		}
		if len(abandoned) == 0 {
			return
		}
		for _, key := range abandoned {
			c.home.Done(c.home.Now(), home.Release{Key: key})
		}
	}
}

// cancel removes the request key, whose caller has gone, and releases its grant if it has one.
func (c *cell) cancel(n *Node, key home.Key) {
	now := n.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiters, key)
	c.home.Cancel(now, key)
	c.home.Done(now, home.Release{Key: key})
	c.deliver()
}

// redirectWaiters makes the waiting callers ask the next home. The caller holds c.mu.
func (c *cell) redirectWaiters() {
	now := c.home.Now()
	for key, ch := range c.waiters {
		c.home.Cancel(now, key)
		delete(c.waiters, key)
		close(ch)
	}
}

// redirectAllWaiters redirects the waiting callers of all cells and restarts the takeover periods.
func (n *Node) redirectAllWaiters(now time.Duration) {
	for _, c := range n.allCells() {
		c.mu.Lock()
		c.homeSince = now
		c.redirectWaiters()
		c.mu.Unlock()
	}
}

func (n *Node) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

func (n *Node) tickCells(now time.Duration) {
	v := n.view.Load()
	for _, c := range n.allCells() {
		c.mu.Lock()
		if now-c.lastUsed < cellIdleTimeout || c.home.Waiting()+c.home.Running() > 0 {
			c.setShare(n, now, v)
			c.home.Tick(now)
			c.deliver()
		}
		c.mu.Unlock()
	}
}

// pollLoop polls the load reports of the endpoints in the cells that this instance serves.
func (n *Node) pollLoop() {
	for n.sleep(pollInterval) {
		v := n.view.Load()
		now := n.now()
		for _, cv := range v.cells {
			if cv.rank(n.opt.Name) != 0 && !n.inUse(cv.name, now) {
				continue
			}
			c := n.getCell(cv, v)
			for _, e := range cv.endpoints {
				go n.poll(c, e)
			}
		}
	}
}

func (n *Node) pollCell(c *cell, cv *cellView) {
	for _, e := range cv.endpoints {
		go n.poll(c, e)
	}
}

// inUse reports whether the cell called name was used within cellIdleTimeout before now.
func (n *Node) inUse(name string, now time.Duration) bool {
	n.cellMu.Lock()
	c := n.cells[name]
	n.cellMu.Unlock()
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return now-c.lastUsed < cellIdleTimeout
}

func (n *Node) poll(c *cell, e home.Endpoint) {
	ctx, cancel := context.WithTimeout(n.ctx, pollTimeout)
	defer cancel()
	n.count.loadPolls.Add(1)
	l, err := n.opt.Loads.Load(ctx, e.Name, e.Addr)
	now := n.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		n.count.loadPollErrors.Add(1)
		c.home.Unreachable(now, e.Name)
	} else {
		l.Endpoint = e.Name
		c.home.Report(now, l)
	}
	c.deliver()
}

type homeService struct{ *Node }

// Ask waits for the decision of cell r.Cell, or returns NotHome if it is not served here.
func (s homeService) Ask(ctx context.Context, r *peerpb.AskRequest) (*peerpb.AskReply, error) {
	s.count.grantRequestsServed.Add(1)
	v := s.view.Load()
	cv := v.cells[r.Cell]
	if cv == nil || s.isLeaving() {
		return &peerpb.AskReply{NotHome: true}, nil
	}
	d, moved, err := s.getCell(cv, v).ask(ctx, s.Node, askFromProto(r))
	switch {
	case err != nil:
		return nil, err
	case moved:
		return &peerpb.AskReply{NotHome: true}, nil
	}
	return decisionToProto(d), nil
}

func askFromProto(r *peerpb.AskRequest) home.Request {
	return home.Request{
		Key:        home.Key{Entry: r.Entry, Seq: r.Seq},
		Class:      r.Class,
		Team:       r.Team,
		DataCentre: r.DataCentre,
		Prompt:     int(r.Prompt),
		MaxTokens:  int(r.MaxTokens),
		Age:        time.Duration(r.AgeUs) * time.Microsecond,
		Prefix:     r.Prefix,
		Avoid:      r.Avoid,
	}
}

func decisionToProto(d home.Decision) *peerpb.AskReply {
	return &peerpb.AskReply{Endpoint: d.Endpoint, Addr: d.Addr, Refusal: refusalToProto(d.Refusal)}
}

func refusalToProto(e *verdict.Error) *peerpb.Refusal {
	if e == nil {
		return nil
	}
	return &peerpb.Refusal{Reason: string(e.Reason), Detail: e.Detail, RetryAfterMs: e.RetryAfter.Milliseconds()}
}

func refusalFromProto(r *peerpb.Refusal) *verdict.Error {
	e := verdict.Refuse(verdict.Reason(r.Reason), "%s", r.Detail)
	return e.WithRetryAfter(time.Duration(r.RetryAfterMs) * time.Millisecond)
}

// Sync applies an entry's report of running and ended requests.
func (s homeService) Sync(_ context.Context, r *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	s.count.syncsServed.Add(1)
	v := s.view.Load()
	for _, cs := range r.Cells {
		cv := v.cells[cs.Cell]
		if cv == nil {
			continue
		}
		s.syncCell(s.getCell(cv, v), r.Entry, cs)
	}
	return &peerpb.SyncReply{}, nil
}

func (n *Node) syncCell(c *cell, entry string, cs *peerpb.CellSync) {
	now := n.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range cs.Releases {
		c.home.Done(now, home.Release{
			Key:        home.Key{Entry: entry, Seq: x.Seq},
			Team:       x.Team,
			Failed:     x.Failed,
			Tokens:     int(x.Tokens),
			FirstToken: time.Duration(x.FirstTokenUs) * time.Microsecond,
			Duration:   time.Duration(x.HeldUs) * time.Microsecond,
			Late:       x.Late,
			Complete:   x.Whole,
			Overloaded: x.Busy,
		})
	}
	for _, x := range cs.Progress {
		c.home.Progress(now, home.Progress{Endpoint: x.Endpoint, Tokens: int(x.Tokens), Elapsed: time.Duration(x.ElapsedUs) * time.Microsecond})
	}
	if cs.Full {
		runs := make([]home.ActiveRun, len(cs.Runs))
		for i, x := range cs.Runs {
			runs[i] = home.ActiveRun{Seq: x.Seq, Endpoint: x.Endpoint, Class: x.Class}
		}
		c.home.Sync(now, entry, runs)
	}
	c.deliver()
}

// Declarations returns the declarations in force, with operator commands applied, and whether any
// are.
func (n *Node) Declarations() (*decl.Set, bool) {
	v := n.view.Load()
	return v.set, v.ready
}
