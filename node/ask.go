package node

// This file is the part of an entry: it asks the home of a cell for a grant.
// The entry holds the request all the time, so a home that is lost loses
// none: the entry asks the next one, with the request's age.

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"ivyridge/home"
	"ivyridge/peer/peerpb"
	"ivyridge/verdict"
)

// GrantLife is how long after it was given a grant may be acted on. It is
// far below home.RunLease and owner.Retention, so that an entry that slept
// does not act on what others have given up.
const GrantLife = time.Second

const (
	homesTried = 3
	askRounds  = 8 // in which the homes changed under the request
	roundPause = 30 * time.Millisecond
)

// A Request is what Acquire needs to know.
type Request struct {
	Pool       string
	Class      string
	Team       string
	Prompt     int
	MaxTokens  int
	Prefix     uint64
	Avoid      string
	Arrived    time.Duration // instant
	DataCentre string
}

// A Grant is the right to send one request to one endpoint.
type Grant struct {
	Endpoint string
	Addr     string
	Cell     string
	Home     string // the instance that granted
	At       time.Duration
	Class    string
	Team     string
	seq      uint64
}

// Acquire waits until an endpoint is granted. The error is a *verdict.Error
// of a request that was not run, or that of ctx.
func (n *Node) Acquire(ctx context.Context, r *Request) (*Grant, error) {
	var last error
	for round := 0; round < askRounds; round++ {
		v := n.view.Load()
		if !v.ready {
			return nil, verdict.Refuse(verdict.NoConfiguration, "no configuration is in force yet").After(time.Second)
		}
		cells := v.choose(r.Pool, n.opt.DataCentre, n.opt.Name)
		if len(cells) == 0 {
			return nil, verdict.Refuse(verdict.NoEndpoint, "pool %q has no endpoint", r.Pool).After(time.Second)
		}
		g, again, err := n.acquireIn(ctx, v, cells, r)
		if err == nil || !again {
			return g, err
		}
		last = err
		n.count.askRetries.Add(1)
		if !n.pause(ctx, roundPause) {
			return nil, errors.Wrap(ctx.Err(), "ask")
		}
	}
	n.count.askLost.Add(1)
	return nil, verdict.Refuse(verdict.HomeLost, "no home kept the request: %v", last).After(time.Second)
}

func (n *Node) pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// acquireIn tries the cells in order; an overloaded one sends the request on
// to the next. Again reports that the homes changed under the request.
func (n *Node) acquireIn(ctx context.Context, v *view, cells []*cellView, r *Request) (g *Grant, again bool, err error) {
	const spill = 2
	for _, c := range cells[:min(spill, len(cells))] {
		g, again, err = n.acquireAt(ctx, v, c, r)
		if err == nil || again || ctx.Err() != nil {
			return g, again, err
		}
		if reason := verdict.Of(err).Reason; reason != verdict.Overloaded && reason != verdict.NoEndpoint {
			return nil, false, err
		}
	}
	return nil, false, err
}

// acquireAt asks the homes of one cell, best first. Where none answers, this
// instance stands in with a bounded share.
func (n *Node) acquireAt(ctx context.Context, v *view, c *cellView, r *Request) (*Grant, bool, error) {
	for _, name := range c.homes[:min(homesTried, len(c.homes))] {
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
		return n.granted(c, name, d, r), false, nil
	}
	n.count.stoodIn.Add(1)
	d, moved, err := n.cellFor(c, v).ask(ctx, n, n.askFor(r))
	if err != nil || moved {
		return nil, moved, err
	}
	if d.Refusal != nil {
		return nil, false, d.Refusal
	}
	return n.granted(c, n.opt.Name, d, r), false, nil
}

func (n *Node) granted(c *cellView, name string, d home.Decision, r *Request) *Grant {
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
	n.out.began(g)
	return g
}

func (n *Node) askFor(r *Request) home.Ask {
	return home.Ask{
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

// askHome asks one instance, which may be this one.
func (n *Node) askHome(ctx context.Context, v *view, c *cellView, name string, r *Request) (home.Decision, bool, error) {
	a := n.askFor(r)
	if name == n.opt.Name {
		n.count.asksLocal.Add(1)
		return n.cellFor(c, v).ask(ctx, n, a)
	}
	n.count.asksSent.Add(1)
	n.out.waiting(name, 1)
	defer n.out.waiting(name, -1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(n.lines.to(name), cancel)
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
		d.Refusal = errorOf(reply.Refusal)
	}
	return d, reply.NotHome, nil
}

// May reports whether the endpoint of a grant may still be sent work: the
// list, a command or time may have overtaken the grant.
func (n *Node) May(g *Grant) bool {
	return n.view.Load().endpoints[g.Endpoint] && n.now()-g.At < GrantLife
}
