package soak

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	limitWindow     = 4 * time.Second        // in which an endpoint's requests are counted
	limitOver       = 1.5                    // factor on the limit that a window may reach
	limitSlack      = 5                      // requests allowed in a window in addition to limitOver times the limit
	limitKnownDelay = 500 * time.Millisecond // from a response that announces a limit until the instance that forwarded it must obey
	limitsDuration  = 10 * time.Second       // of announcements; covers several windows
)

// Announced limits, in requests per second.
var (
	limits        = []string{"0", "0.5", "1.2", "6", "40"}
	invalidLimits = []string{"-3", "NaN", "many", "+Inf", "1e999"}
)

func (s *injection) announceLimit() { s.announceLimits("endpoint names its limit", limits, limits, 1) }

func (s *injection) announceAllLimits() {
	s.announceLimits("all endpoints of a service name limits", limits[3:], limits[1:], math.MaxInt)
}

func (s *injection) announceInvalidLimits() {
	s.announceLimits("endpoint names odd limits", invalidLimits, invalidLimits, 1)
}

// announceLimits has a random endpoint, or all endpoints of its service if maxEndpoints is above 1,
// announce a limit out of first, and later one out of second.
func (s *injection) announceLimits(kind string, first, second []string, maxEndpoints int) {
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

// A limitedDelivery is a delivery whose response announced a limit.
type limitedDelivery struct {
	arrival
	limit float64
}

// checkLimit: the instances that know an endpoint's limit do not exceed it in total.
func (b *Record) checkLimit() (out []string) {
	byEndpoint := make(map[string][]arrival)
	for p, deliveries := range b.deliveriesByPair() {
		byEndpoint[p.endpoint] = append(byEndpoint[p.endpoint], deliveries...)
	}
	for endpoint, deliveries := range byEndpoint {
		slices.SortFunc(deliveries, func(x, y arrival) int { return x.At.Compare(y.At) })
		for _, announced := range limitSequences(deliveries) {
			if what := b.limitExceeded(endpoint, announced); what != "" {
				out = append(out, what)
			}
		}
	}
	return out
}

// limitSequences splits deliveries into sequences in which every response announced a valid limit.
func limitSequences(deliveries []arrival) (out [][]limitedDelivery) {
	var announced []limitedDelivery
	for _, r := range deliveries {
		limit, err := strconv.ParseFloat(r.Limit, 64)
		if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
			out, announced = append(out, announced), nil
			continue
		}
		announced = append(announced, limitedDelivery{r, limit})
	}
	return append(out, announced)
}

// limitExceeded describes the first window with too many requests, if any. The limit that applies is
// the highest one announced from Bounds.Contact before the start of the window until its end.
func (b *Record) limitExceeded(endpoint string, announced []limitedDelivery) string {
	counted := slices.DeleteFunc(slices.Clone(announced), func(r limitedDelivery) bool { return !b.knewLimit(announced, r.arrival) })
	for i, first := range counted {
		n, limit := 0, 0.0
		for _, r := range counted[i:] {
			if r.At.Sub(first.At) < limitWindow {
				n++
			}
		}
		for _, r := range announced {
			if r.At.After(first.At.Add(-b.Bounds.Contact)) && r.At.Before(first.At.Add(limitWindow)) {
				limit = max(limit, r.limit)
			}
		}
		if allowed := limitOver*limit*limitWindow.Seconds() + limitSlack; float64(n) > allowed {
			return fmt.Sprintf("endpoint %s announced a limit of %v requests/s, and received %d requests in %v from instances that knew it; %.0f allowed", endpoint, limit, n, limitWindow, allowed)
		}
	}
	return ""
}

// knewLimit reports whether a delivery's instance had forwarded a response with a limit at least
// limitKnownDelay earlier, and no fault has affected it since.
func (b *Record) knewLimit(announced []limitedDelivery, delivery arrival) bool {
	for _, r := range slices.Backward(announced) {
		if r.request.Instance == delivery.request.Instance && !r.Ended.IsZero() && !r.Ended.Add(limitKnownDelay).After(delivery.At) {
			return !b.limitExcused(delivery.request.Instance, r.Ended, delivery.At)
		}
	}
	return false
}

// limitExcused reports whether an instance was stopped, paused or cut off between from and to.
// Faults of the store and planned operations on all instances do not count.
func (b *Record) limitExcused(instance string, from, to time.Time) bool {
	for i := range b.Faults {
		f := &b.Faults[i]
		ofAll := f.Instance == "" && !f.Planned && !strings.HasPrefix(f.Kind, "store")
		if !f.KeepsContact && f.Endpoint == "" && (ofAll || f.Instance == instance) && f.during(from, to) {
			return true
		}
	}
	return false
}
