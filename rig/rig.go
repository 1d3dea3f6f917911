// Package rig measures the control-plane cost per instance, for docs/CAPACITY.md.
//
// It runs the control planes (package node) of many instances in one process, with
// a fake platform. Requests are admitted, held and released without being sent to
// an endpoint, so that all CPU time and traffic belong to the control plane.
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
	"ivyridge/platformclient"
)

// warmUp lets connections be established and owners of idempotency keys settle.
const warmUp = 8 * time.Second

// Params are the size and load of one run.
type Params struct {
	Instances     int
	Endpoints     int
	Pools         int // model pools, which share the endpoints
	Teams         int
	Rate          float64       // requests per second, total over all instances
	KeyedFraction float64       // fraction of requests with an idempotency key
	Hold          time.Duration // time from grant to release of a request
	Duration      time.Duration // of the measurement
}

// A Result is the cost of one run, per instance unless noted.
type Result struct {
	Params
	CPU              float64       // cores
	Bytes            float64       // sent and received per second
	Messages         float64       // calls sent per second
	Heap             float64       // bytes of heap and stacks
	PlatformCalls    float64       // per minute, total over all instances
	PropagationDelay time.Duration // until all instances apply a published configuration
	Done             int64         // requests completed, total over all instances
}

type benchmark struct {
	params     Params
	dir        string
	platform   *fake.Platform
	nodes      []*node.Node
	servers    []*peer.Server
	bytes      atomic.Int64
	calls      atomic.Int64
	completed  atomic.Int64
	loadServer *http.Server
}

// Run starts instances, measures them and stops them. CPU and Heap are those of the
// whole process, so that there must be no concurrent Run.
func Run(p Params) (Result, error) {
	b := &benchmark{params: p}
	before := heapInUse()
	if err := b.start(); err != nil {
		return Result{}, err
	}
	defer b.stop()
	if err := b.awaitRevision(1); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.generateLoad(ctx)
	time.Sleep(warmUp)
	res := b.measure()
	res.Heap = float64(heapInUse()-before) / float64(p.Instances)
	began := time.Now()
	b.platform.Publish(declarations(p.Pools, p.Teams, 2))
	if err := b.awaitRevision(2); err != nil {
		return res, err
	}
	res.PropagationDelay = time.Since(began)
	return res, nil
}

// heapInUse returns the bytes of heap and stacks after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// declarations returns a configuration whose text differs from that of other revisions.
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

