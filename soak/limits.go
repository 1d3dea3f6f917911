package soak

// This file has endpoints announce limits on their request rate from all instances together, and
// checks that they are kept.

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// limitSpan is the window in which an endpoint's requests are counted. Within it the endpoint
	// may receive limitOver times its limit, plus limitSlack requests.
	limitSpan  = 4 * time.Second
	limitOver  = 1.5
	limitSlack = 5
	// limitKnownDelay is how long after forwarding a response that announces a limit an instance
	// must keep the limit.
	limitKnownDelay = 500 * time.Millisecond
	// limitsDuration is how long endpoints announce limits. It covers several windows.
	limitsDuration = 10 * time.Second
)

// limits are valid announcements, in requests per second; oddLimits are invalid ones.
var (
	limits    = []string{"0", "0.5", "1.2", "6", "40"}
	oddLimits = []string{"-3", "NaN", "many", "+Inf", "1e999"}
)

// nameLimit has an endpoint announce a limit, and later another one.
func (s *injection) nameLimit() { s.nameLimits("endpoint names its limit", limits, limits, 1) }

// nameAllLimits has all endpoints of a service announce limits.
func (s *injection) nameAllLimits() {
	s.nameLimits("all endpoints of a service name limits", limits[3:], limits[1:], math.MaxInt)
}

// nameOddLimits has an endpoint announce invalid limits.
func (s *injection) nameOddLimits() {
	s.nameLimits("endpoint names odd limits", oddLimits, oddLimits, 1)
}

// nameLimits has a random endpoint, or all endpoints of its service if maxEndpoints is above 1,
// announce a limit out of first, and later one out of second.
func (s *injection) nameLimits(kind string, first, second []string, maxEndpoints int) {
	e := s.site.randomEndpoint(s.rng, min(1, math.MaxInt-maxEndpoints))
	if e == nil {
		return
	}
	affected := []*endpoint{e}
	if maxEndpoints > 1 {
		affected = s.site.endpointsOf(e.server.Service)
	}
	normal := normalBehaviour[e.server.Service]
	announce := func(rate string) {
		b := normal
		b.Limit = rate
		for _, e := range affected {
			e.server.SetBehaviour(b)
		}
	}
	rates := []string{first[s.rng.IntN(len(first))], second[s.rng.IntN(len(second))]}
	s.apply(Fault{Kind: kind, Endpoint: e.server.ID}, func() {
		announce(rates[0])
		s.run.wait(limitsDuration / 2)
		announce(rates[1])
	}, limitsDuration/2, func() {
		for _, e := range affected {
			e.server.SetBehaviour(normal)
		}
	})
}

// A limitedRun is a run whose response announced a limit.
type limitedRun struct {
	arrival
	limit float64
}

// checkLimit: an endpoint that announces a limit receives no more requests than it allows from the
// instances that know the limit.
func (b *Record) checkLimit() (out []string) {
	byEndpoint := make(map[string][]arrival)
	for p, runs := range b.runsByPair() {
		byEndpoint[p.endpoint] = append(byEndpoint[p.endpoint], runs...)
	}
	for endpoint, runs := range byEndpoint {
		slices.SortFunc(runs, func(x, y arrival) int { return x.At.Compare(y.At) })
		for _, announced := range limitSpans(runs) {
			if what := b.limitExceeded(endpoint, announced); what != "" {
				out = append(out, what)
			}
		}
	}
	return out
}

// limitSpans splits the runs at an endpoint into sequences in which every response announced a
// valid limit.
func limitSpans(runs []arrival) (out [][]limitedRun) {
	var announced []limitedRun
	for _, r := range runs {
		limit, err := strconv.ParseFloat(r.Limit, 64)
		if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
			out, announced = append(out, announced), nil
			continue
		}
		announced = append(announced, limitedRun{r, limit})
	}
	return append(out, announced)
}

// limitExceeded describes the first window in which an endpoint received too many requests; empty
// if there is none. The highest limit announced since Bounds.Contact before the window applies.
func (b *Record) limitExceeded(endpoint string, announced []limitedRun) string {
	counted := slices.DeleteFunc(slices.Clone(announced), func(r limitedRun) bool { return !b.knewLimit(announced, r.arrival) })
	for i, first := range counted {
		n, limit := 0, 0.0
		for _, r := range counted[i:] {
			if r.At.Sub(first.At) < limitSpan {
				n++
			}
		}
		for _, r := range announced {
			if r.At.After(first.At.Add(-b.Bounds.Contact)) && r.At.Before(first.At.Add(limitSpan)) {
				limit = max(limit, r.limit)
			}
		}
		if allowed := limitOver*limit*limitSpan.Seconds() + limitSlack; float64(n) > allowed {
			return fmt.Sprintf("endpoint %s announced a limit of %v requests/s, and received %d requests in %v from instances that knew it; %.0f allowed", endpoint, limit, n, limitSpan, allowed)
		}
	}
	return ""
}

// knewLimit reports whether a run's instance had forwarded a response that announced the limit,
// and was not disturbed since.
func (b *Record) knewLimit(announced []limitedRun, run arrival) bool {
	for _, r := range slices.Backward(announced) {
		if r.request.Instance == run.request.Instance && !r.Ended.IsZero() && !r.Ended.Add(limitKnownDelay).After(run.At) {
			return !b.limitExcused(run.request.Instance, r.Ended, run.At)
		}
	}
	return false
}

// limitExcused reports whether an instance was stopped, paused or cut off between from and to.
// Faults of the store and planned operations on the whole site are no excuse.
func (b *Record) limitExcused(instance string, from, to time.Time) bool {
	for i := range b.Faults {
		t := &b.Faults[i]
		ofAll := t.Instance == "" && !t.Planned && !strings.HasPrefix(t.Kind, "store")
		if !t.KeepsContact && t.Endpoint == "" && (ofAll || t.Instance == instance) && t.during(from, to) {
			return true
		}
	}
	return false
}
