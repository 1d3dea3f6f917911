// Package daemon assembles one instance: its node, its listeners, its logs
// and counters. cmd/ivyrouted is a thin main around it.
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
	"ivyridge/internal/logs"
	"ivyridge/node"
	"ivyridge/operator"
	"ivyridge/peer"
	"ivyridge/publish"
	"ivyridge/settings"
)

// grace is how long a leaving instance still takes requests, until the
// balancer has seen that it is not ready.
const grace = time.Second

// Bounds on slow callers.
const (
	headerWithin = 5 * time.Second
	idleFor      = 2 * time.Minute
	bodyWithin   = 30 * time.Second
)

// A Daemon is one running instance.
type Daemon struct {
	set       *settings.Settings
	log       *zap.Logger
	node      *node.Node
	api       *api.API
	callers   *http.Server
	operators *http.Server
	peers     *peer.Server
	listeners [3]net.Listener
	wg        sync.WaitGroup
}

// dropped counts the log lines that were left out since too many waited.
var dropped = expvar.NewInt("log_lines_dropped")

// Logger returns the logger that settings ask for, on standard error.
func Logger(l settings.Log) (*zap.Logger, error) {
	return logs.New(l.Level, logs.Form(l.Form), os.Stderr, dropped)
}

// Start opens an instance's listeners and starts it. Counters go to the
// process's expvar if publish is set; only one instance of a process may.
func Start(s *settings.Settings, log *zap.Logger, publish bool) (*Daemon, error) {
	keys, err := peer.LoadKeys(peer.KeyFiles{Cert: s.Keys.Cert, Key: s.Keys.Key, CA: s.Keys.CA})
	if err != nil {
		return nil, err
	}
	policy, err := home.ParsePolicy(s.Policy.Name, s.Policy.Without...)
	if err != nil {
		return nil, err
	}
	d := &Daemon{set: s, log: log.With(zap.String("instance", s.Name))}
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
	for i, addr := range []string{d.set.Listen.Callers, d.set.Listen.Operators, d.set.Listen.Peers} {
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

func sub(m *expvar.Map, name string) *expvar.Map {
	s := new(expvar.Map).Init()
	m.Set(name, s)
	return s
}

func (d *Daemon) assemble(keys *peer.Keyring, policy home.Policy, counts *expvar.Map) {
	s := d.set
	d.node = node.New(node.Options{
		Name:       s.Name,
		DataCentre: s.DataCentre,
		Addr:       s.Advertise,
		Seeds:      s.Seeds,
		Policy:     policy,
		Alone:      s.Policy.Alone,
		Quarantine: *s.Quarantine,
		ColdStart:  s.ColdStart,
		Clock:      clock.Boot(),
		Log:        d.log,
		Transport:  peer.NewTransport(keys),
		Platform:   publish.NewClient(s.Platform),
		Loads:      NewLoadClient(),
		Counters:   sub(counts, "node"),
	})
	d.peers = peer.NewServer(keys, d.node.Handler())
	d.node.SetQuery(operator.Local(d.node))
	disp := dispatch.New(d.node, sub(counts, "retries"))
	d.api = api.New(d.node, disp, api.Options{
		MaxBody: int64(s.Limits.MaxBody),
		MaxTime: s.Limits.MaxTime,
		Open:    s.Limits.Waiting,
	}, api.NewCounters(sub(counts, "callers")))
	d.callers = &http.Server{
		Handler:           d.api.Handler(),
		ReadHeaderTimeout: headerWithin,
		ReadTimeout:       bodyWithin,
		IdleTimeout:       idleFor,
		MaxHeaderBytes:    s.Limits.MaxHeader,
	}
	accounts := make([]operator.Account, len(s.Operators))
	for i, o := range s.Operators {
		accounts[i] = operator.Account{Name: o.Name, TokenHash: o.TokenHash, ReadOnly: o.ReadOnly}
	}
	ops := operator.NewServer(d.node, accounts, d.log, sub(counts, "commands"))
	d.operators = &http.Server{Handler: ops.Handler(), ReadHeaderTimeout: headerWithin, IdleTimeout: idleFor}
}

func (d *Daemon) serve() {
	d.node.Run()
	d.wg.Add(3)
	go func() { defer d.wg.Done(); _ = d.peers.Serve(d.listeners[2]) }()
	go func() { defer d.wg.Done(); _ = d.callers.Serve(d.listeners[0]) }()
	go func() { defer d.wg.Done(); _ = d.operators.Serve(d.listeners[1]) }()
	d.log.Info("started", zap.String("callers", d.set.Listen.Callers), zap.String("peers", d.set.Listen.Peers))
}

// Node returns the instance's node.
func (d *Daemon) Node() *node.Node { return d.node }

// Leave ends the instance as planned: it is no longer ready, takes requests
// only until the balancer has noticed, finishes those in flight and queued,
// hands its cells and keys over, and stops. It returns when all is done, or
// when the settings' drain_within has passed.
func (d *Daemon) Leave() error {
	ctx, cancel := context.WithTimeout(context.Background(), d.set.Drain)
	defer cancel()
	d.node.Leave()
	time.Sleep(grace)
	d.api.Stop()
	err := d.api.Wait(ctx)
	if e := d.callers.Shutdown(ctx); err == nil {
		err = e
	}
	if err != nil {
		_ = d.callers.Close()
		err = errors.Wrap(err, "requests were still in flight")
	}
	d.node.AwaitHandOver(ctx)
	_ = d.operators.Shutdown(ctx)
	d.node.Close()
	_ = d.peers.Shutdown(context.Background())
	d.wg.Wait()
	d.log.Info("left")
	return err
}

// Kill ends the instance at once, as a crash would.
func (d *Daemon) Kill() {
	_ = d.callers.Close()
	_ = d.operators.Close()
	_ = d.peers.Close()
	d.node.Close()
	d.wg.Wait()
}

// A LoadClient reads endpoints' load reports over HTTP.
type LoadClient struct{ http *http.Client }

// NewLoadClient returns a LoadClient.
func NewLoadClient() *LoadClient {
	return &LoadClient{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}}}
}

// loadReport is what endpoints publish at /load.
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
	res, err := c.http.Do(req)
	if err != nil {
		return home.Load{}, errors.Wrap(err, "load")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return home.Load{}, errors.Errorf("load: %s answered %s", endpoint, res.Status)
	}
	var r loadReport
	if err := json.NewDecoder(res.Body).Decode(&r); err != nil {
		return home.Load{}, errors.Wrap(err, "load")
	}
	return home.Load{Endpoint: endpoint, Running: r.Running, Waiting: r.Waiting, Leaving: r.Leaving}, nil
}
