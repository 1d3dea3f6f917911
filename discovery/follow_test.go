package discovery

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ivyridge/catalog"
	"ivyridge/internal/fetch"
)

// A change must take effect within 2 s, so coalescing may take only a part of that.
func TestCoalesceDelayGrowsWithReaders(t *testing.T) {
	for n, want := range map[int]time.Duration{
		1: minCoalesceDelay, 7: minCoalesceDelay, 50: 500 * time.Millisecond, 80: 800 * time.Millisecond, 390: maxCoalesceDelay,
	} {
		if got := coalesceDelay(n); got != want {
			t.Errorf("coalesceDelay(%d) = %v, want %v", n, got, want)
		}
	}
	if maxCoalesceDelay > time.Second {
		t.Errorf("changes are delayed by up to %v, want at most 1 s", maxCoalesceDelay)
	}
}

func TestValidationAgeGrowsWithRank(t *testing.T) {
	if new(Validator).validationAgeFor(0) != validationInterval {
		t.Errorf("the first instance validates at an age of %v, want %v", new(Validator).validationAgeFor(0), validationInterval)
	}
	for rank := 1; rank < 400; rank++ {
		if new(Validator).validationAgeFor(rank) < new(Validator).validationAgeFor(rank-1) || new(Validator).validationAgeFor(rank) > maxValidationAge {
			t.Errorf("rank %d validates at an age of %v, rank %d at %v, want no decrease and at most maxValidationAge", rank, new(Validator).validationAgeFor(rank), rank-1, new(Validator).validationAgeFor(rank-1))
		}
	}
}

// Guards against all instances calling the store at the same time when none of them has a rank.
func TestUnrankedInstancesLimitStoreCalls(t *testing.T) {
	const unranked = 280
	now := time.Unix(1000, 0)
	calls := 0
	validators := make([]*Validator, unranked)
	for i := range validators {
		validators[i] = &Validator{Turn: func() ValidationTurn { return ValidationTurn{Unranked: unranked} }}
	}
	const seconds = 3
	for tick := range int(seconds * time.Second / validationPollInterval) {
		at := now.Add(time.Duration(tick) * validationPollInterval)
		for _, v := range validators {
			if v.due(at, maxValidationAge-time.Millisecond) {
				t.Fatal("an unranked instance calls before the maximum validation age")
			}
		}
	}
	for tick := range int(seconds * time.Second / validationPollInterval) {
		at := now.Add(time.Duration(tick) * validationPollInterval)
		for _, v := range validators {
			if v.due(at, maxValidationAge) {
				v.randomDue = time.Time{}
				calls++
			}
		}
	}
	mean := int(seconds * time.Second / unrankedMeanInterval)
	if calls < mean/2 || calls > 2*mean {
		t.Errorf("%d calls of %d instances in %d s, want about %d", calls, unranked, seconds, mean)
	}
}

// A single unranked instance calls as soon as the maximum validation age is reached.
func TestLoneUnrankedInstanceCallsImmediately(t *testing.T) {
	v := &Validator{Turn: func() ValidationTurn { return ValidationTurn{Unranked: 1} }}
	now := time.Unix(1000, 0)
	if v.due(now, maxValidationAge-time.Millisecond) || !v.due(now, maxValidationAge) {
		t.Fatal("due before the maximum validation age, or not due at it")
	}
}

type fakeSource struct {
	loads, watches atomic.Int32
	load           func() (*Update, error)
	watch          func(ctx context.Context, q Query) (*Update, error)
}

func (s *fakeSource) Load(context.Context) (*Update, error) {
	s.loads.Add(1)
	return s.load()
}

func (s *fakeSource) Watch(ctx context.Context, q Query) (*Update, error) {
	s.watches.Add(1)
	return s.watch(ctx, q)
}

func fullUpdate(revision int64) *Update {
	return &Update{Revision: revision, Full: true, Config: &catalog.Document{Version: revision}, ValidatedAt: time.Now()}
}

