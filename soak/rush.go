package soak

// This file has one team rush, and checks that the others are not starved.

import (
	"fmt"
	"net/http"
	"time"
)

// Figures of a rush.
const (
	rushRoute  = "chat"
	rushGap    = 7 * time.Millisecond // between its requests: more than all engines together bear
	rushFor    = 5 * time.Second
	rushSettle = 1200 * time.Millisecond // within which the fair rate follows
	rushBefore = 5 * time.Second         // that the others' service is compared with
	rushLeast  = 20                      // of the others' requests, below which nothing is judged
	rushKeeps  = 0.95                    // of what they were served before, the aim of fair shares
	rushFree   = 3                       // requests more, for chance among so few
)

// A Rush is a team that asks for more than its route's endpoints bear.
type Rush struct {
	Team     string
	Route    string
	From, To time.Time
}

// rush has a team without homes send much more of one route. One team rushes at a time, and none within
// the time that the next one is compared with.
func (s *strike) rush() {
	team := []string{"noord", "west", "zuid"}[s.rng.IntN(3)]
	if !s.run.rushing.CompareAndSwap(false, true) {
		return
	}
	defer s.run.rushing.Store(false)
	from := time.Now()
	s.over(Trouble{Kind: "one team's rush", Spares: true}, func() { s.run.callers.rush(team) }, 0, func() {})
	s.site.bookRush(Rush{Team: team, Route: rushRoute, From: from, To: time.Now()})
	s.run.wait(rushBefore + callDeadline)
}

// bookRush enters a rush.
func (s *site) bookRush(r Rush) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.books.Rushes = append(s.books.Rushes, r)
}

// rush sends requests of a team beside all others, and returns when the last is sent.
func (c *callers) rush(team string) {
	for end := time.Now().Add(rushFor); time.Now().Before(end); time.Sleep(rushGap) {
		c.open.Go(func() {
			c.mu.Lock()
			q := c.request(kindOf(rushRoute), teams[team][0], team)
			c.mu.Unlock()
			c.send(q, c.fresh, false)
		})
	}
}

// shared: while one team rushes, the others get nearly what they got before.
func (b *Books) shared() (out []string) {
	for _, r := range b.Rushes {
		if b.endpointsTroubled(r.From.Add(-rushBefore), r.To) {
			continue
		}
		served, all := b.othersServed(&r, r.From.Add(rushSettle), r.To)
		before, of := b.othersServed(&r, r.From.Add(-rushBefore), r.From)
		if all < rushLeast || of < rushLeast {
			continue
		}
		if least := rushKeeps*float64(before)/float64(of)*float64(all) - rushFree; float64(served) < least {
			out = append(out, fmt.Sprintf("%d of %d requests of other teams are served while %s rushes, %d of %d were before: %.1f are owed", served, all, r.Team, before, of, least))
		}
	}
	return out
}

// othersServed returns how many requests of the route were served to teams other than that of a rush.
// Requests bound to a region are left out: they share less than the others.
func (b *Books) othersServed(r *Rush, from, to time.Time) (served, all int) {
	b.each(func(q *Request) {
		if q.Team == r.Team || q.Route != r.Route || q.Sent.Before(from) || !q.Sent.Before(to) {
			return
		}
		if q.Left || !b.inTouch(q.Instance, q.Sent, q.Done) || !b.allowed(q) || b.bound(q) {
			return
		}
		all++
		if q.Status == http.StatusOK {
			served++
		}
	})
	return served, all
}
