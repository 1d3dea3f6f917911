package link

import (
	"sync"
	"time"
)

// A Bottleneck is a link of limited bandwidth shared by many pairs of processes. It queues datagrams
// while it is busy, and drops them above a queueing delay. It is safe for concurrent use.
type Bottleneck struct {
	rate    int           // bytes per second
	maxWait time.Duration // queueing delay above which datagrams are dropped

	mu        sync.Mutex
	busyUntil time.Time // when the last accepted datagram will have been sent
}

// NewBottleneck returns a link that forwards rate bytes per second, and drops datagrams that would
// wait longer than maxWait.
func NewBottleneck(rate int, maxWait time.Duration) *Bottleneck {
	return &Bottleneck{rate: rate, maxWait: maxWait}
}

// enqueue returns the delay of a datagram that arrives now, or false if it is dropped.
func (b *Bottleneck) enqueue(size int, now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busyUntil.Before(now) {
		b.busyUntil = now
	}
	if b.busyUntil.Sub(now) > b.maxWait {
		return 0, false
	}
	b.busyUntil = b.busyUntil.Add(time.Duration(size) * time.Second / time.Duration(b.rate))
	return b.busyUntil.Sub(now), true
}
