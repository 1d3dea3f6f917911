package soak

// This file empties data centres and starts cold endpoints, and checks what they get.

import (
	"fmt"
	"slices"
	"time"
)

// Figures of cold endpoints. The rate is below what an endpoint gets otherwise, so that a
// run shows whether it is kept.
const (
	coldFor  = 3 * time.Second
	coldRate = 4.0 // requests a second
)

// An Evacuation is a data centre that operators had emptied for a while.
type Evacuation struct {
	DataCentre string
	Acked      time.Time
	Over       time.Time // when its end was sent; zero: it is not over
}

// A Cold is a time in which an endpoint was cold.
type Cold struct {
	Endpoint string
	From, To time.Time
}

// evacuate has a data centre emptied for a while; its endpoints are cold at the end.
func (s *strike) evacuate() {
	at := dataCentres[s.rng.IntN(len(dataCentres))]
	t := Trouble{Kind: "data centre evacuated", Planned: true, Spares: true}
	s.over(t, func() { s.site.evacuate(at) }, promised.Evacuate+s.last, func() { s.site.endEvacuation(at) })
}

// evacuate asks for a data centre to be emptied.
func (s *site) evacuate(dataCentre string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Evacuate(dataCentre)
	s.books.Evacuations = append(s.books.Evacuations, Evacuation{DataCentre: dataCentre, Acked: time.Now()})
}

// endEvacuation takes that back, and has the endpoints there cold from then on.
func (s *site) endEvacuation(dataCentre string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for i := range s.books.Evacuations {
		if e := &s.books.Evacuations[i]; e.DataCentre == dataCentre && e.Over.IsZero() {
			e.Over = now
		}
	}
	s.store.EndEvacuation(dataCentre)
	for _, e := range s.endpoints {
		if e.server.DataCentre == dataCentre && !e.gone {
			s.cool(e, now)
		}
	}
}

// cool books that an endpoint is cold from an instant on, and has it say so. The caller holds
// s.mu.
func (s *site) cool(e *endpoint, from time.Time) {
	s.books.Colds = append(s.books.Colds, Cold{Endpoint: e.server.ID, From: from, To: from.Add(coldFor)})
	entry := e.entry(false)
	entry.ColdLeft = coldFor
	s.store.List(entry)
}

// addCold starts an endpoint that is cold.
func (s *strike) addCold() {
	e := s.site.sound(s.rng, 0)
	if e == nil {
		return
	}
	s.once("endpoint added cold", func() {
		if _, err := s.site.addColdEndpoint(e.server.Service, e.server.DataCentre); err != nil {
			s.run.note(err.Error())
		}
	})
}

// evacuated: a data centre that is emptied gets nothing new.
func (b *Books) evacuated() (out []string) {
	b.each(func(q *Request) {
		for _, r := range b.Runs[q.ID] {
			for _, e := range b.Evacuations {
				late := r.DataCentre == e.DataCentre && r.At.After(e.Acked.Add(b.Bounds.Evacuate)) && (e.Over.IsZero() || r.At.Before(e.Over))
				if late && r.Ran && b.inTouch(q.Instance, q.Sent, r.At) {
					out = append(out, fmt.Sprintf("%s: reached %s in %s %v after that was to be emptied", q.ID, r.Endpoint, e.DataCentre, r.At.Sub(e.Acked).Round(time.Millisecond)))
				}
			}
		}
	})
	return out
}

// spared: no second brings a cold endpoint more than it bears, from all instances together,
// in touch or not.
func (b *Books) spared() (out []string) {
	arrived := make(map[string][]time.Time)
	for _, runs := range b.Runs {
		for _, r := range runs {
			arrived[r.Endpoint] = append(arrived[r.Endpoint], r.At)
		}
	}
	most := b.Bounds.ColdOver*coldRate + b.Bounds.ColdSlack
	for _, c := range b.Colds {
		times := slices.DeleteFunc(slices.Clone(arrived[c.Endpoint]), func(at time.Time) bool { return at.Before(c.From) || at.After(c.To) })
		if n, at := busiestSecond(times); float64(n) > most {
			out = append(out, fmt.Sprintf("%s got %d requests in the second from %v after it was cold, %.1f are allowed", c.Endpoint, n, at.Sub(c.From).Round(time.Millisecond), most))
		}
	}
	return out
}

// busiestSecond returns the most instants that lie within a second, and the first of them.
func busiestSecond(times []time.Time) (most int, at time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, t := range times {
		for t.Sub(times[first]) >= time.Second {
			first++
		}
		if n := i - first + 1; n > most {
			most, at = n, times[first]
		}
	}
	return most, at
}
