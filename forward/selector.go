package forward

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ivyridge/balance"
)

// Back-off from an instance that could not be reached, or that could not serve a service. It doubles
// up to maxBackoff.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// distanceCost is the number of requests in progress at a near peer that outweighs the distance of
// another one.
var distanceCost = [...]int{balance.SameDataCentre: 0, balance.SameRegion: 1, balance.OtherRegion: 32}

// A Peer is an instance that requests can be forwarded to.
type Peer struct {
	Address  string // IP:port of its listener for peers
	ID       uint64 // of its process
	Distance balance.Distance
	// KnowsSoftware reports whether its build keeps streams at their software version.
	KnowsSoftware bool
}

// A Selector chooses the peers that requests are forwarded to. It is safe for concurrent use.
type Selector struct {
	mu       sync.Mutex
	running  map[uint64]int // forwarded requests in progress, by peer ID
	backoffs map[backoffKey]*backoff
}

// A backoffKey is a peer and a service that it can't serve, or no service if it can't be reached.
type backoffKey struct {
	peer    uint64
	service string
}

type backoff struct {
	until    time.Time
	duration time.Duration
}

// NewSelector returns a Selector.
func NewSelector() *Selector {
	return &Selector{running: make(map[uint64]int), backoffs: make(map[backoffKey]*backoff)}
}

// Acquire chooses the candidate with the fewest requests of this instance in progress, preferably a
// near one, among those that may serve a service and are not in tried. It returns nil if there is
// none. The caller must call Release.
func (s *Selector) Acquire(now time.Time, service string, candidates []Peer, tried []uint64) *Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *Peer
	equal := 0
	for i := range candidates {
		p := &candidates[i]
		if slices.Contains(tried, p.ID) || s.backingOff(now, p.ID, "") || s.backingOff(now, p.ID, service) {
			continue
		}
		switch {
		case best == nil || s.cost(p) < s.cost(best):
			best, equal = p, 1
		case s.cost(p) == s.cost(best):
			if equal++; rand.IntN(equal) == 0 {
				best = p
			}
		}
	}
	if best != nil {
		s.running[best.ID]++
	}
	return best
}

func (s *Selector) cost(p *Peer) int { return s.running[p.ID] + distanceCost[p.Distance] }

func (s *Selector) backingOff(now time.Time, peer uint64, service string) bool {
	b := s.backoffs[backoffKey{peer, service}]
	return b != nil && now.Before(b.until)
}

// Release ends a request at a peer.
func (s *Selector) Release(p *Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[p.ID]--; s.running[p.ID] <= 0 {
		delete(s.running, p.ID)
	}
}

// RecordUnreachable excludes a peer for a while.
func (s *Selector) RecordUnreachable(now time.Time, p *Peer) { s.backOff(now, backoffKey{p.ID, ""}) }

// RecordUnable excludes a peer for a service for a while.
func (s *Selector) RecordUnable(now time.Time, p *Peer, service string) {
	s.backOff(now, backoffKey{p.ID, service})
}

// RecordAble ends the back-off of a peer, which has had an endpoint run a request for a service.
func (s *Selector) RecordAble(p *Peer, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.backoffs, backoffKey{p.ID, ""})
	delete(s.backoffs, backoffKey{p.ID, service})
}

func (s *Selector) backOff(now time.Time, key backoffKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(now)
	b := s.backoffs[key]
	if b == nil {
		b = new(backoff)
		s.backoffs[key] = b
	}
	if now.Before(b.until) {
		return // a concurrent request has extended it already
	}
	b.duration = min(max(2*b.duration, minBackoff), maxBackoff)
	b.until = now.Add(b.duration)
}

// prune drops back-offs that ended long ago, as of instances that are gone. The caller holds s.mu.
func (s *Selector) prune(now time.Time) {
	for key, b := range s.backoffs {
		if now.Sub(b.until) > maxBackoff {
			delete(s.backoffs, key)
		}
	}
}
