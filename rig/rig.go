// Package rig measures what control costs an instance.
//
// It runs many control planes (package node) in one process on loopback, with
// real keys, connections and messages, a stand-in platform, and endpoints
// that only report their load. Requests ask, claim, hold and release, but
// nothing is computed and no caller is served, so that all processor time and
// all bytes are control's. Slopes over instances, endpoints, teams and
// requests come from runs of different sizes; docs/CAPACITY.md uses them.
package rig

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ivyridge/clock"
	"ivyridge/daemon"
	"ivyridge/fake"
	"ivyridge/home"
	"ivyridge/member"
	"ivyridge/node"
	"ivyridge/owner"
	"ivyridge/peer"
	"ivyridge/publish"
)

// warmUp is how long a run takes until it is steady: connections are made and
// keys settled.
const warmUp = 8 * time.Second

// Params are the size of one run.
type Params struct {
	Instances int
	Endpoints int
	Pools     int // models, among which the endpoints are divided
	Teams     int
	Rate      float64       // requests a second, over the whole fleet
	Claimed   float64       // part of them with a key
	Hold      time.Duration // of a granted request
	Duration  time.Duration // measured
}

// A Result is what one run cost, per instance.
type Result struct {
	Params
	CPU           float64       // part of a core
	Bytes         float64       // sent and received, a second
	Messages      float64       // calls sent, a second
	Heap          float64       // bytes
	PlatformCalls float64       // of the whole fleet, a minute
	Spread        time.Duration // worst time from publishing to in force
	Done          int64         // requests that were granted
}

type rig struct {
	par      Params
	dir      string
	platform *fake.Platform
	nodes    []*node.Node
	servers  []*peer.Server
	bytes    atomic.Int64
	calls    atomic.Int64
	done     atomic.Int64
	loads    *http.Server
}