// blockingWatch blocks, unless q.Wait is zero, until ctx is done or the watch is superseded.
func blockingWatch(ctx context.Context, q Query) (*Update, error) {
	if q.Wait == 0 {
		return &Update{Revision: 1, ValidatedAt: time.Now()}, nil
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-q.Superseded:
		return nil, fetch.ErrCanceled
	}
}

// startFollower runs a Follower of store, and of upstream if it is not nil, until the test ends.
func startFollower(t *testing.T, store, upstream *fakeSource, newer func() <-chan struct{}) *Table {
	t.Helper()
	return startFollowerWithUpstream(t, store, newer, func(bool) (NamedSource, bool) {
		return NamedSource{Name: "upstream", Source: upstream}, upstream != nil
	})
}

func startFollowerWithUpstream(t *testing.T, store *fakeSource, newer func() <-chan struct{}, upstream func(bool) (NamedSource, bool)) *Table {
	t.Helper()
	table := NewTable(time.Now)
	f := &Follower{
		Table:         table,
		Store:         NamedSource{Name: "store", IsStore: true, Source: store},
		Upstream:      upstream,
		Peers:         func() []NamedSource { return nil },
		NewerRevision: newer,
		StoreReaders:  func() int { return 1 },
		Log:           zap.NewNop(),
		Count:         func(string) {},
	}
	runFollower(t, f)
	return table
}

func runFollower(t *testing.T, f *Follower) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func neverNewer() <-chan struct{} { return nil }

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 500 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("waited 5 s in vain for %s", what)
}

func TestUpstreamReplacesStore(t *testing.T) {
	store := &fakeSource{}
	upstream := &fakeSource{load: func() (*Update, error) { return fullUpdate(1), nil }, watch: blockingWatch}
	table := startFollower(t, store, upstream, neverNewer)
	eventually(t, "a watch at the upstream", func() bool { return upstream.watches.Load() == 1 })
	if table.View().Revision != 1 || store.loads.Load()+store.watches.Load() != 0 {
		t.Fatalf("revision %d, %d calls to the store, want 1 and none", table.View().Revision, store.loads.Load()+store.watches.Load())
	}
}

func TestFallbackToStoreWhenUpstreamFails(t *testing.T) {
	store := &fakeSource{load: func() (*Update, error) { return fullUpdate(1), nil }, watch: blockingWatch}
	upstream := &fakeSource{
		load:  func() (*Update, error) { return nil, errors.New("lost") },
		watch: func(context.Context, Query) (*Update, error) { return nil, errors.New("lost") },
	}
	table := startFollower(t, store, upstream, neverNewer)
	eventually(t, "state from the store", func() bool { return table.View().Revision == 1 })
	eventually(t, "a watch at the store", func() bool { return store.watches.Load() == 1 })
}

// A newer revision at another instance ends a watch once. The source is not polled repeatedly.
func TestCanceledWatchIsRetriedOnce(t *testing.T) {
	newerRevision := make(chan struct{})
	close(newerRevision)
	var signalled atomic.Bool
	newer := func() <-chan struct{} {
		if signalled.Swap(true) {
			return nil
		}
		return newerRevision
	}
	store := &fakeSource{load: func() (*Update, error) { return fullUpdate(1), nil }, watch: blockingWatch}
	startFollower(t, store, nil, newer)
	eventually(t, "a new watch", func() bool { return store.watches.Load() == 3 })
	time.Sleep(300 * time.Millisecond)
	if got := store.watches.Load(); got != 3 {
		t.Fatalf("%d watches, want 3: the canceled one, one without wait, and one with wait", got)
	}
}

