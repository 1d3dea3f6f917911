package node

// This file keeps the documents in force: the declarations and the list.
// Two instances watch the platform for all that can hear them; a new
// revision is offered to a few peers at once, and heartbeats carry the
// revisions, so whoever is behind fetches. A revision older than the one in
// force is never taken up, wherever it comes from.

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ivyridge/chart"
	"ivyridge/decl"
	"ivyridge/member"
	"ivyridge/owner"
	"ivyridge/peer/peerpb"
	"ivyridge/publish"
)

const (
	watchers    = 2
	watchWait   = 2 * time.Second
	watchRetry  = 500 * time.Millisecond
	offerTo     = 3
	callTimeout = 500 * time.Millisecond
	// documentTimeout is for calls that carry a document: a megabyte takes 8.4 s
	// over a link of 1 Mbit/s. With that of a small call, a document that takes
	// longer was cut and begun anew for ever. A peer that is gone ends its calls
	// sooner, by the connection's pings.
	documentTimeout = 10 * time.Second
	platformLost    = 5 * time.Second // then instances look for themselves
	lookEach        = time.Second     // apart, by rank
	firstRetry      = 200 * time.Millisecond
	bootstrapSlow   = 2 * time.Second
)

// A document is one kind's revision in force.
type document struct {
	revision int64
	value    []byte
}

type documents struct {
	config, list document
	set          *decl.Set // as published
	effective    *decl.Set // with operators' commands
	machine      chart.Machine
	rejected     int64 // newest configuration that was refused
	rejection    string
	acceptedAt   time.Duration
}

type fetchKey struct {
	kind peerpb.Kind
	from string
}

var (
	evAccept       = chart.Configuration.Event("accept")
	evReject       = chart.Configuration.Event("reject")
	evPlatformLost = chart.Configuration.Event("platform_lost")
	evPlatformSeen = chart.Configuration.Event("platform_seen")
)

// accept takes up a document if it is newer than the one in force and valid.
// It reports whether it did.
func (n *Node) accept(kind peerpb.Kind, revision int64, value []byte, from string) bool {
	var ok bool
	switch kind {
	case peerpb.Kind_CONFIG:
		ok = n.acceptConfig(revision, value, from)
	case peerpb.Kind_LIST:
		ok = n.acceptList(revision, value, from)
	case peerpb.Kind_COMMANDS:
		ok = n.mergeCommands(value)
	}
	if ok {
		n.refresh()
		n.publish(Change{Topic: DocumentsChanged, What: kind.String(), Revision: revision})
		go n.offer(kind, from)
	}
	return ok
}

func (n *Node) acceptConfig(revision int64, value []byte, from string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := &n.docs
	if revision <= d.config.revision || revision == d.rejected {
		return false
	}
	set, err := decl.Parse("declarations", value)
	if err != nil {
		n.count.rejected.Add(1)
		d.rejected, d.rejection = revision, err.Error()
		d.machine.Step(evReject)
		n.log.Error("publication refused", zap.Int64("revision", revision), zap.String("from", from), zap.Error(err))
		return false
	}
	d.config = document{revision, value}
	d.set, d.effective = set, n.commands.Apply(set)
	d.acceptedAt = n.now()
	d.machine.Step(evAccept)
	n.count.accepted.Add(1)
	return true
}

func (n *Node) acceptList(revision int64, value []byte, from string) bool {
	var l member.List
	if err := json.Unmarshal(value, &l); err != nil {
		n.log.Error("list refused", zap.Int64("revision", revision), zap.String("from", from), zap.Error(err))
		return false
	}
	l.Revision = revision
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if !n.table.SetList(now, l) {
		return false
	}
	n.docs.list = document{revision, value}
	n.owners.SetList(now, revision, owner.Eligible(&l))
	return true
}

func (n *Node) mergeCommands(value []byte) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	changed, err := n.commands.Merge(value)
	if err != nil || !changed {
		return false
	}
	n.applyCommands()
	return true
}

// applyCommands derives what is in force. The core is locked.
func (n *Node) applyCommands() {
	if n.docs.set != nil {
		n.docs.effective = n.commands.Apply(n.docs.set)
	}
	n.table.SetDrained(n.commands.Drained)
}

// document returns a kind as it can be handed to peers. The core is locked.
func (n *Node) document(kind peerpb.Kind) *peerpb.Document {
	d := &peerpb.Document{Kind: kind, From: n.opt.Name}
	switch kind {
	case peerpb.Kind_CONFIG:
		d.Revision, d.Value = n.docs.config.revision, n.docs.config.value
	case peerpb.Kind_LIST:
		d.Revision, d.Value = n.docs.list.revision, n.docs.list.value
	case peerpb.Kind_COMMANDS:
		d.Revision, d.Value = n.commands.Version(), n.commands.Encode()
	}
	return d
}

// offer sends a new document to a few peers chosen by chance.
func (n *Node) offer(kind peerpb.Kind, not string) {
	n.mu.Lock()
	d := n.document(kind)
	n.mu.Unlock()
	for _, addr := range n.somePeers(offerTo, not) {
		go func() {
			ctx, cancel := context.WithTimeout(n.ctx, documentTimeout)
			defer cancel()
			n.count.offers.Add(1)
			_, _ = n.dial.To(addr).Offer(ctx, d)
		}()
	}
}

