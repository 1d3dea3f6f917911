package discovery

// This file obtains the initial state of an instance with few calls to the store, which matters
// when a whole fleet starts at once.

import (
	"context"
	"time"
)

const (
	// upstreamWait is how long an instance that has its initial state waits for an
	// upstream instance before it watches the store itself. By then the schedulers
	// are known through gossip; without the wait, almost every instance of a fleet
	// that starts at once would watch the store.
	upstreamWait         = time.Second
	upstreamPollInterval = 50 * time.Millisecond
	peerPollInterval     = 100 * time.Millisecond
)

// bootstrap loads the initial state from a peer if one becomes available within
// BootstrapTimeout and SkipBootstrap is not closed. It then waits for an upstream instance.
// If it returns without any state, the store is queried as usual.
func (f *Follower) bootstrap(ctx context.Context) {
	if f.BootstrapTimeout <= 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, f.BootstrapTimeout)
	defer cancel()
	for callCtx.Err() == nil && f.Table.View().Revision == 0 {
		newer := f.NewerRevision()
		if f.loadFromPeer(ctx) {
			f.waitForUpstream(ctx)
			return
		}
		waitCtx, cancelWait := context.WithTimeout(callCtx, peerPollInterval)
		select {
		case <-waitCtx.Done():
		case <-newer:
		case <-f.SkipBootstrap:
			cancelWait()
			return
		}
		cancelWait()
	}
}

// loadFromPeer loads the full state from the first peer that can provide it.
func (f *Follower) loadFromPeer(ctx context.Context) bool {
	for _, peer := range f.Peers() {
		err := f.load(ctx, peer)
		f.logAvailability(peer, err)
		if err == nil {
			return true
		}
	}
	return false
}

// waitForUpstream returns once there is an instance to follow, or after upstreamWait.
func (f *Follower) waitForUpstream(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, upstreamWait)
	defer cancel()
	for callCtx.Err() == nil {
		if _, ok := f.Upstream(false); ok {
			return
		}
		sleep(callCtx, upstreamPollInterval)
	}
}
