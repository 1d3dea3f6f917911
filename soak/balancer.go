package soak

// This file imitates the platform's balancer before the callers.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// What the balancer does.
const (
	askEvery   = time.Second // each instance whether it is ready
	missesMost = 1           // in a row, of an instance that gets new callers
)

// A balancer gives callers instances that say they are ready; where fewer than
// half do, any.
type balancer struct {
	fleet *fleet

	mu     sync.Mutex
	misses map[*instance]int
}

func newBalancer(f *fleet) *balancer {
	return &balancer{fleet: f, misses: make(map[*instance]int)}
}

// run asks until ctx ends.
func (b *balancer) run(ctx context.Context) {
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	for {
		for _, r := range b.fleet.live() {
			go b.ask(r)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (b *balancer) ask(r *instance) {
	ready := b.fleet.ready(r)
	b.mu.Lock()
	defer b.mu.Unlock()
	if ready {
		b.misses[r] = 0
	} else {
		b.misses[r]++
	}
}

// choose returns an instance by chance.
func (b *balancer) choose(rng *rand.Rand) *instance {
	all := b.fleet.live()
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*instance
	for _, r := range all {
		if b.misses[r] <= missesMost {
			in = append(in, r)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	return in[rng.IntN(len(in))]
}
