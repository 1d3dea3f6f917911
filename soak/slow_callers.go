package soak

import (
	"fmt"
	"net/http"
	"time"

	"ivyridge/platform/standin"
)

const (
	slowCallers        = 16     // started at once
	slowEventBytes     = 30_000 // per event, so that socket buffers cannot hold the response
	slowBuffer         = 4 << 10
	readPause          = 120 * time.Millisecond       // between the events that a slow reader reads
	sendPause          = 60 * time.Millisecond        // between the bytes that a slow sender sends
	stopDuration       = slowDeadline + 2*time.Second // exceeds the stall timeout and the deadline
	sendStopDuration   = stopDuration                 // of a caller that stops sending
	stopAfterEvents    = 2                            // read before a caller stops
	sendStopAfterBytes = 4                            // sent before a caller stops
	slowDeadline       = 2 * callDeadline
)

type slowCallerKind struct {
	kind   string
	route  string
	steady bool // never stops, so its response must be complete
	pace   standin.Pace
}

var slowCallerKinds = []slowCallerKind{
	{"callers stop reading", "chat", false, standin.Pace{PauseAfter: stopAfterEvents, PauseFor: stopDuration}},
	{"callers read slowly", "chat", true, standin.Pace{ReadDelay: readPause}},
	{"callers send slowly", "once", true, standin.Pace{SendDelay: sendPause}},
	{"callers stop sending", "once", false, standin.Pace{SendDelay: sendPause, AbortAfter: sendStopAfterBytes, PauseFor: sendStopDuration}},
}

func (s *injection) startSlowCallers(k slowCallerKind) {
	f := Fault{Kind: k.kind, KeepsContact: true}
	s.apply(f, func() { s.run.callers.startSlow(&k) }, s.duration, func() {})
}

// startSlow starts slow callers, each on its own connection directly to the instance: the buffers of
// a link would absorb the response.
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

// kindOf returns the kind of requests of a route, or nil.
func kindOf(route string) *callKind {
	for i := range callKinds {
		if callKinds[i].route == route {
			return &callKinds[i]
		}
	}
	return nil
}

// checkSteady: a response to a steady caller is not truncated, unless a fault affected the instance
// or the endpoints.
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
			if f := &b.Faults[i]; f.Endpoint == r.Endpoint && f.during(q.Sent.Add(-b.Bounds.Contact), q.Done) {
				return false
			}
		}
	}
	return true
}
