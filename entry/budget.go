package entry

import "sync"

// Shares of the budget of all instances. The extra retries are divided by
// twice the instances known, so that two halves of a fleet that do not hear
// each other still keep within it.
const (
	ratioUsed      = 0.9
	leastInstances = 4
)

// budgets allow retries to a service as a share of the requests for it. Each
// is a bucket that requests fill and retries drain, so that in any window the
// retries are at most the share of its requests and one full bucket. Instances
// need not hear each other for the sum to keep within the bound.
type budgets struct {
	ratio float64
	extra float64

	mu        sync.Mutex
	instances int
	saved     map[string]float64 // by service
}

func newBudgets(ratio float64, extra int) *budgets {
	return &budgets{ratio: ratioUsed * ratio, extra: float64(extra), instances: 1, saved: make(map[string]float64)}
}

func (b *budgets) setBounds(ratio float64, extra int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratioUsed * ratio
	b.extra = float64(extra)
}

func (b *budgets) setInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(b.instances, n)
}

func (b *budgets) most() float64 {
	return b.extra / float64(2*max(b.instances, leastInstances))
}

// request fills the bucket of a service by one request's share.
func (b *budgets) request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	saved, ok := b.saved[service]
	if !ok {
		saved = b.most()
	}
	b.saved[service] = min(b.most(), saved+b.ratio)
}

// retry takes a retry out, if there is one.
func (b *budgets) retry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved[service] < 1 {
		return false
	}
	b.saved[service]--
	return true
}

// has reports whether a retry is saved.
func (b *budgets) has(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.saved[service] >= 1
}
