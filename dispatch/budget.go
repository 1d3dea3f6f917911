package dispatch

import "sync"

const (
	retryPart = 0.1 // retries for each request
	retryMost = 20.0
)

// A budget allows retries as a part of the requests, so that a fleet in
// trouble is not given more work for it.
type budget struct {
	mu   sync.Mutex
	left float64
}

func newBudget() budget { return budget{left: retryMost} }

func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(retryMost, b.left+retryPart)
}

func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
