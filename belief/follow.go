package belief

// This file keeps a Table up to date from its sources.

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ivyridge/internal/fetch"
)

// Times of following.
const (
	watchFor     = 25 * time.Second       // a watch waits for a change
	loadWithin   = 10 * time.Second       // for everything, in as many calls as that takes
	gatherFor    = 120 * time.Millisecond // changes after one are taken up together
	gatherEach   = 10 * time.Millisecond  // the same, for each instance that follows the store
	gatherMost   = 800 * time.Millisecond
	overtakeFor  = 2 * gatherFor // a watch may bring what others know by then
	backoffLeast = 60 * time.Millisecond
	backoffMost  = 1200 * time.Millisecond
)

// A NamedSource is a Source with the name that logs show. Origin says that
// it is the store itself, whose troubles date the lapsing of entries.
type NamedSource struct {
	Name   string
	Origin bool
	Source Source
}

// event names a call to the source in the counters.
func (s *NamedSource) event(call string) string {
	if s.Origin {
		return call
	}
	return "relay-" + call
}

// A Follower keeps a Table up to date: a long watch at the store, or at an
// instance that watches the store itself, brings every change, and other
// instances' beliefs stand in where the store does not answer. How fresh the
// beliefs are is proved apart, by a Prover.
type Follower struct {
	Table *Table
	Store NamedSource
	// Upstream returns the instance to follow in place of the store, if there
	// is one; where others were found to know more than what is followed, one
	// that knows as much as they.
	Upstream func(overtaken bool) (NamedSource, bool)
	// Peers returns other instances that know more, the best first.
	Peers func() []NamedSource
	// Newer returns a channel that is closed when another instance knows a
	// newer revision.
	Newer func() <-chan struct{}
	// StartWithin is how long an instance that knows nothing waits for another one
	// that can tell it everything, before it asks the store; zero: not at all.
	StartWithin time.Duration
	// Hurry, once closed, ends that wait: callers are here already.
	Hurry <-chan struct{}
	// Readers returns how many instances follow the store itself, as far as
	// is known.
	Readers func() int
	Log     *zap.Logger
	Count   func(event string) // counts calls and failures

	lost      map[string]bool
	backoff   time.Duration
	overtaken bool // the last watch was abandoned because another instance knows more

	whole   bool      // beliefs are read whole next: they differ from what is followed
	wholeAt time.Time // when they were last for that

	arriving atomic.Bool // an answer of the store, from its head to its end
}

// Arriving reports whether an answer of the store is arriving.
func (f *Follower) Arriving() bool { return f.arriving.Load() }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.lost = make(map[string]bool)
	f.start(ctx)
	for ctx.Err() == nil {
		before := f.Table.View().Revision
		if f.round(ctx) {
			f.backoff = 0
			if f.Table.View().Revision != before {
				pause(ctx, gather(f.Readers()))
			}
			continue
		}
		f.backoff = min(max(2*f.backoff, backoffLeast), backoffMost)
		pause(ctx, f.backoff/2+rand.N(f.backoff)/2)
	}
}

