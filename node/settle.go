package node

// This file pulls records when the owners of keys change, and hands them out.

import (
	"context"
	"time"

	"ivyridge/owner"
	"ivyridge/peer/peerpb"
)

const settleEvery = 150 * time.Millisecond

// settleLoop pulls records while this instance cannot vouch for all of its
// partitions.
func (n *Node) settleLoop() {
	for n.sleep(settleEvery) {
		n.mu.Lock()
		wanted, revision, gap := n.owners.ToPull(), n.owners.Revision(), n.owners.Gap()
		n.mu.Unlock()
		for name, parts := range wanted {
			if addr := n.view.Load().peers[name]; addr != "" {
				go n.pull(name, addr, revision, gap, parts)
			}
		}
	}
}

func (n *Node) pull(name, addr string, revision, gap int64, parts []owner.Partition) {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	n.count.pulls.Add(1)
	req := &peerpb.PullRequest{From: n.opt.Name, ListRevision: revision, Gap: gap}
	for _, p := range parts {
		req.Partitions = append(req.Partitions, int32(p))
	}
	r, err := n.dial.To(addr).Pull(ctx, req)
	if err != nil || r.ListRevision != revision {
		return
	}
	now := n.now()
	a := pulledAnswer(now, r)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owners.Pulled(now, name, revision, a)
}

func pulledAnswer(now time.Duration, r *peerpb.PullReply) owner.Answer {
	var a owner.Answer
	for _, x := range r.Records {
		a.Records = append(a.Records, recordOf(x, now))
	}
	for _, x := range r.Parts {
		p := owner.Part{Partition: owner.Partition(x.Partition), Intact: x.Intact, Fresh: x.Fresh}
		for _, names := range x.Covered {
			p.Covered = append(p.Covered, names.Names)
		}
		a.Parts = append(a.Parts, p)
	}
	return a
}

// Pull hands out the records of the partitions that an instance now owns.
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
		reply.Records = append(reply.Records, wireRecord(now, &a.Records[i]))
	}
	for i := range a.Parts {
		x := &a.Parts[i]
		p := &peerpb.Part{Partition: int32(x.Partition), Intact: x.Intact, Fresh: x.Fresh}
		for _, triple := range x.Covered {
			p.Covered = append(p.Covered, &peerpb.Names{Names: triple})
		}
		reply.Parts = append(reply.Parts, p)
	}
	return reply, nil
}