// While nothing is published, an instance waits for the first configuration in a single call.
func TestWaitForFirstConfiguration(t *testing.T) {
	published := make(chan struct{})
	store := &fakeSource{
		load: func() (*Update, error) { return &Update{Revision: 1, Full: true, ValidatedAt: time.Now()}, nil },
		watch: func(ctx context.Context, q Query) (*Update, error) {
			if q.After > 1 {
				return blockingWatch(ctx, q)
			}
			select {
			case <-published:
				return &Update{Revision: 2, Config: &catalog.Document{Version: 1}, ValidatedAt: time.Now()}, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
	}
	table := startFollower(t, store, nil, neverNewer)
	eventually(t, "a watch", func() bool { return store.watches.Load() == 1 })
	time.Sleep(200 * time.Millisecond)
	close(published)
	eventually(t, "the configuration", func() bool { return table.View().Catalog != nil })
	if loads := store.loads.Load(); loads != 1 {
		t.Fatalf("%d loads of the full state, want one", loads)
	}
}

func startFollowerWithPeers(t *testing.T, store *fakeSource, peers func() []NamedSource, newer func() <-chan struct{}, upstream func(bool) (NamedSource, bool)) *Table {
	t.Helper()
	table := NewTable(time.Now)
	f := &Follower{
		Table: table, Store: NamedSource{Name: "store", IsStore: true, Source: store},
		Upstream: upstream, Peers: peers, NewerRevision: newer,
		StoreReaders: func() int { return 1 }, Log: zap.NewNop(), Count: func(string) {},
		BootstrapTimeout: 300 * time.Millisecond,
	}
	runFollower(t, f)
	return table
}

func noUpstream(bool) (NamedSource, bool) { return NamedSource{}, false }

// Guards against all instances of a starting fleet loading from and watching the store.
func TestBootstrapFromPeer(t *testing.T) {
	store := &fakeSource{}
	peer := &fakeSource{load: func() (*Update, error) { return fullUpdate(1), nil }, watch: blockingWatch}
	peerAvailable := make(chan struct{})
	var hasPeer atomic.Bool
	time.AfterFunc(50*time.Millisecond, func() {
		hasPeer.Store(true)
		close(peerAvailable)
	})
	upstreamKnown := time.Now().Add(300 * time.Millisecond)
	table := startFollowerWithPeers(t, store, func() []NamedSource {
		if !hasPeer.Load() {
			return nil
		}
		return []NamedSource{{Name: "peer", Source: peer}}
	}, func() <-chan struct{} { return peerAvailable }, func(bool) (NamedSource, bool) {
		return NamedSource{Name: "peer", Source: peer}, time.Now().After(upstreamKnown)
	})
	eventually(t, "a watch at the peer", func() bool { return peer.watches.Load() == 1 })
	if table.View().Revision != 1 || store.loads.Load()+store.watches.Load() != 0 {
		t.Fatalf("revision %d, %d calls to the store, want 1 and none", table.View().Revision, store.loads.Load()+store.watches.Load())
	}
}

// Without peers, an instance queries the store after BootstrapTimeout.
func TestBootstrapWithoutPeers(t *testing.T) {
	store := &fakeSource{load: func() (*Update, error) { return fullUpdate(1), nil }, watch: blockingWatch}
	start := time.Now()
	table := startFollowerWithPeers(t, store, func() []NamedSource { return nil }, neverNewer, noUpstream)
	eventually(t, "state from the store", func() bool { return table.View().Revision == 1 })
	if took := time.Since(start); took < 300*time.Millisecond {
		t.Errorf("the store was called after %v, want at least 300ms for peers", took)
	}
}

// Guards against refusing requests while the instances of a restarted fleet wait for each other.
func TestBootstrapSkipsWaitForPendingRequests(t *testing.T) {
	store := &fakeSource{load: func() (*Update, error) { return fullUpdate(1), nil }, watch: blockingWatch}
	skip := make(chan struct{})
	table := NewTable(time.Now)
	f := &Follower{
		Table: table, Store: NamedSource{Name: "store", IsStore: true, Source: store},
		Upstream: noUpstream, Peers: func() []NamedSource { return nil }, NewerRevision: neverNewer,
		StoreReaders: func() int { return 1 }, Log: zap.NewNop(), Count: func(string) {},
		BootstrapTimeout: time.Minute, SkipBootstrap: skip,
	}
	runFollower(t, f)
	time.Sleep(50 * time.Millisecond)
	if store.loads.Load() != 0 {
		t.Fatal("the store was called though no request is waiting")
	}
	close(skip)
	eventually(t, "state from the store", func() bool { return table.View().Revision == 1 })
}

func TestBootstrapWithFailingPeer(t *testing.T) {
	store := &fakeSource{load: func() (*Update, error) { return fullUpdate(1), nil }, watch: blockingWatch}
	peer := &fakeSource{load: func() (*Update, error) { return nil, errors.New("lost") }}
	table := startFollowerWithPeers(t, store, func() []NamedSource { return []NamedSource{{Name: "peer", Source: peer}} }, neverNewer, noUpstream)
	eventually(t, "state from the store", func() bool { return table.View().Revision == 1 })
	if n := peer.loads.Load(); n > 5 {
		t.Errorf("a failing peer was called %d times within 300 ms, want at most 5", n)
	}
}

func TestSilentUpstreamIsReplacedByStore(t *testing.T) {
	newerRevision := make(chan struct{})
	store := &fakeSource{watch: func(_ context.Context, q Query) (*Update, error) {
		return &Update{Revision: max(q.After, 2), ValidatedAt: time.Now()}, nil
	}}
	upstream := &fakeSource{load: func() (*Update, error) { return fullUpdate(1), nil }, watch: blockingWatch}
	table := startFollowerWithUpstream(t, store, func() <-chan struct{} { return newerRevision }, func(behind bool) (NamedSource, bool) {
		return NamedSource{Name: "upstream", Source: upstream}, !behind
	})
	eventually(t, "a watch at the upstream", func() bool { return upstream.watches.Load() == 1 })
	close(newerRevision)
	eventually(t, "the change from the store", func() bool { return table.View().Revision == 2 })
}

// During a store outage all entries of a service may expire though its endpoints are alive, so an
// instance that follows another one also gives them a grace period.
func TestFollowerKeepsEntriesDeletedDuringOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(func() time.Time { return now })
	upstream := NamedSource{Name: "upstream"}
	apply := func(u *Update) { Apply(table, upstream, u, zap.NewNop(), func(string) {}) }
	entries := []Record{{Endpoint: catalog.Endpoint{ID: "a", Service: "s"}, Revision: 1}, {Endpoint: catalog.Endpoint{ID: "b", Service: "s"}, Revision: 2}}
	apply(&Update{Revision: 2, Full: true, Config: &catalog.Document{Version: 1}, Endpoints: entries, ValidatedAt: now})
	now = now.Add(4 * time.Second)
	apply(&Update{Revision: 3, Full: true, Endpoints: entries[:1], ValidatedAt: now})
	if got := table.View().Endpoints("s"); len(got) != 2 || got[1].GraceUntil.IsZero() {
		t.Fatalf("%d endpoints after the outage, want two, the second in its grace period", len(got))
	}
	now = now.Add(100 * time.Millisecond)
	apply(&Update{Revision: 4, Full: true, ValidatedAt: now})
	for _, e := range table.View().Endpoints("s") {
		if e.ID == "a" {
			t.Fatal("an entry that was deleted after the outage is kept")
		}
	}
}

// No validating call is made while a store response arrives, unless the last validation is old.
func TestValidationWaitsForArrivingResponse(t *testing.T) {
	arriving := true
	v := &Validator{Turn: func() ValidationTurn { return ValidationTurn{} }, Receiving: func() bool { return arriving }}
	now := time.Unix(1000, 0)
	if v.due(now, maxValidationAge-time.Millisecond) {
		t.Error("due below the maximum validation age while a response arrives")
	}
	if !v.due(now, maxValidationAge) {
		t.Error("not due at the maximum validation age while a response arrives")
	}
	arriving = false
	if !v.due(now, validationInterval) {
		t.Error("not due at the validation interval though no response arrives")
	}
}

// Instances that the store serves must notice in time that those which read it are turned away: the
// call at the standby's age, of a further rank as well, is well within the propagation bound.
func TestStandbyValidatesWithinPropagationBound(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second} {
		v := &Validator{Propagation: func() time.Duration { return bound }}
		for rank := 1; rank <= 4; rank++ {
			if got := v.validationAgeFor(rank); float64(got) > 0.85*float64(bound) || got <= validationInterval {
				t.Errorf("bound %v: rank %d calls at an age of %v, want over %v and at most 0.85 of the bound", bound, rank, got, validationInterval)
			}
		}
	}
}
