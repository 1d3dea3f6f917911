package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ivyridge/platform/standin"
)

const (
	callDeadline = 4 * time.Second
	callGrace    = time.Second // from the deadline until a caller gives up
	cancelShare  = 25          // one in cancelShare callers cancels early
	cancelAfter  = 120 * time.Millisecond
	maxRetries   = 2
	revokedShare = 15 // one in revokedShare callers may use a revoked key
)

// callers generate an open-loop load: requests are sent without waiting for earlier responses. Some
// callers cancel early, retry failures or reuse connections.
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

// run sends requests until ctx is done, and waits for their responses.
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

func (c *callers) setRate(rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rate = rate
}

// call sends a request, and retries it up to maxRetries times if its failure allows that.
func (c *callers) call() {
	q, k, cancels, client := c.randomRequest()
	for try := 0; ; try++ {
		c.send(q, client, cancels)
		retryable := q.Status != http.StatusOK && !q.Cancelled && (k.repeatable && !k.stream || q.Status == http.StatusServiceUnavailable || q.Status == http.StatusTooManyRequests)
		if !retryable || try == maxRetries {
			return
		}
		time.Sleep(min(q.RetryAfter, time.Second))
		q, client = c.retry(q), c.unpooled
	}
}

func (c *callers) randomRequest() (q *Request, k *callKind, cancels bool, client *http.Client) {
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
	return q, k, c.rng.IntN(cancelShare) == 0, client
}

// request returns a new request of kind k for a random instance. The caller holds c.mu.
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

// retry returns a copy of q without its response, with a new ID and for a random instance.
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

// send sends q over the link of its instance and records the response.
func (c *callers) send(q *Request, client *http.Client, cancels bool) {
	timeout := q.Deadline + callGrace
	if cancels {
		timeout = cancelAfter
	}
	c.sendTo(c.fleet.callersAddress(q.Instance), q, client, timeout, cancels)
}

func (c *callers) sendTo(address string, q *Request, client *http.Client, timeout time.Duration, cancels bool) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	q.Sent = time.Now()
	response := standin.Call(ctx, client, address, &q.Request)
	q.Done = time.Now()
	q.Response = *response
	q.Cancelled = cancels && !response.Complete && ctx.Err() != nil
	if q.Cancelled {
		q.Truncated = false
	}
	c.site.recordRequest(q)
}
