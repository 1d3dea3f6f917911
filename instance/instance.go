// Package instance assembles one ivyentry instance: its copy of the published configuration, its
// listeners, its gossip with other instances, its logs and counters.
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
	"ivyridge/clock"
	"ivyridge/discovery"
	"ivyridge/entry"
	"ivyridge/gossip"
	"ivyridge/ingress"
	"ivyridge/internal/fetch"
	"ivyridge/inventory"
	"ivyridge/memory"
	"ivyridge/platform"
	"ivyridge/poison"
	"ivyridge/upstream"
)

const (
	readinessDelay = 2300 * time.Millisecond // for the load balancer to see that the instance is not ready
	// graceFraction is the fraction of the grace period for Stop; the process exits in the rest.
	graceFraction = 15.0 / 16
	// finalResponseTime is the end of that, for the responses to requests that did not end.
	finalResponseTime = 150 * time.Millisecond
	// backgroundFraction is the fraction of the grace period in which Stop waits for background work.
	// It is shorter, since callers gain nothing from it, and on a busy machine the process may need
	// long to exit.
	backgroundFraction  = 3.0 / 4
	maintenanceInterval = 500 * time.Millisecond
)

// maxRequestsPerDescriptor is the number of requests that may run per file descriptor. Each holds two,
// the caller's and the endpoint's, which leaves a quarter for other uses.
const maxRequestsPerDescriptor = 3.0 / 8

// An Instance is one running instance.
type Instance struct {
	settings         *Settings                // as of the start
	effective        atomic.Pointer[Settings] // with reloaded fields applied
	now              func() time.Time
	refreshClock     func()            // resynchronizes the clock behind now
	setRuntimeLimit  func(int64)       // see Environment
	runtimeLimit     int64             // the last one set; used by maintain only
	dialEndpoint     upstream.DialFunc // nil: over the network
	log              *zap.Logger
	discovery        *discovery.Table
	balancer         *balance.Balancer
	pool             *upstream.Pool
	peerPool         *upstream.Pool // connections to other instances, for forwarded requests
	account          *memory.Account
	countAccepted    func(string) // counts caller connections by outcome
	countPeers       func(string) // counts connections of other instances by outcome
	entry            *entry.Proxy
	follower         *discovery.Follower
	validator        *discovery.Validator
	gossip           *gossip.Gossip
	countGossip      func(string)
	status           *status
	inventoryClient  *inventory.Client
	countCrossRegion func(kind string, bytes int)
	olderBuilds      olderBuilds
	suspects         *poison.Table
	store            *platform.Store

	relayClient *http.Client

	callerServer  *http.Server
	readyServer   *http.Server
	peerServer    *http.Server
	metricsServer *http.Server // nil if no port is set
	listeners     []net.Listener
	cancel        context.CancelFunc
	wg            sync.WaitGroup
}

// Start starts an instance and adds its counters to counters. On error, no listener is left open.
func Start(s *Settings, log *zap.Logger, counters *expvar.Map) (*Instance, error) {
	c := clock.NewSteady()
	return StartIn(Environment{Now: c.Now, refreshClock: c.Refresh, setRuntimeLimit: setRuntimeLimit()}, s, log, counters)
}

// An Environment replaces what an instance uses of its machine.
type Environment struct {
	// Now is the clock for all decisions. It must keep running while the machine is suspended.
	Now func() time.Time
	// DialEndpoint opens connections to endpoints; nil: over the network.
	DialEndpoint upstream.DialFunc

	refreshClock    func()      // resynchronizes the clock behind Now
	setRuntimeLimit func(int64) // sets the memory limit of the runtime, in bytes; nil: it stays
}