// Run runs one size and measures it.
func Run(p Params) (Result, error) {
	r := &rig{par: p}
	before := heap()
	if err := r.start(); err != nil {
		return Result{}, err
	}
	defer r.stop()
	if err := r.await(1); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.drive(ctx)
	time.Sleep(warmUp)
	res := r.measure()
	res.Heap = float64(heap()-before) / float64(p.Instances)
	began := time.Now()
	r.platform.Publish(declarations(p.Pools, p.Teams, 2))
	if err := r.await(2); err != nil {
		return res, err
	}
	res.Spread = time.Since(began)
	return res, nil
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// declarations returns a set with many teams.
func declarations(pools, teams, revision int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# revision %d\nclasses:\n  - {name: verdict, tier: 0, whole: 30s, repeatable: false}\npools:\n", revision)
	for i := range pools {
		fmt.Fprintf(&b, "  - {name: %s, kind: model, slots: 1000}\n", poolName(i))
	}
	b.WriteString("teams:\n")
	for i := range teams {
		sum := sha256.Sum256(fmt.Appendf(nil, "t%d", i))
		fmt.Fprintf(&b, "  - {name: t%d, class: verdict, callers: [{name: c, token_sha256: %s}]}\n", i, hex.EncodeToString(sum[:]))
	}
	return b.String()
}

func (r *rig) start() error {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return errors.Wrap(err, "rig")
	}
	r.dir = dir
	if err := peer.NewAuthority(dir); err != nil {
		return err
	}
	if err := peer.Issue(dir, "rig"); err != nil {
		return err
	}
	keys, err := peer.LoadKeys(peer.KeyFiles{Cert: dir + "/rig.pem", Key: dir + "/rig.key", CA: dir + "/" + peer.CAFile})
	if err != nil {
		return err
	}
	r.platform = fake.NewPlatform(0)
	platformAddr, err := r.listen(r.platform.Serve)
	if err != nil {
		return err
	}
	r.loads = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"running":0}`) })}
	loadAddr, err := r.listen(func(l net.Listener) { _ = r.loads.Serve(l) })
	if err != nil {
		return err
	}
	listeners := make([]net.Listener, r.par.Instances)
	var list member.List
	for i := range listeners {
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return errors.Wrap(err, "rig")
		}
		list.Instances = append(list.Instances, member.Instance{Name: fmt.Sprintf("i%d", i), Addr: listeners[i].Addr().String(), DataCentre: dataCentre(i), State: member.Live})
	}
	for i := range r.par.Endpoints {
		list.Endpoints = append(list.Endpoints, member.Endpoint{Name: fmt.Sprintf("e%d", i), Addr: loadAddr, DataCentre: dataCentre(i), Region: "r", Pool: poolName(i % r.par.Pools), State: member.Live})
	}
	r.platform.Publish(declarations(r.par.Pools, r.par.Teams, 1))
	r.platform.ChangeList(func(l *member.List) { *l = list })
	policy, err := home.ParsePolicy(home.Full)
	if err != nil {
		return err
	}
	for i, l := range listeners {
		r.launch(keys, policy, &list.Instances[i], l, platformAddr)
	}
	return nil
}

func poolName(i int) string { return fmt.Sprintf("m%d", i) }

func dataCentre(i int) string { return fmt.Sprintf("dc%d", i%6) }

// listen serves f on a free port and returns its address.
func (r *rig) listen(serve func(net.Listener)) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "rig")
	}
	go serve(l)
	return l.Addr().String(), nil
}

func (r *rig) launch(keys *peer.Keyring, policy home.Policy, in *member.Instance, l net.Listener, platformAddr string) {
	tr := peer.NewTransport(keys)
	dial := tr.DialContext
	tr.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		return &counted{c, &r.bytes}, err
	}
	n := node.New(node.Options{
		Name: in.Name, DataCentre: in.DataCentre, Addr: in.Addr, Policy: policy, ColdStart: true, Quarantine: owner.Retention,
		Clock: clock.Boot(), Log: zap.NewNop(), Transport: &calls{tr, &r.calls}, Platform: publish.NewClient(platformAddr), Loads: daemon.NewLoadClient(),
	})
	s := peer.NewServer(keys, n.Handler())
	go func() { _ = s.Serve(l) }()
	n.Run()
	r.nodes, r.servers = append(r.nodes, n), append(r.servers, s)
}

func (r *rig) stop() {
	for i, n := range r.nodes {
		_ = r.servers[i].Close()
		n.Close()
	}
	r.platform.Close()
	_ = r.loads.Close()
	_ = os.RemoveAll(r.dir)
}

// await waits until a revision is in force everywhere.
func (r *rig) await(revision int64) error {
	const within = 30 * time.Second
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		n := 0
		for _, x := range r.nodes {
			if c := x.Config(); c.Revision >= revision && c.ListRevision > 0 {
				n++
			}
		}
		if n == len(r.nodes) {
			return nil
		}
	}
	return errors.Errorf("revision %d is not in force everywhere within %s", revision, within)
}

// measure counts for a while.
func (r *rig) measure() Result {
	cpu, bytes, calls, platformCalls, done := cpuTime(), r.bytes.Load(), r.calls.Load(), r.platform.Calls.Load(), r.done.Load()
	began := time.Now()
	time.Sleep(r.par.Duration)
	s := time.Since(began).Seconds()
	each := s * float64(r.par.Instances)
	return Result{
		Params: r.par,
		CPU:    (cpuTime() - cpu).Seconds() / each,
		// Every byte is one instance's to send and another's to receive.
		Bytes:         2 * float64(r.bytes.Load()-bytes) / each,
		Messages:      float64(r.calls.Load()-calls) / each,
		PlatformCalls: float64(r.platform.Calls.Load()-platformCalls) / s * 60,
		Done:          r.done.Load() - done,
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// drive sends requests at the rate, each through the next instance.
func (r *rig) drive(ctx context.Context) {
	if r.par.Rate == 0 {
		return
	}
	t := time.NewTicker(time.Duration(float64(time.Second) / r.par.Rate))
	defer t.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.request(ctx, i)
		}()
	}
}

// request does what control does for one request.
func (r *rig) request(ctx context.Context, i int) {
	n := r.nodes[i%len(r.nodes)]
	var claim *node.Claim
	if float64(i%100) < 100*r.par.Claimed {
		var k owner.Key
		sum := xxhash.Sum64String(fmt.Sprintf("%p-%d", r, i))
		for j := range 8 {
			k[j] = byte(sum >> (8 * j))
		}
		c, err := n.Claim(ctx, k)
		if err != nil {
			return
		}
		claim = c
	}
	g, err := n.Acquire(ctx, &node.Request{Pool: poolName(i / len(r.nodes) % r.par.Pools), Class: "verdict", Team: fmt.Sprintf("t%d", i%max(1, r.par.Teams)), Arrived: n.Now()})
	if err != nil {
		return
	}
	const slice = 100 * time.Millisecond
	for held := time.Duration(0); held < r.par.Hold && ctx.Err() == nil; held += slice {
		time.Sleep(slice)
		n.SawTokens(g, 3, slice)
	}
	n.Release(g, node.End{Tokens: 100, Whole: true})
	if claim != nil {
		n.Keep(claim, &node.Answer{Status: http.StatusOK})
	}
	r.done.Add(1)
}

// counted counts the bytes of a connection, in both directions.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// calls counts calls.
type calls struct {
	*http.Transport
	n *atomic.Int64
}

func (c *calls) RoundTrip(r *http.Request) (*http.Response, error) {
	c.n.Add(1)
	return c.Transport.RoundTrip(r)
}
