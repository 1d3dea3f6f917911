package soak

import (
	"fmt"
	"slices"
	"time"
)

const (
	coldPeriod = 3 * time.Second
	coldRate   = 4.0 // requests per second; below an endpoint's usual load, so that violations show
)

// An Evacuation is a period in which a data centre must receive no new requests.
type Evacuation struct {
	DataCentre string
	Acked      time.Time
	Over       time.Time // when its end was ordered; zero if it is in force
}

// A ColdPeriod is a period in which an endpoint was cold.
type ColdPeriod struct {
	Endpoint string
	From, To time.Time
}

// evacuate evacuates a random data centre temporarily. Its endpoints are cold afterwards.
func (s *injection) evacuate() {
	dataCentre := dataCentres[s.rng.IntN(len(dataCentres))]
	f := Fault{Kind: "data centre evacuated", Planned: true, KeepsContact: true}
	s.apply(f, func() { s.site.evacuate(dataCentre) }, deploymentBounds.Evacuate+s.duration, func() { s.site.endEvacuation(dataCentre) })
}

func (s *site) evacuate(dataCentre string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Evacuate(dataCentre)
	s.record.Evacuations = append(s.record.Evacuations, Evacuation{DataCentre: dataCentre, Acked: time.Now()})
}

func (s *site) endEvacuation(dataCentre string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for i := range s.record.Evacuations {
		if e := &s.record.Evacuations[i]; e.DataCentre == dataCentre && e.Over.IsZero() {
			e.Over = now
		}
	}
	s.store.EndEvacuation(dataCentre)
	for _, e := range s.endpoints {
		if e.server.DataCentre == dataCentre && !e.withdrawn {
			s.markCold(e, now)
		}
	}
}

// markCold publishes e as cold and records a ColdPeriod that starts at from. The caller holds s.mu.
func (s *site) markCold(e *endpoint, from time.Time) {
	s.record.ColdPeriods = append(s.record.ColdPeriods, ColdPeriod{Endpoint: e.server.ID, From: from, To: from.Add(coldPeriod)})
	entry := e.registryEntry(false)
	entry.ColdLeft = coldPeriod
	s.store.List(entry)
}

func (s *injection) addCold() {
	e := s.site.randomEndpoint(s.rng, 0)
	if e == nil {
		return
	}
	s.instant("endpoint added cold", func() {
		if _, err := s.site.addColdEndpoint(e.server.Service, e.server.DataCentre); err != nil {
			s.run.note(err.Error())
		}
	})
}

// checkEvac: an evacuated data centre receives no new requests after Bounds.Evacuate.
func (b *Record) checkEvac() (out []string) {
	b.each(func(q *Request) {
		for _, r := range b.Deliveries[q.ID] {
			for _, e := range b.Evacuations {
				late := r.DataCentre == e.DataCentre && r.At.After(e.Acked.Add(b.Bounds.Evacuate)) && (e.Over.IsZero() || r.At.Before(e.Over))
				if late && r.Ran && b.inContact(q.Instance, q.Sent, r.At) {
					out = append(out, fmt.Sprintf("%s: reached endpoint %s in %s %v after its evacuation was ordered", q.ID, r.Endpoint, e.DataCentre, r.At.Sub(e.Acked).Round(time.Millisecond)))
				}
			}
		}
	})
	return out
}

// checkFailback: in no second does a cold endpoint receive more than its rate and Bounds allow.
func (b *Record) checkFailback() (out []string) {
	arrived := make(map[string][]time.Time)
	for _, deliveries := range b.Deliveries {
		for _, r := range deliveries {
			arrived[r.Endpoint] = append(arrived[r.Endpoint], r.At)
		}
	}
	limit := b.Bounds.ColdOver*coldRate + b.Bounds.ColdSlack
	for _, c := range b.ColdPeriods {
		times := slices.DeleteFunc(slices.Clone(arrived[c.Endpoint]), func(at time.Time) bool { return at.Before(c.From) || at.After(c.To) })
		if n, start := busiestSecond(times); float64(n) > limit {
			out = append(out, fmt.Sprintf("endpoint %s received %d requests in the second that starts %v after it became cold, %.1f allowed", c.Endpoint, n, start.Sub(c.From).Round(time.Millisecond), limit))
		}
	}
	return out
}

// busiestSecond returns the largest number of times within one second, and the first of them.
func busiestSecond(times []time.Time) (count int, at time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, t := range times {
		for t.Sub(times[first]) >= time.Second {
			first++
		}
		if n := i - first + 1; n > count {
			count, at = n, times[first]
		}
	}
	return count, at
}
