package node

// This file serves operator queries for this instance and for the whole fleet.

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ivyridge/home"
	"ivyridge/peer/peerpb"
)

const queryTimeout = time.Second

// Query answers an operator's query that a peer forwards.
func (s memberService) Query(_ context.Context, r *peerpb.QueryRequest) (*peerpb.QueryReply, error) {
	if s.query == nil {
		return nil, errors.New("queries are not served here")
	}
	table, err := s.query(r.Text)
	if err != nil {
		return nil, err
	}
	return &peerpb.QueryReply{Table: table}, nil
}

// A PeerAnswer is one instance's answer to a query, or the error Err.
type PeerAnswer struct {
	Instance string
	Table    []byte
	Err      error
}

// QueryAll sends the query text to every listed instance, including this one.
func (n *Node) QueryAll(ctx context.Context, text string) []PeerAnswer {
	n.mu.Lock()
	peers := make(map[string]string)
	for _, p := range n.table.Peers() {
		peers[p.Name] = p.Addr
	}
	peers[n.opt.Name] = n.opt.Addr
	n.mu.Unlock()
	var mu sync.Mutex
	var out []PeerAnswer
	n.forEachPeer(peers, func(name, addr string) {
		a := PeerAnswer{Instance: name}
		if name == n.opt.Name {
			a.Table, a.Err = n.query(text)
		} else {
			ctx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			r, err := n.dial.To(addr).Query(ctx, &peerpb.QueryRequest{Text: text})
			if err != nil {
				a.Err = rootCause(err)
			} else {
				a.Table = r.Table
			}
		}
		mu.Lock()
		defer mu.Unlock()
		out = append(out, a)
	})
	return out
}

// rootCause returns the innermost wrapped error, without the prefixes that its callers added.
func rootCause(err error) error {
	for inner := errors.Unwrap(err); inner != nil; inner = errors.Unwrap(err) {
		err = inner
	}
	return err
}

// A PeerStatus is what this instance knows of one instance.
type PeerStatus struct {
	Name, DataCentre, State string
	Age                     time.Duration // since its last heartbeat
	ConfigRevision          int64
	ListRevision            int64
	Ready                   bool
}

// Instances returns the status of all listed instances.
func (n *Node) Instances() []PeerStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	var out []PeerStatus
	for _, p := range n.table.Peers() {
		s := PeerStatus{
			Name: p.Name, DataCentre: p.DataCentre, State: p.State(), Age: now - p.LastHeard,
			ConfigRevision: p.LastHeartbeat.ConfigRevision, ListRevision: p.LastHeartbeat.ListRevision, Ready: p.LastHeartbeat.Ready,
		}
		if p.Name == n.opt.Name {
			s.State, s.Age, s.Ready = "self", 0, n.docs.set != nil
			s.ConfigRevision, s.ListRevision = n.docs.config.revision, n.docs.list.revision
		}
		out = append(out, s)
	}
	return out
}

// A CellStatus is the state of a cell on this instance.
type CellStatus struct {
	Name      string
	Pool      string
	Rank      int // zero for the home
	Waiting   map[string]int
	Running   int
	Endpoints []home.EndpointStatus
	Counts    home.Counts
}

// Cells returns the cells that this instance serves or has served.
func (n *Node) Cells() []CellStatus {
	now := n.now()
	var out []CellStatus
	v := n.view.Load()
	for _, c := range n.allCells() {
		cv := v.cells[c.name]
		if cv == nil {
			continue
		}
		c.mu.Lock()
		s := CellStatus{
			Name: c.name, Pool: cv.pool.Name, Rank: c.rank, Waiting: make(map[string]int),
			Running: c.home.Running(), Endpoints: c.home.Endpoints(now), Counts: c.home.Counts,
		}
		c.home.WaitingByClass(func(class string, k int) { s.Waiting[class] = k })
		c.mu.Unlock()
		out = append(out, s)
	}
	return out
}

// A ConfigStatus is the state of the configuration on an instance.
type ConfigStatus struct {
	State         string
	Revision      int64
	ListRevision  int64
	Commands      int64
	Rejected      int64
	Rejection     string
	PlatformAge   time.Duration
	AcceptedSince time.Duration
	Settled       bool
	Records       int
}

// Config returns the state of the configuration on this instance.
func (n *Node) Config() ConfigStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	return ConfigStatus{
		State: n.docs.machine.Name(), Revision: n.docs.config.revision, ListRevision: n.docs.list.revision,
		Commands: n.commands.Version(), Rejected: n.docs.rejectedRevision, Rejection: n.docs.rejection,
		PlatformAge: now - n.lastPlatformContact, AcceptedSince: now - n.docs.acceptedAt,
		Settled: n.owners.Settled(), Records: n.owners.Len(),
	}
}

func (n *Node) DataCentre() string { return n.opt.DataCentre }
