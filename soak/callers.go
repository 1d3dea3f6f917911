package soak

// This file simulates the callers: an open-loop load in which some callers cancel early, retry
// failures, or reuse connections.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ivyridge/platform/standin"
)

// Parameters of callers.
const (
	callDeadline = 4 * time.Second
	callGrace    = time.Second // after the deadline, before a caller gives up
	abandonShare = 25          // one in so many callers cancels early
	abandonAfter = 120 * time.Millisecond
	maxRetries   = 2
	revokedShare = 15 // one in so many may use a revoked key
)

// callers generate the requests to the instances.
type callers struct {
	fleet    *fleet
	site     *site
	balancer *balancer
	pooled   *http.Client // reuses connections
	unpooled *http.Client // opens a connection per request

	mu       sync.Mutex
	rng      *rand.Rand
	lastID   int
	rate     float64 // requests per second
	inFlight sync.WaitGroup
}

func newCallers(f *fleet, s *site, seed uint64, rate float64) *callers {
	return &callers{
		fleet: f, site: s, balancer: newBalancer(f), rate: rate, rng: rand.New(rand.NewPCG(seed, 2)),
		pooled:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
		unpooled: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
}

// run sends requests until ctx is done, and returns when all have finished.
func (c *callers) run(ctx context.Context) {
	go c.balancer.run(ctx)
	for ctx.Err() == nil {
		c.mu.Lock()
		gap := time.Duration(c.rng.ExpFloat64() / c.rate * float64(time.Second))
		c.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(gap):
			c.inFlight.Go(c.call)
		}
	}
	c.inFlight.Wait()
}

// setRate changes the request rate.
func (c *callers) setRate(rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rate = rate
}

// call sends a request, and retries it after failures that allow that.
func (c *callers) call() {
	q, k, abandons, client := c.randomRequest()
	for try := 0; ; try++ {
		c.send(q, client, abandons)
		retryable := q.Status != http.StatusOK && !q.Cancelled && (k.repeatable && !k.stream || q.Status == http.StatusServiceUnavailable || q.Status == http.StatusTooManyRequests)
		if !retryable || try == maxRetries {
			return
		}
		time.Sleep(min(q.RetryAfter, time.Second))
		q, client = c.retry(q), c.unpooled
	}
}

// randomRequest returns a random request, and how to send it.
func (c *callers) randomRequest() (q *Request, k *callKind, abandons bool, client *http.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k = c.randomKind()
	key, team := c.site.randomKey(c.rng)
	if c.rng.IntN(revokedShare) == 0 {
		key, team = c.site.randomKeyEverIssued(c.rng)
	}
	q = c.request(k, key, team)
	client = c.pooled
	if c.rng.IntN(2) == 0 {
		client = c.unpooled
	}
	return q, k, c.rng.IntN(abandonShare) == 0, client
}

// request returns a request of a kind with a key, for a random instance. The caller holds c.mu.
func (c *callers) request(k *callKind, key, team string) *Request {
	c.lastID++
	q := &Request{Request: standin.Request{
		ID: fmt.Sprintf("q-%06d", c.lastID), Key: key, Host: host, Path: fmt.Sprintf("/%s/x?n=%d", k.route, c.lastID),
		Body: fmt.Sprintf("question %d", c.lastID), Deadline: callDeadline, Stream: k.stream, Tokens: k.tokens,
	}, Team: team, Route: k.route, Repeatable: k.repeatable, Attempts: k.attempts, Service: k.service, Priority: k.priority, Steady: true}
	q.Instance = c.balancer.choose(c.rng).name
	return q
}

func (c *callers) randomKind() *callKind {
	percent := c.rng.IntN(100)
	for i := range callKinds {
		if percent < callKinds[i].share {
			return &callKinds[i]
		}
		percent -= callKinds[i].share
	}
	return &callKinds[0]
}

// retry returns a copy of a request with a new ID, for a random instance.
func (c *callers) retry(q *Request) *Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	out := *q
	out.ID = fmt.Sprintf("q-%06d", c.lastID)
	out.Response = standin.Response{}
	out.Instance = c.balancer.choose(c.rng).name
	return &out
}

// send sends q through its instance's link and records the response.
func (c *callers) send(q *Request, client *http.Client, abandons bool) {
	timeout := q.Deadline + callGrace
	if abandons {
		timeout = abandonAfter
	}
	c.sendTo(c.fleet.callersAddress(q.Instance), q, client, timeout, abandons)
}

// sendTo sends q to an address, waits at most for timeout, and records the response.
func (c *callers) sendTo(address string, q *Request, client *http.Client, timeout time.Duration, abandons bool) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	q.Sent = time.Now()
	response := standin.Call(ctx, client, address, &q.Request)
	q.Done = time.Now()
	q.Response = *response
	q.Cancelled = abandons && !response.Complete && ctx.Err() != nil
	if q.Cancelled {
		q.Truncated = false
	}
	c.site.recordRequest(q)
}
