package balance

// This file weighs how slow plain endpoints say that they are at this moment, as machines that
// they share with others give them less time.
//
// The word is old on arrival and soon wrong, so that its weight halves with its age and nothing has
// to take it back. It lengthens the work that already runs at the endpoint rather than closing it:
// the more leave it, the cheaper it is, and instances that heard the same do not leave and return
// together. Engines are not weighed by it: their speed is learned from their own samples, which
// hold the same cause.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// slownessHalfLife is the age at which a told slowness counts half.
	slownessHalfLife = 250 * time.Millisecond
	// The bounds of a slowness: beyond them it is a slip, or the endpoint is as good as down.
	slownessLeast = 0.25
	slownessMost  = 20.0
)

// A ToldLoad is the load that an endpoint names in the head of an answer.
type ToldLoad struct {
	Running, Waiting, Slots int
	Slowness                float64 // how long work takes there beside the usual time; 1: as usual; zero: not told
}

// A slowness is the last that an endpoint told this instance.
type slowness struct {
	ratio float64 // zero: none
	at    time.Time
}

// of returns how long work at the endpoint is thought to take beside the usual.
func (s *slowness) of(now time.Time) float64 {
	if s.ratio == 0 {
		return 1
	}
	age := max(0, now.Sub(s.at))
	return 1 + (s.ratio-1)*math.Exp2(-float64(age)/float64(slownessHalfLife))
}

// Tells takes up the load that the endpoint's answer names.
func (p *Placement) Tells(load ToldLoad) {
	if load.Slowness <= 0 {
		return
	}
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	p.load.slowness = slowness{ratio: min(max(load.Slowness, slownessLeast), slownessMost), at: b.now()}
}

// A SlowEndpoint told this instance that work takes longer there than usual.
type SlowEndpoint struct {
	Endpoint string  // its ID
	Slowness float64 // as told
	Age      time.Duration
}

// slowShown is for how long a told slowness is shown, and slowLeast the least that is.
const (
	slowShown = 10 * time.Second
	slowLeast = 1.2
)

// Slow returns the endpoints that told this instance of late that they are slow, the slowest first.
func (b *Balancer) Slow() []SlowEndpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var out []SlowEndpoint
	for _, l := range b.endpoints {
		if age := now.Sub(l.slowness.at); l.slowness.ratio >= slowLeast && age < slowShown {
			out = append(out, SlowEndpoint{Endpoint: l.endpoint, Slowness: l.slowness.ratio, Age: age})
		}
	}
	slices.SortFunc(out, func(x, y SlowEndpoint) int {
		return cmp.Or(cmp.Compare(y.Slowness, x.Slowness), cmp.Compare(x.Endpoint, y.Endpoint))
	})
	return out
}
