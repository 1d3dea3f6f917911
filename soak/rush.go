package soak

// This file overloads a route with one team's requests and checks that other teams are not
// starved.

import (
	"fmt"
	"net/http"
	"time"
)

// Parameters of a rush and of its check.
const (
	rushRoute       = "chat"
	rushInterval    = 7 * time.Millisecond // between its requests; exceeds the capacity of all engines together
	rushDuration    = 5 * time.Second
	rushSettleTime  = 1200 * time.Millisecond // for the fair shares to adapt
	rushBaseline    = 5 * time.Second         // period before the rush to compare with
	rushMinRequests = 20                      // of other teams, for a verdict
	rushMinRatio    = 0.95                    // of the other teams' earlier success ratio, the target of fair shares
	rushTolerance   = 3                       // requests, for variance in small samples
)

// A Rush is a period in which a team requests more of a route than its endpoints can serve.
type Rush struct {
	Team     string
	Route    string
	From, To time.Time
}

// rush has a team without home regions overload one route. Rushes do not overlap, also not with
// the comparison period of the next one.
func (s *injection) rush() {
	team := []string{"noord", "west", "zuid"}[s.rng.IntN(3)]
	if !s.run.rushActive.CompareAndSwap(false, true) {
		return
	}
	defer s.run.rushActive.Store(false)
	from := time.Now()
	s.apply(Fault{Kind: "one team's rush", KeepsContact: true}, func() { s.run.callers.rush(team) }, 0, func() {})
	s.site.recordRush(Rush{Team: team, Route: rushRoute, From: from, To: time.Now()})
	s.run.wait(rushBaseline + callDeadline)
}

func (s *site) recordRush(r Rush) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Rushes = append(s.record.Rushes, r)
}

// rush sends requests of a team on top of all other traffic, and returns when the last one is
// sent.
func (c *callers) rush(team string) {
	for end := time.Now().Add(rushDuration); time.Now().Before(end); time.Sleep(rushInterval) {
		c.inFlight.Go(func() {
			c.mu.Lock()
			q := c.request(kindOf(rushRoute), teams[team][0], team)
			c.mu.Unlock()
			c.send(q, c.unpooled, false)
		})
	}
}

// checkShare: during one team's rush the other teams' success ratio stays close to that before it.
func (b *Record) checkShare() (out []string) {
	for _, r := range b.Rushes {
		if b.anyEndpointFaulted(r.From.Add(-rushBaseline), r.To) {
			continue
		}
		served, all := b.othersServed(&r, r.From.Add(rushSettleTime), r.To)
		servedBefore, allBefore := b.othersServed(&r, r.From.Add(-rushBaseline), r.From)
		if all < rushMinRequests || allBefore < rushMinRequests {
			continue
		}
		if required := rushMinRatio*float64(servedBefore)/float64(allBefore)*float64(all) - rushTolerance; float64(served) < required {
			out = append(out, fmt.Sprintf("%d of %d requests of other teams were served during the rush of team %s, %d of %d before it; at least %.1f required", served, all, r.Team, servedBefore, allBefore, required))
		}
	}
	return out
}

// othersServed counts the requests for the rush's route by other teams, and those of them served.
// Requests bound to a region are excluded, since fewer endpoints are available to them.
func (b *Record) othersServed(r *Rush, from, to time.Time) (served, all int) {
	b.each(func(q *Request) {
		if q.Team == r.Team || q.Route != r.Route || q.Sent.Before(from) || !q.Sent.Before(to) {
			return
		}
		if q.Cancelled || !b.inContact(q.Instance, q.Sent, q.Done) || !b.allowed(q) || b.regionBound(q) {
			return
		}
		all++
		if q.Status == http.StatusOK {
			served++
		}
	})
	return served, all
}
