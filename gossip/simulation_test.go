package gossip

// This file simulates a fleet in one process in virtual time.

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/discovery"
	"ivyridge/poison"
)

// simulationStep is the resolution of virtual time. A datagram takes one step.
const simulationStep = 20 * time.Millisecond

// A simulation is a fleet whose datagrams it delivers and counts.
type simulation struct {
	t        testing.TB
	size     int
	now      time.Time
	nodes    []*node
	byAddr   map[netip.AddrPort]*node
	inFlight []datagram

	crossDataCentreBytes int // sent between data centres

	regions     map[string]string // by data centre; nil: one region
	useGateways bool              // instances know the regions
	linkBytes   map[string]int    // sent between regions, by kind of message

	suspectBytes int      // of messages with suspects
	calls        []func() // calls that instances run in the background
	pulls        int      // tables served
	pullBytes    int
	created      int // distinct suspects

	lost      func(from, to *node) bool // if set, reports whether a datagram is lost
	duplicate func() bool               // if set, reports whether a datagram is duplicated
	delay     func(from, to *node) int  // if set, additional steps that a datagram takes
}

type datagram struct {
	from, to netip.AddrPort
	data     []byte
	delay    int // remaining steps
}

// A node is one instance. It implements its own packetConn.
type node struct {
	*Gossip
	sim      *simulation
	address  netip.AddrPort
	nextTick time.Time
	dead     bool
	paused   bool // it does nothing, and datagrams to it are lost
}

func (n *node) WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error) {
	w := n.sim
	p := datagram{from: n.address, to: to, data: append([]byte(nil), data...)}
	if other := w.byAddr[to]; other != nil && w.delay != nil {
		p.delay = w.delay(n, other)
	}
	w.inFlight = append(w.inFlight, p)
	if other := w.byAddr[to]; other != nil && other.DataCentre != n.DataCentre {
		w.crossDataCentreBytes += len(data)
		if w.regions[other.DataCentre] != w.regions[n.DataCentre] {
			w.countCrossRegionBytes(data)
		}
	}
	return len(data), nil
}

func (n *node) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	return 0, netip.AddrPort{}, net.ErrClosed
}

func (n *node) Close() error { return nil }

// newSimulation starts n instances in the given number of data centres at once. Three are seeds,
// and the first schedulersPerDataCentre of each data centre run on larger machines.
func newSimulation(t testing.TB, n, dataCentres int) *simulation {
	return newRegionSimulation(t, n, dataCentres, nil, false)
}

// newRegionSimulation is newSimulation with data centres in regions, which instances know if
// useGateways is set.
func newRegionSimulation(t testing.TB, n, dataCentres int, regions map[string]string, useGateways bool) *simulation {
	w := &simulation{
		t: t, size: n, now: time.Unix(1000, 0), byAddr: make(map[netip.AddrPort]*node),
		regions: regions, useGateways: useGateways, linkBytes: make(map[string]int),
	}
	for i := range n {
		cores := 0.2
		if i/dataCentres < schedulersPerDataCentre {
			cores = 0.8
		}
		w.start(i, uint64(i+1), fmt.Sprint("dc", i%dataCentres), cores)
	}
	return w
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
}

// start starts or restarts instance i with the given ID.
func (w *simulation) start(i int, id uint64, dataCentre string, cores float64) {
	now := func() time.Time { return w.now }
	n := &node{sim: w, address: address(i), nextTick: w.now.Add(time.Duration(i%2) * simulationStep)}
	table := discovery.NewTable(now)
	_ = table.Apply(&discovery.Update{Revision: 1, Full: true, ValidatedAt: w.now, Config: &catalog.Document{Version: 1}})
	// Seeds are ordinary instances if the fleet has any.
	var seeds []string
	for s := range 3 {
		seeds = append(seeds, address(w.size*2/3+s).String())
	}
	var regions map[string]string
	if w.useGateways {
		regions = w.regions
	}
	n.Gossip = newGossip(Options{
		Regions: regions, DataCentres: len(w.regions),
		Address: n.address.String(), DataCentre: dataCentre, Cores: cores, Seeds: seeds, State: table,
		Balancer: balance.New(dataCentre, now), Log: zap.NewNop(), Count: func(string) {}, Now: now, OnFleetSize: func(int, time.Duration) {},
	}, id, n)
	n.background = func(f func()) { w.calls = append(w.calls, f) }
	n.Suspects = poison.NewTable()
	n.FetchSuspects = func(address string) ([]byte, error) { return w.pull(n, address) }
	if i < len(w.nodes) {
		w.nodes[i] = n
	} else {
		w.nodes = append(w.nodes, n)
	}
	w.byAddr[n.address] = n
}

func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(simulationStep) {
		inFlight := w.inFlight
		w.inFlight = nil
		for _, p := range inFlight {
			if p.delay > 0 {
				p.delay--
				w.inFlight = append(w.inFlight, p)
				continue
			}
			if n := w.byAddr[p.to]; n != nil && !n.dead && !n.paused && (w.lost == nil || !w.lost(w.byAddr[p.from], n)) {
				w.deliver(n, p)
				if w.duplicate != nil && w.duplicate() {
					w.deliver(n, p)
				}
			}
		}
		calls := w.calls
		w.calls = nil
		for _, call := range calls {
			call()
		}
		for _, n := range w.nodes {
			if !n.dead && !n.paused && !w.now.Before(n.nextTick) {
				n.tick()
				n.nextTick = w.now.Add(n.tickInterval())
			}
		}
	}
}

