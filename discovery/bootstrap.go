package discovery

// This file loads an instance's initial state with few store calls, even if a whole fleet starts.

import (
	"context"
	"time"
)

const (
	// upstreamWait is how long an instance with initial state waits for an upstream before it
	// watches the store. Without it, almost every instance of a starting fleet would watch the
	// store, since schedulers become known only through gossip.
	upstreamWait         = time.Second
	upstreamPollInterval = 50 * time.Millisecond
	peerPollInterval     = 100 * time.Millisecond
)

// bootstrap loads the initial state from a peer within BootstrapTimeout, and then waits for an
// upstream. If it returns without any state, the store is queried as usual.
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

// loadFromPeer tries the peers in order and reports whether one provided the full state.
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
