package soak

// This file has several engines lost at once in the middle of their streams, again and again.

import (
	"time"

	"ivyridge/internal/link"
)

// Figures of engines that are lost together.
const (
	lossesMost = 4 // in a row
	lossGap    = 600 * time.Millisecond
	lossCut    = 400 // bytes of what comes back, some events of a stream
)

// loseEngines has half of the engines break off what runs there, a few times in a row. Many
// instances then want to repeat at once, which only a bound on all of them together holds.
func (s *strike) loseEngines() {
	engines := s.site.engines()
	s.rng.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	engines = engines[:len(engines)/2]
	from := time.Now()
	s.run.began(Trouble{Kind: "engines lost in the middle of streams"})
	for range 1 + s.rng.IntN(lossesMost) {
		for _, e := range engines {
			e.link.Set(link.Weather{Cut: lossCut})
			e.link.Reset()
		}
		s.run.wait(lossGap)
	}
	for _, e := range engines {
		e.link.Set(link.Weather{})
		s.site.trouble(Trouble{Kind: "engines lost in the middle of streams", Endpoint: e.server.ID, From: from, To: time.Now()})
	}
}

// engines returns the engines that are published.
func (s *site) engines() (out []*endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if !e.gone && e.server.Service == "llm" {
			out = append(out, e)
		}
	}
	return out
}