// gather returns how long changes after one are gathered where n instances
// make a call each for what they gather. It is well below the time within
// which a change must be in force.
func gather(n int) time.Duration {
	return min(max(gatherFor, time.Duration(n)*gatherEach), gatherMost)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// round asks the instance to follow or the store, and other instances if that
// fails. It reports whether beliefs are up to date.
func (f *Follower) round(ctx context.Context) bool {
	wait := watchFor
	if f.overtaken {
		wait = 0
	}
	if upstream, ok := f.Upstream(f.overtaken); ok {
		if f.asked(ctx, upstream, wait) {
			return true
		}
	}
	if f.asked(ctx, f.Store, wait) {
		return true
	}
	f.overtaken = false
	f.Table.Trouble()
	f.loadFromPeer(ctx)
	return false
}

// asked makes one call at a source, and reports whether the round ends with it:
// it was answered, abandoned for news, or ended by ctx.
func (f *Follower) asked(ctx context.Context, s NamedSource, wait time.Duration) bool {
	err := f.ask(ctx, s, wait)
	if ctx.Err() != nil {
		return true
	}
	f.overtaken = errors.Is(err, fetch.ErrAbandoned)
	if f.overtaken {
		return true
	}
	f.report(s, err)
	return err == nil
}

// ask makes one call at a source: for everything if nothing is known, else for
// changes. A configuration that is not published yet comes as a change too.
func (f *Follower) ask(ctx context.Context, s NamedSource, wait time.Duration) error {
	v := f.Table.View()
	if v.Revision == 0 {
		return f.load(ctx, s)
	}
	if f.whole && !s.Origin {
		f.whole, f.wholeAt = false, f.Table.now()
		return f.load(ctx, s)
	}
	err := f.watch(ctx, s, v.Revision, wait)
	if errors.Is(err, ErrHistoryGone) {
		return f.load(ctx, s)
	}
	return err
}

func (f *Follower) watch(ctx context.Context, s NamedSource, after int64, wait time.Duration) error {
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	q := Query{After: after, Wait: wait}
	if s.Origin {
		q.Begun = func() { f.arriving.Store(true) }
		defer f.arriving.Store(false)
	}
	if wait > 0 {
		q.Overtaken = f.overtakes(call)
	}
	f.Count(s.event("watch"))
	u, err := s.Source.Watch(call, q)
	if err != nil {
		f.logCut(ctx, s, err)
		return err
	}
	f.apply(s, u)
	return nil
}

// overtakes returns a channel that is closed once another instance knows more
// than this one and a watch has had the time to bring that: a watch can be cut
// off without a word.
func (f *Follower) overtakes(ctx context.Context) <-chan struct{} {
	overtaken := make(chan struct{})
	newer := f.Newer()
	go func() {
		select {
		case <-ctx.Done():
			return
		case <-newer:
		}
		pause(ctx, overtakeFor)
		if ctx.Err() == nil {
			close(overtaken)
		}
	}()
	return overtaken
}

func (f *Follower) load(ctx context.Context, s NamedSource) error {
	call, cancel := context.WithTimeout(ctx, loadWithin)
	defer cancel()
	f.Count(s.event("load"))
	u, err := s.Source.Load(call)
	if err != nil {
		f.logCut(ctx, s, err)
		return err
	}
	f.apply(s, u)
	return nil
}

func (f *Follower) apply(s NamedSource, u *Update) {
	Apply(f.Table, s, u, f.Log, f.Count)
	f.compare(s, u)
}

// wholeEvery is the least pause between two times at which everything is read because beliefs
// differ from those that are followed. What differs may be a matter of order, and stay so.
const wholeEvery = 10 * time.Second

// compare has everything read where the endpoints that are listed here after an update that told
// changes are not those listed at its source.
func (f *Follower) compare(s NamedSource, u *Update) {
	revision, digest := f.Table.Digest()
	if u.Whole || u.Digest == 0 || u.Revision != revision || u.Digest == digest {
		return
	}
	f.Count("differs")
	if now := f.Table.now(); f.wholeAt.IsZero() || now.Sub(f.wholeAt) >= wholeEvery {
		f.whole = true
		f.Log.Warn("endpoints differ from those of the source; all are read", zap.String("source", s.Name), zap.Int64("revision", revision))
	}
}

// troubleAge is the age of beliefs from which the store was in trouble for all: others
// prove them at 2.2 s if the first does not. Whoever follows another instance learns of
// the trouble in no other way.
const troubleAge = 2500 * time.Millisecond

// Apply takes up an update from a source, and logs what it changes.
func Apply(t *Table, s NamedSource, u *Update, log *zap.Logger, count func(string)) {
	before := t.View()
	t.agedInTrouble()
	if err := t.Apply(u); err != nil {
		count("configuration-kept-out")
		log.Warn("configuration kept out", zap.String("source", s.Name), zap.String("error", err.Error()))
	}
	after := t.View()
	if after.Catalog != before.Catalog {
		log.Info("configuration in force", zap.String("source", s.Name),
			zap.Int64("version", after.Catalog.Version()), zap.Int64("revision", after.Revision),
			zap.Int("bytes", u.Bytes), zap.Int64("arrival_ms", u.Arrival.Milliseconds()))
	}
	logEvacuations(s, before, after, log)
	if after.Revision != before.Revision {
		logEndpoints(s, u, before.Revision, log, t.troubled())
	}
	if s.Origin || t.readSince(u.Proved) {
		t.Recovered()
	}
}

// logEvacuations logs the data centres that are to be emptied from now on, and those that
// are not any more.
func logEvacuations(s NamedSource, before, after *View, log *zap.Logger) {
	for _, dataCentre := range after.evacuated {
		if !slices.Contains(before.evacuated, dataCentre) {
			log.Info("evacuation in force", zap.String("source", s.Name), zap.String("data_centre", dataCentre),
				zap.Int64("revision", after.Revision), zap.Int("endpoints", after.endpointsIn(dataCentre)))
		}
	}
	for _, dataCentre := range before.evacuated {
		if !slices.Contains(after.evacuated, dataCentre) {
			log.Info("evacuation over", zap.String("source", s.Name), zap.String("data_centre", dataCentre),
				zap.Int64("revision", after.Revision), zap.Int("endpoints", after.endpointsIn(dataCentre)))
		}
	}
}

// mostLogged is how many endpoints of one update are logged: at its start an instance is told of
// thousands.
const mostLogged = 100

// logEndpoints logs the endpoints that came or changed after a revision, and
// those that went.
func logEndpoints(s NamedSource, u *Update, after int64, log *zap.Logger, trouble bool) {
	logged := 0
	for i := range u.Present {
		r := &u.Present[i]
		if r.Revision <= after {
			continue
		}
		if logged++; logged > mostLogged {
			continue
		}
		log.Info("endpoint", zap.String("source", s.Name), zap.String("id", r.ID), zap.String("service", r.Service),
			zap.String("address", r.Address), zap.Bool("draining", r.Draining),
			zap.Duration("cold_left", r.ColdLeft), zap.Int64("revision", r.Revision))
	}
	if logged > mostLogged {
		log.Info("further endpoints", zap.String("source", s.Name), zap.Int("not_logged", logged-mostLogged), zap.Int64("revision", u.Revision))
	}
	for _, d := range u.Gone[:min(len(u.Gone), mostLogged)] {
		log.Info("endpoint gone", zap.String("source", s.Name), zap.String("id", d.ID),
			zap.Int64("revision", d.Revision), zap.Bool("after_trouble", trouble))
	}
}

func (f *Follower) logCut(ctx context.Context, s NamedSource, err error) {
	if ctx.Err() == nil {
		logCut(s, err, f.Log, f.Count)
	}
}

// logCut logs an answer that had begun to arrive and did not come whole.
func logCut(s NamedSource, err error, log *zap.Logger, count func(string)) {
	var cut *fetch.CutError
	if !errors.As(err, &cut) || !cut.Begun {
		return
	}
	count("answer-cut")
	log.Warn("answer cut", zap.String("source", s.Name), zap.Int("bytes", cut.Bytes),
		zap.Int64("first_ms", cut.First.Milliseconds()), zap.Int64("took_ms", cut.Took.Milliseconds()),
		zap.String("error", cut.Err.Error()))
}

// report logs a source that is lost or regained, once each.
func (f *Follower) report(s NamedSource, err error) {
	switch {
	case err != nil && !f.lost[s.Name]:
		f.lost[s.Name] = true
		f.Log.Warn("source lost", zap.String("source", s.Name), zap.String("error", err.Error()))
	case err == nil && f.lost[s.Name]:
		delete(f.lost, s.Name)
		f.Log.Info("source regained", zap.String("source", s.Name))
	}
	if err != nil {
		f.Count("failed")
	}
}
