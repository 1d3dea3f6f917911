package node

// This file claims keys: before a request that must not be repeated is sent,
// two of its key's three owners have recorded it. It also serves as an owner
// and pulls records when the owners of keys change.

import (
	"context"
	"math/rand/v2"
	"time"

	"ivyridge/owner"
	"ivyridge/peer/peerpb"
	"ivyridge/verdict"
)

const (
	beginTimeout = 300 * time.Millisecond
	claimWithin  = 2 * time.Second
	claimPause   = 40 * time.Millisecond
	withdrawals  = 3 // tries to tell an owner that nothing was sent
)

// A Claim is an attempt's recorded right to run a key, or the attempt that
// has it already.
type Claim struct {
	Key     owner.Key
	Attempt uint64
	At      time.Duration
	// Other is the attempt that holds the key, nil if this one does.
	Other *owner.Record
}

// Claim records an attempt with the key's owners. The error is a
// *verdict.Error of a request that was not run.
func (n *Node) Claim(ctx context.Context, k owner.Key) (*Claim, error) {
	began := n.now()
	c := &Claim{Key: k, Attempt: n.seq.Add(1)}
	n.answers.begin(k, c.Attempt)
	reason := verdict.OwnerUnreachable
	for n.now()-began < claimWithin && ctx.Err() == nil {
		tally := n.tally(ctx, c)
		switch {
		case tally.recorded >= tally.quorum:
			c.At = n.now()
			return c, nil
		case tally.other != nil:
			n.Withdraw(c)
			c.Other = tally.other
			return c, nil
		case tally.unsettled > 0:
			reason = verdict.OwnerUnsettled
		}
		n.count.claimRetries.Add(1)
		if !n.pause(ctx, claimPause+rand.N(claimPause)) {
			break
		}
	}
	n.Withdraw(c)
	e := verdict.Refuse(reason, "the owners of the request's key could not all vouch for it")
	return nil, e.After(time.Second)
}

// A tally is what the owners answered to one round of Begin.
type tally struct {
	quorum, recorded, unsettled int
	other                       *owner.Record
}

// tally asks the owners once, and returns as soon as a quorum has recorded.
func (n *Node) tally(ctx context.Context, c *Claim) tally {
	n.mu.Lock()
	revision, live := n.owners.Revision(), n.owners.Live()
	n.mu.Unlock()
	names := owner.Of(owner.PartitionOf(c.Key), live)
	t := tally{quorum: owner.Quorum(len(names))}
	if len(names) == 0 {
		return t
	}
	rec := &peerpb.Record{
		Key:         c.Key[:],
		Entry:       n.opt.Name,
		EntryAddr:   n.opt.Addr,
		Incarnation: n.incarnation,
		Attempt:     c.Attempt,
	}
	replies := make(chan *peerpb.BeginReply, len(names))
	for _, name := range names {
		go func() { replies <- n.begin(ctx, name, rec, revision) }()
	}
	for range names {
		t.count(<-replies)
		if t.recorded >= t.quorum {
			break
		}
	}
	return t
}

func (t *tally) count(r *peerpb.BeginReply) {
	switch r.Outcome {
	case peerpb.BeginReply_RECORDED:
		t.recorded++
	case peerpb.BeginReply_UNSETTLED:
		t.unsettled++
	case peerpb.BeginReply_DUPLICATE:
		other := recordOf(r.Holder, 0)
		t.other = &other
	}
}

// begin asks one owner, which may be this instance. No answer counts as
// Unknown.
func (n *Node) begin(ctx context.Context, name string, rec *peerpb.Record, revision int64) *peerpb.BeginReply {
	req := &peerpb.BeginRequest{Record: rec, ListRevision: revision}
	if name == n.opt.Name {
		r, _ := ownerService{n}.Begin(ctx, req)
		return r
	}
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	n.count.begins.Add(1)
	r, err := n.dial.To(n.view.Load().peers[name]).Begin(ctx, req)
	if err != nil {
		n.count.beginErrors.Add(1)
		return &peerpb.BeginReply{}
	}
	return r
}

// Withdraw tells the owners that an attempt was not sent and never will be,
// so that its key may be tried again.
func (n *Node) Withdraw(c *Claim) {
	n.answers.drop(c.Key, c.Attempt)
	n.mu.Lock()
	names := owner.Of(owner.PartitionOf(c.Key), n.owners.Live())
	n.owners.Withdraw(c.Key, n.opt.Name, c.Attempt)
	n.mu.Unlock()
	req := &peerpb.WithdrawRequest{Key: c.Key[:], Entry: n.opt.Name, Attempt: c.Attempt}
	for _, name := range names {
		if name != n.opt.Name {
			go n.withdrawAt(name, req)
		}
	}
}

func (n *Node) withdrawAt(name string, req *peerpb.WithdrawRequest) {
	for range withdrawals {
		ctx, cancel := context.WithTimeout(n.ctx, beginTimeout)
		_, err := n.dial.To(n.view.Load().peers[name]).Withdraw(ctx, req)
		cancel()
		if err == nil || !n.sleep(beginTimeout) {
			return
		}
	}
}

type ownerService struct{ *Node }

var outcomes = map[owner.Outcome]peerpb.BeginReply_Outcome{
	owner.Unknown:     peerpb.BeginReply_UNKNOWN,
	owner.Recorded:    peerpb.BeginReply_RECORDED,
	owner.Duplicate:   peerpb.BeginReply_DUPLICATE,
	owner.OwnerBehind: peerpb.BeginReply_OWNER_BEHIND,
	owner.EntryBehind: peerpb.BeginReply_ENTRY_BEHIND,
	owner.Unsettled:   peerpb.BeginReply_UNSETTLED,
	owner.NotOwner:    peerpb.BeginReply_NOT_OWNER,
}

// Begin records an attempt.
func (s ownerService) Begin(_ context.Context, r *peerpb.BeginRequest) (*peerpb.BeginReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	outcome, holder := s.owners.Begin(now, recordOf(r.Record, now), r.ListRevision)
	s.count.claims.Add(string(outcomes[outcome].String()), 1)
	reply := &peerpb.BeginReply{Outcome: outcomes[outcome], ListRevision: s.owners.Revision()}
	if outcome == owner.Duplicate {
		reply.Holder = wireRecord(now, &holder)
	}
	return reply, nil
}

// Withdraw takes back the record of an attempt that was not sent.
func (s ownerService) Withdraw(_ context.Context, r *peerpb.WithdrawRequest) (*peerpb.WithdrawReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owners.Withdraw(keyOf(r.Key), r.Entry, r.Attempt)
	return &peerpb.WithdrawReply{}, nil
}

func keyOf(b []byte) owner.Key {
	var k owner.Key
	copy(k[:], b)
	return k
}

func recordOf(r *peerpb.Record, now time.Duration) owner.Record {
	return owner.Record{
		Key:         keyOf(r.Key),
		Entry:       r.Entry,
		EntryAddr:   r.EntryAddr,
		Incarnation: r.Incarnation,
		Attempt:     r.Attempt,
		At:          now - time.Duration(r.AgeMs)*time.Millisecond,
	}
}

func wireRecord(now time.Duration, r *owner.Record) *peerpb.Record {
	return &peerpb.Record{
		Key:         r.Key[:],
		Entry:       r.Entry,
		EntryAddr:   r.EntryAddr,
		Incarnation: r.Incarnation,
		Attempt:     r.Attempt,
		AgeMs:       (now - r.At).Milliseconds(),
	}
}
