package soak

import (
	"time"

	"ivyridge/internal/link"
)

// Conditions of the link between regions. TCP connections are classified by destination only, so
// they also apply between instances of the south.
const (
	regionDelay      = 12 * time.Millisecond // each way
	regionRate       = 250_000               // bytes per second, each way
	regionQueueDelay = 400 * time.Millisecond
)

// A datagramFault returns the conditions of datagrams between two instances during a fault.
type datagramFault func(from, to *instance) link.DatagramConditions

// datagramFaults combines the link between regions with the active datagram faults.
type datagramFaults struct {
	north, south *link.Bottleneck // towards that region
	faults       map[*injection]datagramFault
}

func newDatagramFaults() *datagramFaults {
	return &datagramFaults{
		north: link.NewBottleneck(regionRate, regionQueueDelay), south: link.NewBottleneck(regionRate, regionQueueDelay),
		faults: make(map[*injection]datagramFault),
	}
}

// between combines the link between regions with the worst values of the active faults.
func (d *datagramFaults) between(from, to *instance) link.DatagramConditions {
	out := link.DatagramConditions{}
	if regionOf[from.dataCentre] != regionOf[to.dataCentre] {
		out.Delay, out.Bottleneck = regionDelay, d.north
		if regionOf[to.dataCentre] == south {
			out.Bottleneck = d.south
		}
	}
	for _, fault := range d.faults {
		c := fault(from, to)
		out.Cut = out.Cut || c.Cut
		out.Loss, out.Duplicate, out.Jitter = max(out.Loss, c.Loss), max(out.Duplicate, c.Duplicate), max(out.Jitter, c.Jitter)
	}
	return out
}

// setDatagramFault sets the datagram fault of s; nil removes it.
func (f *fleet) setDatagramFault(s *injection, fault datagramFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fault == nil {
		delete(f.datagrams.faults, s)
	} else {
		f.datagrams.faults[s] = fault
	}
}

func (f *fleet) datagramConditions(from, to string) link.DatagramConditions {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, b := f.lookup(from), f.lookup(to)
	if a == nil || b == nil {
		return link.DatagramConditions{}
	}
	return f.datagrams.between(a, b)
}

// lookup returns the instance with the given name, or nil. The caller holds f.mu.
func (f *fleet) lookup(name string) *instance {
	for _, r := range f.instances {
		if r.name == name {
			return r
		}
	}
	return nil
}

// peersConditions returns the fault-free conditions of the link from other instances to r.
func (r *instance) peersConditions() link.Conditions {
	if regionOf[r.dataCentre] == south {
		return link.Conditions{Delay: regionDelay, Rate: regionRate}
	}
	return link.Conditions{}
}

// cutRegions partitions the regions, or blocks only the direction from south to north. Instances
// stay connected to the store and to their own region, so no rule is excused.
func (s *injection) cutRegions(kind string, both bool) {
	conditions := link.Conditions{BlockForward: both, BlockBack: true}
	var affected []*instance
	s.apply(Fault{Kind: kind, KeepsContact: true}, func() {
		s.run.fleet.setDatagramFault(s, func(from, to *instance) link.DatagramConditions {
			a, b := regionOf[from.dataCentre], regionOf[to.dataCentre]
			return link.DatagramConditions{Cut: a != b && (both || a == south)}
		})
		for _, r := range s.run.fleet.live() {
			if regionOf[r.dataCentre] == south {
				affected = append(affected, r)
				r.peers.Set(conditions)
			}
		}
	}, s.duration+minRegionCut, func() {
		s.run.fleet.setDatagramFault(s, nil)
		for _, r := range affected {
			r.peers.Set(r.peersConditions())
		}
	})
}

// minRegionCut exceeds the time for which instances remember schedulers of other regions.
const minRegionCut = 4 * time.Second
