package soak

// This file has a request sent that ends each endpoint that runs it, ends endpoints for other
// reasons, and writes entries of another make; and checks who is blamed.

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"ivyridge/verdict"
)

// Figures of a request that ends endpoints.
const (
	deadly       = "deadly" // in its body
	deadlyGap    = 400 * time.Millisecond
	deadlyFor    = 12 * time.Second
	deadlyFree   = 3 // sends more, later than the time for contact after the third end
	endedReturns = 1200 * time.Millisecond
	leastKept    = 3 // endpoints of a service, below which none is ended
)

// A Deadly is a request that was sent again and again.
type Deadly struct{ Body string }

// mortal has an endpoint's next process publish itself, and all its processes end under a deadly
// request.
func (s *site) mortal(e *endpoint) {
	e.server.Return(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !e.gone {
			s.store.List(e.entry(false))
		}
	})
	e.server.EndsOn(deadly, endedReturns, func() {
		now := time.Now()
		s.trouble(Trouble{Kind: "endpoint ended", Endpoint: e.server.ID, From: now, To: now.Add(endedReturns)})
	})
}

// endEndpoint ends an endpoint's process, which comes back under the same ID.
func (s *strike) endEndpoint() {
	e := s.site.sound(s.rng, leastKept)
	if e == nil {
		return
	}
	s.over(Trouble{Kind: "endpoint ends and returns", Endpoint: e.server.ID}, func() { e.server.End(endedReturns) }, endedReturns, func() {})
}

// poison sends one request of a plain route again and again, at any instance. The endpoints that
// it ends are in trouble, and no instance is.
func (s *strike) poison() {
	if !s.run.poisoning.CompareAndSwap(false, true) {
		return
	}
	defer s.run.poisoning.Store(false)
	body := fmt.Sprintf("a %s question, %d", deadly, s.rng.Uint64())
	s.over(Trouble{Kind: "request that ends endpoints", Spares: true}, func() { s.run.callers.poison(body) }, endedReturns, func() {})
	s.site.bookDeadly(body)
}

func (s *site) bookDeadly(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.books.Deadlies = append(s.books.Deadlies, Deadly{Body: body})
}

// poison sends a request again and again, each time under a new ID and at an instance by chance.
func (c *callers) poison(body string) {
	for end := time.Now().Add(deadlyFor); time.Now().Before(end); time.Sleep(deadlyGap) {
		c.open.Go(func() {
			c.mu.Lock()
			q := c.request(kindOf("once"), teams["oost"][0], "oost")
			q.Path, q.Body = "/once/deadly", body
			c.mu.Unlock()
			c.send(q, c.fresh, false)
		})
	}
}

// foreignEntries are written by another writer.
var foreignEntries = []string{"{", `{"service":"app","address":"not an address","state":"ready","slots":-4}`, `[]`, `{"service":"app","state":"warming"}`}

// spoil has another writer put entries beside those of endpoints, and one in the place of an
// endpoint's own, which the endpoint replaces after a while.
func (s *strike) spoil() {
	e := s.site.sound(s.rng, leastKept)
	if e == nil {
		return
	}
	s.over(Trouble{Kind: "entries of another writer", Endpoint: e.server.ID}, func() {
		for n, text := range foreignEntries {
			s.site.store.PutRaw(fmt.Sprintf("servers/x-%d", n), []byte(text))
		}
		s.site.store.PutRaw("servers/"+e.server.ID, []byte(foreignEntries[s.rng.IntN(len(foreignEntries))]))
	}, s.last, func() {
		s.site.mu.Lock()
		defer s.site.mu.Unlock()
		if !e.gone {
			s.site.store.List(e.entry(false))
		}
	})
}

// blamed: a request that ends endpoints is not sent on for ever, and nobody else is refused for
// it.
func (b *Books) blamed() (out []string) {
	for _, d := range b.Deadlies {
		out = append(out, b.sentOn(&d)...)
	}
	b.each(func(q *Request) {
		if strings.HasPrefix(q.Text, string(verdict.EndsEndpoints)) && !b.deadly(q.Body) {
			out = append(out, fmt.Sprintf("%s: refused for good, though it ends no endpoint", q.ID))
		}
	})
	return out
}

func (b *Books) deadly(body string) bool {
	for _, d := range b.Deadlies {
		if d.Body == body {
			return true
		}
	}
	return false
}

// sentOn counts what was sent of a request later than the time for contact after the third end,
// by instances in touch.
func (b *Books) sentOn(d *Deadly) []string {
	type sent struct {
		at      time.Time
		request *Request
	}
	var all []sent
	for id, q := range b.Requests {
		for _, r := range b.Runs[id] {
			if q.Body == d.Body && r.Ran {
				all = append(all, sent{r.At, q})
			}
		}
	}
	slices.SortFunc(all, func(a, b sent) int { return a.at.Compare(b.at) })
	if len(all) <= 3 {
		return nil
	}
	after, more := all[2].at.Add(b.Bounds.Contact), 0
	for _, s := range all[3:] {
		if s.at.After(after) && b.inTouch(s.request.Instance, s.request.Sent, s.at) {
			more++
		}
	}
	if more > deadlyFree {
		return []string{fmt.Sprintf("a request under which three endpoints had ended was sent %d times more; %d ended in all", more, len(all))}
	}
	return nil
}
