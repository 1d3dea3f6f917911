package node

// This file implements planned stops.

import (
	"context"
	"time"
)

const (
	handOverPollInterval = 20 * time.Millisecond
	// handOverTimeout bounds the wait for the new owners to settle the keys of a leaving instance.
	handOverTimeout = 5 * time.Second
)

// Leave announces to all peers that this instance is leaving, so that its cells and keys move to
// them, and redirects waiting callers to the next homes. It serves its own requests until Close.
func (n *Node) Leave() {
	n.mu.Lock()
	n.leaving = true
	n.table.SetLeaving()
	n.mu.Unlock()
	n.log.Info("leaving")
	n.sendHeartbeats(true)
	n.refresh()
}

// AwaitHandOver waits until no other instance depends on this one, handOverTimeout has passed or
// ctx is done.
func (n *Node) AwaitHandOver(ctx context.Context) {
	deadline := n.now() + handOverTimeout
	for !n.handedOver() && n.now() < deadline {
		if !n.sleepContext(ctx, handOverPollInterval) {
			return
		}
	}
	n.out.flush(flushFull)
	n.sleepContext(ctx, handOverPollInterval)
}

// handedOver reports whether all usable peers have settled their partitions and no caller waits.
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
		if p.Name != n.opt.Name && p.Usable() && p.LastHeartbeat.Incarnation != 0 && p.LastHeartbeat.SettledRevision == 0 {
			return false
		}
	}
	return true
}
