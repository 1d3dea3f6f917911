package soak

// This file is callers that stop reading, read slowly, send slowly or stop sending, and the
// check of those who go on steadily.

import (
	"fmt"
	"net/http"
	"time"

	"ivyridge/platform/standin"
)

// Figures of slow callers.
const (
	slowCallers  = 16     // that come at once
	slowFilling  = 30_000 // bytes of each event, so that sockets can't hold the answer
	slowBuffer   = 4 << 10
	readPause    = 120 * time.Millisecond       // between events of a slow reader
	sendPause    = 60 * time.Millisecond        // between bytes of a slow sender
	stopFor      = slowDeadline + 2*time.Second // beyond the stall time and the deadline
	hushFor      = callDeadline                 // of a caller that stops sending
	stopAfter    = 2                            // events that a caller reads before it stops
	sendsOnly    = 4                            // bytes that a caller sends before it stops
	slowDeadline = 2 * callDeadline
)

// A slowness is a kind of slow caller.
type slowness struct {
	kind   string
	route  string
	steady bool // it goes on, and is owed a whole answer
	pace   standin.Pace
}

var slownesses = []slowness{
	{"callers stop reading", "chat", false, standin.Pace{StopAfter: stopAfter, StopFor: stopFor}},
	{"callers read slowly", "chat", true, standin.Pace{Read: readPause}},
	{"callers send slowly", "once", true, standin.Pace{Send: sendPause}},
	{"callers stop sending", "once", false, standin.Pace{Send: sendPause, SendOnly: sendsOnly, StopFor: hushFor}},
}

// comeSlowly has slow callers of a kind come at once, and waits until they have gone.
func (s *strike) comeSlowly(k slowness) {
	t := Trouble{Kind: k.kind, Spares: true}
	s.over(t, func() { s.run.callers.comeSlowly(&k) }, s.last, func() {})
}

// comeSlowly starts slow callers, each with a connection of its own past the instance's link,
// whose buffers would read for them.
func (c *callers) comeSlowly(k *slowness) {
	for range slowCallers {
		c.open.Go(func() {
			q := c.slowRequest(k)
			client := standin.SlowClient(slowBuffer)
			defer client.CloseIdleConnections()
			c.sendTo(c.fleet.inside(q.Instance), q, client, stopFor+slowDeadline, false)
		})
	}
}

// slowRequest makes a request of a slow caller.
func (c *callers) slowRequest(k *slowness) *Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	key, team := c.site.key(c.rng)
	q := c.request(kindOf(k.route), key, team)
	q.Pace, q.Steady, q.Deadline = k.pace, k.steady, slowDeadline
	if q.Stream {
		q.Path += fmt.Sprintf("&%s=%d", standin.FillQuery, slowFilling)
	}
	return q
}

// kindOf returns the kind of requests of a route.
func kindOf(route string) *callKind {
	for i := range callKinds {
		if callKinds[i].route == route {
			return &callKinds[i]
		}
	}
	return nil
}

// steadied: who reads and sends steadily gets a whole answer once one has begun, as long as
// nothing befell its instance or its endpoints.
func (b *Books) steadied() (out []string) {
	b.each(func(q *Request) {
		cut := q.Status == http.StatusOK && !q.Whole
		if !q.Steady || !cut || q.Left || q.Done.Sub(q.Sent) >= q.Deadline || !b.allowed(q) || !b.undisturbed(q) {
			return
		}
		out = append(out, fmt.Sprintf("%s: an answer of %s was cut after %d events and %v at %s: %v", q.ID, q.Route, q.Events, q.Done.Sub(q.Sent).Round(time.Millisecond), q.Instance, q.Err))
	})
	return out
}

// undisturbed reports whether nothing befell the instance and the endpoints of q.
func (b *Books) undisturbed(q *Request) bool {
	if !b.inTouch(q.Instance, q.Sent, q.Done) {
		return false
	}
	for _, r := range b.Runs[q.ID] {
		for i := range b.Troubles {
			if t := &b.Troubles[i]; t.Endpoint == r.Endpoint && t.during(q.Sent.Add(-b.Bounds.Contact), q.Done) {
				return false
			}
		}
	}
	return true
}
