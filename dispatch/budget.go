package dispatch

import "sync"

const (
	requestsARetry = 10 // how many requests earn one retry
	retryMost      = 20 // that may be saved up
)

// A budget allows retries as a part of the requests, so that a fleet in
// trouble is not given more work for it.
type budget struct {
	mu     sync.Mutex
	earned int // in requests
}

func newBudget() budget { return budget{earned: retryMost * requestsARetry} }

func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(retryMost*requestsARetry, b.earned+1)
}

func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.earned < requestsARetry {
		return false
	}
	b.earned -= requestsARetry
	return true
}
