package discovery

// This file keeps a Table synchronized with its sources.

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

const (
	watchTimeout           = 25 * time.Second       // how long a watch waits for a change
	loadTimeout            = 10 * time.Second       // for all pages of the full state
	minCoalesceDelay       = 120 * time.Millisecond // pause after a change, so that changes are fetched in batches
	coalesceDelayPerReader = 10 * time.Millisecond  // for each instance that follows the store
	maxCoalesceDelay       = 800 * time.Millisecond
	newerRevisionDelay     = 2 * minCoalesceDelay // how long a pending watch may take to return a peer's revision
	minBackoff             = 60 * time.Millisecond
	maxBackoff             = 1200 * time.Millisecond
)

// A NamedSource is a Source with its name in logs.
type NamedSource struct {
	Name    string
	IsStore bool // a successful read ends an outage
	Source  Source
}

// eventName returns the event to count for call at the source.
func (s *NamedSource) eventName(call string) string {
	if s.IsStore {
		return call
	}
	return "relay-" + call
}

// A Follower keeps a Table up to date. It long-polls the store, or an instance that follows the
// store, and loads the state of peers while neither answers. Validators confirm that the state is
// current.
type Follower struct {
	Table *Table
	Store NamedSource
	// Upstream returns the instance to follow instead of the store, if there is one. If lagging is
	// set, other instances are ahead of the current upstream, and it must return one of these.
	Upstream func(lagging bool) (NamedSource, bool)
	// Peers returns the instances to load the full state from, in order of preference.
	Peers func() []NamedSource
	// NewerRevision returns a channel that is closed when another instance has a newer revision.
	NewerRevision func() <-chan struct{}
	// BootstrapTimeout is how long an instance without state waits for a peer before it queries
	// the store; zero disables the wait.
	BootstrapTimeout time.Duration
	// SkipBootstrap, once closed, ends that wait, because requests are waiting.
	SkipBootstrap <-chan struct{}
	// StoreReaders returns the number of instances known to follow the store itself.
	StoreReaders func() int
	Log          *zap.Logger
	Count        func(event string) // counts calls and failures

	failing map[string]bool // sources whose last call failed, by name
	backoff time.Duration
	behind  bool // the last watch was canceled because another instance has a newer revision

	needFullLoad bool      // the state differs from the upstream's
	lastFullLoad time.Time // when it was last loaded in full for that reason

	receiving atomic.Bool // a store response is arriving
}

// Receiving reports whether a store response is arriving. It is safe for concurrent use.
func (f *Follower) Receiving() bool { return f.receiving.Load() }

// Run keeps the Table up to date until ctx is done. Only one Run may be active at a time.
func (f *Follower) Run(ctx context.Context) {
	f.failing = make(map[string]bool)
	f.bootstrap(ctx)
	for ctx.Err() == nil {
		before := f.Table.View().Revision
		if f.sync(ctx) {
			f.backoff = 0
			if f.Table.View().Revision != before {
				sleep(ctx, coalesceDelay(f.StoreReaders()))
			}
			continue
		}
		f.backoff = min(max(2*f.backoff, minBackoff), maxBackoff)
		sleep(ctx, f.backoff/2+rand.N(f.backoff)/2)
	}
}

