package soak

// This file simulates callers that stop reading, read slowly, send slowly or stop sending, and
// checks that steady callers get complete responses.

import (
	"fmt"
	"net/http"
	"time"

	"ivyridge/platform/standin"
)

// Parameters of slow callers.
const (
	slowCallers        = 16     // started at once
	slowEventBytes     = 30_000 // per event, so that socket buffers cannot hold the response
	slowBuffer         = 4 << 10
	readPause          = 120 * time.Millisecond       // between the events that a slow reader reads
	sendPause          = 60 * time.Millisecond        // between the bytes that a slow sender sends
	stopDuration       = slowDeadline + 2*time.Second // exceeds the stall timeout and the deadline
	sendStopDuration   = callDeadline                 // of a caller that stops sending
	stopAfterEvents    = 2                            // read before a caller stops
	sendStopAfterBytes = 4                            // sent before a caller stops
	slowDeadline       = 2 * callDeadline
)

// A slowCallerKind is a way in which callers are slow.
type slowCallerKind struct {
	kind   string
	route  string
	steady bool // it never stops, and must get a complete response
	pace   standin.Pace
}

var slowCallerKinds = []slowCallerKind{
	{"callers stop reading", "chat", false, standin.Pace{PauseAfter: stopAfterEvents, PauseFor: stopDuration}},
	{"callers read slowly", "chat", true, standin.Pace{ReadDelay: readPause}},
	{"callers send slowly", "once", true, standin.Pace{SendDelay: sendPause}},
	{"callers stop sending", "once", false, standin.Pace{SendDelay: sendPause, AbortAfter: sendStopAfterBytes, PauseFor: sendStopDuration}},
}

// startSlowCallers starts slow callers of a kind.
func (s *injection) startSlowCallers(k slowCallerKind) {
	t := Fault{Kind: k.kind, KeepsContact: true}
	s.apply(t, func() { s.run.callers.startSlow(&k) }, s.duration, func() {})
}

// startSlow starts slow callers, each on its own connection directly to the instance: the buffers
// of a link in between would read for them.
func (c *callers) startSlow(k *slowCallerKind) {
	for range slowCallers {
		c.inFlight.Go(func() {
			q := c.slowRequest(k)
			client := standin.SlowClient(slowBuffer)
			defer client.CloseIdleConnections()
			c.sendTo(c.fleet.listenAddress(q.Instance), q, client, stopDuration+slowDeadline, false)
		})
	}
}

// slowRequest returns a slow caller's request.
func (c *callers) slowRequest(k *slowCallerKind) *Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	key, team := c.site.randomKey(c.rng)
	q := c.request(kindOf(k.route), key, team)
	q.Pace, q.Steady, q.Deadline = k.pace, k.steady, slowDeadline
	if q.Stream {
		q.Path += fmt.Sprintf("&%s=%d", standin.PaddingQuery, slowEventBytes)
	}
	return q
}

// kindOf returns the kind of a route's requests, or nil.
func kindOf(route string) *callKind {
	for i := range callKinds {
		if callKinds[i].route == route {
			return &callKinds[i]
		}
	}
	return nil
}

// checkSteady: a response to a steady caller is not truncated once it has begun, unless a fault
// affected its instance or endpoints.
func (b *Record) checkSteady() (out []string) {
	b.each(func(q *Request) {
		truncated := q.Status == http.StatusOK && !q.Complete
		if !q.Steady || !truncated || q.Cancelled || q.Done.Sub(q.Sent) >= q.Deadline || !b.allowed(q) || !b.undisturbed(q) {
			return
		}
		out = append(out, fmt.Sprintf("%s: response of route %s truncated after %d events and %v at %s: %v", q.ID, q.Route, q.Events, q.Done.Sub(q.Sent).Round(time.Millisecond), q.Instance, q.Err))
	})
	return out
}

// undisturbed reports whether no fault affected the instance and the endpoints of q.
func (b *Record) undisturbed(q *Request) bool {
	if !b.inContact(q.Instance, q.Sent, q.Done) {
		return false
	}
	for _, r := range b.Deliveries[q.ID] {
		for i := range b.Faults {
			if t := &b.Faults[i]; t.Endpoint == r.Endpoint && t.during(q.Sent.Add(-b.Bounds.Contact), q.Done) {
				return false
			}
		}
	}
	return true
}
