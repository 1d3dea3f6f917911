package soak

import (
	"time"

	"ivyridge/internal/link"
)

const (
	maxLosses    = 4 // in succession
	lossInterval = 600 * time.Millisecond
	lossCutBytes = 400 // response bytes per connection before the cut, a few events of a stream
)

// cutEngines repeatedly cuts the connections of half of the engines. Many instances then retry at
// once, and only a retry limit that they share bounds the retries.
func (s *injection) cutEngines() {
	engines := s.site.engines()
	s.rng.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	engines = engines[:len(engines)/2]
	from := time.Now()
	s.run.logFault(Fault{Kind: "engines lost in the middle of streams"})
	for range 1 + s.rng.IntN(maxLosses) {
		for _, e := range engines {
			e.link.Set(link.Conditions{ResetAfter: lossCutBytes})
			e.link.Reset()
		}
		s.run.wait(lossInterval)
	}
	for _, e := range engines {
		e.link.Set(link.Conditions{})
		s.site.recordFault(Fault{Kind: "engines lost in the middle of streams", Endpoint: e.server.ID, From: from, To: time.Now()})
	}
}

func (s *site) engines() (out []*endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if !e.withdrawn && e.server.Service == "llm" {
			out = append(out, e)
		}
	}
	return out
}
