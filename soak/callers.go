package soak

// This file is the callers: an open loop of requests, some of whose callers
// leave early, repeat what failed, or keep their connections.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ivyridge/platform/standin"
)

// Figures of callers.
const (
	callDeadline = 4 * time.Second
	callExtra    = time.Second // beyond the deadline, before a caller gives up
	leaveShare   = 25          // one in so many callers leaves early
	leaveAfter   = 120 * time.Millisecond
	repeatsMost  = 2
	revokedShare = 15 // one in so many uses a key that was taken away
)

// callers send requests to the instances.
type callers struct {
	fleet *fleet
	site  *site
	entry *balancer
	kept  *http.Client // keeps its connections
	fresh *http.Client // makes one a request

	mu   sync.Mutex
	rng  *rand.Rand
	next int
	rate float64 // requests a second
	open sync.WaitGroup
}

func newCallers(f *fleet, s *site, seed uint64, rate float64) *callers {
	return &callers{
		fleet: f, site: s, entry: newBalancer(f), rate: rate, rng: rand.New(rand.NewPCG(seed, 2)),
		kept:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
		fresh: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
}

// run sends until ctx ends, and returns when all answers have come.
func (c *callers) run(ctx context.Context) {
	go c.entry.run(ctx)
	for ctx.Err() == nil {
		c.mu.Lock()
		gap := time.Duration(c.rng.ExpFloat64() / c.rate * float64(time.Second))
		c.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(gap):
			c.open.Go(c.call)
		}
	}
	c.open.Wait()
}

// setRate changes how many requests a second are sent.
func (c *callers) setRate(rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rate = rate
}

// call sends a request, and again what failed and may be.
func (c *callers) call() {
	q, k, leaves, client := c.draw()
	for try := 0; ; try++ {
		c.send(q, client, leaves)
		again := q.Status != http.StatusOK && !q.Left && (k.repeatable && !k.stream || q.Status == http.StatusServiceUnavailable || q.Status == http.StatusTooManyRequests)
		if !again || try == repeatsMost {
			return
		}
		time.Sleep(min(q.RetryAfter, time.Second))
		q, client = c.again(q), c.fresh
	}
}

// draw makes a request by chance.
func (c *callers) draw() (q *Request, k *callKind, leaves bool, client *http.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k = c.kind()
	key, team := c.site.key(c.rng)
	if c.rng.IntN(revokedShare) == 0 {
		key, team = c.site.anyKey(c.rng)
	}
	q = c.request(k, key, team)
	client = c.kept
	if c.rng.IntN(2) == 0 {
		client = c.fresh
	}
	return q, k, c.rng.IntN(leaveShare) == 0, client
}

// request makes a request of a kind with a key. The caller holds c.mu.
func (c *callers) request(k *callKind, key, team string) *Request {
	c.next++
	q := &Request{Ask: standin.Ask{
		ID: fmt.Sprintf("q-%06d", c.next), Key: key, Host: host, Path: fmt.Sprintf("/%s/x?n=%d", k.route, c.next),
		Body: fmt.Sprintf("question %d", c.next), Deadline: callDeadline, Stream: k.stream, Tokens: k.tokens,
	}, Team: team, Route: k.route, Repeatable: k.repeatable, Attempts: k.attempts, Service: k.service, Priority: k.priority, Steady: true}
	q.Instance = c.entry.choose(c.rng).name
	return q
}

func (c *callers) kind() *callKind {
	at := c.rng.IntN(100)
	for i := range callKinds {
		if at < callKinds[i].share {
			return &callKinds[i]
		}
		at -= callKinds[i].share
	}
	return &callKinds[0]
}

// again makes a new try of a request, which is a request of its own.
func (c *callers) again(q *Request) *Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	out := *q
	out.ID = fmt.Sprintf("q-%06d", c.next)
	out.Reply = standin.Reply{}
	out.Instance = c.entry.choose(c.rng).name
	return &out
}

// send sends q and books its answer.
func (c *callers) send(q *Request, client *http.Client, leaves bool) {
	within := q.Deadline + callExtra
	if leaves {
		within = leaveAfter
	}
	c.sendTo(c.fleet.door(q.Instance), q, client, within, leaves)
}

// sendTo sends q to an address, waits so long at most, and books its answer.
func (c *callers) sendTo(address string, q *Request, client *http.Client, within time.Duration, leaves bool) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	q.Sent = time.Now()
	reply := standin.Call(ctx, client, address, &q.Ask)
	q.Done = time.Now()
	q.Reply = *reply
	q.Left = leaves && !reply.Whole && ctx.Err() != nil
	if q.Left {
		q.Short = false
	}
	c.site.book(q)
}
