package soak

// This file connects the instances of two regions over a shared narrow link, and partitions the
// regions.
//
// Datagrams are classified by sender and receiver. TCP connections are classified by destination
// only, so the instances of the south also reach each other with the delay and rate of the link
// between regions.

import (
	"time"

	"ivyridge/internal/link"
)

// Conditions of the link between regions.
const (
	regionDelay      = 12 * time.Millisecond // each way
	regionRate       = 250_000               // bytes per second, each way
	regionQueueDelay = 400 * time.Millisecond
)

// A datagramFault returns the conditions that a fault imposes on datagrams between two instances.
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

// between returns the conditions of datagrams between two instances: the worst of all active
// faults.
func (k *datagramFaults) between(from, to *instance) link.DatagramConditions {
	out := link.DatagramConditions{}
	if regionOf[from.dataCentre] != regionOf[to.dataCentre] {
		out.Delay, out.Bottleneck = regionDelay, k.north
		if regionOf[to.dataCentre] == south {
			out.Bottleneck = k.south
		}
	}
	for _, fault := range k.faults {
		s := fault(from, to)
		out.Cut = out.Cut || s.Cut
		out.Loss, out.Duplicate, out.Jitter = max(out.Loss, s.Loss), max(out.Duplicate, s.Duplicate), max(out.Jitter, s.Jitter)
	}
	return out
}

// setDatagramFault sets the datagram fault of an injection; nil removes it.
func (f *fleet) setDatagramFault(s *injection, fault datagramFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fault == nil {
		delete(f.datagrams.faults, s)
	} else {
		f.datagrams.faults[s] = fault
	}
}

// datagramConditions returns the conditions of datagrams between two instances, by name.
func (f *fleet) datagramConditions(from, to string) link.DatagramConditions {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, b := f.lookup(from), f.lookup(to)
	if a == nil || b == nil {
		return link.DatagramConditions{}
	}
	return f.datagrams.between(a, b)
}

// lookup returns the instance called name, or nil. The caller holds f.mu.
func (f *fleet) lookup(name string) *instance {
	for _, r := range f.instances {
		if r.name == name {
			return r
		}
	}
	return nil
}

// peersConditions returns the conditions of r's link for peers while no fault affects it.
func (r *instance) peersConditions() link.Conditions {
	if regionOf[r.dataCentre] == south {
		return link.Conditions{Delay: regionDelay, Rate: regionRate}
	}
	return link.Conditions{}
}

// cutRegions partitions the regions, or blocks only the direction from the south to the north. All
// instances stay connected to the store and to their own region, so no rule is excused.
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

// minRegionCut is longer than instances remember the schedulers of other regions.
const minRegionCut = 4 * time.Second
