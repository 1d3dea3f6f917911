package node

// This file leaves the fleet in a planned stop.

import (
	"context"
	"time"
)

const (
	leavePoll = 20 * time.Millisecond
	// settleWithin bounds how long a leaving instance waits until the
	// others vouch for the keys that it owned.
	settleWithin = 5 * time.Second
)

// Leave tells all peers that this instance is leaving, so that its cells
// and keys move to others, and sends the requests that wait here on to the
// next homes. The instance goes on serving its own requests until Close.
func (n *Node) Leave() {
	n.mu.Lock()
	n.leaving = true
	n.table.SetLeaving()
	n.mu.Unlock()
	n.log.Info("leaving")
	n.beatTo(true)
	n.refresh()
}

// AwaitHandOver waits until no other instance depends on this one, or ctx
// is done.
func (n *Node) AwaitHandOver(ctx context.Context) {
	deadline := n.now() + settleWithin
	for !n.handedOver() && n.now() < deadline {
		if !n.pause(ctx, leavePoll) {
			return
		}
	}
	n.out.flush(full)
	n.pause(ctx, leavePoll)
}

// handedOver reports whether every usable peer vouches for its keys, and
// nothing waits here.
func (n *Node) handedOver() bool {
	for _, c := range n.allCells() {
		c.mu.Lock()
		waiting := c.home.Waiting()
		c.mu.Unlock()
		if waiting > 0 {
			return false
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.table.Peers() {
		if p.Name != n.opt.Name && p.Usable() && p.Last.Incarnation != 0 && p.Last.SettledRevision == 0 {
			return false
		}
	}
	return true
}
