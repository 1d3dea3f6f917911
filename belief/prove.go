package belief

// This file proves beliefs anew, with few calls to the store.

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Times of proving. One instance, the first by rank, asks the store once its
// proof is as old as proveEvery; its proof reaches the others with its age. Others ask only when
// their own proof grows old, the later the lower their rank, so that few do
// at once. All that is well inside the time within which a key that was taken
// away must stop.
const (
	proveEvery = 800 * time.Millisecond
	proveCheck = 100 * time.Millisecond
	standbyAge = 2200 * time.Millisecond // of the proof, when the second by rank asks
	standbyGap = 250 * time.Millisecond  // more for each rank after it
	oldestAge  = 3 * time.Second         // when any instance asks
	proveRetry = 1500 * time.Millisecond // after a failure
)

// A Prover keeps a Table's proof young.
type Prover struct {
	Table *Table
	Store NamedSource
	// Rank returns how many instances with fresh beliefs ask before this one.
	Rank  func() int
	Log   *zap.Logger
	Count func(event string)

	next time.Time
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
		now := time.Now()
		age, ok := p.Table.Age()
		if !ok || now.Before(p.next) || age < due(p.Rank()) {
			continue
		}
		p.next = now.Add(proveEvery)
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
