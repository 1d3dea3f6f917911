package node

// This file is the part of a home: it wraps the pure decisions of a cell with
// a lock, lets asks wait for them, and polls the endpoints' load reports.

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
	pollEvery   = 500 * time.Millisecond
	pollTimeout = 400 * time.Millisecond
	// takeoverFor is how long a new home grants only half of what the
	// endpoints take, until the entries have told it what they run.
	takeoverFor   = 200 * time.Millisecond
	takeoverShare = 0.5
	// standIns is how many instances after the home may stand in for it.
	// Each grants half of what the one before it may, so that together
	// they never grant twice an endpoint's limit.
	standIns = 3
	idleCell = 10 * time.Second
)

// A cell is this instance's part in one cell, as its home or stand-in.
type cell struct {
	name  string
	mu    sync.Mutex
	home  *home.Home
	waits map[home.Key]chan home.Decision
	rank  int
	since time.Duration // of being home
	share float64
	used  time.Duration
	seen  *view // whose declarations and endpoints are in force here
}

// cellFor returns this instance's cell of that name, made on first use.
func (n *Node) cellFor(c *cellView, v *view) *cell {
	n.cellMu.Lock()
	defer n.cellMu.Unlock()
	x := n.cells[c.name]
	if x != nil {
		return x
	}
	x = &cell{
		name:  c.name,
		home:  home.New(v.set, c.pool, n.opt.Policy),
		waits: make(map[home.Key]chan home.Decision),
		rank:  -1,
	}
	x.mu.Lock() // polls begin before it is ready
	defer x.mu.Unlock()
	x.used = n.now()
	n.cells[c.name] = x
	x.update(n, c, v)
	if x.rank != 0 {
		n.pollSoon(x, c)
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

// updateCells puts a new view in force in the cells of this instance.
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

// update takes over a view. The cell is locked.
func (c *cell) update(n *Node, cv *cellView, v *view) {
	now := n.now()
	rank := cv.rank(n.opt.Name)
	if rank == 0 && c.rank != 0 {
		c.since = now
		c.home.Distrust(now)
		n.pollSoon(c, cv)
	}
	c.rank = rank
	if c.seen == nil || c.seen.set != v.set {
		c.home.Configure(now, v.set, cv.pool)
	}
	if c.seen == nil || c.seen.list != v.list || c.seen.commands != v.commands {
		c.home.SetEndpoints(now, cv.endpoints)
	}
	c.seen = v
	c.setShare(n, now, v)
	if n.leavingNow() {
		c.handOver()
	}
}

// setShare bounds what this instance grants of the cell by its rank.
func (c *cell) setShare(n *Node, now time.Duration, v *view) {
	share := 1.0 / float64(max(1, v.usable))
	switch {
	case c.rank == 0 && (now-c.since >= takeoverFor || n.opt.Alone):
		share = 1
	case c.rank == 0:
		share = takeoverShare
	case c.rank > 0 && c.rank < standIns:
		share = 1 / float64(int(1)<<c.rank)
	}
	if share != c.share {
		c.share = share
		c.home.SetShare(now, share)
	}
}

// ask waits for the cell's decision. Moved reports that this instance cannot
// serve the cell any more, and another is to be asked.
func (c *cell) ask(ctx context.Context, n *Node, a home.Ask) (d home.Decision, moved bool, err error) {
	ch := make(chan home.Decision, 1)
	now := n.now()
	c.mu.Lock()
	c.used = now
	c.waits[a.Key] = ch
	c.home.Ask(now, a)
	c.deliver()
	c.mu.Unlock()
	select {
	case d, ok := <-ch:
		return d, !ok, nil
	case <-ctx.Done():
		c.withdraw(n, a.Key)
		return d, false, ctx.Err()
	}
}

// deliver hands the decisions to those who wait. The cell is locked.
func (c *cell) deliver() {
	for {
		var orphans []home.Key // granted after their callers had gone
		for _, d := range c.home.Take() {
			if ch := c.waits[d.Key]; ch != nil {
				delete(c.waits, d.Key)
				ch <- d
			} else if d.Refusal == nil {
				orphans = append(orphans, d.Key)
			}
		}
		if len(orphans) == 0 {
			return
		}
		for _, key := range orphans {
			c.home.Done(c.home.Now(), home.Release{Key: key})
		}
	}
}

// withdraw cancels an ask whose caller is gone, or returns its grant.
func (c *cell) withdraw(n *Node, key home.Key) {
	now := n.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waits, key)
	c.home.Cancel(now, key)
	c.home.Done(now, home.Release{Key: key})
	c.deliver()
}

// handOver sends all that wait here to the next home. The cell is locked.
func (c *cell) handOver() {
	now := c.home.Now()
	for key, ch := range c.waits {
		c.home.Cancel(now, key)
		delete(c.waits, key)
		close(ch)
	}
}

// releaseWaiters sends all that wait anywhere here to ask again.
func (n *Node) releaseWaiters(now time.Duration) {
	for _, c := range n.allCells() {
		c.mu.Lock()
		c.since = now
		c.handOver()
		c.mu.Unlock()
	}
}

func (n *Node) leavingNow() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

// tickCells lets time pass in the cells that are in use.
func (n *Node) tickCells(now time.Duration) {
	v := n.view.Load()
	for _, c := range n.allCells() {
		c.mu.Lock()
		if now-c.used < idleCell || c.home.Waiting()+c.home.Running() > 0 {
			c.setShare(n, now, v)
			c.home.Tick(now)
			c.deliver()
		}
		c.mu.Unlock()
	}
}

// pollLoop reads the load reports of the endpoints whose home this is.
func (n *Node) pollLoop() {
	for n.sleep(pollEvery) {
		v := n.view.Load()
		now := n.now()
		for _, cv := range v.cells {
			if cv.rank(n.opt.Name) != 0 && !n.inUse(cv.name, now) {
				continue
			}
			c := n.cellFor(cv, v)
			for _, e := range cv.endpoints {
				go n.poll(c, e)
			}
		}
	}
}

// pollSoon asks the endpoints of a cell whose home this instance has just
// become.
func (n *Node) pollSoon(c *cell, cv *cellView) {
	for _, e := range cv.endpoints {
		go n.poll(c, e)
	}
}

// inUse reports whether this instance has lately stood in for the home.
func (n *Node) inUse(name string, now time.Duration) bool {
	n.cellMu.Lock()
	c := n.cells[name]
	n.cellMu.Unlock()
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return now-c.used < idleCell
}

func (n *Node) poll(c *cell, e home.Endpoint) {
	ctx, cancel := context.WithTimeout(n.ctx, pollTimeout)
	defer cancel()
	n.count.polls.Add(1)
	l, err := n.opt.Loads.Load(ctx, e.Name, e.Addr)
	now := n.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		n.count.pollErrors.Add(1)
		c.home.Unreachable(now, e.Name)
	} else {
		l.Endpoint = e.Name
		c.home.Report(now, l)
	}
	c.deliver()
}

