// Package instance assembles one entry instance on the users' platform: its
// beliefs, its listeners, its exchange with other instances, its logs and
// counters. cmd/ivyentry is a thin main around it.
package instance

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/belief"
	"ivyridge/clock"
	"ivyridge/entry"
	"ivyridge/gossip"
	"ivyridge/internal/fetch"
	"ivyridge/inventory"
	"ivyridge/memory"
	"ivyridge/platform"
	"ivyridge/poison"
	"ivyridge/upstream"
)

// Bounds on callers' connections.
const (
	headerWithin   = 5 * time.Second
	idleFor        = 75 * time.Second
	maxHeaderBytes = 64 << 10
)

// Times of a stop and of upkeep.
const (
	noticedWithin = 2300 * time.Millisecond // by the balancer, that the instance is not ready
	// stopPart is the part of the grace after which a stop ends whatever is still
	// in hand: on a machine with five times as many busy processes as processors,
	// 0.1 s was not enough for a process to end.
	stopPart    = 15.0 / 16
	upkeepEvery = 500 * time.Millisecond
)

// Requests that run hold two descriptors each, the caller's and one to an endpoint.
const openShare = 3.0 / 8 // of the descriptors, as a number of requests

// An Instance is one running instance.
type Instance struct {
	settings *Settings                // of the start
	force    atomic.Pointer[Settings] // in force: those of the start, with what a reload has taken up
	now      func() time.Time
	refresh  func() // the clock
	log      *zap.Logger
	beliefs  *belief.Table
	balancer *balance.Balancer
	pool     *upstream.Pool
	account  *memory.Account
	accepted func(string) // counts callers' connections
	entry    *entry.Entry
	follower *belief.Follower
	prover   *belief.Prover
	gossip   *gossip.Gossip
	heard    func(string)
	running  *running
	asker    *inventory.Client
	beyond   func(kind string, bytes int)
	older    older
	suspects *poison.Table
	store    *platform.Store

	relayClient *http.Client

	callers   *http.Server
	ready     *http.Server
	peers     *http.Server
	metrics   *http.Server // nil if there is no port for it
	listeners []net.Listener
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// Start opens an instance's listeners and starts it. Counters are published
// in counters.
func Start(s *Settings, log *zap.Logger, counters *expvar.Map) (*Instance, error) {
	steady := clock.NewSteady()
	return start(s, log, counters, steady.Now, steady.Refresh)
}

// StartAt is Start with another clock for all that the instance decides. It is to pass also while
// the machine is suspended.
func StartAt(s *Settings, log *zap.Logger, counters *expvar.Map, now func() time.Time) (*Instance, error) {
	return start(s, log, counters, now, func() {})
}

// start starts an instance by a clock that is to be refreshed now and then.
func start(s *Settings, log *zap.Logger, counters *expvar.Map, now func() time.Time, refresh func()) (*Instance, error) {
	i := &Instance{settings: s, now: now, refresh: refresh, log: log.With(zap.String("instance", s.Name)), running: newRunning(s, now())}
	i.force.Store(s)
	i.assemble(counters)
	if err := i.listen(); err != nil {
		i.closeListeners()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.run(ctx)
	i.log.Info("started", zap.String("data_centre", s.DataCentre), zap.String("callers", s.Listen.Callers),
		zap.String("store", s.Store), zap.Strings("seeds", s.Seeds), zap.Int("pid", os.Getpid()),
		zap.String("settings", i.running.settings()), zap.Any("build", i.running.build))
	counters.Set("bounds", expvar.Func(i.holdings))
	return i, nil
}

func subMap(m *expvar.Map, name string) *expvar.Map {
	s := new(expvar.Map).Init()
	m.Set(name, s)
	return s
}

func counter(m *expvar.Map) func(string) {
	return func(event string) { m.Add(event, 1) }
}

func adder(m *expvar.Map) func(string, int) {
	return func(what string, n int) { m.Add(what, int64(n)) }
}

func (i *Instance) assemble(counters *expvar.Map) {
	s := i.settings
	i.beliefs = belief.NewTable(i.now)
	i.balancer = balance.New(s.DataCentre, i.now)
	i.balancer.SetColdBounds(coldBounds(s))
	i.balancer.SetRetries(retries(s))
	i.balancer.SetRegions(regions(s))
	counters.Set("shares", sharesVar(i.balancer, i.teams))
	i.pool = upstream.NewPool(counter(subMap(counters, "connections")), i.now)
	i.account = newAccount(s)
	counters.Set("memory", i.account)
	i.accepted = counter(subMap(counters, "accepted"))
	i.suspects = poison.NewTable()
	hurry := make(chan struct{})
	i.entry = entry.New(entry.Options{
		Awaited:  sync.OnceFunc(func() { close(hurry) }),
		Beliefs:  i.beliefs,
		Placer:   placer{i},
		Pool:     i.pool,
		Memory:   i.account,
		Codec:    platform.Codec{},
		Bounds:   bounds(s),
		Log:      i.log,
		Counters: entry.NewCounters(subMap(counters, "callers")),
		Now:      i.now,
		Settings: i.running.settings,

		Poison:     i.suspects,
		TellPoison: func(entries []poison.Entry) { i.gossip.TellSuspects(entries) },
	})
	i.heard = counter(subMap(counters, "gossip"))
	i.beyond = adder(subMap(counters, "gossip-bytes-to-other-regions"))
	i.relayClient = fetch.NewClient(1, relayIdle)
	i.asker = &inventory.Client{HTTP: i.relayClient, Wait: inventory.AskWithin}
	counters.Set("fleet", expvar.Func(i.countFleet))
	count := counter(subMap(counters, "beliefs"))
	i.store = platform.NewStore(s.Store, i.log)
	i.store.Now = i.now
	i.store.Count = counter(subMap(counters, "kept_out"))
	store := belief.NamedSource{Name: "store", Origin: true, Source: i.store}
	i.follower = &belief.Follower{
		Table:    i.beliefs,
		Store:    store,
		Upstream: i.upstream,
		Peers:    i.relays,
		Newer:    func() <-chan struct{} { return i.gossip.Newer() },
		Readers:  i.readers,
		Log:      i.log,
		Count:    count,

		StartWithin: i.startWait(),
		Hurry:       hurry,
	}
	i.prover = &belief.Prover{Table: i.beliefs, Store: store, Turn: i.turn, Arriving: i.follower.Arriving, Log: i.log, Count: count}
}

func bounds(s *Settings) entry.Bounds {
	p := s.Promises
	return entry.Bounds{
		Propagation:  time.Duration(p.PropagationMS) * time.Millisecond,
		StrictRevoke: p.StrictRevoke,
		Revoke:       time.Duration(p.RevokeMS) * time.Millisecond,
		RetryRatio:   p.RetryRatio,
		RetryExtra:   p.RetryExtra,
		CallerStall:  time.Duration(p.CallerStallMS) * time.Millisecond,
		MaxOpen:      int(openShare * float64(s.Machine.Descriptors)),
	}
}

// coldBounds returns what cold endpoints may be sent; where nothing is set, their rate.
func coldBounds(s *Settings) balance.ColdBounds {
	over := s.Promises.ColdOver
	if over == 0 {
		over = 1
	}
	return balance.ColdBounds{Over: over, Slack: s.Promises.ColdSlack}
}

// regions returns the region of each data centre.
func regions(s *Settings) map[string]string {
	out := make(map[string]string, len(s.DataCentres))
	for _, d := range s.DataCentres {
		out[d.Name] = d.Region
	}
	return out
}

func (i *Instance) listen() error {
	own := i.settings.Listen
	addresses := []string{own.Callers, own.Ready, own.Peers}
	if own.Metrics != 0 {
		addresses = append(addresses, net.JoinHostPort(hostOf(own.Peers), strconv.Itoa(own.Metrics)))
	}
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		i.listeners = append(i.listeners, l)
	}
	return i.listenGossip()
}

func (i *Instance) listenGossip() error {
	s := i.settings
	port := strconv.Itoa(s.Listen.Gossip)
	o := gossip.Options{
		Address:    net.JoinHostPort(hostOf(s.Listen.Peers), port),
		DataCentre: s.DataCentre,
		Cores:      s.Machine.Cores,

		DataCentres: len(s.DataCentres),
		Regions:     regions(s),

		Beliefs:  i.beliefs,
		Balancer: i.balancer,
		Log:      i.log,
		Count:    i.heard,
		Mark:     i.mark,
		Now:      i.now,

		Suspects:     i.suspects,
		SuspectNews:  i.entry.HearPoison,
		PullSuspects: i.askSuspects,

		Instances: func(n int, told time.Duration) {
			i.balancer.SetInstances(n, told)
			i.entry.SetInstances(i.sharers(n))
		},
	}
	o.Seeds = gossipSeeds(s)
	var err error
	i.gossip, err = gossip.Listen(o)
	return err
}

// gossipSeeds returns the gossip addresses of the seeds; the port is the same
// everywhere.
func gossipSeeds(s *Settings) []string {
	var out []string
	for _, seed := range s.Seeds {
		out = append(out, net.JoinHostPort(hostOf(seed), strconv.Itoa(s.Listen.Gossip)))
	}
	return out
}

// hostOf returns the host of an address that was checked.
func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

func (i *Instance) closeListeners() {
	for _, l := range i.listeners {
		_ = l.Close()
	}
}

func (i *Instance) run(ctx context.Context) {
	i.callers = &http.Server{
		Handler:           i.entry,
		ReadHeaderTimeout: headerWithin,
		IdleTimeout:       idleFor,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       entry.ConnContext,
		ConnState:         rests,
		ErrorLog:          zap.NewStdLog(i.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	i.ready = &http.Server{Handler: i.readyHandler(), ReadHeaderTimeout: headerWithin}
	i.spawn(func() { _ = i.callers.Serve(i.callerListener()) })
	i.spawn(func() { _ = i.ready.Serve(i.listeners[1]) })
	i.peers = &http.Server{Handler: i.peersHandler(), ReadHeaderTimeout: headerWithin, IdleTimeout: relayIdle * 2}
	i.spawn(func() { _ = i.peers.Serve(i.listeners[2]) })
	if len(i.listeners) > 3 {
		i.metrics = &http.Server{Handler: i.metricsHandler(), ReadHeaderTimeout: headerWithin}
		i.spawn(func() { _ = i.metrics.Serve(i.listeners[3]) })
	}
	i.spawn(func() { i.follower.Run(ctx) })
	i.spawn(func() { i.prover.Run(ctx) })
	i.spawn(func() { i.upkeep(ctx) })
	i.spawn(func() { i.gossip.Run(ctx) })
}

func (i *Instance) callerListener() net.Listener {
	return &callerListener{
		Listener: i.listeners[0],
		account:  i.account,
		most:     int64(i.settings.Machine.Descriptors / callerShare),
		limits:   i.callerTimes,
		count:    i.accepted,
	}
}

// callerTimes returns the times that the operator sets for callers.
func (i *Instance) callerTimes() callerTimes {
	c := i.beliefs.View().Catalog
	if c == nil {
		return callerTimes{}
	}
	return callerTimes{header: c.Limits().HeaderTimeout, idle: c.Limits().IdleTimeout}
}

func (i *Instance) spawn(run func()) {
	i.wg.Add(1)
	go func() {
		defer i.wg.Done()
		run()
	}()
}

// metricsPath is where the counters are told.
const metricsPath = "/debug/vars"

func (i *Instance) metricsHandler() http.Handler {
	r := chi.NewRouter()
	routeInventory(r, i.inventorySource())
	i.routeBlocked(r)
	i.routeSets(r)
	r.Get(metricsPath, expvar.Handler().ServeHTTP)
	return r
}

func (i *Instance) readyHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !i.entry.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

// upkeep drops what belongs to endpoints that are gone.
func (i *Instance) upkeep(ctx context.Context) {
	tick := time.NewTicker(upkeepEvery)
	defer tick.Stop()
	s := newSleepWatch(i.now)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			i.refresh()
			now := i.now()
			i.slept(s.look(now))
			i.running.see(i.version(), i.entry.Ready(), now)
			i.balancer.Forget(i.beliefs.Lists)
			i.pool.Sweep(now, i.beliefs.Lists)
			i.suspects.Tidy(now)
		}
	}
}

// Reload takes up changed settings: promises, seeds and the limit of memory. Addresses, the
// store and what else there is stay as they were at the start.
func (i *Instance) Reload(s *Settings) {
	force := i.takeUp(s)
	i.entry.SetBounds(bounds(force))
	limit, _ := memoryLimit(force)
	i.account.SetLimit(limit)
	i.balancer.SetColdBounds(coldBounds(force))
	i.balancer.SetRetries(retries(force))
	i.gossip.SetSeeds(gossipSeeds(force))
	changed, waiting := i.running.reload(s, i.now())
	i.log.Info("settings reloaded", zap.String("settings", i.running.settings()),
		zap.Strings("changed", changed), zap.Strings("wait_for_restart", waiting))
}

// takeUp puts in force what of s needs no restart, and returns all that is in force.
func (i *Instance) takeUp(s *Settings) *Settings {
	force := *i.force.Load()
	force.Promises, force.Seeds, force.Machine.MemoryMB = s.Promises, s.Seeds, s.Machine.MemoryMB
	i.force.Store(&force)
	return &force
}

// Members returns the other instances that are heard.
func (i *Instance) Members() []gossip.Member { return i.gossip.Members() }

// Kill ends the instance at once, as a crash would.
func (i *Instance) Kill() {
	i.cancel()
	i.closeServers()
	i.wg.Wait()
}

func (i *Instance) closeServers() {
	_ = i.callers.Close()
	_ = i.ready.Close()
	_ = i.peers.Close()
	if i.metrics != nil {
		_ = i.metrics.Close()
	}
	i.pool.Close()
}

// Stop ends the instance as planned: it is not ready at once, takes requests
// until the balancer has noticed, finishes those in hand, and returns when
// all are done or the grace is nearly over. It does not wait for work in the
// background beyond that: an answer that is being decoded can't be interrupted.
func (i *Instance) Stop() {
	grace := i.force.Load().Promises.GraceS * float64(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(grace*stopPart))
	defer cancel()
	i.log.Info("stopping", zap.Int("in_hand", i.entry.Open()))
	i.entry.Leave()
	select {
	case <-ctx.Done():
	case <-time.After(noticedWithin):
	}
	_ = i.callers.Shutdown(ctx)
	i.entry.Wait(ctx)
	i.gossip.Leave()
	i.cancel()
	i.closeServers()
	background := i.awaitBackground(ctx)
	i.log.Info("stopped", zap.Int("in_hand", i.entry.Open()), zap.Bool("background_ended", background))
}

// awaitBackground reports whether all that the instance spawned ends before ctx.
func (i *Instance) awaitBackground(ctx context.Context) bool {
	ended := make(chan struct{})
	go func() {
		i.wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-ctx.Done():
		return false
	}
}
