package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"ivyridge/verdict"
)

const (
	crashMarker           = "deadly" // substring of the body of a crash request
	crashRequestInterval  = 400 * time.Millisecond
	crashRequestDuration  = 12 * time.Second
	crashRequestTolerance = 3                      // allowed executions later than Bounds.Contact after the third crash
	crashRequestLearnTime = 3 * time.Second        // after which instances know the request
	crashRequestTime      = 600 * time.Millisecond // from its arrival at an endpoint to the crash
	endpointRestartDelay  = 1200 * time.Millisecond
	minEndpoints          = 3 // of a service that faults must leave
)

// A CrashRequest is a request that crashes endpoints and was sent repeatedly.
type CrashRequest struct{ Body string }

// configureRestart has e publish itself after each restart, and crash when it executes a request
// with crashMarker.
func (s *site) configureRestart(e *endpoint) {
	e.server.OnRestart(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !e.withdrawn {
			s.store.List(e.registryEntry(false))
		}
	})
	e.server.CrashOn(crashMarker, crashRequestTime, endpointRestartDelay, func() {
		now := time.Now()
		s.recordFault(Fault{Kind: "endpoint ended", Endpoint: e.server.ID, From: now, To: now.Add(endpointRestartDelay)})
	})
}

// restartEndpoint crashes a random endpoint, which restarts under the same ID.
func (s *injection) restartEndpoint() {
	e := s.site.randomEndpoint(s.rng, minEndpoints)
	if e == nil {
		return
	}
	s.apply(Fault{Kind: "endpoint ends and returns", Endpoint: e.server.ID}, func() { e.server.Crash(endpointRestartDelay) }, endpointRestartDelay, func() {})
}

// sendCrashRequest sends one crashing request repeatedly. The endpoints that it crashes count as
// faulty, the instances do not.
func (s *injection) sendCrashRequest() {
	s.withCrashRequest(func(body string) { s.run.callers.sendCrashRequests(body, crashRequestDuration) })
}

// killAllBesideCrashRequest kills all instances once a crashing request is known. Its callers come back
// when the instances are in contact again.
func (s *injection) killAllBesideCrashRequest() {
	s.withCrashRequest(func(body string) {
		s.run.callers.sendCrashRequests(body, crashRequestLearnTime)
		s.killAll()
		s.run.wait(deploymentBounds.Contact)
		s.run.callers.sendCrashRequests(body, crashRequestDuration)
	})
}

// withCrashRequest calls send with the body of a crashing request, unless another one is being sent.
func (s *injection) withCrashRequest(send func(body string)) {
	if !s.run.crashRequestActive.CompareAndSwap(false, true) {
		return
	}
	defer s.run.crashRequestActive.Store(false)
	body := fmt.Sprintf("a %s question, %d", crashMarker, s.rng.Uint64())
	s.apply(Fault{Kind: "request that ends endpoints", KeepsContact: true}, func() { send(body) }, endpointRestartDelay, func() {})
	s.site.recordCrashRequest(body)
}

func (s *site) recordCrashRequest(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.CrashRequests = append(s.record.CrashRequests, CrashRequest{Body: body})
}

// sendCrashRequests sends requests with the body for a time, with new IDs and to random instances.
func (c *callers) sendCrashRequests(body string, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(crashRequestInterval) {
		c.inFlight.Go(func() {
			c.mu.Lock()
			q := c.request(kindOf("once"), teams["oost"][0], "oost")
			q.Path, q.Body = "/once/deadly", body
			c.mu.Unlock()
			c.send(q, c.unpooled, false)
		})
	}
}

var invalidEntries = []string{"{", `{"service":"app","address":"not an address","state":"ready","slots":-4}`, `[]`, `{"service":"app","state":"warming"}`}

// corruptEntries adds invalid registry entries, and overwrites a valid one for s.duration.
func (s *injection) corruptEntries() {
	e := s.site.randomEndpoint(s.rng, minEndpoints)
	if e == nil {
		return
	}
	s.apply(Fault{Kind: "entries of another writer", Endpoint: e.server.ID}, func() {
		for n, text := range invalidEntries {
			s.site.store.PutRaw(fmt.Sprintf("servers/x-%d", n), []byte(text))
		}
		s.site.store.PutRaw("servers/"+e.server.ID, []byte(invalidEntries[s.rng.IntN(len(invalidEntries))]))
	}, s.duration, func() {
		s.site.mu.Lock()
		defer s.site.mu.Unlock()
		if !e.withdrawn {
			s.site.store.List(e.registryEntry(false))
		}
	})
}

// checkBlamed: requests that crash endpoints are blocked, and no others are blocked for that reason.
func (b *Record) checkBlamed() (out []string) {
	for _, d := range b.CrashRequests {
		out = append(out, b.checkCrashRequest(&d)...)
	}
	b.each(func(q *Request) {
		if strings.HasPrefix(q.Text, string(verdict.CrashesEndpoints)) && !b.isCrashRequest(q.Body) {
			out = append(out, fmt.Sprintf("%s: blocked, though it crashes no endpoint", q.ID))
		}
	})
	return out
}

func (b *Record) isCrashRequest(body string) bool {
	for _, d := range b.CrashRequests {
		if d.Body == body {
			return true
		}
	}
	return false
}

// checkCrashRequest bounds the executions of a crashing request by instances in contact later than
// Bounds.Contact after the third execution.
func (b *Record) checkCrashRequest(d *CrashRequest) []string {
	type sent struct {
		at      time.Time
		request *Request
	}
	var all []sent
	for id, q := range b.Requests {
		for _, r := range b.Deliveries[id] {
			if q.Body == d.Body && r.Ran {
				all = append(all, sent{r.At, q})
			}
		}
	}
	slices.SortFunc(all, func(a, b sent) int { return a.at.Compare(b.at) })
	if len(all) <= 3 {
		return nil
	}
	after, late := all[2].at.Add(b.Bounds.Contact), 0
	for _, s := range all[3:] {
		if s.at.After(after) && b.inContact(s.request.Instance, s.request.Sent, s.at) {
			late++
		}
	}
	if late > crashRequestTolerance {
		return []string{fmt.Sprintf("a request that had crashed three endpoints was executed %d more times after it should have been blocked, and %d times in all", late, len(all))}
	}
	return nil
}
