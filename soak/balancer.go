package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	probeInterval = time.Second // of each instance
	maxMisses     = 1           // consecutive failed probes after which an instance still receives requests
)

// A balancer simulates the load balancer in front of the instances. It selects instances that pass
// their readiness probes, or any instance if fewer than half pass.
type balancer struct {
	fleet *fleet

	mu     sync.Mutex
	misses map[*instance]int
}

func newBalancer(f *fleet) *balancer {
	return &balancer{fleet: f, misses: make(map[*instance]int)}
}

func (b *balancer) run(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		for _, r := range b.fleet.live() {
			go b.probe(r)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (b *balancer) probe(r *instance) {
	ready := b.fleet.ready(r)
	b.mu.Lock()
	defer b.mu.Unlock()
	if ready {
		b.misses[r] = 0
	} else {
		b.misses[r]++
	}
}

func (b *balancer) choose(rng *rand.Rand) *instance {
	all := b.fleet.live()
	b.mu.Lock()
	defer b.mu.Unlock()
	var eligible []*instance
	for _, r := range all {
		if b.misses[r] <= maxMisses {
			eligible = append(eligible, r)
		}
	}
	if 2*len(eligible) < len(all) {
		eligible = all
	}
	return eligible[rng.IntN(len(eligible))]
}