// somePeers returns the addresses of up to k usable peers.
func (n *Node) somePeers(k int, not string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []string
	for _, p := range n.table.Peers() {
		if p.Name != n.opt.Name && p.Name != not && p.Usable() {
			all = append(all, p.Addr)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(k, len(all))]
}

// fetch asks a peer for a document that it said it has.
func (n *Node) fetch(kind peerpb.Kind, from, addr string) {
	key := fetchKey{kind, from}
	n.mu.Lock()
	if n.fetching[key] {
		n.mu.Unlock()
		return
	}
	n.fetching[key] = true
	have := n.document(kind).Revision
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.fetching, key)
		n.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(n.ctx, documentTimeout)
	defer cancel()
	n.count.fetches.Add(1)
	r, err := n.dial.To(addr).Fetch(ctx, &peerpb.FetchRequest{Kind: kind, Have: have})
	if err != nil || r.Document == nil {
		return
	}
	n.accept(kind, r.Document.Revision, r.Document.Value, from)
}

// watchLoop watches one document while this instance is among the watchers.
func (n *Node) watchLoop(kind publish.Kind) func() {
	return func() {
		for n.ctx.Err() == nil {
			if !n.shouldWatch() {
				n.sleep(watchRetry)
				continue
			}
			if err := n.watchOnce(kind, watchWait); err != nil {
				n.sleep(watchRetry)
			}
		}
	}
}

// shouldWatch reports whether this instance watches now: it ranks among the
// first, or nobody has heard the platform for so long that its turn has come.
func (n *Node) shouldWatch() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	ranked := member.Rank("watch", n.table.Usable())
	turn := len(ranked)
	for i, name := range ranked {
		if name == n.opt.Name {
			turn = i
		}
	}
	if turn < watchers {
		return true
	}
	return n.now()-n.platform > platformLost+time.Duration(turn)*lookEach
}

func (n *Node) watchOnce(kind publish.Kind, wait time.Duration) error {
	pk := peerpb.Kind_CONFIG
	if kind == publish.List {
		pk = peerpb.Kind_LIST
	}
	n.mu.Lock()
	after := n.document(pk).Revision
	if pk == peerpb.Kind_CONFIG {
		after = max(after, n.docs.rejected)
	}
	n.mu.Unlock()
	n.count.platformCalls.Add(1)
	p, err := n.opt.Platform.Watch(n.ctx, kind, after, wait)
	if err != nil {
		n.count.platformErrors.Add(1)
		return errors.Wrap(err, "watch")
	}
	n.heardPlatform(n.now())
	if p != nil {
		if p.Revision < after {
			n.count.oldRevisions.Add(1)
			return errors.Errorf("the platform serves revision %d, older than %d", p.Revision, after)
		}
		n.accept(pk, p.Revision, []byte(p.Value), "platform")
	}
	return nil
}

// heardPlatform takes in that someone heard the platform at an instant.
func (n *Node) heardPlatform(at time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if at > n.platform {
		n.platform = at
	}
	if n.now()-n.platform < platformLost {
		n.docs.machine.Step(evPlatformSeen)
	} else {
		n.docs.machine.Step(evPlatformLost)
	}
}

// bootstrap finds the first documents: from the platform, or from seeds.
func (n *Node) bootstrap() {
	for n.ctx.Err() == nil {
		_ = n.watchOnce(publish.List, 0)
		_ = n.watchOnce(publish.Config, 0)
		for _, addr := range n.opt.Seeds {
			if addr != n.opt.Addr {
				n.fetch(peerpb.Kind_LIST, addr, addr)
				n.fetch(peerpb.Kind_CONFIG, addr, addr)
				n.fetch(peerpb.Kind_COMMANDS, addr, addr)
			}
		}
		n.mu.Lock()
		done := n.docs.set != nil && n.docs.list.revision > 0
		n.mu.Unlock()
		if done || !n.sleep(firstRetry) {
			return
		}
	}
}

// Ready reports whether the instance may be given requests, and why not. A
// new instance has first to hear its peers, so that it starts from the
// highest revision that they know.
func (n *Node) Ready() (bool, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.leaving || n.commands.Drained(n.opt.Name):
		return false, "leaving"
	case n.docs.set == nil:
		return false, "no configuration"
	case n.docs.list.revision == 0:
		return false, "no list"
	case !n.view.Load().ready:
		return false, "no view" // callers are served by it, and it follows the documents
	}
	others, slow := 0, n.now()-n.started > bootstrapSlow
	for _, p := range n.table.Peers() {
		if p.Name == n.opt.Name {
			continue
		}
		others++
		behind := p.Last.ConfigRevision > max(n.docs.config.revision, n.docs.rejected) ||
			p.Last.ListRevision > n.docs.list.revision || p.Last.CommandVersion > n.commands.Version()
		if behind && p.Usable() {
			return false, "behind " + p.Name
		}
	}
	if others > 0 && !n.heardAny && !slow {
		return false, "no peer heard yet"
	}
	return true, ""
}
