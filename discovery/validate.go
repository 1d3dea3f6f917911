package discovery

// This file validates the state of a Table against the store, with few calls.

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// The instance with the lowest rank calls the store at validationInterval and passes the result on.
// Others call only when their validation grows old, in order of rank; unranked ones at random times
// after maxValidationAge. The limit on the validity of revoked keys is well above these ages.
const (
	validationInterval     = 800 * time.Millisecond
	validationPollInterval = 100 * time.Millisecond
	standbyValidationAge   = 2200 * time.Millisecond // at most, at which the instance with the second rank calls
	standbyStagger         = 250 * time.Millisecond  // at most, added for each further rank
	// Shares of the propagation bound that limit the two. The rest is for the call, for further
	// ranks that the store turns away too, and for passing the result on.
	standbyShare         = 0.65
	standbyStaggerShare  = 0.05
	maxValidationAge     = 3 * time.Second         // at which any instance may call
	validationRetryDelay = 1500 * time.Millisecond // after a failure
	// unrankedMeanInterval is the mean time between calls of all unranked instances together. If
	// each had its own interval, a large fleet would make hundreds of calls during an outage.
	unrankedMeanInterval = 50 * time.Millisecond
)

// A ValidationTurn is an instance's position in the order in which instances validate.
type ValidationTurn struct {
	Rank int // number of recently validated instances that call before this one
	// Unranked is the number of unranked instances, this one included, or zero if this one has a
	// rank. The larger it is, the less often each calls, since one response serves all.
	Unranked int
}

// A Validator keeps the validation of a Table recent.
type Validator struct {
	Table *Table
	Store NamedSource
	Turn  func() ValidationTurn
	// Receiving, if set, reports whether a store response is arriving. A validating call also
	// returns all changes, so it would transfer a large configuration a second time meanwhile.
	Receiving func() bool
	// Propagation, if set, returns the time within which a change must be in force; zero: no bound.
	Propagation func() time.Duration
	Log         *zap.Logger
	Count       func(event string)

	nextAttempt time.Time
	randomDue   time.Time // when this instance calls while it is unranked; zero: not drawn
}

// due reports whether to call the store, given the age of the last validation.
func (v *Validator) due(now time.Time, age time.Duration) bool {
	if age < maxValidationAge && v.Receiving != nil && v.Receiving() {
		return false
	}
	turn := v.Turn()
	if turn.Unranked == 0 {
		v.randomDue = time.Time{}
		return age >= v.validationAgeFor(turn.Rank)
	}
	if age < maxValidationAge {
		v.randomDue = time.Time{}
		return false
	}
	if v.randomDue.IsZero() {
		v.randomDue = now.Add(time.Duration(rand.ExpFloat64() * float64(turn.Unranked-1) * float64(unrankedMeanInterval)))
	}
	return !now.Before(v.randomDue)
}

// validationAgeFor returns the validation age at which the instance of that rank calls the store.
func (v *Validator) validationAgeFor(rank int) time.Duration {
	if rank == 0 {
		return validationInterval
	}
	age, stagger := standbyValidationAge, standbyStagger
	if v.Propagation != nil {
		if bound := float64(v.Propagation()); bound > 0 {
			age = min(age, time.Duration(standbyShare*bound))
			stagger = min(stagger, time.Duration(standbyStaggerShare*bound))
		}
	}
	return min(age+time.Duration(rank-1)*stagger, maxValidationAge)
}

// Run validates the Table until ctx is done. Only one Run may be active at a time.
func (v *Validator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, validationPollInterval)
		now := v.Table.now()
		age, ok := v.Table.Age()
		if !ok || now.Before(v.nextAttempt) || !v.due(now, age) {
			continue
		}
		v.nextAttempt = now.Add(validationInterval)
		v.randomDue = time.Time{}
		if err := v.validate(ctx); err != nil && ctx.Err() == nil {
			v.Count("failed")
			v.Table.MarkStoreDown()
			v.nextAttempt = now.Add(validationRetryDelay)
		}
	}
}

func (v *Validator) validate(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	v.Count("prove")
	update, err := v.Store.Source.Watch(callCtx, Query{After: v.Table.View().Revision})
	if errors.Is(err, ErrCompacted) {
		update, err = v.Store.Source.Load(callCtx)
	}
	if err != nil {
		logTruncatedResponse(v.Store, err, v.Log, v.Count)
		return err
	}
	Apply(v.Table, v.Store, update, v.Log, v.Count)
	return nil
}