func (w *simulation) deliver(n *node, p datagram) {
	m, err := Decode(p.data)
	if err != nil {
		w.t.Fatal(err)
	}
	if len(m.Suspects) > 0 {
		w.suspectBytes += len(p.data)
	}
	n.handle(p.from, m)
}

// wantSchedulersAgree fails the test unless all live instances know the same schedulers,
// schedulersPerDataCentre of each data centre, and count all instances.
func (w *simulation) wantSchedulersAgree(dataCentres int) {
	w.t.Helper()
	live := 0
	for _, n := range w.nodes {
		if !n.dead {
			live++
		}
	}
	schedulers := make(map[uint64]bool)
	for _, n := range w.nodes {
		if _, isScheduler := n.Schedulers(); isScheduler && !n.dead {
			schedulers[n.id] = true
		}
	}
	if len(schedulers) != dataCentres*schedulersPerDataCentre {
		w.t.Errorf("fleet has %d schedulers, want %d", len(schedulers), dataCentres*schedulersPerDataCentre)
	}
	for i, n := range w.nodes {
		if n.dead {
			continue
		}
		others, isScheduler := n.Schedulers()
		want := len(schedulers)
		if isScheduler {
			want--
		}
		if len(others) != want {
			w.t.Errorf("instance %d (scheduler: %v) knows %d schedulers, want %d", i, isScheduler, len(others), want)
		}
		for _, m := range others {
			if !schedulers[m.ID] {
				w.t.Errorf("instance %d takes the member with ID %d for a scheduler, which it is not", i, m.ID)
			}
		}
		if n.fleetSize != live {
			w.t.Errorf("instance %d counts %d instances, want %d", i, n.fleetSize, live)
		}
	}
}

// Instances that start at once agree on the schedulers, also in data centres without a seed.
func TestFleetConvergesAfterStart(t *testing.T) {
	t.Parallel()
	for _, n := range []int{7, 30, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			dataCentres := 5
			if n < 20 {
				dataCentres = 2
			}
			w := newSimulation(t, n, dataCentres)
			w.run(4 * time.Second)
			w.wantSchedulersAgree(dataCentres)
			w.run(20 * time.Second)
			w.wantSchedulersAgree(dataCentres)
		})
	}
}

// The fleet recovers from losing all schedulers, the only instances that receive from all.
func TestFleetSurvivesLossOfSchedulers(t *testing.T) {
	t.Parallel()
	w := newSimulation(t, 80, 5)
	w.run(20 * time.Second)
	for _, n := range w.nodes {
		_, isScheduler := n.Schedulers()
		n.dead = isScheduler
	}
	w.run(15 * time.Second)
	w.wantSchedulersAgree(5)
}

// A restarted instance is known to all within two seconds.
func TestRestartedInstanceRejoins(t *testing.T) {
	t.Parallel()
	w := newSimulation(t, 60, 5)
	w.run(20 * time.Second)
	w.start(50, 1000, w.nodes[50].DataCentre, 0.2)
	w.run(2 * time.Second)
	w.wantSchedulersAgree(5)
}

// Traffic between data centres grows more slowly than the fleet.
func TestCrossDataCentreTrafficGrowsSublinearly(t *testing.T) {
	t.Parallel()
	rate := func(n int) float64 {
		w := newSimulation(t, n, 5)
		w.run(15 * time.Second)
		w.crossDataCentreBytes = 0
		w.run(10 * time.Second)
		return float64(w.crossDataCentreBytes) / 10
	}
	small, large := rate(40), rate(160)
	t.Logf("40 instances: %.0f KB/s, 160 instances: %.0f KB/s", small/1e3, large/1e3)
	if large > 2.5*small {
		t.Errorf("four times the instances send %.1f times the traffic between data centres, want at most 2.5 times", large/small)
	}
}

// After a period without confirmations, the first one reaches all instances at once, and is not
// dated too late.
func TestRenewedConfirmationReachesAll(t *testing.T) {
	t.Parallel()
	w := newSimulation(t, 60, 5)
	w.run(10*time.Second + 3*simulationStep) // heartbeats were just sent
	ordinary := w.nodes[40]
	if _, isScheduler := ordinary.Schedulers(); isScheduler {
		t.Fatal("instance 40 is a scheduler, want an ordinary instance")
	}
	confirmedAt := w.now
	_ = ordinary.State.Apply(&discovery.Update{Revision: 1, ValidatedAt: confirmedAt})
	w.run(200 * time.Millisecond)
	for i, n := range w.nodes {
		age, _ := n.State.Age()
		if age > time.Second || age < w.now.Sub(confirmedAt) {
			t.Errorf("instance %d computes a state age of %v, want at least %v and at most 1 s", i, age, w.now.Sub(confirmedAt))
		}
	}
}