// StartIn is Start in another environment.
func StartIn(e Environment, s *Settings, log *zap.Logger, counters *expvar.Map) (*Instance, error) {
	if e.refreshClock == nil {
		e.refreshClock = func() {}
	}
	i := &Instance{settings: s, now: e.Now, refreshClock: e.refreshClock, setRuntimeLimit: e.setRuntimeLimit, dialEndpoint: e.DialEndpoint, log: log.With(zap.String("instance", s.Name)), status: newStatus(s, e.Now())}
	i.effective.Store(s)
	i.assemble(counters)
	if err := i.listen(); err != nil {
		i.closeListeners()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.run(ctx)
	i.log.Info("started", zap.String("data_centre", s.DataCentre), zap.String("callers", s.Listen.Callers),
		zap.String("store", s.Store), zap.Strings("seeds", s.Seeds), zap.Int("pid", os.Getpid()), zap.Bool("first_start", s.FirstStart),
		zap.String("settings", i.status.settingsHash()), zap.Any("build", i.status.build))
	counters.Set("bounds", expvar.Func(i.quotaStatus))
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
	i.discovery = discovery.NewTable(i.now)
	i.balancer = balance.New(s.DataCentre, i.now)
	i.balancer.SetColdBounds(coldBounds(s))
	i.balancer.SetRetries(retryLimit(s))
	i.balancer.SetRegions(regions(s))
	counters.Set("shares", sharesVar(i.balancer, i.teams))
	i.pool = upstream.NewPool(counter(subMap(counters, "connections")), i.now)
	if i.dialEndpoint != nil {
		i.pool.SetDial(i.dialEndpoint)
	}
	i.peerPool = upstream.NewPool(counter(subMap(counters, "peer_connections")), i.now)
	i.account = newAccount(s)
	counters.Set("memory", i.account)
	i.countAccepted = i.logRefusals(counter(subMap(counters, "accepted")))
	i.countPeers = counter(subMap(counters, "accepted_peers"))
	i.suspects = poison.NewTable()
	requestWaiting := make(chan struct{})
	i.entry = entry.New(entry.Options{
		OnConfigurationWait: sync.OnceFunc(func() { close(requestWaiting) }),
		State:               i.discovery,
		Placer:              placer{i},
		Pool:                i.pool,
		Memory:              i.account,
		Codec:               platform.Codec{},
		Limits:              proxyLimits(s),
		Log:                 i.log,
		Counters:            entry.NewCounters(subMap(counters, "callers")),
		Now:                 i.now,
		Settings:            i.status.settingsHash,

		Poison:   i.suspects,
		Peers:    i,
		Streams:  streams{i},
		PeerPool: i.peerPool,
		Name:     s.Name,

		PublishPoison: func(entries []poison.Entry) { i.gossip.SendSuspects(entries) },
	})
	i.countGossip = counter(subMap(counters, "gossip"))
	i.countCrossRegion = adder(subMap(counters, "gossip-bytes-to-other-regions"))
	i.relayClient = fetch.NewClient(1, relayIdleTimeout)
	i.inventoryClient = &inventory.Client{HTTP: i.relayClient, Wait: inventory.QueryTimeout}
	counters.Set("fleet", expvar.Func(i.fleetCounters))
	count := counter(subMap(counters, "beliefs"))
	i.store = platform.NewStore(s.Store, i.log)
	i.store.Now = i.now
	i.store.OnReject = counter(subMap(counters, "kept_out"))
	store := discovery.NamedSource{Name: "store", IsStore: true, Source: i.store}
	i.follower = &discovery.Follower{
		Table:         i.discovery,
		Store:         store,
		Upstream:      i.upstream,
		Peers:         i.newerPeers,
		NewerRevision: func() <-chan struct{} { return i.gossip.NewerRevision() },
		StoreReaders:  i.storeReaders,
		Log:           i.log,
		Count:         count,

		BootstrapTimeout: i.bootstrapWait(),
		SkipBootstrap:    requestWaiting,
	}
	i.validator = &discovery.Validator{Table: i.discovery, Store: store, Turn: i.validationTurn, Receiving: i.follower.Receiving, Propagation: i.propagation, Log: i.log, Count: count}
}

// propagation returns the time within which a change of the configuration must be in force.
func (i *Instance) propagation() time.Duration {
	return time.Duration(i.effective.Load().Promises.PropagationMS) * time.Millisecond
}

func proxyLimits(s *Settings) entry.Limits {
	p := s.Promises
	return entry.Limits{
		Propagation:  time.Duration(p.PropagationMS) * time.Millisecond,
		StrictRevoke: p.StrictRevoke,
		Revoke:       time.Duration(p.RevokeMS) * time.Millisecond,
		RetryRatio:   p.RetryRatio,
		RetryExtra:   p.RetryExtra,
		StallTimeout: time.Duration(p.CallerStallMS) * time.Millisecond,
		MaxRunning:   int(maxRequestsPerDescriptor * float64(s.Machine.Descriptors)),
	}
}

func coldBounds(s *Settings) balance.ColdBounds {
	over := s.Promises.ColdOver
	if over == 0 {
		over = 1
	}
	return balance.ColdBounds{Over: over, Slack: s.Promises.ColdSlack}
}

// regions maps data centres to their regions.
func regions(s *Settings) map[string]string {
	out := make(map[string]string, len(s.DataCentres))
	for _, d := range s.DataCentres {
		out[d.Name] = d.Region
	}
	return out
}

func (i *Instance) listen() error {
	cfg := i.settings.Listen
	addresses := []string{cfg.Callers, cfg.Ready, cfg.Peers}
	if cfg.Metrics != 0 {
		addresses = append(addresses, net.JoinHostPort(hostOf(cfg.Peers), strconv.Itoa(cfg.Metrics)))
	}
	for n, address := range addresses {
		listen := listenTCP
		if n == 0 {
			listen = ingress.Listen
		}
		l, err := listen(address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		i.listeners = append(i.listeners, l)
	}
	return i.listenGossip()
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func (i *Instance) listenGossip() error {
	s := i.settings
	port := strconv.Itoa(s.Listen.Gossip)
	o := gossip.Options{
		Address:    net.JoinHostPort(hostOf(s.Listen.Peers), port),
		DataCentre: s.DataCentre,
		Cores:      s.Machine.Cores,

		DataCentres: len(s.DataCentres),
		Regions:     regions(s),

		State:    i.discovery,
		Balancer: i.balancer,
		Log:      i.log,
		Count:    i.countGossip,
		Summary:  i.summary,
		Now:      i.now,

		Suspects:      i.suspects,
		OnSuspects:    i.entry.LogPoisonUpdate,
		FetchSuspects: i.fetchSuspects,
		FirstStart:    s.FirstStart,

		OnFleetSize: func(n int, reportInterval time.Duration) {
			i.balancer.SetInstances(n, reportInterval)
			i.entry.SetInstances(i.retryBudgetSharers(n))
		},
	}
	o.Seeds = gossipSeeds(s)
	var err error
	i.gossip, err = gossip.Listen(o)
	return err
}

// gossipSeeds returns the gossip addresses of the seeds. All instances use the same port.
func gossipSeeds(s *Settings) []string {
	var out []string
	for _, seed := range s.Seeds {
		out = append(out, net.JoinHostPort(hostOf(seed), strconv.Itoa(s.Listen.Gossip)))
	}
	return out
}

// hostOf returns the host of a valid address.
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
	i.callerServer = &http.Server{
		Handler:     i.entry,
		ConnContext: entry.ConnContext,
		ErrorLog:    zap.NewStdLog(i.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	ingress.Configure(i.callerServer)
	i.callerServer.WriteTimeout = i.entry.StallTimeout()
	i.readyServer = &http.Server{Handler: i.readyHandler(), ReadHeaderTimeout: headerTimeout}
	i.spawn(func() { _ = i.callerServer.Serve(i.callerListener()) })
	i.spawn(func() { _ = i.readyServer.Serve(i.listeners[1]) })
	i.peerServer = &http.Server{Handler: i.peersHandler(), ConnContext: entry.ConnContext}
	ingress.Configure(i.peerServer)
	i.spawn(func() { _ = i.peerServer.Serve(i.peerListener()) })
	if len(i.listeners) > 3 {
		i.metricsServer = &http.Server{Handler: i.metricsHandler(), ReadHeaderTimeout: headerTimeout}
		i.spawn(func() { _ = i.metricsServer.Serve(i.listeners[3]) })
	}
	i.spawn(func() { i.follower.Run(ctx) })
	i.spawn(func() { i.validator.Run(ctx) })
	i.spawn(func() { i.maintain(ctx) })
	i.spawn(func() { i.probeEndpoints(ctx) })
	i.spawn(func() { i.gossip.Run(ctx) })
}

func (i *Instance) spawn(run func()) {
	i.wg.Add(1)
	go func() {
		defer i.wg.Done()
		run()
	}()
}

const metricsPath = "/debug/vars"

func (i *Instance) metricsHandler() http.Handler {
	r := chi.NewRouter()
	routeInventory(r, i.inventorySource())
	i.routeBlocked(r)
	i.routeWorkingSets(r)
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

// maintain periodically detects suspension, and drops the state of removed endpoints.
func (i *Instance) maintain(ctx context.Context) {
	i.adjustRuntimeLimit()
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	s := newSuspendDetector(i.now)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			i.refreshClock()
			i.adjustRuntimeLimit()
			now := i.now()
			i.handleResume(s.check(now))
			i.status.observe(i.version(), i.entry.Ready(), now)
			i.balancer.Prune(i.discovery.HasIncarnation)
			i.pool.CloseExpired(now, i.discovery.HasIncarnation)
			i.peerPool.CloseExpired(now, func(string) bool { return true })
			i.entry.MaintainSuspects(now)
		}
	}
}

// Reload applies the promises, seeds and memory limit of s. Other settings need a restart.
func (i *Instance) Reload(s *Settings) {
	effective := i.applyReload(s)
	i.entry.SetLimits(proxyLimits(effective))
	limit, _ := memoryLimit(effective)
	i.account.SetLimit(limit)
	i.balancer.SetColdBounds(coldBounds(effective))
	i.balancer.SetRetries(retryLimit(effective))
	i.gossip.SetSeeds(gossipSeeds(effective))
	changed, pending := i.status.reload(s, i.now())
	i.log.Info("settings reloaded", zap.String("settings", i.status.settingsHash()),
		zap.Strings("changed", changed), zap.Strings("wait_for_restart", pending))
}

// applyReload makes the reloadable fields of s effective and returns the effective settings.
func (i *Instance) applyReload(s *Settings) *Settings {
	effective := *i.effective.Load()
	effective.Promises, effective.Seeds, effective.Machine.MemoryMB = s.Promises, s.Seeds, s.Machine.MemoryMB
	i.effective.Store(&effective)
	return &effective
}

// Members returns the live instances other than i.
func (i *Instance) Members() []gossip.Member { return i.gossip.Members() }

// Kill stops the instance immediately, as a crash would.
func (i *Instance) Kill() {
	i.cancel()
	i.closeServers()
	i.wg.Wait()
}

func (i *Instance) closeServers() {
	_ = i.callerServer.Close()
	_ = i.readyServer.Close()
	_ = i.peerServer.Close()
	if i.metricsServer != nil {
		_ = i.metricsServer.Close()
	}
	i.pool.Close()
	i.peerPool.Close()
}

// Stop shuts the instance down gracefully. It reports not ready, accepts requests until the load
// balancer has noticed, and waits for those in flight. It returns before the grace period ends, even
// if background work that can't be interrupted, such as decoding a response, continues.
func (i *Instance) Stop() {
	grace := i.effective.Load().Promises.GraceS * float64(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(grace*graceFraction))
	defer cancel()
	backgroundCtx, cancelBackground := context.WithTimeout(ctx, time.Duration(grace*backgroundFraction))
	defer cancelBackground()
	i.log.Info("stopping", zap.Int("in_hand", i.entry.Open()))
	requestTime := time.Duration(grace*graceFraction) - finalResponseTime
	i.entry.Leave(requestTime)
	ending := time.AfterFunc(requestTime, i.entry.EndRequests)
	defer ending.Stop()
	select {
	case <-ctx.Done():
	case <-time.After(readinessDelay):
	}
	_ = i.callerServer.Shutdown(ctx)
	i.entry.Wait(ctx)
	i.gossip.Leave()
	i.cancel()
	i.closeServers()
	background := i.awaitBackground(backgroundCtx)
	i.log.Info("stopped", zap.Int("in_hand", i.entry.Open()), zap.Bool("background_ended", background))
}

// awaitBackground reports whether all spawned goroutines end before ctx is done.
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
