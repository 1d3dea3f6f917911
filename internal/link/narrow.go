package link

import (
	"sync"
	"time"
)

// A Narrow is a link of a bounded width that datagrams of many pairs share. What comes while it
// is busy waits, up to a bound beyond which it is lost. It is safe for concurrent use.
type Narrow struct {
	rate int           // bytes a second
	most time.Duration // that a datagram waits

	mu   sync.Mutex
	busy time.Time // until when what was taken passes
}

// NewNarrow returns a link that passes rate bytes a second and keeps what fits within most.
func NewNarrow(rate int, most time.Duration) *Narrow { return &Narrow{rate: rate, most: most} }

// take returns how long a datagram takes that comes now; false if it is lost.
func (n *Narrow) take(size int, now time.Time) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy.Before(now) {
		n.busy = now
	}
	if n.busy.Sub(now) > n.most {
		return 0, false
	}
	n.busy = n.busy.Add(time.Duration(size) * time.Second / time.Duration(n.rate))
	return n.busy.Sub(now), true
}
