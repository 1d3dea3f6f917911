package balance

// This file accounts for plain endpoints that report being slow, for example because they share
// their machine. Engines are not covered, since samples of their speed include the effect.
//
// A reported value is already old when it arrives, so its weight halves every slownessHalfLife. It
// scales the endpoint's load instead of excluding the endpoint, which prevents instances with the
// same report from oscillating: as requests move away, the endpoint becomes cheaper.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	slownessHalfLife = 250 * time.Millisecond
	// Bounds of a reported slowness. Values beyond them are errors, or the endpoint is as good as
	// down.
	minSlowness = 0.25
	maxSlowness = 20.0
)

// ReportedLoad is the load that an endpoint reports in its response headers.
type ReportedLoad struct {
	Running, Waiting, Slots int
	Slowness                float64 // duration of work relative to normal; zero: not reported
}

// A slowness is the last value that an endpoint reported to this instance.
type slowness struct {
	ratio float64 // zero: none
	at    time.Time
}

// valueAt returns the expected duration of work at the endpoint relative to normal.
func (s *slowness) valueAt(now time.Time) float64 {
	if s.ratio == 0 {
		return 1
	}
	age := max(0, now.Sub(s.at))
	return 1 + (s.ratio-1)*math.Exp2(-float64(age)/float64(slownessHalfLife))
}

// RecordLoad records the load reported in the endpoint's response headers.
func (p *Placement) RecordLoad(load ReportedLoad) {
	if load.Slowness <= 0 {
		return
	}
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	p.load.slowness = slowness{ratio: min(max(load.Slowness, minSlowness), maxSlowness), at: b.now()}
}

// A SlowEndpoint is an endpoint that reported being slower than normal.
type SlowEndpoint struct {
	Endpoint string  // ID
	Slowness float64 // as reported
	Age      time.Duration
}

// SlowEndpoints lists values up to slownessShownFor old and of at least minShownSlowness.
const (
	slownessShownFor = 10 * time.Second
	minShownSlowness = 1.2
)

// SlowEndpoints returns the endpoints that recently reported being slow, slowest first.
func (b *Balancer) SlowEndpoints() []SlowEndpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var out []SlowEndpoint
	for _, l := range b.loads {
		if age := now.Sub(l.slowness.at); l.slowness.ratio >= minShownSlowness && age < slownessShownFor {
			out = append(out, SlowEndpoint{Endpoint: l.endpointID, Slowness: l.slowness.ratio, Age: age})
		}
	}
	slices.SortFunc(out, func(x, y SlowEndpoint) int {
		return cmp.Or(cmp.Compare(y.Slowness, x.Slowness), cmp.Compare(x.Endpoint, y.Endpoint))
	})
	return out
}
