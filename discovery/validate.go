package discovery

// This file validates the state of a Table against the store, with few calls.

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Validation schedule. The instance with the lowest rank calls the store once its last
// validation is validationInterval old, and passes the result on to the other instances. Those
// call the store only when their own last validation grows old, the later the higher their
// rank. Instances without a rank call at random times after maxValidationAge, so that few do so
// at once. All of these ages are well below the time within which a revoked key must stop
// working.
const (
	validationInterval     = 800 * time.Millisecond
	validationPollInterval = 100 * time.Millisecond
	standbyValidationAge   = 2200 * time.Millisecond // at which the instance with the second rank calls
	standbyStagger         = 250 * time.Millisecond  // added for each further rank
	maxValidationAge       = 3 * time.Second         // at which any instance may call
	validationRetryDelay   = 1500 * time.Millisecond // after a failure
	// unrankedMeanInterval is the mean time between calls of all unranked instances together
	// once the last validation is maxValidationAge old. If each of them called at its own
	// interval while the store is down, a large fleet would make hundreds of calls that
	// return no more information.
	unrankedMeanInterval = 50 * time.Millisecond
)

// A ValidationTurn is an instance's position in the order in which instances validate.
type ValidationTurn struct {
	Rank int // number of recently validated instances that call before this one
	// Unranked is the number of unranked instances, this one included; zero for an instance that
	// has a rank. The larger it is, the less often each of them calls, since one response
	// serves all of them.
	Unranked int
}

// A Validator keeps the validation of a Table recent.
type Validator struct {
	Table *Table
	Store NamedSource
	// Turn returns this instance's position.
	Turn func() ValidationTurn
	// Receiving, if set, reports whether a response of the store is being received. A validating
	// call also returns all changes, so one made meanwhile would transfer a large configuration
	// a second time over the same link and delay both responses.
	Receiving func() bool
	Log       *zap.Logger
	Count     func(event string)

	nextAttempt time.Time
	randomDue   time.Time // when this instance calls while it is unranked; zero: not drawn
}

// due reports whether the instance should call the store now, given the age of its last validation.
func (p *Validator) due(now time.Time, age time.Duration) bool {
	if age < maxValidationAge && p.Receiving != nil && p.Receiving() {
		return false
	}
	turn := p.Turn()
	if turn.Unranked == 0 {
		p.randomDue = time.Time{}
		return age >= validationAgeFor(turn.Rank)
	}
	if age < maxValidationAge {
		p.randomDue = time.Time{}
		return false
	}
	if p.randomDue.IsZero() {
		p.randomDue = now.Add(time.Duration(rand.ExpFloat64() * float64(turn.Unranked-1) * float64(unrankedMeanInterval)))
	}
	return !now.Before(p.randomDue)
}

// validationAgeFor returns the validation age at which an instance with a rank calls the store.
func validationAgeFor(rank int) time.Duration {
	if rank == 0 {
		return validationInterval
	}
	return min(standbyValidationAge+time.Duration(rank-1)*standbyStagger, maxValidationAge)
}

// Run validates the Table until ctx is done. Only one Run may be active at a time.
func (p *Validator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, validationPollInterval)
		now := p.Table.now()
		age, ok := p.Table.Age()
		if !ok || now.Before(p.nextAttempt) || !p.due(now, age) {
			continue
		}
		p.nextAttempt = now.Add(validationInterval)
		p.randomDue = time.Time{}
		if err := p.validate(ctx); err != nil && ctx.Err() == nil {
			p.Count("failed")
			p.Table.MarkStoreDown()
			p.nextAttempt = now.Add(validationRetryDelay)
		}
	}
}

func (p *Validator) validate(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	p.Count("prove")
	u, err := p.Store.Source.Watch(callCtx, Query{After: p.Table.View().Revision})
	if errors.Is(err, ErrHistoryGone) {
		u, err = p.Store.Source.Load(callCtx)
	}
	if err != nil {
		logTruncatedAnswer(p.Store, err, p.Log, p.Count)
		return err
	}
	Apply(p.Table, p.Store, u, p.Log, p.Count)
	return nil
}