// coalesceDelay returns how long to wait after a change before fetching the next ones, if n
// instances follow the store.
func coalesceDelay(n int) time.Duration {
	return min(max(minCoalesceDelay, time.Duration(n)*coalesceDelayPerReader), maxCoalesceDelay)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// sync reports whether the upstream or the store answered. If not, it loads from a peer.
func (f *Follower) sync(ctx context.Context) bool {
	wait := watchTimeout
	if f.behind {
		wait = 0
	}
	if upstream, ok := f.Upstream(f.behind); ok {
		if f.trySource(ctx, upstream, wait) {
			return true
		}
	}
	if f.trySource(ctx, f.Store, wait) {
		return true
	}
	f.behind = false
	f.Table.MarkStoreDown()
	f.loadFromPeer(ctx)
	return false
}

// trySource reports whether a call succeeded, was canceled because a peer has a newer revision, or
// was ended by ctx.
func (f *Follower) trySource(ctx context.Context, s NamedSource, wait time.Duration) bool {
	err := f.query(ctx, s, wait)
	if ctx.Err() != nil {
		return true
	}
	f.behind = errors.Is(err, fetch.ErrCanceled)
	if f.behind {
		return true
	}
	f.logAvailability(s, err)
	return err == nil
}

// query requests the full state if the table is empty or must be reloaded, and otherwise changes.
// The first configuration also arrives as a change.
func (f *Follower) query(ctx context.Context, s NamedSource, wait time.Duration) error {
	v := f.Table.View()
	if v.Revision == 0 {
		return f.load(ctx, s)
	}
	if f.needFullLoad && !s.IsStore {
		f.needFullLoad, f.lastFullLoad = false, f.Table.now()
		return f.load(ctx, s)
	}
	err := f.watch(ctx, s, v.Revision, wait)
	if errors.Is(err, ErrCompacted) {
		return f.load(ctx, s)
	}
	return err
}

func (f *Follower) watch(ctx context.Context, s NamedSource, after int64, wait time.Duration) error {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	q := Query{After: after, Wait: wait}
	if s.IsStore {
		q.OnResponse = func() { f.receiving.Store(true) }
		defer f.receiving.Store(false)
	}
	if wait > 0 {
		q.Superseded = f.newerRevisionSignal(callCtx)
	}
	f.Count(s.eventName("watch"))
	u, err := s.Source.Watch(callCtx, q)
	if err != nil {
		f.logTruncated(ctx, s, err)
		return err
	}
	f.apply(s, u)
	return nil
}

// newerRevisionSignal returns a channel that is closed if another instance has a newer revision but
// the pending watch does not return it, as on a silently broken connection.
func (f *Follower) newerRevisionSignal(ctx context.Context) <-chan struct{} {
	superseded := make(chan struct{})
	newer := f.NewerRevision()
	go func() {
		select {
		case <-ctx.Done():
			return
		case <-newer:
		}
		sleep(ctx, newerRevisionDelay)
		if ctx.Err() == nil {
			close(superseded)
		}
	}()
	return superseded
}

func (f *Follower) load(ctx context.Context, s NamedSource) error {
	callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	f.Count(s.eventName("load"))
	u, err := s.Source.Load(callCtx)
	if err != nil {
		f.logTruncated(ctx, s, err)
		return err
	}
	f.apply(s, u)
	return nil
}

func (f *Follower) apply(s NamedSource, u *Update) {
	Apply(f.Table, s, u, f.Log, f.Count)
	f.checkDigest(s, u)
}

// minFullLoadInterval limits full loads that are caused by differing digests. A difference that
// results from the order of updates may persist.
const minFullLoadInterval = 10 * time.Second

// checkDigest schedules a full load if the endpoints differ from the source's after a delta.
func (f *Follower) checkDigest(s NamedSource, u *Update) {
	revision, digest := f.Table.Digest()
	if u.Full || u.Digest == 0 || u.Revision != revision || u.Digest == digest {
		return
	}
	f.Count("differs")
	if now := f.Table.now(); f.lastFullLoad.IsZero() || now.Sub(f.lastFullLoad) >= minFullLoadInterval {
		f.needFullLoad = true
		f.Log.Warn("endpoint digest differs from the source; loading the full list", zap.String("source", s.Name), zap.Int64("revision", revision))
	}
}

// outageAge is the validation age from which the store counts as unavailable. By then a standby
// validator has called it. Followers of an instance have no other sign of an outage.
const outageAge = 2500 * time.Millisecond

// Apply applies an update to a Table, and logs and counts the changes.
func Apply(t *Table, s NamedSource, u *Update, log *zap.Logger, count func(string)) {
	before := t.View()
	t.detectOutage()
	if err := t.Apply(u); err != nil {
		count("configuration-kept-out")
		log.Warn("invalid configuration rejected", zap.String("source", s.Name), zap.String("error", err.Error()))
	}
	after := t.View()
	if after.Catalog != before.Catalog {
		log.Info("configuration applied", zap.String("source", s.Name),
			zap.Int64("version", after.Catalog.Version()), zap.Int64("revision", after.Revision),
			zap.Int("bytes", u.Bytes), zap.Int64("arrival_ms", u.TransferTime.Milliseconds()))
	}
	logEvacuations(s, before, after, log)
	if after.Revision != before.Revision {
		logEndpoints(s, u, before.Revision, log, t.storeUnavailable())
	}
	if s.IsStore || t.validatedSinceOutage(u.ValidatedAt) {
		t.MarkStoreUp()
	}
}

func logEvacuations(s NamedSource, before, after *View, log *zap.Logger) {
	for _, dataCentre := range after.evacuated {
		if !slices.Contains(before.evacuated, dataCentre) {
			log.Info("evacuation started", zap.String("source", s.Name), zap.String("data_centre", dataCentre),
				zap.Int64("revision", after.Revision), zap.Int("endpoints", after.endpointCount(dataCentre)))
		}
	}
	for _, dataCentre := range before.evacuated {
		if !slices.Contains(after.evacuated, dataCentre) {
			log.Info("evacuation ended", zap.String("source", s.Name), zap.String("data_centre", dataCentre),
				zap.Int64("revision", after.Revision), zap.Int("endpoints", after.endpointCount(dataCentre)))
		}
	}
}

// maxLoggedEndpoints bounds the log lines of one update; an initial state may contain thousands.
const maxLoggedEndpoints = 100

// logEndpoints logs the endpoints in u that changed after revision after, and the deletions.
func logEndpoints(s NamedSource, u *Update, after int64, log *zap.Logger, outage bool) {
	logged := 0
	for i := range u.Endpoints {
		r := &u.Endpoints[i]
		if r.Revision <= after {
			continue
		}
		if logged++; logged > maxLoggedEndpoints {
			continue
		}
		log.Info("endpoint updated", zap.String("source", s.Name), zap.String("id", r.ID), zap.String("service", r.Service),
			zap.String("address", r.Address), zap.Bool("draining", r.Draining),
			zap.Duration("cold_left", r.ColdLeft), zap.Int64("revision", r.Revision))
	}
	if logged > maxLoggedEndpoints {
		log.Info("further endpoint updates not logged", zap.String("source", s.Name), zap.Int("not_logged", logged-maxLoggedEndpoints), zap.Int64("revision", u.Revision))
	}
	for _, d := range u.Deleted[:min(len(u.Deleted), maxLoggedEndpoints)] {
		log.Info("endpoint deleted", zap.String("source", s.Name), zap.String("id", d.ID),
			zap.Int64("revision", d.Revision), zap.Bool("after_trouble", outage))
	}
}

func (f *Follower) logTruncated(ctx context.Context, s NamedSource, err error) {
	if ctx.Err() == nil {
		logTruncatedResponse(s, err, f.Log, f.Count)
	}
}

// logTruncatedResponse logs and counts a response that began to arrive but was not completed.
func logTruncatedResponse(s NamedSource, err error, log *zap.Logger, count func(string)) {
	var truncated *fetch.TruncatedError
	if !errors.As(err, &truncated) || !truncated.HeaderReceived {
		return
	}
	count("answer-cut")
	log.Warn("response truncated", zap.String("source", s.Name), zap.Int("bytes", truncated.Bytes),
		zap.Int64("first_ms", truncated.HeaderTime.Milliseconds()), zap.Int64("took_ms", truncated.Elapsed.Milliseconds()),
		zap.String("error", truncated.Err.Error()))
}

// logAvailability logs transitions between availability and failure.
func (f *Follower) logAvailability(s NamedSource, err error) {
	switch {
	case err != nil && !f.failing[s.Name]:
		f.failing[s.Name] = true
		f.Log.Warn("source unavailable", zap.String("source", s.Name), zap.String("error", err.Error()))
	case err == nil && f.failing[s.Name]:
		delete(f.failing, s.Name)
		f.Log.Info("source available again", zap.String("source", s.Name))
	}
	if err != nil {
		f.Count("failed")
	}
}
