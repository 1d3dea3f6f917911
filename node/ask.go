package node

// This file asks the home of a cell for a grant. The entry holds the request until it is answered:
// if a home is lost, it asks the next one and passes the request's age.

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"ivyridge/home"
	"ivyridge/peer/peerpb"
	"ivyridge/verdict"
)

// GrantTTL is how long a grant may be used. It is far below home.RunLease and owner.Retention, so
// that an entry that was suspended does not use a grant whose slot or key record has expired.
const GrantTTL = time.Second

const (
	maxHomesTried = 3
	maxAskRounds  = 8 // rounds in which the homes changed during the request
	askRetryDelay = 30 * time.Millisecond
)

// A Request describes the request for which Acquire needs an endpoint.
type Request struct {
	Pool       string
	Class      string
	Team       string
	Prompt     int
	MaxTokens  int
	Prefix     uint64
	Avoid      string
	Arrived    time.Duration
	DataCentre string
}

// A Grant permits sending one request to one endpoint.
type Grant struct {
	Endpoint string
	Addr     string
	Cell     string
	Home     string // instance that granted it
	At       time.Duration
	Class    string
	Team     string
	seq      uint64
}

// Acquire waits until an endpoint is granted. The error is a *verdict.Error of a
// request that was not run, or wraps the error of ctx.
func (n *Node) Acquire(ctx context.Context, r *Request) (*Grant, error) {
	var lastErr error
	for round := 0; round < maxAskRounds; round++ {
		v := n.view.Load()
		if !v.ready {
			return nil, verdict.Refuse(verdict.NoConfiguration, "no configuration is in force yet").WithRetryAfter(time.Second)
		}
		cells := v.cellsInOrder(r.Pool, n.opt.DataCentre, n.opt.Name)
		if len(cells) == 0 {
			return nil, verdict.Refuse(verdict.NoEndpoint, "pool %q has no endpoint", r.Pool).WithRetryAfter(time.Second)
		}
		g, again, err := n.acquireFromCells(ctx, v, cells, r)
		if err == nil || !again {
			return g, err
		}
		lastErr = err
		n.count.acquireRetries.Add(1)
		if !n.sleepContext(ctx, askRetryDelay) {
			return nil, errors.Wrap(ctx.Err(), "ask")
		}
	}
	n.count.acquireFailures.Add(1)
	return nil, verdict.Refuse(verdict.HomeLost, "no home kept the request: %v", lastErr).WithRetryAfter(time.Second)
}

func (n *Node) sleepContext(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// acquireFromCells tries the first cells in order until one is not overloaded. The result again
// reports that the homes changed, so Acquire should retry.
func (n *Node) acquireFromCells(ctx context.Context, v *view, cells []*cellView, r *Request) (g *Grant, again bool, err error) {
	const maxCells = 2
	for _, c := range cells[:min(maxCells, len(cells))] {
		g, again, err = n.acquireFromCell(ctx, v, c, r)
		if err == nil || again || ctx.Err() != nil {
			return g, again, err
		}
		if reason := verdict.Of(err).Reason; reason != verdict.Overloaded && reason != verdict.NoEndpoint {
			return nil, false, err
		}
	}
	return nil, false, err
}

// acquireFromCell asks the homes of one cell in order of rank. If none of them serves the cell,
// this instance decides itself, within its share as a fallback.
func (n *Node) acquireFromCell(ctx context.Context, v *view, c *cellView, r *Request) (*Grant, bool, error) {
	for _, name := range c.homes[:min(maxHomesTried, len(c.homes))] {
		d, moved, err := n.askHome(ctx, v, c, name, r)
		switch {
		case ctx.Err() != nil:
			return nil, false, errors.Wrap(ctx.Err(), "ask")
		case err != nil:
			n.count.homeErrors.Add(1)
			return nil, true, err
		case moved:
			continue
		case d.Refusal != nil:
			return nil, false, d.Refusal
		}
		return n.recordGrant(c, name, d, r), false, nil
	}
	n.count.fallbackRequests.Add(1)
	d, moved, err := n.getCell(c, v).ask(ctx, n, n.newHomeRequest(r))
	if err != nil || moved {
		return nil, moved, err
	}
	if d.Refusal != nil {
		return nil, false, d.Refusal
	}
	return n.recordGrant(c, n.opt.Name, d, r), false, nil
}

func (n *Node) recordGrant(c *cellView, name string, d home.Decision, r *Request) *Grant {
	g := &Grant{
		Endpoint: d.Endpoint,
		Addr:     d.Addr,
		Cell:     c.name,
		Home:     name,
		At:       n.now(),
		Class:    r.Class,
		Team:     r.Team,
		seq:      d.Seq,
	}
	n.out.addRun(g)
	return g
}

func (n *Node) newHomeRequest(r *Request) home.Request {
	return home.Request{
		Key:        home.Key{Entry: n.opt.Name, Seq: n.seq.Add(1)},
		Class:      r.Class,
		Team:       r.Team,
		DataCentre: n.opt.DataCentre,
		Prompt:     r.Prompt,
		MaxTokens:  r.MaxTokens,
		Age:        n.now() - r.Arrived,
		Prefix:     r.Prefix,
		Avoid:      r.Avoid,
	}
}

// askHome asks the home called name, which may be this instance. If true, another must be asked.
func (n *Node) askHome(ctx context.Context, v *view, c *cellView, name string, r *Request) (home.Decision, bool, error) {
	a := n.newHomeRequest(r)
	if name == n.opt.Name {
		n.count.grantRequestsLocal.Add(1)
		return n.getCell(c, v).ask(ctx, n, a)
	}
	n.count.grantRequestsSent.Add(1)
	n.out.addWaiting(name, 1)
	defer n.out.addWaiting(name, -1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(n.peerCtx.get(name), cancel)
	defer stop()
	reply, err := n.dial.To(v.peers[name]).Ask(ctx, &peerpb.AskRequest{
		Cell:       c.name,
		Entry:      a.Entry,
		Seq:        a.Seq,
		Class:      a.Class,
		Team:       a.Team,
		DataCentre: a.DataCentre,
		Prompt:     int32(a.Prompt),
		MaxTokens:  int32(a.MaxTokens),
		AgeUs:      a.Age.Microseconds(),
		Prefix:     a.Prefix,
		Avoid:      a.Avoid,
	})
	if err != nil {
		if ctx.Err() == nil {
			n.suspect(name)
		}
		return home.Decision{}, false, errors.Wrapf(err, "home %s", name)
	}
	d := home.Decision{Key: a.Key, Endpoint: reply.Endpoint, Addr: reply.Addr}
	if reply.Refusal != nil {
		d.Refusal = refusalFromProto(reply.Refusal)
	}
	return d, reply.NotHome, nil
}

// GrantValid reports whether a grant may still be used. GrantTTL, a newer list or an operator
// command may have invalidated it.
func (n *Node) GrantValid(g *Grant) bool {
	return n.view.Load().endpoints[g.Endpoint] && n.now()-g.At < GrantTTL
}
