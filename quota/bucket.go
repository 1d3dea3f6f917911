package quota

import "time"

// A TokenBucket refills at a constant rate and starts full: within any span d its holder spends at
// most capacity + rate x d. The zero value is ready to use. It is not safe for concurrent use.
type TokenBucket struct {
	tokens float64
	at     time.Time
}

// Available returns the tokens at now, given the rate per second and the capacity.
func (b *TokenBucket) Available(rate, capacity float64, now time.Time) float64 {
	if b.at.IsZero() {
		return capacity
	}
	return min(capacity, b.tokens+rate*now.Sub(b.at).Seconds())
}

// Spend takes one token without checking that one is available.
func (b *TokenBucket) Spend(rate, capacity float64, now time.Time) {
	b.tokens = b.Available(rate, capacity, now) - 1
	b.at = now
}

const (
	// recentWindow is how long deposits raise the capacity of a RetryBudget: half of the 10 s
	// windows in which retries are counted.
	recentWindow = 5 * time.Second
	// reserveRatio is the fraction of a deposit that raises the capacity rather than the balance.
	reserveRatio = 0.3

	depositSlots = 5
	slotDuration = recentWindow / depositSlots
)

// A RetryBudget is a token bucket filled by the requests that its holder serves. It starts empty.
// Its capacity is base plus reserveRatio of the recent deposits, since a busy service loses more
// requests with each failed endpoint. It is not safe for concurrent use.
type RetryBudget struct {
	tokens   float64
	start    time.Time             // of the first slot
	recent   [depositSlots]float64 // deposits by slot
	lastSlot int64                 // newest slot used
}

// Deposit deposits n tokens for one request. It does nothing unless n and base are positive.
func (b *RetryBudget) Deposit(n, base float64, now time.Time) {
	if base <= 0 || n <= 0 {
		return
	}
	b.expire(now)
	b.recent[b.lastSlot%depositSlots] += n
	b.tokens = min(b.capacity(base, now), b.tokens+(1-reserveRatio)*n)
}

func (b *RetryBudget) expire(now time.Time) {
	if b.start.IsZero() {
		b.start = now
	}
	current := int64(now.Sub(b.start) / slotDuration) // monotonic clock
	for i := max(b.lastSlot+1, current-depositSlots+1); i <= current; i++ {
		b.recent[i%depositSlots] = 0
	}
	b.lastSlot = max(b.lastSlot, current)
}

func (b *RetryBudget) capacity(base float64, now time.Time) float64 {
	if base <= 0 {
		return 0
	}
	b.expire(now)
	sum := 0.0
	for _, n := range b.recent {
		sum += n
	}
	return base + reserveRatio*sum
}

// Available returns the tokens at now.
func (b *RetryBudget) Available(base float64, now time.Time) float64 {
	return max(0, min(b.capacity(base, now), b.tokens))
}

// CanSpend reports whether one token can be spent and leave the fraction reserve of the capacity.
func (b *RetryBudget) CanSpend(base, reserve float64, now time.Time) bool {
	return b.Available(base, now) >= 1+reserve*b.capacity(base, now)
}

// Spend takes one token. The caller must have checked CanSpend.
func (b *RetryBudget) Spend(base float64, now time.Time) { b.tokens = b.Available(base, now) - 1 }
