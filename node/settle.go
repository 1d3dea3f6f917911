package node

// This file transfers claim records between old and new owners of partitions.

import (
	"context"
	"time"

	"ivyridge/owner"
	"ivyridge/peer/peerpb"
)

const settleInterval = 150 * time.Millisecond

// settleLoop pulls records while this instance has not settled all of its partitions.
func (n *Node) settleLoop() {
	for n.sleep(settleInterval) {
		n.mu.Lock()
		pending, revision, missedAfter := n.owners.ToPull(), n.owners.Revision(), n.owners.MissedAfter()
		n.mu.Unlock()
		for name, parts := range pending {
			if addr := n.view.Load().peers[name]; addr != "" {
				go n.pull(name, addr, revision, missedAfter, parts)
			}
		}
	}
}

func (n *Node) pull(name, addr string, revision, missedAfter int64, parts []owner.Partition) {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	n.count.pullCalls.Add(1)
	req := &peerpb.PullRequest{From: n.opt.Name, ListRevision: revision, Gap: missedAfter}
	for _, p := range parts {
		req.Partitions = append(req.Partitions, int32(p))
	}
	r, err := n.dial.To(addr).Pull(ctx, req)
	if err != nil || r.ListRevision != revision {
		return
	}
	now := n.now()
	a := pullReplyFromProto(now, r)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owners.ApplyPull(now, name, revision, a)
}

func pullReplyFromProto(now time.Duration, r *peerpb.PullReply) owner.PullReply {
	var a owner.PullReply
	for _, x := range r.Records {
		a.Records = append(a.Records, recordFromProto(x, now))
	}
	for _, x := range r.Parts {
		p := owner.PartitionReport{Partition: owner.Partition(x.Partition), Intact: x.Intact, Fresh: x.Fresh}
		for _, names := range x.Covered {
			p.PriorOwners = append(p.PriorOwners, names.Names)
		}
		a.Parts = append(a.Parts, p)
	}
	return a
}

// Pull returns the records of partitions to an instance that now owns them.
func (s ownerService) Pull(_ context.Context, r *peerpb.PullRequest) (*peerpb.PullReply, error) {
	parts := make([]owner.Partition, len(r.Partitions))
	for i, p := range r.Partitions {
		parts[i] = owner.Partition(p)
	}
	s.mu.Lock()
	now := s.now()
	a, ok := s.owners.Pull(now, r.ListRevision, r.Gap, parts)
	s.mu.Unlock()
	if !ok {
		return &peerpb.PullReply{}, nil
	}
	reply := &peerpb.PullReply{ListRevision: r.ListRevision}
	for i := range a.Records {
		reply.Records = append(reply.Records, recordToProto(now, &a.Records[i]))
	}
	for i := range a.Parts {
		x := &a.Parts[i]
		p := &peerpb.Part{Partition: int32(x.Partition), Intact: x.Intact, Fresh: x.Fresh}
		for _, owners := range x.PriorOwners {
			p.Covered = append(p.Covered, &peerpb.Names{Names: owners})
		}
		reply.Parts = append(reply.Parts, p)
	}
	return reply, nil
}
