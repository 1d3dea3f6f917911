package soak

// This file has endpoints name how many requests a second they take from all instances together,
// and checks that they get no more.

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// limitSpan is the time over which an endpoint's requests are counted, limitOver how many times
	// its limit it may get within it, and limitSlack how many requests more.
	limitSpan  = 4 * time.Second
	limitOver  = 1.5
	limitSlack = 5
	// limitKnown is how long after an instance has passed on an answer that names a limit its
	// requests count.
	limitKnown = 500 * time.Millisecond
	// limitsLast is how long endpoints name limits: several spans.
	limitsLast = 10 * time.Second
)

// limits are what endpoints name, in requests a second; oddLimits are none.
var (
	limits    = []string{"0", "0.5", "1.2", "6", "40"}
	oddLimits = []string{"-3", "NaN", "many", "+Inf", "1e999"}
)

// nameLimit has an endpoint name a limit, and then another one.
func (s *strike) nameLimit() { s.nameLimits("endpoint names its limit", limits, limits, 1) }

// nameAllLimits has all endpoints of a service name one.
func (s *strike) nameAllLimits() {
	s.nameLimits("all endpoints of a service name limits", limits[3:], limits[1:], math.MaxInt)
}

// nameOddLimits has an endpoint name what is no limit.
func (s *strike) nameOddLimits() {
	s.nameLimits("endpoint names odd limits", oddLimits, oddLimits, 1)
}

// nameLimits has so many endpoints of a service name one of the first limits, and then one of the
// second.
func (s *strike) nameLimits(kind string, first, second []string, most int) {
	e := s.site.sound(s.rng, min(1, math.MaxInt-most))
	if e == nil {
		return
	}
	struck := []*endpoint{e}
	if most > 1 {
		struck = s.site.of(e.server.Service)
	}
	sound := behaviour[e.server.Service]
	name := func(rate string) {
		b := sound
		b.Limit = rate
		for _, e := range struck {
			e.server.Behave(b)
		}
	}
	rates := []string{first[s.rng.IntN(len(first))], second[s.rng.IntN(len(second))]}
	s.over(Trouble{Kind: kind, Endpoint: e.server.ID}, func() {
		name(rates[0])
		s.run.wait(limitsLast / 2)
		name(rates[1])
	}, limitsLast/2, func() {
		for _, e := range struck {
			e.server.Behave(sound)
		}
	})
}

// A limitedRun is a run at an endpoint that names a limit.
type limitedRun struct {
	arrival
	limit float64
}

// limited: an endpoint that names a limit gets no more than that allows, from instances that have
// passed it on.
func (b *Books) limited() (out []string) {
	byEndpoint := make(map[string][]arrival)
	for p, runs := range b.byPair() {
		byEndpoint[p.endpoint] = append(byEndpoint[p.endpoint], runs...)
	}
	for endpoint, runs := range byEndpoint {
		slices.SortFunc(runs, func(x, y arrival) int { return x.At.Compare(y.At) })
		for _, named := range spansOfLimits(runs) {
			if what := b.aboveLimit(endpoint, named); what != "" {
				out = append(out, what)
			}
		}
	}
	return out
}

// spansOfLimits returns the runs at one endpoint while it named limits, without a break each.
func spansOfLimits(runs []arrival) (out [][]limitedRun) {
	var named []limitedRun
	for _, r := range runs {
		limit, err := strconv.ParseFloat(r.Limit, 64)
		if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
			out, named = append(out, named), nil
			continue
		}
		named = append(named, limitedRun{r, limit})
	}
	return append(out, named)
}

// aboveLimit says by how much an endpoint got too many requests, if it did: the highest of the
// limits that it named since the time for contact before a span counts.
func (b *Books) aboveLimit(endpoint string, named []limitedRun) string {
	counted := slices.DeleteFunc(slices.Clone(named), func(r limitedRun) bool { return !b.toldLimit(named, r.arrival) })
	for i, first := range counted {
		n, limit := 0, 0.0
		for _, r := range counted[i:] {
			if r.At.Sub(first.At) < limitSpan {
				n++
			}
		}
		for _, r := range named {
			if r.At.After(first.At.Add(-b.Bounds.Contact)) && r.At.Before(first.At.Add(limitSpan)) {
				limit = max(limit, r.limit)
			}
		}
		if allowed := limitOver*limit*limitSpan.Seconds() + limitSlack; float64(n) > allowed {
			return fmt.Sprintf("%s named a limit of %v a second, and got %d requests in %v from instances that it had told; %.0f are allowed", endpoint, limit, n, limitSpan, allowed)
		}
	}
	return ""
}

// toldLimit reports whether a run's instance had passed an answer on that named the limit, and
// nothing befell it since.
func (b *Books) toldLimit(named []limitedRun, run arrival) bool {
	for _, r := range slices.Backward(named) {
		if r.request.Instance == run.request.Instance && !r.Ended.IsZero() && !r.Ended.Add(limitKnown).After(run.At) {
			return !b.excusedLimit(run.request.Instance, r.Ended, run.At)
		}
	}
	return false
}

// excusedLimit reports whether an instance was ended, paused or cut off in a time: what befalls the
// store, or is planned for all, is no excuse.
func (b *Books) excusedLimit(instance string, from, to time.Time) bool {
	for i := range b.Troubles {
		t := &b.Troubles[i]
		ofAll := t.Instance == "" && !t.Planned && !strings.HasPrefix(t.Kind, "store")
		if !t.Spares && t.Endpoint == "" && (ofAll || t.Instance == instance) && t.during(from, to) {
			return true
		}
	}
	return false
}
