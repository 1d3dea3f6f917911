package belief

// This file proves beliefs anew, with few calls to the store.

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Times of proving. One instance, the first by rank, asks the store once its
// proof is as old as proveEvery; its proof reaches the others with its age. Others ask only when
// their own proof grows old, the later the lower their rank, and the many that have
// no rank at random, so that few do at once. All that is well inside the time within which a key that was taken
// away must stop.
const (
	proveEvery = 800 * time.Millisecond
	proveCheck = 100 * time.Millisecond
	standbyAge = 2200 * time.Millisecond // of the proof, when the second by rank asks
	standbyGap = 250 * time.Millisecond  // more for each rank after it
	oldestAge  = 3 * time.Second         // when any instance asks
	proveRetry = 1500 * time.Millisecond // after a failure
	// crowdEvery is the mean pause between calls of all instances of a crowd
	// together, once proofs are of oldestAge. While the store was down for all of 295
	// instances, each asking by itself was 530 calls in 3 s, and told nothing more.
	crowdEvery = 50 * time.Millisecond
)

// A Turn is an instance's place among those that prove beliefs.
type Turn struct {
	Rank int // instances with young proofs that ask before it
	// Crowd is how many instances ask as it does without an order among them; zero
	// for one that has a rank. They ask seldom, the more of them there are: one that
	// is answered tells all.
	Crowd int
}

// A Prover keeps a Table's proof young.
type Prover struct {
	Table *Table
	Store NamedSource
	// Turn returns this instance's place.
	Turn func() Turn
	// Arriving, if set, reports whether an answer of the store is arriving. A proof brings all
	// changes too: asked for meanwhile, a large configuration came twice over one link, each as
	// slowly as both, and 4.5 s passed without a proof in place of 2.7.
	Arriving func() bool
	Log      *zap.Logger
	Count    func(event string)

	next    time.Time
	crowded time.Time // when this instance asks as one of a crowd; zero: not drawn
}

// due reports whether an instance whose proof has an age asks now.
func (p *Prover) due(now time.Time, age time.Duration) bool {
	if age < oldestAge && p.Arriving != nil && p.Arriving() {
		return false
	}
	turn := p.Turn()
	if turn.Crowd == 0 {
		p.crowded = time.Time{}
		return age >= due(turn.Rank)
	}
	if age < oldestAge {
		p.crowded = time.Time{}
		return false
	}
	if p.crowded.IsZero() {
		p.crowded = now.Add(time.Duration(rand.ExpFloat64() * float64(turn.Crowd-1) * float64(crowdEvery)))
	}
	return !now.Before(p.crowded)
}

// due returns the age of the proof at which an instance of a rank asks.
func due(rank int) time.Duration {
	if rank == 0 {
		return proveEvery
	}
	return min(standbyAge+time.Duration(rank-1)*standbyGap, oldestAge)
}

// Run proves until ctx ends.
func (p *Prover) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, proveCheck)
		now := p.Table.now()
		age, ok := p.Table.Age()
		if !ok || now.Before(p.next) || !p.due(now, age) {
			continue
		}
		p.next = now.Add(proveEvery)
		p.crowded = time.Time{}
		if err := p.prove(ctx); err != nil && ctx.Err() == nil {
			p.Count("failed")
			p.Table.Trouble()
			p.next = now.Add(proveRetry)
		}
	}
}

func (p *Prover) prove(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, loadWithin)
	defer cancel()
	p.Count("prove")
	u, err := p.Store.Source.Watch(call, Query{After: p.Table.View().Revision})
	if errors.Is(err, ErrHistoryGone) {
		u, err = p.Store.Source.Load(call)
	}
	if err != nil {
		logCut(p.Store, err, p.Log, p.Count)
		return err
	}
	Apply(p.Table, p.Store, u, p.Log, p.Count)
	return nil
}
