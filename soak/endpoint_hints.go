package soak

import (
	"fmt"
	"slices"
	"time"

	"ivyridge/platform/standin"
)

const (
	retryAfter          = 3 * time.Second        // longer than most faults, so that it is in force after them
	retryAfterGrace     = 500 * time.Millisecond // after the rejection, for requests already in flight
	retryAfterTolerance = 2                      // requests that may arrive within each Retry-After
)

func (s *injection) rejectWithRetryAfter() {
	s.changeBehaviour("endpoint asks for rest", func(b *standin.Behaviour) { b.Shed, b.RetryAfter = true, retryAfter })
}

// rejectAllWithRetryAfter has all endpoints of a random service reject requests with Retry-After.
func (s *injection) rejectAllWithRetryAfter() {
	e := s.site.randomEndpoint(s.rng, 0)
	if e == nil {
		return
	}
	service := e.server.Service
	b := normalBehaviour[service]
	b.Shed, b.RetryAfter = true, retryAfter
	const kind = "all endpoints of a service ask for rest"
	all := s.site.endpointsOf(service)
	s.apply(Fault{Kind: kind, Endpoint: e.server.ID}, func() {
		for _, e := range all {
			e.server.SetBehaviour(b)
		}
	}, s.duration, func() {
		for _, e := range all {
			e.server.SetBehaviour(normalBehaviour[service])
		}
		s.run.wait(retryAfter)
	})
}

func (s *site) endpointsOf(service string) (out []*endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if !e.withdrawn && e.server.Service == service {
			out = append(out, e)
		}
	}
	return out
}

// announceLeavingInResponses has an endpoint announce its leaving in responses, not in its entry.
func (s *injection) announceLeavingInResponses() {
	e := s.replaceEndpoint()
	if e == nil {
		return
	}
	b := normalBehaviour[e.server.Service]
	b.Draining = true
	s.site.excludeFromFaults(e)
	s.apply(Fault{Kind: "endpoint leaves, as its answers say", Endpoint: e.server.ID}, func() { e.server.SetBehaviour(b) }, 2*drainPeriod, func() {})
	s.site.withdraw(e)
	s.run.wait(drainPeriod)
}

func (s *site) excludeFromFaults(e *endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.withdrawn = true
}

// A pair is an endpoint and an instance that sends to it.
type pair struct{ endpoint, instance string }

// An arrival is a delivery with its request.
type arrival struct {
	Delivery
	request *Request
}

// deliveriesByPair returns the deliveries from each instance to each endpoint, in order of arrival.
func (b *Record) deliveriesByPair() map[pair][]arrival {
	out := make(map[pair][]arrival)
	b.each(func(q *Request) {
		for _, r := range b.Deliveries[q.ID] {
			p := pair{r.Endpoint, q.Instance}
			out[p] = append(out[p], arrival{r, q})
		}
	})
	for _, all := range out {
		slices.SortFunc(all, func(x, y arrival) int { return x.At.Compare(y.At) })
	}
	return out
}

// checkRest: an instance sends an endpoint no requests within the Retry-After of a rejection.
func (b *Record) checkRest() (out []string) {
	for p, deliveries := range b.deliveriesByPair() {
		for _, rejected := range deliveries {
			from, to := rejected.Ended.Add(retryAfterGrace), rejected.Ended.Add(rejected.RetryAfter)
			if rejected.RetryAfter == 0 || b.instanceFaulted(p.instance, rejected.Ended, to) {
				continue
			}
			n := 0
			for _, r := range deliveries {
				if r.At.After(from) && r.At.Before(to) {
					n++
				}
			}
			if n > retryAfterTolerance {
				out = append(out, fmt.Sprintf("endpoint %s sent %s a Retry-After of %s, and received %d requests within it", p.endpoint, p.instance, rejected.RetryAfter, n))
			}
		}
	}
	return out
}

// instanceFaulted reports whether a fault took an instance out of contact between from and to.
// Unlike inContact, it ignores earlier faults.
func (b *Record) instanceFaulted(instance string, from, to time.Time) bool {
	for i := range b.Faults {
		f := &b.Faults[i]
		if !f.KeepsContact && f.Endpoint == "" && (f.Instance == "" || f.Instance == instance) && f.during(from, to) {
			return true
		}
	}
	return false
}

// checkLeaving: an instance sends an endpoint no requests later than Bounds.Drain after a response
// that announced its leaving. The instance need not be in contact.
func (b *Record) checkLeaving() (out []string) {
	for p, deliveries := range b.deliveriesByPair() {
		var announcedAt time.Time
		for _, r := range deliveries {
			late := !announcedAt.IsZero() && r.request.Sent.After(announcedAt.Add(b.Bounds.Drain))
			if late && !b.instanceFaulted(p.instance, announcedAt, r.At) {
				out = append(out, fmt.Sprintf("%s: reached endpoint %s from %s %v after it announced in a response that it leaves", r.request.ID, p.endpoint, p.instance, r.At.Sub(announcedAt).Round(time.Millisecond)))
			}
			if announcedAt.IsZero() && r.Draining {
				announcedAt = r.Ended
			}
		}
	}
	return out
}
