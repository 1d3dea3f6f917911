package belief

// This file gets an instance that knows nothing its first beliefs, with few
// calls to the store where a whole fleet starts at once.

import (
	"context"
	"time"
)

// Times of a start.
const (
	// settleFor is how long an instance that has its first beliefs looks for the
	// one that it follows before it asks the store for changes: by then all have
	// heard of their schedulers. Without it, 295 instances that start together made
	// 440 watches at the store in their first 10 s.
	settleFor   = time.Second
	settleCheck = 50 * time.Millisecond
	startCheck  = 100 * time.Millisecond // for instances that could tell, at the latest
)

// start loads the first beliefs from an instance that has some, if one is heard
// within StartWithin and nobody waits for them; otherwise the store is asked as ever.
// Then it settles.
func (f *Follower) start(ctx context.Context) {
	if f.StartWithin <= 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, f.StartWithin)
	defer cancel()
	for call.Err() == nil && f.Table.View().Revision == 0 {
		newer := f.Newer()
		if f.loadFromPeer(ctx) {
			f.settle(ctx)
			return
		}
		wait, done := context.WithTimeout(call, startCheck)
		select {
		case <-wait.Done():
		case <-newer:
		case <-f.Hurry:
			done()
			return
		}
		done()
	}
}

// loadFromPeer loads everything from the first of the peers that can tell it.
func (f *Follower) loadFromPeer(ctx context.Context) bool {
	for _, peer := range f.Peers() {
		err := f.load(ctx, peer)
		f.report(peer, err)
		if err == nil {
			return true
		}
	}
	return false
}

// settle returns once there is an instance to follow, or after settleFor.
func (f *Follower) settle(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, settleFor)
	defer cancel()
	for call.Err() == nil {
		if _, ok := f.Upstream(false); ok {
			return
		}
		pause(call, settleCheck)
	}
}
