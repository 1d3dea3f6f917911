package soak

// This file has endpoints ask for rest and announce their leaving in responses, and checks that
// instances honour both.

import (
	"fmt"
	"slices"
	"time"

	"ivyridge/platform/standin"
)

const (
	// restRequested is the rest that endpoints ask for. It is longer than most faults, so that it
	// continues after them.
	restRequested = 3 * time.Second
	// restInFlightGrace is how long after the response requests in flight may still arrive.
	restInFlightGrace = 500 * time.Millisecond
	// restTolerance is how many later requests an endpoint may receive in each rest.
	restTolerance = 2
)

// askForRest has an endpoint reject all requests and ask for rest.
func (s *injection) askForRest() {
	s.changeBehaviour("endpoint asks for rest", func(b *standin.Behaviour) { b.Shed, b.RetryAfter = true, restRequested })
}

// allAskForRest has all endpoints of a service reject all requests and ask for rest.
func (s *injection) allAskForRest() {
	e := s.site.randomEndpoint(s.rng, 0)
	if e == nil {
		return
	}
	service := e.server.Service
	b := normalBehaviour[service]
	b.Shed, b.RetryAfter = true, restRequested
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
		s.run.wait(restRequested)
	})
}

// endpointsOf returns the published endpoints of a service.
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

// leaveByAnswers has an endpoint announce in its responses alone that it leaves, before its entry
// is withdrawn.
func (s *injection) leaveByAnswers() {
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

// excludeFromFaults makes an endpoint unavailable to other faults.
func (s *site) excludeFromFaults(e *endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.withdrawn = true
}

// A pair is an endpoint and an instance that sends to it.
type pair struct{ endpoint, instance string }

// An arrival is a run together with its request.
type arrival struct {
	Delivery
	request *Request
}

// runsByPair returns what endpoints received from each instance, in order of arrival.
func (b *Record) runsByPair() map[pair][]arrival {
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

// checkRest: an instance that was asked for rest sends the endpoint no requests for that time.
func (b *Record) checkRest() (out []string) {
	for p, runs := range b.runsByPair() {
		for _, asked := range runs {
			from, to := asked.Ended.Add(restInFlightGrace), asked.Ended.Add(asked.RetryAfter)
			if asked.RetryAfter == 0 || b.instanceFaulted(p.instance, asked.Ended, to) {
				continue
			}
			n := 0
			for _, r := range runs {
				if r.At.After(from) && r.At.Before(to) {
					n++
				}
			}
			if n > restTolerance {
				out = append(out, fmt.Sprintf("endpoint %s asked %s for %s of rest, and received %d requests within it", p.endpoint, p.instance, asked.RetryAfter, n))
			}
		}
	}
	return out
}

// instanceFaulted reports whether a fault took an instance out of contact between from and to.
// Unlike inContact, it ignores earlier faults.
func (b *Record) instanceFaulted(instance string, from, to time.Time) bool {
	for i := range b.Faults {
		t := &b.Faults[i]
		if !t.KeepsContact && t.Endpoint == "" && (t.Instance == "" || t.Instance == instance) && t.during(from, to) {
			return true
		}
	}
	return false
}

// checkLeaving: an endpoint that announced in a response that it leaves receives no requests sent
// after Bounds.Drain from the instance that got the response, whether in contact or not.
func (b *Record) checkLeaving() (out []string) {
	for p, runs := range b.runsByPair() {
		var said time.Time
		for _, r := range runs {
			late := !said.IsZero() && r.request.Sent.After(said.Add(b.Bounds.Drain))
			if late && !b.instanceFaulted(p.instance, said, r.At) {
				out = append(out, fmt.Sprintf("%s: reached endpoint %s from %s %v after it announced in a response that it leaves", r.request.ID, p.endpoint, p.instance, r.At.Sub(said).Round(time.Millisecond)))
			}
			if said.IsZero() && r.Draining {
				said = r.Ended
			}
		}
	}
	return out
}