func (b *benchmark) start() error {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return errors.Wrap(err, "rig")
	}
	b.dir = dir
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
	b.platform = fake.NewPlatform(0)
	platformAddr, err := b.serve(b.platform.Serve)
	if err != nil {
		return err
	}
	b.loadServer = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"running":0}`) })}
	loadAddr, err := b.serve(func(l net.Listener) { _ = b.loadServer.Serve(l) })
	if err != nil {
		return err
	}
	listeners := make([]net.Listener, b.params.Instances)
	var list member.List
	for i := range listeners {
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return errors.Wrap(err, "rig")
		}
		list.Instances = append(list.Instances, member.Instance{Name: fmt.Sprintf("i%d", i), Addr: listeners[i].Addr().String(), DataCentre: dataCentre(i), State: member.Live})
	}
	for i := range b.params.Endpoints {
		list.Endpoints = append(list.Endpoints, member.Endpoint{Name: fmt.Sprintf("e%d", i), Addr: loadAddr, DataCentre: dataCentre(i), Region: "r", Pool: poolName(i % b.params.Pools), State: member.Live})
	}
	b.platform.Publish(declarations(b.params.Pools, b.params.Teams, 1))
	b.platform.ChangeList(func(l *member.List) { *l = list })
	policy, err := home.ParsePolicy(home.Full)
	if err != nil {
		return err
	}
	for i, l := range listeners {
		b.startInstance(keys, policy, &list.Instances[i], l, platformAddr)
	}
	return nil
}

func poolName(i int) string { return fmt.Sprintf("m%d", i) }

func dataCentre(i int) string { return fmt.Sprintf("dc%d", i%6) }

// serve calls f with a loopback listener and returns its address.
func (b *benchmark) serve(f func(net.Listener)) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "rig")
	}
	go f(l)
	return l.Addr().String(), nil
}

func (b *benchmark) startInstance(keys *peer.Keyring, policy home.Policy, in *member.Instance, l net.Listener, platformAddr string) {
	tr := peer.NewTransport(keys)
	dial := tr.DialContext
	tr.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		return &countingConn{c, &b.bytes}, err
	}
	n := node.New(node.Options{
		Name: in.Name, DataCentre: in.DataCentre, Addr: in.Addr, Policy: policy, ColdStart: true, Quarantine: owner.Retention,
		Clock: clock.Boot(), Log: zap.NewNop(), Transport: &countingTransport{tr, &b.calls}, Platform: platformclient.NewClient(platformAddr), Loads: daemon.NewLoadClient(),
	})
	s := peer.NewServer(keys, n.Handler())
	go func() { _ = s.Serve(l) }()
	n.Run()
	b.nodes, b.servers = append(b.nodes, n), append(b.servers, s)
}

func (b *benchmark) stop() {
	for i, n := range b.nodes {
		_ = b.servers[i].Close()
		n.Close()
	}
	b.platform.Close()
	_ = b.loadServer.Close()
	_ = os.RemoveAll(b.dir)
}

// awaitRevision waits until all instances apply the revision or a newer one.
func (b *benchmark) awaitRevision(revision int64) error {
	const timeout = 30 * time.Second
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		n := 0
		for _, nd := range b.nodes {
			if c := nd.Config(); c.Revision >= revision && c.ListRevision > 0 {
				n++
			}
		}
		if n == len(b.nodes) {
			return nil
		}
	}
	return errors.Errorf("revision %d not applied by all instances within %s", revision, timeout)
}

// measure sets all fields of the result but Heap and PropagationDelay.
func (b *benchmark) measure() Result {
	cpu, bytes, calls, platformCalls, done := cpuTime(), b.bytes.Load(), b.calls.Load(), b.platform.Calls.Load(), b.completed.Load()
	began := time.Now()
	time.Sleep(b.params.Duration)
	s := time.Since(began).Seconds()
	instanceSeconds := s * float64(b.params.Instances)
	return Result{
		Params: b.params,
		CPU:    (cpuTime() - cpu).Seconds() / instanceSeconds,
		// Each byte is counted once, at the dialing end, but sent by one instance and
		// received by another.
		Bytes:         2 * float64(b.bytes.Load()-bytes) / instanceSeconds,
		Messages:      float64(b.calls.Load()-calls) / instanceSeconds,
		PlatformCalls: float64(b.platform.Calls.Load()-platformCalls) / s * 60,
		Done:          b.completed.Load() - done,
	}
}

// cpuTime returns the process's user and system time, or zero on failure.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// generateLoad issues requests, round robin over the instances, until ctx is done.
func (b *benchmark) generateLoad(ctx context.Context) {
	if b.params.Rate == 0 {
		return
	}
	t := time.NewTicker(time.Duration(float64(time.Second) / b.params.Rate))
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
			b.request(ctx, i)
		}()
	}
}

func (b *benchmark) request(ctx context.Context, i int) {
	n := b.nodes[i%len(b.nodes)]
	var claim *node.Claim
	if float64(i%100) < 100*b.params.KeyedFraction {
		var k owner.Key
		sum := xxhash.Sum64String(fmt.Sprintf("%p-%d", b, i))
		for j := range 8 {
			k[j] = byte(sum >> (8 * j))
		}
		c, err := n.Claim(ctx, k)
		if err != nil {
			return
		}
		claim = c
	}
	g, err := n.Acquire(ctx, &node.Request{Pool: poolName(i / len(b.nodes) % b.params.Pools), Class: "verdict", Team: fmt.Sprintf("t%d", i%max(1, b.params.Teams)), Arrived: n.Now()})
	if err != nil {
		return
	}
	const progressInterval = 100 * time.Millisecond
	for held := time.Duration(0); held < b.params.Hold && ctx.Err() == nil; held += progressInterval {
		time.Sleep(progressInterval)
		n.RecordTokens(g, 3, progressInterval)
	}
	n.Release(g, node.Outcome{Tokens: 100, Complete: true})
	if claim != nil {
		n.StoreAnswer(claim, &node.Answer{Status: http.StatusOK})
	}
	b.completed.Add(1)
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

type countingTransport struct {
	*http.Transport
	n *atomic.Int64
}

func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.n.Add(1)
	return c.Transport.RoundTrip(r)
}
