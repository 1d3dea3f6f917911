package belief

// This file keeps a Table up to date from its sources.

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Times of a Follower. A view is proved anew every WatchFor or sooner.
const (
	WatchFor     = 1500 * time.Millisecond
	callWithin   = 1200 * time.Millisecond // for an answer that need not wait
	backoffLeast = 60 * time.Millisecond
	backoffMost  = 1200 * time.Millisecond
)

// A Follower keeps a Table up to date: one watch after another at one source,
// and the next source when one fails. Failures at all sources back off.
type Follower struct {
	Table *Table
	// Sources returns the sources by preference, the best first.
	Sources func() []NamedSource
	Log     *zap.Logger
	Count   func(event string) // counts calls and failures

	failing map[string]bool
	backoff time.Duration
}

// A NamedSource is a Source with the name that logs show. Origin says that
// it is the store itself, whose troubles date the lapsing of entries.
type NamedSource struct {
	Name   string
	Origin bool
	Source Source
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.failing = make(map[string]bool)
	for ctx.Err() == nil {
		if f.round(ctx) {
			f.backoff = 0
			continue
		}
		f.backoff = min(max(2*f.backoff, backoffLeast), backoffMost)
		pause := f.backoff/2 + rand.N(f.backoff)/2
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// round asks the sources in turn until one answers.
func (f *Follower) round(ctx context.Context) bool {
	for _, s := range f.Sources() {
		err := f.follow(ctx, s)
		if ctx.Err() != nil {
			return true
		}
		f.report(s, err)
		if err == nil {
			return true
		}
		if s.Origin {
			f.Table.Trouble()
		}
	}
	return false
}

// follow makes one call at a source.
func (f *Follower) follow(ctx context.Context, s NamedSource) error {
	v := f.Table.View()
	if v.Revision == 0 || v.Catalog == nil {
		return f.load(ctx, s)
	}
	call, cancel := context.WithTimeout(ctx, WatchFor+callWithin)
	defer cancel()
	f.Count("watch")
	u, err := s.Source.Watch(call, v.Revision, WatchFor)
	if errors.Is(err, ErrHistoryGone) {
		return f.load(ctx, s)
	}
	if err != nil {
		return err
	}
	f.apply(s, u)
	return nil
}

func (f *Follower) load(ctx context.Context, s NamedSource) error {
	call, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	f.Count("load")
	u, err := s.Source.Load(call)
	if err != nil {
		return err
	}
	f.apply(s, u)
	if f.Table.View().Catalog == nil {
		return errors.New("no configuration is published yet")
	}
	return nil
}

func (f *Follower) apply(s NamedSource, u *Update) {
	before := f.Table.View()
	if err := f.Table.Apply(u); err != nil {
		f.Count("configuration-kept-out")
		f.Log.Warn("configuration kept out", zap.String("source", s.Name), zap.String("error", err.Error()))
	}
	after := f.Table.View()
	if after.Catalog != before.Catalog {
		f.Log.Info("configuration in force", zap.String("source", s.Name),
			zap.Int64("version", after.Catalog.Version()), zap.Int64("revision", after.Revision))
	}
	for i := range u.Present {
		r := &u.Present[i]
		f.Log.Info("endpoint", zap.String("id", r.ID), zap.String("service", r.Service),
			zap.String("address", r.Address), zap.Bool("draining", r.Draining), zap.Int64("revision", r.Revision))
	}
	f.logGone(s, u)
}

func (f *Follower) logGone(s NamedSource, u *Update) {
	for _, d := range u.Gone {
		f.Log.Info("endpoint gone", zap.String("id", d.ID), zap.Int64("revision", d.Revision), zap.Bool("after_trouble", f.Table.trouble.Load()))
	}
	if s.Origin {
		f.Table.Recovered()
	}
}

// report logs a source that is lost or regained, once each.
func (f *Follower) report(s NamedSource, err error) {
	switch {
	case err != nil && !f.failing[s.Name]:
		f.failing[s.Name] = true
		f.Log.Warn("source lost", zap.String("source", s.Name), zap.String("error", err.Error()))
	case err == nil && f.failing[s.Name]:
		delete(f.failing, s.Name)
		f.Log.Info("source regained", zap.String("source", s.Name))
	}
	if err != nil {
		f.Count("failed")
	}
}
