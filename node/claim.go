package node

// This file claims keys: a request that must not be repeated is sent only after two of its key's
// three owners have recorded it. It also serves the owner's side of claims.

import (
	"context"
	"math/rand/v2"
	"time"

	"ivyridge/owner"
	"ivyridge/peer/peerpb"
	"ivyridge/verdict"
)

const (
	beginTimeout     = 300 * time.Millisecond
	claimTimeout     = 2 * time.Second
	claimRetryDelay  = 40 * time.Millisecond
	withdrawAttempts = 3 // calls to each owner until one succeeds
)

// A Claim is an attempt's recorded right to run a key, or names the attempt that
// already holds the key.
type Claim struct {
	Key     owner.Key
	Attempt uint64
	At      time.Duration
	// Holder is the attempt that holds the key, or nil if this one does.
	Holder *owner.Record
}

// Claim records a new attempt at k with k's owners. The error is a *verdict.Error of a
// request that was not run.
func (n *Node) Claim(ctx context.Context, k owner.Key) (*Claim, error) {
	start := n.now()
	c := &Claim{Key: k, Attempt: n.seq.Add(1)}
	n.answers.begin(k, c.Attempt)
	reason := verdict.OwnerUnreachable
	for n.now()-start < claimTimeout && ctx.Err() == nil {
		replies := n.requestQuorum(ctx, c)
		switch {
		case replies.recorded >= replies.quorum:
			c.At = n.now()
			return c, nil
		case replies.holder != nil:
			n.Withdraw(c)
			c.Holder = replies.holder
			return c, nil
		case replies.unsettled > 0:
			reason = verdict.OwnerUnsettled
		}
		n.count.claimRetries.Add(1)
		if !n.sleepContext(ctx, claimRetryDelay+rand.N(claimRetryDelay)) {
			break
		}
	}
	n.Withdraw(c)
	e := verdict.Refuse(reason, "the owners of the request's key could not all vouch for it")
	return nil, e.WithRetryAfter(time.Second)
}

// A tally sums up the owners' replies to one attempt to record a claim at all of them.
type tally struct {
	quorum, recorded, unsettled int
	holder                      *owner.Record
}

// requestQuorum sends Begin to all owners of the key and returns once a quorum has recorded it.
func (n *Node) requestQuorum(ctx context.Context, c *Claim) tally {
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
		go func() { replies <- n.beginAt(ctx, name, rec, revision) }()
	}
	for range names {
		t.add(<-replies)
		if t.recorded >= t.quorum {
			break
		}
	}
	return t
}

func (t *tally) add(r *peerpb.BeginReply) {
	switch r.Outcome {
	case peerpb.BeginReply_RECORDED:
		t.recorded++
	case peerpb.BeginReply_UNSETTLED:
		t.unsettled++
	case peerpb.BeginReply_DUPLICATE:
		record := recordFromProto(r.Holder, 0)
		t.holder = &record
	}
}

// beginAt sends Begin to the owner called name or handles it here. A failed call counts as Unknown.
func (n *Node) beginAt(ctx context.Context, name string, rec *peerpb.Record, revision int64) *peerpb.BeginReply {
	req := &peerpb.BeginRequest{Record: rec, ListRevision: revision}
	if name == n.opt.Name {
		r, _ := ownerService{n}.Begin(ctx, req)
		return r
	}
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	n.count.beginCalls.Add(1)
	r, err := n.dial.To(n.view.Load().peers[name]).Begin(ctx, req)
	if err != nil {
		n.count.beginCallErrors.Add(1)
		return &peerpb.BeginReply{}
	}
	return r
}

// Withdraw tells the owners that c's attempt was not and will not be sent, so that
// its key may be claimed again.
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
	for range withdrawAttempts {
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

// Begin records an attempt as an owner of its key.
func (s ownerService) Begin(_ context.Context, r *peerpb.BeginRequest) (*peerpb.BeginReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	outcome, holder := s.owners.Begin(now, recordFromProto(r.Record, now), r.ListRevision)
	s.count.claims.Add(string(outcomes[outcome].String()), 1)
	reply := &peerpb.BeginReply{Outcome: outcomes[outcome], ListRevision: s.owners.Revision()}
	if outcome == owner.Duplicate {
		reply.Holder = recordToProto(now, &holder)
	}
	return reply, nil
}

// Withdraw removes the record of an attempt that was not sent.
func (s ownerService) Withdraw(_ context.Context, r *peerpb.WithdrawRequest) (*peerpb.WithdrawReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owners.Withdraw(keyFromBytes(r.Key), r.Entry, r.Attempt)
	return &peerpb.WithdrawReply{}, nil
}

func keyFromBytes(b []byte) owner.Key {
	var k owner.Key
	copy(k[:], b)
	return k
}

func recordFromProto(r *peerpb.Record, now time.Duration) owner.Record {
	return owner.Record{
		Key:         keyFromBytes(r.Key),
		Entry:       r.Entry,
		EntryAddr:   r.EntryAddr,
		Incarnation: r.Incarnation,
		Attempt:     r.Attempt,
		At:          now - time.Duration(r.AgeMs)*time.Millisecond,
	}
}

func recordToProto(now time.Duration, r *owner.Record) *peerpb.Record {
	return &peerpb.Record{
		Key:         r.Key[:],
		Entry:       r.Entry,
		EntryAddr:   r.EntryAddr,
		Incarnation: r.Incarnation,
		Attempt:     r.Attempt,
		AgeMs:       (now - r.At).Milliseconds(),
	}
}