type homeService struct{ *Node }

// Ask waits for the decision of a cell of this instance.
func (s homeService) Ask(ctx context.Context, r *peerpb.AskRequest) (*peerpb.AskReply, error) {
	s.count.asksServed.Add(1)
	v := s.view.Load()
	cv := v.cells[r.Cell]
	if cv == nil || s.leavingNow() {
		return &peerpb.AskReply{NotHome: true}, nil
	}
	d, moved, err := s.cellFor(cv, v).ask(ctx, s.Node, askOf(r))
	switch {
	case err != nil:
		return nil, err
	case moved:
		return &peerpb.AskReply{NotHome: true}, nil
	}
	return replyOf(d), nil
}

func askOf(r *peerpb.AskRequest) home.Ask {
	return home.Ask{
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

func replyOf(d home.Decision) *peerpb.AskReply {
	return &peerpb.AskReply{Endpoint: d.Endpoint, Addr: d.Addr, Refusal: refusalOf(d.Refusal)}
}

func refusalOf(e *verdict.Error) *peerpb.Refusal {
	if e == nil {
		return nil
	}
	return &peerpb.Refusal{Reason: string(e.Reason), Detail: e.Detail, RetryAfterMs: e.RetryAfter.Milliseconds()}
}

func errorOf(r *peerpb.Refusal) *verdict.Error {
	e := verdict.Refuse(verdict.Reason(r.Reason), "%s", r.Detail)
	return e.After(time.Duration(r.RetryAfterMs) * time.Millisecond)
}

// Sync takes in what an entry runs and what ended.
func (s homeService) Sync(_ context.Context, r *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	s.count.syncsServed.Add(1)
	v := s.view.Load()
	for _, cs := range r.Cells {
		cv := v.cells[cs.Cell]
		if cv == nil {
			continue
		}
		s.syncCell(s.cellFor(cv, v), r.Entry, cs)
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
			Held:       time.Duration(x.HeldUs) * time.Microsecond,
			Late:       x.Late,
			Whole:      x.Whole,
			Busy:       x.Busy,
		})
	}
	for _, x := range cs.Progress {
		c.home.Progress(now, home.Progress{Endpoint: x.Endpoint, Tokens: int(x.Tokens), Elapsed: time.Duration(x.ElapsedUs) * time.Microsecond})
	}
	if cs.Full {
		runs := make([]home.Running, len(cs.Runs))
		for i, x := range cs.Runs {
			runs[i] = home.Running{Seq: x.Seq, Endpoint: x.Endpoint, Class: x.Class}
		}
		c.home.Sync(now, entry, runs)
	}
	c.deliver()
}

// Declarations returns what is in force, and whether anything is.
func (n *Node) Declarations() (*decl.Set, bool) {
	v := n.view.Load()
	return v.set, v.ready
}
