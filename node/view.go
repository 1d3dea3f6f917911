package node

// This file builds the immutable view that requests read (the cells, the ranked homes of each and
// the addresses of peers) from the list, the liveness of the peers and the declarations.

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ivyridge/decl"
	"ivyridge/home"
	"ivyridge/member"
)

// maxCellSize is the maximum mean size of the cells that a group of endpoints is split into.
const maxCellSize = 16

// A cellView describes a cell: identical endpoints that share a queue, which one instance, the cell's
// home, holds (see package home). It is immutable.
type cellView struct {
	name        string
	pool        *decl.Pool
	endpoints   []home.Endpoint
	homes       []string // usable instances, by rank
	dataCentres map[string]bool
}

// A view is the snapshot from which requests are routed. It is immutable.
type view struct {
	set       *decl.Set
	ready     bool
	pools     map[string][]*cellView
	cells     map[string]*cellView
	peers     map[string]string // address by instance name
	usable    int
	endpoints map[string]bool // whether it may receive new requests
	list      *member.List
	commands  int64 // version of the operator commands
}

// refreshDelay coalesces rebuilds that follow liveness changes.
const refreshDelay = 20 * time.Millisecond

// refreshSoon schedules a refresh after refreshDelay, one for all changes until then: if many peers
// fail at once, each suspicion would otherwise rebuild the view.
func (n *Node) refreshSoon() {
	if n.refreshing.CompareAndSwap(false, true) {
		time.AfterFunc(refreshDelay, func() {
			n.refreshing.Store(false)
			if n.ctx.Err() == nil {
				n.refresh()
			}
		})
	}
}

// refresh rebuilds the view and applies it to the cells.
func (n *Node) refresh() {
	n.mu.Lock()
	v := n.buildView()
	n.view.Store(v)
	down := n.unusablePeers()
	n.mu.Unlock()
	n.peerCtx.cancel(down)
	n.updateCells(v)
	notify(n.out.homesChanged)
}

// unusablePeers returns the peers whose calls are to be cancelled. The caller holds n.mu.
func (n *Node) unusablePeers() []string {
	var out []string
	for _, p := range n.table.Peers() {
		if p.Name != n.opt.Name && !p.Usable() {
			out = append(out, p.Name)
		}
	}
	return out
}

// buildView returns a new view. The caller holds n.mu.
func (n *Node) buildView() *view {
	l := n.table.List()
	v := &view{
		set:       n.docs.effective,
		pools:     make(map[string][]*cellView),
		cells:     make(map[string]*cellView),
		peers:     make(map[string]string),
		endpoints: make(map[string]bool),
		list:      l,
		commands:  n.commands.Version(),
	}
	if v.set == nil {
		v.set = new(decl.Set)
		return v
	}
	v.ready = true
	usable := n.table.Usable()
	v.usable = max(1, len(usable))
	dataCentreOf := make(map[string]string)
	for _, p := range n.table.Peers() {
		v.peers[p.Name] = p.Addr
		dataCentreOf[p.Name] = p.DataCentre
	}
	n.buildCells(v, l)
	for _, c := range v.cells {
		c.homes = n.rankHomes(c, usable, dataCentreOf)
	}
	return v
}

// buildCells groups the listed endpoints by pool and region into cells of at most maxCellSize on average.
func (n *Node) buildCells(v *view, l *member.List) {
	type group struct{ pool, region string }
	groups := make(map[group][]member.Endpoint)
	for _, e := range l.Endpoints {
		if v.set.Pool(e.Pool) != nil {
			g := group{e.Pool, e.Region}
			groups[g] = append(groups[g], e)
		}
	}
	for g, members := range groups {
		shards := (len(members) + maxCellSize - 1) / maxCellSize
		for _, e := range members {
			c := v.cell(g.pool, g.region, shardOf(e.Name, shards))
			stopped := n.commands.Stopped(e.Name)
			c.endpoints = append(c.endpoints, home.Endpoint{
				Name:       e.Name,
				Addr:       e.Addr,
				DataCentre: e.DataCentre,
				Leaving:    e.State == member.Leaving,
				Stopped:    stopped,
			})
			c.dataCentres[e.DataCentre] = true
			v.endpoints[e.Name] = e.State == member.Live && !stopped
		}
	}
	for _, cells := range v.pools {
		sort.Slice(cells, func(i, j int) bool { return cells[i].name < cells[j].name })
	}
}

// shardOf assigns the endpoint called name to one of its group's shards by rendezvous hashing.
func shardOf(name string, shards int) int {
	if shards == 1 {
		return 0
	}
	best, shard := uint64(0), 0
	for i := range shards {
		if s := xxhash.Sum64String(strconv.Itoa(i) + "/" + name); s >= best {
			best, shard = s, i
		}
	}
	return shard
}

func (v *view) cell(pool, region string, shard int) *cellView {
	name := fmt.Sprintf("%s/%s/%d", pool, region, shard)
	c := v.cells[name]
	if c == nil {
		c = &cellView{name: name, pool: v.set.Pool(pool), dataCentres: make(map[string]bool)}
		v.cells[name] = c
		v.pools[pool] = append(v.pools[pool], c)
	}
	return c
}

// rankHomes ranks the usable instances as homes of c, those in c's data centres first.
func (n *Node) rankHomes(c *cellView, usable []string, dataCentreOf map[string]string) []string {
	if n.opt.Alone {
		return []string{n.opt.Name}
	}
	ranked := member.Rank(c.name, usable)
	sort.SliceStable(ranked, func(i, j int) bool {
		return c.dataCentres[dataCentreOf[ranked[i]]] && !c.dataCentres[dataCentreOf[ranked[j]]]
	})
	return ranked
}

// rank returns the index of self among the homes of c, or -1.
func (c *cellView) rank(self string) int {
	for i, name := range c.homes {
		if name == self {
			return i
		}
	}
	return -1
}

// cellsInOrder returns the cells of pool in the order in which instance tries them: those with
// endpoints in dataCentre first, then in an order fixed by a hash of cell and instance, so that an
// instance sends most requests to the same few cells, and thus to few home instances.
func (v *view) cellsInOrder(pool, dataCentre, instance string) []*cellView {
	cells := v.pools[pool]
	if len(cells) < 2 {
		return cells
	}
	out := append([]*cellView(nil), cells...)
	rank := func(c *cellView) uint64 { return xxhash.Sum64String(c.name + "\x00" + instance) }
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i].dataCentres[dataCentre], out[j].dataCentres[dataCentre]
		if a != b {
			return a
		}
		return rank(out[i]) > rank(out[j])
	})
	return out
}

// peerContexts cancel the calls to a peer when it becomes unusable.
type peerContexts struct {
	mu     sync.Mutex
	byPeer map[string]*cancelableContext
}

type cancelableContext struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func (p *peerContexts) init() { p.byPeer = make(map[string]*cancelableContext) }

// get returns a context that is cancelled when the peer called name becomes unusable.
func (p *peerContexts) get(name string) context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	pc := p.byPeer[name]
	if pc == nil {
		ctx, cancel := context.WithCancel(context.Background())
		pc = &cancelableContext{ctx, cancel}
		p.byPeer[name] = pc
	}
	return pc.ctx
}

func (p *peerContexts) cancel(names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range names {
		if pc := p.byPeer[name]; pc != nil {
			pc.cancel()
			delete(p.byPeer, name)
		}
	}
}
