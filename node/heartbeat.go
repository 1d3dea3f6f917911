package node

// This file sends and receives heartbeats and serves documents to peers.

import (
	"context"
	"errors"
	"syscall"
	"time"

	"ivyridge/member"
	"ivyridge/peer/peerpb"
)

// heartbeat returns this instance's heartbeat message. The caller holds n.mu.
func (n *Node) heartbeat(now time.Duration) *peerpb.Beat {
	b := &peerpb.Beat{
		From:            n.opt.Name,
		Addr:            n.opt.Addr,
		Incarnation:     n.incarnation,
		ConfigRevision:  n.docs.config.revision,
		ListRevision:    n.docs.list.revision,
		CommandVersion:  n.commands.Version(),
		PlatformAgeMs:   (now - n.lastPlatformContact).Milliseconds(),
		Leaving:         n.leaving,
		Ready:           n.docs.set != nil,
		SettledRevision: n.settledRevision(),
	}
	for _, s := range n.table.Suspicions(now) {
		b.Suspicions = append(b.Suspicions, &peerpb.Suspicion{Instance: s.Instance, AgeMs: (now - s.Since).Milliseconds()})
	}
	return b
}

// settledRevision returns the list revision under which this instance has settled all partitions
// that it owns, or zero. The caller holds n.mu.
func (n *Node) settledRevision() int64 {
	if n.owners.Settled() {
		return n.owners.Revision()
	}
	return 0
}

// handleHeartbeat applies a heartbeat and fetches documents that are newer at its sender.
func (n *Node) handleHeartbeat(b *peerpb.Beat) {
	now := n.now()
	h := member.Heartbeat{
		Incarnation:     b.Incarnation,
		ConfigRevision:  b.ConfigRevision,
		ListRevision:    b.ListRevision,
		CommandVersion:  b.CommandVersion,
		SettledRevision: b.SettledRevision,
		PlatformHeard:   now - time.Duration(b.PlatformAgeMs)*time.Millisecond,
		Leaving:         b.Leaving,
		Ready:           b.Ready,
	}
	for _, s := range b.Suspicions {
		since := now - time.Duration(s.AgeMs)*time.Millisecond
		h.SuspectedBySender = append(h.SuspectedBySender, member.Suspicion{Instance: s.Instance, Since: since})
	}
	n.mu.Lock()
	before := n.table.Version()
	n.table.HandleHeartbeat(now, b.From, h)
	n.heartbeatReceived = true
	changed := n.table.Version() != before
	config := b.ConfigRevision > max(n.docs.config.revision, n.docs.rejectedRevision)
	list := b.ListRevision > n.docs.list.revision
	commands := b.CommandVersion > n.commands.Version()
	n.mu.Unlock()
	n.recordPlatformContact(h.PlatformHeard)
	if config {
		go n.fetch(peerpb.Kind_CONFIG, b.From, b.Addr)
	}
	if list {
		go n.fetch(peerpb.Kind_LIST, b.From, b.Addr)
	}
	if commands {
		go n.fetch(peerpb.Kind_COMMANDS, b.From, b.Addr)
	}
	if changed {
		n.refreshSoon()
		n.publish(Change{Topic: MembersChanged, What: b.From})
	}
}

func (n *Node) heartbeatLoop() {
	for n.sleep(member.HeartbeatInterval) {
		n.sendHeartbeats(false)
	}
}

// sendHeartbeats sends one heartbeat to each partner, or to each peer if toAll is set.
func (n *Node) sendHeartbeats(toAll bool) {
	now := n.now()
	n.mu.Lock()
	b := n.heartbeat(now)
	partners := n.table.Partners()
	if toAll {
		partners = n.table.Peers()
	}
	type target struct{ name, addr string }
	targets := make([]target, 0, len(partners))
	for _, p := range partners {
		if p.Name != n.opt.Name {
			targets = append(targets, target{p.Name, p.Addr})
		}
	}
	n.mu.Unlock()
	for _, t := range targets {
		go n.sendHeartbeat(t.name, t.addr, b)
	}
}

func (n *Node) sendHeartbeat(name, addr string, b *peerpb.Beat) {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	n.count.heartbeatsSent.Add(1)
	reply, err := n.dial.To(addr).Heartbeat(ctx, b)
	switch {
	case err == nil:
		n.handleHeartbeat(reply)
	case errors.Is(err, syscall.ECONNREFUSED):
		n.suspect(name) // the peer process is not running
	}
}

// suspect records that a call to the instance called name failed.
func (n *Node) suspect(name string) {
	n.mu.Lock()
	before := n.table.Version()
	n.table.Suspect(n.now(), name)
	changed := n.table.Version() != before
	n.mu.Unlock()
	if changed {
		n.count.suspected.Add(1)
		n.refresh()
		n.publish(Change{Topic: MembersChanged, What: name})
	}
}

type memberService struct{ *Node }

// Heartbeat applies a peer's heartbeat and returns that of this instance.
func (s memberService) Heartbeat(_ context.Context, b *peerpb.Beat) (*peerpb.Beat, error) {
	s.handleHeartbeat(b)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heartbeat(s.now()), nil
}

// Fetch returns the document of r.Kind if it is newer than the caller's revision r.Have.
func (s memberService) Fetch(_ context.Context, r *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.document(r.Kind)
	if d.Revision <= r.Have {
		return &peerpb.FetchReply{}, nil
	}
	return &peerpb.FetchReply{Document: d}, nil
}

// Offer applies d, a document that a peer has just accepted.
func (s memberService) Offer(_ context.Context, d *peerpb.Document) (*peerpb.OfferReply, error) {
	s.accept(d.Kind, d.Revision, d.Value, d.From)
	s.mu.Lock()
	defer s.mu.Unlock()
	return &peerpb.OfferReply{Revision: s.document(d.Kind).Revision}, nil
}
