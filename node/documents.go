package node

// This file distributes the configuration and the instance list. Two instances poll the platform.
// They offer a new revision to a few peers; the others see it in heartbeats and fetch it. A
// revision older than the accepted one is ignored, whatever its source.

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
	"ivyridge/platformclient"
)

const (
	platformWatchers = 2
	watchTimeout     = 2 * time.Second
	watchRetryDelay  = 500 * time.Millisecond
	offerFanout      = 3
	callTimeout      = 500 * time.Millisecond
	// documentTimeout is for calls that carry a document: 1 MB takes 8.4 s at 1 Mbit/s, and
	// callTimeout would cut such a transfer every time. Calls to a dead peer end sooner, by pings.
	documentTimeout     = 10 * time.Second
	platformLostAfter   = 5 * time.Second // without contact, after which further instances poll the platform
	watchStagger        = time.Second     // added delay for each rank
	bootstrapRetryDelay = 200 * time.Millisecond
	bootstrapGrace      = 2 * time.Second
)

// A document is the accepted revision of one kind of document.
type document struct {
	revision int64
	value    []byte
}

type documents struct {
	config, list     document
	set              *decl.Set // as published, without operator commands
	effective        *decl.Set // with operator commands applied
	machine          chart.Machine
	rejectedRevision int64 // newest revision that failed validation
	rejection        string
	acceptedAt       time.Duration
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

// accept applies a document and reports true if it is valid and newer than the accepted one.
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
	if revision <= d.config.revision || revision == d.rejectedRevision {
		return false
	}
	set, err := decl.Parse("declarations", value)
	if err != nil {
		n.count.configsRejected.Add(1)
		d.rejectedRevision, d.rejection = revision, err.Error()
		d.machine.Step(evReject)
		n.log.Error("configuration rejected", zap.Int64("revision", revision), zap.String("from", from), zap.Error(err))
		return false
	}
	d.config = document{revision, value}
	d.set, d.effective = set, n.commands.Apply(set)
	d.acceptedAt = n.now()
	d.machine.Step(evAccept)
	n.count.configsAccepted.Add(1)
	return true
}

func (n *Node) acceptList(revision int64, value []byte, from string) bool {
	var l member.List
	if err := json.Unmarshal(value, &l); err != nil {
		n.log.Error("instance list rejected", zap.Int64("revision", revision), zap.String("from", from), zap.Error(err))
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

// applyCommands applies the commands to the configuration and the table. The caller holds n.mu.
func (n *Node) applyCommands() {
	if n.docs.set != nil {
		n.docs.effective = n.commands.Apply(n.docs.set)
	}
	n.table.SetDrained(n.commands.Drained)
}

// document returns the accepted document of kind. The caller holds n.mu.
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

// offer sends the accepted document of kind to up to offerFanout random peers except exclude.
func (n *Node) offer(kind peerpb.Kind, exclude string) {
	n.mu.Lock()
	d := n.document(kind)
	n.mu.Unlock()
	for _, addr := range n.randomPeers(offerFanout, exclude) {
		go func() {
			ctx, cancel := context.WithTimeout(n.ctx, documentTimeout)
			defer cancel()
			n.count.offerCalls.Add(1)
			_, _ = n.dial.To(addr).Offer(ctx, d)
		}()
	}
}

// randomPeers returns the addresses of up to limit usable peers other than exclude.
func (n *Node) randomPeers(limit int, exclude string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []string
	for _, p := range n.table.Peers() {
		if p.Name != n.opt.Name && p.Name != exclude && p.Usable() {
			all = append(all, p.Addr)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(limit, len(all))]
}

// fetch applies the document of kind from the peer called from, at addr, if its revision is newer.
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
	n.count.fetchCalls.Add(1)
	r, err := n.dial.To(addr).Fetch(ctx, &peerpb.FetchRequest{Kind: kind, Have: have})
	if err != nil || r.Document == nil {
		return
	}
	n.accept(kind, r.Document.Revision, r.Document.Value, from)
}

// watchLoop returns a loop that polls the platform for kind while this instance is a watcher.
func (n *Node) watchLoop(kind platformclient.Kind) func() {
	return func() {
		for n.ctx.Err() == nil {
			if !n.shouldWatch() {
				n.sleep(watchRetryDelay)
				continue
			}
			if err := n.watchOnce(kind, watchTimeout); err != nil {
				n.sleep(watchRetryDelay)
			}
		}
	}
}

// shouldWatch reports whether this instance is to poll the platform: it is one of the first
// platformWatchers by rank, or no instance has reached the platform for platformLostAfter plus a
// delay that grows with the rank.
func (n *Node) shouldWatch() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	ranked := member.Rank("watch", n.table.Usable())
	rank := len(ranked)
	for i, name := range ranked {
		if name == n.opt.Name {
			rank = i
		}
	}
	if rank < platformWatchers {
		return true
	}
	return n.now()-n.lastPlatformContact > platformLostAfter+time.Duration(rank)*watchStagger
}

func (n *Node) watchOnce(kind platformclient.Kind, wait time.Duration) error {
	pk := peerpb.Kind_CONFIG
	if kind == platformclient.List {
		pk = peerpb.Kind_LIST
	}
	n.mu.Lock()
	after := n.document(pk).Revision
	if pk == peerpb.Kind_CONFIG {
		after = max(after, n.docs.rejectedRevision)
	}
	n.mu.Unlock()
	n.count.platformCalls.Add(1)
	p, err := n.opt.Platform.Watch(n.ctx, kind, after, wait)
	if err != nil {
		n.count.platformErrors.Add(1)
		return errors.Wrap(err, "watch")
	}
	n.recordPlatformContact(n.now())
	if p != nil {
		if p.Revision < after {
			n.count.oldRevisions.Add(1)
			return errors.Errorf("platform returned revision %d, older than %d", p.Revision, after)
		}
		n.accept(pk, p.Revision, []byte(p.Value), "platform")
	}
	return nil
}

// recordPlatformContact records that some instance reached the platform at the time at.
func (n *Node) recordPlatformContact(at time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if at > n.lastPlatformContact {
		n.lastPlatformContact = at
	}
	if n.now()-n.lastPlatformContact < platformLostAfter {
		n.docs.machine.Step(evPlatformSeen)
	} else {
		n.docs.machine.Step(evPlatformLost)
	}
}

// bootstrap loads the first documents from the platform or from the seeds.
func (n *Node) bootstrap() {
	for n.ctx.Err() == nil {
		_ = n.watchOnce(platformclient.List, 0)
		_ = n.watchOnce(platformclient.Config, 0)
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
		if done || !n.sleep(bootstrapRetryDelay) {
			return
		}
	}
}

// Ready reports whether the instance can serve requests, or why not. A new instance first waits up
// to bootstrapGrace for a heartbeat, so that it starts from the highest revisions known.
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
		return false, "no view" // requests are served from the view, which is built after the documents
	}
	others, graceElapsed := 0, n.now()-n.started > bootstrapGrace
	for _, p := range n.table.Peers() {
		if p.Name == n.opt.Name {
			continue
		}
		others++
		behind := p.LastHeartbeat.ConfigRevision > max(n.docs.config.revision, n.docs.rejectedRevision) ||
			p.LastHeartbeat.ListRevision > n.docs.list.revision || p.LastHeartbeat.CommandVersion > n.commands.Version()
		if behind && p.Usable() {
			return false, "behind " + p.Name
		}
	}
	if others > 0 && !n.heartbeatReceived && !graceElapsed {
		return false, "no peer heard yet"
	}
	return true, ""
}
