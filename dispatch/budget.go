package dispatch

import "sync"

const (
	requestsPerRetry = 10 // requests that earn one retry
	maxSavedRetries  = 20 // most retries that unused credit allows
)

// A budget limits retries to a fraction of the requests, so that retries cannot
// overload a failing fleet.
type budget struct {
	mu     sync.Mutex
	credit int // unused requests; each retry costs requestsPerRetry
}

func newBudget() budget { return budget{credit: maxSavedRetries * requestsPerRetry} }

func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(maxSavedRetries*requestsPerRetry, b.credit+1)
}

func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < requestsPerRetry {
		return false
	}
	b.credit -= requestsPerRetry
	return true
}
