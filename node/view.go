package node

// This file derives, from the list, the members and the declarations, the
// immutable view that requests read: which cells there are, who is home of
// each, and where peers are.

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

// cellSize is how many endpoints a cell has at the most. A larger group of
// alike endpoints in a region is split.
const cellSize = 16

// A cellView is one cell as this instance sees it.
type cellView struct {
	name      string
	pool      *decl.Pool
	endpoints []home.Endpoint
	homes     []string // usable instances, best first
	near      map[string]bool
}

// A view is what requests are decided by. It is immutable.
type view struct {
	set       *decl.Set
	ready     bool
	pools     map[string][]*cellView
	cells     map[string]*cellView
	peers     map[string]string // addresses by name
	usable    int
	endpoints map[string]bool // those that may be given new work
	list      *member.List
	commands  int64 // version
}

// refreshPause is the least time between views that only members changed.
const refreshPause = 20 * time.Millisecond

// refreshSoon derives the view again in a moment, once for all changes of
// members until then: where many fall silent at once, each of their
// suspicions must not cost a view.
func (n *Node) refreshSoon() {
	if n.refreshing.CompareAndSwap(false, true) {
		time.AfterFunc(refreshPause, func() {
			n.refreshing.Store(false)
			if n.ctx.Err() == nil {
				n.refresh()
			}
		})
	}
}

// refresh derives the view again and tells the cells.
func (n *Node) refresh() {
	n.mu.Lock()
	v := n.derive()
	n.view.Store(v)
	down := n.unusable()
	n.mu.Unlock()
	n.lines.cut(down)
	n.updateCells(v)
	signal(n.out.moved)
}

// unusable returns the peers that should not be waited for. The core is
// locked.
func (n *Node) unusable() []string {
	var out []string
	for _, p := range n.table.Peers() {
		if p.Name != n.opt.Name && !p.Usable() {
			out = append(out, p.Name)
		}
	}
	return out
}

// derive builds a view. The core is locked.
func (n *Node) derive() *view {
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
	centre := make(map[string]string)
	for _, p := range n.table.Peers() {
		v.peers[p.Name] = p.Addr
		centre[p.Name] = p.DataCentre
	}
	n.deriveCells(v, l)
	for _, c := range v.cells {
		c.homes = n.homesOf(c, usable, centre)
	}
	return v
}

// deriveCells groups the listed endpoints by pool and region, and splits
// groups that are too large.
func (n *Node) deriveCells(v *view, l *member.List) {
	type group struct{ pool, region string }
	groups := make(map[group][]member.Endpoint)
	for _, e := range l.Endpoints {
		if v.set.Pool(e.Pool) != nil {
			g := group{e.Pool, e.Region}
			groups[g] = append(groups[g], e)
		}
	}
	for g, members := range groups {
		shards := (len(members) + cellSize - 1) / cellSize
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
			c.near[e.DataCentre] = true
			v.endpoints[e.Name] = e.State == member.Live && !stopped
		}
	}
	for _, cells := range v.pools {
		sort.Slice(cells, func(i, j int) bool { return cells[i].name < cells[j].name })
	}
}

// shardOf spreads endpoints over the cells of a group.
func shardOf(name string, shards int) int {
	if shards == 1 {
		return 0
	}
	best, at := uint64(0), 0
	for i := range shards {
		if s := xxhash.Sum64String(strconv.Itoa(i) + "/" + name); s >= best {
			best, at = s, i
		}
	}
	return at
}

func (v *view) cell(pool, region string, shard int) *cellView {
	name := fmt.Sprintf("%s/%s/%d", pool, region, shard)
	c := v.cells[name]
	if c == nil {
		c = &cellView{name: name, pool: v.set.Pool(pool), near: make(map[string]bool)}
		v.cells[name] = c
		v.pools[pool] = append(v.pools[pool], c)
	}
	return c
}

// homesOf ranks the instances for a cell. Those in the data centres of its
// endpoints go first.
func (n *Node) homesOf(c *cellView, usable []string, centre map[string]string) []string {
	if n.opt.Alone {
		return []string{n.opt.Name}
	}
	ranked := member.Rank(c.name, usable)
	sort.SliceStable(ranked, func(i, j int) bool {
		return c.near[centre[ranked[i]]] && !c.near[centre[ranked[j]]]
	})
	return ranked
}

// rank returns self's place among the homes of c, or -1.
func (c *cellView) rank(self string) int {
	for i, name := range c.homes {
		if name == self {
			return i
		}
	}
	return -1
}

// choose returns the cells of a pool in the order in which an instance should
// try them: its own region's first, then by an order that the instance keeps,
// so that it speaks to few homes.
func (v *view) choose(pool, dataCentre, instance string) []*cellView {
	cells := v.pools[pool]
	if len(cells) < 2 {
		return cells
	}
	out := append([]*cellView(nil), cells...)
	rank := func(c *cellView) uint64 { return xxhash.Sum64String(c.name + "\x00" + instance) }
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i].near[dataCentre], out[j].near[dataCentre]
		if a != b {
			return a
		}
		return rank(out[i]) > rank(out[j])
	})
	return out
}

// peerLines end the calls that wait on a peer once it is suspected: a
// request that waits at a home must not wait for a dead one.
type peerLines struct {
	mu    sync.Mutex
	lines map[string]*line
}

type line struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func (p *peerLines) init() { p.lines = make(map[string]*line) }

// to returns a context that ends when the peer becomes unusable.
func (p *peerLines) to(name string) context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lines[name]
	if l == nil {
		ctx, cancel := context.WithCancel(context.Background())
		l = &line{ctx, cancel}
		p.lines[name] = l
	}
	return l.ctx
}

func (p *peerLines) cut(names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range names {
		if l := p.lines[name]; l != nil {
			l.cancel()
			delete(p.lines, name)
		}
	}
}
