package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	rushRoute       = "chat"
	rushInterval    = 7 * time.Millisecond // between requests; the rate exceeds the capacity of all engines
	rushDuration    = 5 * time.Second
	rushSettleTime  = 1200 * time.Millisecond // for the fair shares to adapt
	rushBaseline    = 5 * time.Second         // period before the rush that it is compared with
	rushMinRequests = 20                      // of other teams in each period; with fewer, a rush is not checked
	rushMinRatio    = 0.95                    // between the other teams' success ratios during and before the rush
	rushTolerance   = 3                       // requests, for random variation in small samples
)

// A Rush is a period in which a team requests more of a route than its endpoints can serve.
type Rush struct {
	Team     string
	Route    string
	From, To time.Time
}

// rush overloads a route with requests of a team that has no home regions. Rushes overlap neither
// each other nor the baseline of the next one.
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

// rush sends requests of team in addition to other traffic, and returns after sending the last.
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

// checkShare: during a team's rush the other teams' success ratio stays close to that before it.
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

// othersServed counts other teams' requests for the rush's route, and those served. Requests bound
// to a region are excluded, since fewer endpoints are available to them.
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
