package link

import (
	"sync"
	"time"
)

// A Bottleneck is a link of limited bandwidth that datagrams of many pairs share. Datagrams are queued
// while it is busy, and dropped once the queueing delay exceeds a bound. It is safe for concurrent
// use.
type Bottleneck struct {
	rate    int           // bytes per second
	maxWait time.Duration // queueing delay above which datagrams are dropped

	mu        sync.Mutex
	busyUntil time.Time // when the last accepted datagram has been sent
}

// NewBottleneck returns a link that forwards rate bytes per second, and drops datagrams that would
// wait longer than maxWait.
func NewBottleneck(rate int, maxWait time.Duration) *Bottleneck {
	return &Bottleneck{rate: rate, maxWait: maxWait}
}

// enqueue returns how long a datagram that arrives now takes to be queued and sent, or false if it
// is dropped.
func (n *Bottleneck) enqueue(size int, now time.Time) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busyUntil.Before(now) {
		n.busyUntil = now
	}
	if n.busyUntil.Sub(now) > n.maxWait {
		return 0, false
	}
	n.busyUntil = n.busyUntil.Add(time.Duration(size) * time.Second / time.Duration(n.rate))
	return n.busyUntil.Sub(now), true
}
