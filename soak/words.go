package soak

// This file has endpoints ask for rest and say in answers that they leave, and checks that both
// are kept.

import (
	"fmt"
	"slices"
	"time"

	"ivyridge/platform/standin"
)

const (
	// restAsked is the rest that endpoints ask for: longer than most faults, so that it lasts on
	// after them.
	restAsked = 3 * time.Second
	// restUnderWay is for how long after the answer requests that were under way may arrive.
	restUnderWay = 500 * time.Millisecond
	// restLeft is how many requests may reach an endpoint in each rest all the same.
	restLeft = 2
)

// askForRest has an endpoint turn all requests away and ask for rest.
func (s *strike) askForRest() {
	s.behave("endpoint asks for rest", func(b *standin.Behaviour) { b.Shed, b.Rest = true, restAsked })
}

// allAskForRest has all endpoints of a service do so.
func (s *strike) allAskForRest() {
	e := s.site.sound(s.rng, 0)
	if e == nil {
		return
	}
	service := e.server.Service
	b := behaviour[service]
	b.Shed, b.Rest = true, restAsked
	const kind = "all endpoints of a service ask for rest"
	all := s.site.of(service)
	s.over(Trouble{Kind: kind, Endpoint: e.server.ID}, func() {
		for _, e := range all {
			e.server.Behave(b)
		}
	}, s.last, func() {
		for _, e := range all {
			e.server.Behave(behaviour[service])
		}
		s.run.wait(restAsked)
	})
}

// of returns the endpoints of a service that are published.
func (s *site) of(service string) (out []*endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if !e.gone && e.server.Service == service {
			out = append(out, e)
		}
	}
	return out
}

// leaveByAnswers has an endpoint say that it leaves in its answers alone, before its entry goes.
func (s *strike) leaveByAnswers() {
	e := s.successor()
	if e == nil {
		return
	}
	b := behaviour[e.server.Service]
	b.Leaves = true
	s.site.setAside(e)
	s.over(Trouble{Kind: "endpoint leaves, as its answers say", Endpoint: e.server.ID}, func() { e.server.Behave(b) }, 2*drainFor, func() {})
	s.site.withdraw(e)
	s.run.wait(drainFor)
}

// setAside keeps an endpoint from other faults.
func (s *site) setAside(e *endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.gone = true
}

// A pair is an endpoint and an instance that sends to it.
type pair struct{ endpoint, instance string }

// An arrival is a run with the request that it is of.
type arrival struct {
	Run
	request *Request
}

// byPair returns what endpoints got from each instance, in the order of arrival.
func (b *Books) byPair() map[pair][]arrival {
	out := make(map[pair][]arrival)
	b.each(func(q *Request) {
		for _, r := range b.Runs[q.ID] {
			p := pair{r.Endpoint, q.Instance}
			out[p] = append(out[p], arrival{r, q})
		}
	})
	for _, all := range out {
		slices.SortFunc(all, func(x, y arrival) int { return x.At.Compare(y.At) })
	}
	return out
}

// rested: an endpoint that asked an instance for rest gets it.
func (b *Books) rested() (out []string) {
	for p, runs := range b.byPair() {
		for _, asked := range runs {
			from, to := asked.Ended.Add(restUnderWay), asked.Ended.Add(asked.Rest)
			if asked.Rest == 0 || b.struck(p.instance, asked.Ended, to) {
				continue
			}
			n := 0
			for _, r := range runs {
				if r.At.After(from) && r.At.Before(to) {
					n++
				}
			}
			if n > restLeft {
				out = append(out, fmt.Sprintf("%s asked %s for %s of rest, and got %d requests in it", p.endpoint, p.instance, asked.Rest, n))
			}
		}
	}
	return out
}

// struck reports whether something befell an instance in a time; what befell before does not
// count.
func (b *Books) struck(instance string, from, to time.Time) bool {
	for i := range b.Troubles {
		t := &b.Troubles[i]
		if !t.Spares && t.Endpoint == "" && (t.Instance == "" || t.Instance == instance) && t.during(from, to) {
			return true
		}
	}
	return false
}

// leftByAnswers: an endpoint that said in an answer that it leaves gets nothing that callers send
// later, from the instance that passed the answer on, in touch or not.
func (b *Books) leftByAnswers() (out []string) {
	for p, runs := range b.byPair() {
		var said time.Time
		for _, r := range runs {
			late := !said.IsZero() && r.request.Sent.After(said.Add(b.Bounds.Drain))
			if late && !b.struck(p.instance, said, r.At) {
				out = append(out, fmt.Sprintf("%s: reached %s from %s %v after it had said in an answer that it leaves", r.request.ID, p.endpoint, p.instance, r.At.Sub(said).Round(time.Millisecond)))
			}
			if said.IsZero() && r.Leaves {
				said = r.Ended
			}
		}
	}
	return out
}
