package soak

// This file has instances of two regions speak over one thin link, and cuts it.
//
// Datagrams are told apart by pair. TCP is told apart by destination only, so that the instances
// of the south also reach each other as slowly as the north reaches them.

import (
	"time"

	"ivyridge/internal/link"
)

// The link between regions.
const (
	regionDelay = 12 * time.Millisecond // each way
	regionRate  = 250_000               // bytes a second, each way
	regionQueue = 400 * time.Millisecond
)

// A weathering says what befalls datagrams between two instances.
type weathering func(from, to *instance) link.Sky

// skies are what befalls datagrams: that of the link between regions, and of each fault.
type skies struct {
	north, south *link.Narrow // towards it
	faults       map[*strike]weathering
}

func newSkies() *skies {
	return &skies{
		north: link.NewNarrow(regionRate, regionQueue), south: link.NewNarrow(regionRate, regionQueue),
		faults: make(map[*strike]weathering),
	}
}

// between returns what befalls datagrams between two instances, by the harshest of all faults.
func (k *skies) between(from, to *instance) link.Sky {
	out := link.Sky{}
	if regionOf[from.dataCentre] != regionOf[to.dataCentre] {
		out.Delay, out.Through = regionDelay, k.north
		if regionOf[to.dataCentre] == south {
			out.Through = k.south
		}
	}
	for _, fault := range k.faults {
		s := fault(from, to)
		out.Cut = out.Cut || s.Cut
		out.Lose, out.Double, out.Late = max(out.Lose, s.Lose), max(out.Double, s.Double), max(out.Late, s.Late)
	}
	return out
}

// cloud adds what a fault does to datagrams; nil takes it back.
func (f *fleet) cloud(s *strike, w weathering) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w == nil {
		delete(f.skies.faults, s)
	} else {
		f.skies.faults[s] = w
	}
}

// sky returns what befalls datagrams between the instances of two names.
func (f *fleet) sky(from, to string) link.Sky {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, b := f.named(from), f.named(to)
	if a == nil || b == nil {
		return link.Sky{}
	}
	return f.skies.between(a, b)
}

// named returns the instance of a name; nil if there is none. The caller holds f.mu.
func (f *fleet) named(name string) *instance {
	for _, r := range f.instances {
		if r.name == name {
			return r
		}
	}
	return nil
}

// peersWeather is that of r's link to it from other instances while no fault holds.
func (r *instance) peersWeather() link.Weather {
	if regionOf[r.dataCentre] == south {
		return link.Weather{Delay: regionDelay, Rate: regionRate}
	}
	return link.Weather{}
}

// cutRegions has the regions lose each other, or the north hear nothing of the south. All
// instances are in touch with the store and with their own region: what is promised of them holds.
func (s *strike) cutRegions(kind string, both bool) {
	weather := link.Weather{Silent: both, SilentOut: true}
	var struck []*instance
	s.over(Trouble{Kind: kind, Spares: true}, func() {
		s.run.fleet.cloud(s, func(from, to *instance) link.Sky {
			a, b := regionOf[from.dataCentre], regionOf[to.dataCentre]
			return link.Sky{Cut: a != b && (both || a == south)}
		})
		for _, r := range s.run.fleet.live() {
			if regionOf[r.dataCentre] == south {
				struck = append(struck, r)
				r.peers.Set(weather)
			}
		}
	}, s.last+regionCutLeast, func() {
		s.run.fleet.cloud(s, nil)
		for _, r := range struck {
			r.peers.Set(r.peersWeather())
		}
	})
}

// regionCutLeast is longer than what schedulers of other regions are remembered for.
const regionCutLeast = 4 * time.Second
