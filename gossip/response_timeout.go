package gossip

// This file adapts the timeout of requests to the observed response times.

import "time"

const (
	// minResponseTimeout is the timeout while instances respond quickly.
	minResponseTimeout = 15 * time.Millisecond
	// maxResponseTimeout is the timeout before the first response, and the longest one. A request to
	// an instance that has just been lost waits for it in vain.
	maxResponseTimeout = 60 * time.Millisecond
	// responseTimeoutShare bounds the timeout of a request with an objective, as a share of it.
	responseTimeoutShare = 0.5
	// maxDoublings is how often the timeout doubles without a response, which takes it from
	// minResponseTimeout to maxResponseTimeout.
	maxDoublings = 2
)

// A timeoutEstimator estimates the timeout of requests to instances of the same region from their
// response times, as TCP does (RFC 6298). A fixed timeout would have all instances choose endpoints by
// their own limited knowledge when all are slow. The zero value is ready to use. Its owner
// serializes access.
type timeoutEstimator struct {
	mean, deviation time.Duration // smoothed; mean is zero before the first response
	backoff         int           // times that the timeout has doubled since the last response
}

// observe records the response time of an answered request.
func (e *timeoutEstimator) observe(took time.Duration) {
	e.backoff = 0
	if e.mean == 0 {
		e.mean, e.deviation = max(took, 1), took/2
		return
	}
	e.deviation += ((took - e.mean).Abs() - e.deviation) / 4
	e.mean = max(e.mean+(took-e.mean)/8, 1)
}

// recordTimeout records a request without a response. The timeout doubles until the next response.
func (e *timeoutEstimator) recordTimeout() { e.backoff = min(e.backoff+1, maxDoublings) }

// timeout returns how long to wait for a response. A zero objective sets no bound.
func (e *timeoutEstimator) timeout(objective time.Duration) time.Duration {
	t := maxResponseTimeout
	if e.mean > 0 {
		t = clamp((e.mean+4*e.deviation)<<e.backoff, minResponseTimeout<<e.backoff, maxResponseTimeout)
	}
	if objective > 0 {
		t = min(t, time.Duration(responseTimeoutShare*float64(objective)))
	}
	return max(t, minResponseTimeout)
}
