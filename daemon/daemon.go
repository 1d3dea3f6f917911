// Package daemon assembles one ivyrouted instance: its node, listeners, logs and counters.
package daemon

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ivyridge/api"
	"ivyridge/clock"
	"ivyridge/dispatch"
	"ivyridge/home"
	"ivyridge/internal/fetch"
	"ivyridge/internal/logs"
	"ivyridge/node"
	"ivyridge/operator"
	"ivyridge/peer"
	"ivyridge/platformclient"
	"ivyridge/settings"
)

// readinessDelay gives the load balancer time to see that an instance is not ready.
const readinessDelay = time.Second

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	bodyTimeout   = 30 * time.Second
)

// A Daemon is one running instance.
type Daemon struct {
	settings  *settings.Settings
	log       *zap.Logger
	node      *node.Node
	api       *api.API
	callers   *http.Server
	operators *http.Server
	peers     *peer.Server
	listeners [3]net.Listener
	wg        sync.WaitGroup
}

// droppedLogLines counts log lines discarded because the log's buffer was full.
var droppedLogLines = expvar.NewInt("log_lines_dropped")

// Logger returns a logger with the given settings that writes to standard error.
func Logger(l settings.Log) (*zap.Logger, error) {
	return logs.New(l.Level, logs.Format(l.Format), os.Stderr, droppedLogLines)
}

// Start opens an instance's listeners and starts it. If publish is set, its counters
// are published in the process's expvar, which only one instance of a process may do.
func Start(s *settings.Settings, log *zap.Logger, publish bool) (*Daemon, error) {
	keys, err := peer.LoadKeys(peer.KeyFiles{Cert: s.Keys.Cert, Key: s.Keys.Key, CA: s.Keys.CA})
	if err != nil {
		return nil, err
	}
	policy, err := home.ParsePolicy(s.Policy.Name, s.Policy.Disabled...)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, log: log.With(zap.String("instance", s.Name))}
	if err := d.listen(); err != nil {
		return nil, err
	}
	counts := new(expvar.Map).Init()
	if publish {
		counts = expvar.NewMap("ivyridge")
	}
	d.assemble(keys, policy, counts)
	d.serve()
	return d, nil
}

func (d *Daemon) listen() error {
	for i, addr := range []string{d.settings.Listen.Callers, d.settings.Listen.Operators, d.settings.Listen.Peers} {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			for _, open := range d.listeners[:i] {
				_ = open.Close()
			}
			return errors.Wrap(err, "listen")
		}
		d.listeners[i] = l
	}
	return nil
}

func subMap(m *expvar.Map, name string) *expvar.Map {
	s := new(expvar.Map).Init()
	m.Set(name, s)
	return s
}

func (d *Daemon) assemble(keys *peer.Keyring, policy home.Policy, counts *expvar.Map) {
	s := d.settings
	d.node = node.New(node.Options{
		Name:       s.Name,
		DataCentre: s.DataCentre,
		Addr:       s.Advertise,
		Seeds:      s.Seeds,
		Policy:     policy,
		Alone:      s.Policy.Standalone,
		Quarantine: *s.Quarantine,
		ColdStart:  s.ColdStart,
		Clock:      clock.Boot(),
		Log:        d.log,
		Transport:  peer.NewTransport(keys),
		Platform:   platformclient.NewClient(s.Platform),
		Loads:      NewLoadClient(),
		Counters:   subMap(counts, "node"),
	})
	d.peers = peer.NewServer(keys, d.node.Handler())
	d.node.SetQuery(operator.QueryHandler(d.node))
	dispatcher := dispatch.New(d.node, subMap(counts, "retries"))
	d.api = api.New(d.node, dispatcher, api.Options{
		MaxBody: int64(s.Limits.MaxBody),
		MaxTime: s.Limits.MaxTime,
		Open:    s.Limits.MaxOpenRequests,
	}, api.NewCounters(subMap(counts, "callers")))
	d.callers = &http.Server{
		Handler:           d.api.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.Limits.MaxHeader,
	}
	accounts := make([]operator.Account, len(s.Operators))
	for i, o := range s.Operators {
		accounts[i] = operator.Account{Name: o.Name, TokenHash: o.TokenHash, ReadOnly: o.ReadOnly}
	}
	ops := operator.NewServer(d.node, accounts, d.log, subMap(counts, "commands"))
	d.operators = &http.Server{Handler: ops.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

func (d *Daemon) serve() {
	d.node.Run()
	d.wg.Add(3)
	go func() { defer d.wg.Done(); _ = d.peers.Serve(d.listeners[2]) }()
	go func() { defer d.wg.Done(); _ = d.callers.Serve(d.listeners[0]) }()
	go func() { defer d.wg.Done(); _ = d.operators.Serve(d.listeners[1]) }()
	d.log.Info("started", zap.String("callers", d.settings.Listen.Callers), zap.String("peers", d.settings.Listen.Peers))
}

func (d *Daemon) Node() *node.Node { return d.node }

// Shutdown shuts the instance down gracefully. It reports not ready, accepts requests until the load
// balancer has noticed, completes those in flight and queued, and hands over its cells and its
// records of idempotency keys. It returns an error if requests are in flight after drain_within.
func (d *Daemon) Shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainTimeout)
	defer cancel()
	d.node.Leave()
	time.Sleep(readinessDelay)
	d.api.Stop()
	err := d.api.Wait(ctx)
	if e := d.callers.Shutdown(ctx); err == nil {
		err = e
	}
	if err != nil {
		_ = d.callers.Close()
		err = errors.Wrap(err, "requests still in flight at the end of the drain")
	}
	d.node.AwaitHandOver(ctx)
	_ = d.operators.Shutdown(ctx)
	d.node.Close()
	_ = d.peers.Shutdown(context.Background())
	d.wg.Wait()
	d.log.Info("left")
	return err
}

// Kill stops the instance immediately, as a crash would.
func (d *Daemon) Kill() {
	_ = d.callers.Close()
	_ = d.operators.Close()
	_ = d.peers.Close()
	d.node.Close()
	d.wg.Wait()
}

// Bounds on reading a load report.
const (
	maxLoadReportBytes = 4 << 10
	loadIdleTimeout    = time.Minute // of a connection
	loadTimeout        = time.Second // for the header of a response
)

// A LoadClient reads endpoints' load reports over HTTP. It is safe for concurrent use.
type LoadClient struct{ http *http.Client }

// NewLoadClient returns a LoadClient.
func NewLoadClient() *LoadClient {
	const maxIdle = 2 // connections to an endpoint
	return &LoadClient{fetch.NewClient(maxIdle, loadIdleTimeout)}
}

// loadReport is the JSON document that endpoints serve at /load.
type loadReport struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
}

// Load implements node.LoadReader.
func (c *LoadClient) Load(ctx context.Context, endpoint, addr string) (home.Load, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/load", nil)
	if err != nil {
		return home.Load{}, errors.Wrap(err, "load")
	}
	res, err := fetch.Do(c.http, req, maxLoadReportBytes, fetch.HeaderOptions{Timeout: loadTimeout})
	if err != nil {
		return home.Load{}, errors.Wrap(err, "load")
	}
	if res.Status != http.StatusOK {
		return home.Load{}, errors.Errorf("load: endpoint %s answered %d", endpoint, res.Status)
	}
	var r loadReport
	if err := json.Unmarshal(res.Body, &r); err != nil {
		return home.Load{}, errors.Wrap(err, "load")
	}
	return home.Load{Endpoint: endpoint, Running: r.Running, Waiting: r.Waiting, Leaving: r.Leaving}, nil
}
