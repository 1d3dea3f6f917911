package gossip

// This file plays whole fleets in one process, in virtual time.

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/belief"
	"ivyridge/catalog"
	"ivyridge/poison"
)

// worldStep is the grain of virtual time; a datagram takes one step.
const worldStep = 20 * time.Millisecond

// A world holds a fleet whose datagrams it carries and counts.
type world struct {
	t     testing.TB
	size  int
	now   time.Time
	nodes []*node
	at    map[netip.AddrPort]*node
	way   []datagram

	farBytes int // that crossed data centres

	regions   map[string]string // by data centre; nil: one
	divided   bool              // instances are told regions
	linkBytes map[string]int    // that crossed regions, by kind of message

	suspectBytes int      // of messages that tell suspects
	calls        []func() // that instances make in the background
	pulls        int      // answered
	pulledBytes  int
	made         int // suspects, each of its own

	cut    func(from, to *node) bool // if set, whether a datagram is lost
	double func() bool               // if set, whether one comes twice
	slow   func(from, to *node) int  // if set, how many steps more it takes
}

type datagram struct {
	from, to netip.AddrPort
	data     []byte
	late     int // steps that it still takes beside one
}

// A node is one instance; it is its own packetConn.
type node struct {
	*Gossip
	world   *world
	address netip.AddrPort
	next    time.Time
	dead    bool
	paused  bool // it does nothing, and what comes meanwhile is lost
}

func (n *node) WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error) {
	w := n.world
	p := datagram{from: n.address, to: to, data: append([]byte(nil), data...)}
	if other := w.at[to]; other != nil && w.slow != nil {
		p.late = w.slow(n, other)
	}
	w.way = append(w.way, p)
	if other := w.at[to]; other != nil && other.DataCentre != n.DataCentre {
		w.farBytes += len(data)
		if w.regions[other.DataCentre] != w.regions[n.DataCentre] {
			w.countLink(data)
		}
	}
	return len(data), nil
}

func (n *node) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	return 0, netip.AddrPort{}, net.ErrClosed
}

func (n *node) Close() error { return nil }

// newWorld starts n instances in so many data centres at once. Three are seeds, and
// the first schedulersKept of each data centre are larger machines than the others.
func newWorld(t testing.TB, n, dataCentres int) *world {
	return newRegionsWorld(t, n, dataCentres, nil, false)
}

// newRegionsWorld is newWorld with data centres in regions. Unless it is divided, instances don't
// know that.
func newRegionsWorld(t testing.TB, n, dataCentres int, regions map[string]string, divided bool) *world {
	w := &world{
		t: t, size: n, now: time.Unix(1000, 0), at: make(map[netip.AddrPort]*node),
		regions: regions, divided: divided, linkBytes: make(map[string]int),
	}
	for i := range n {
		cores := 0.2
		if i/dataCentres < schedulersKept {
			cores = 0.8
		}
		w.start(i, uint64(i+1), fmt.Sprint("dc", i%dataCentres), cores)
	}
	return w
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
}

// start starts instance i, or starts it again under another id.
func (w *world) start(i int, id uint64, dataCentre string, cores float64) {
	now := func() time.Time { return w.now }
	n := &node{world: w, address: address(i), next: w.now.Add(time.Duration(i%2) * worldStep)}
	table := belief.NewTable(now)
	_ = table.Apply(&belief.Update{Revision: 1, Whole: true, Proved: w.now, Config: &catalog.Document{Version: 1}})
	// The seeds are ordinary instances where there are more than schedulers.
	var seeds []string
	for s := range 3 {
		seeds = append(seeds, address(w.size*2/3+s).String())
	}
	var regions map[string]string
	if w.divided {
		regions = w.regions
	}
	n.Gossip = newGossip(Options{
		Regions: regions, DataCentres: len(w.regions),
		Address: n.address.String(), DataCentre: dataCentre, Cores: cores, Seeds: seeds, Beliefs: table,
		Balancer: balance.New(dataCentre, now), Log: zap.NewNop(), Count: func(string) {}, Now: now, Instances: func(int, time.Duration) {},
	}, id, n)
	n.background = func(f func()) { w.calls = append(w.calls, f) }
	n.Suspects = poison.NewTable()
	n.PullSuspects = func(address string) ([]byte, error) { return w.pull(n, address) }
	if i < len(w.nodes) {
		w.nodes[i] = n
	} else {
		w.nodes = append(w.nodes, n)
	}
	w.at[n.address] = n
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(worldStep) {
		way := w.way
		w.way = nil
		for _, p := range way {
			if p.late > 0 {
				p.late--
				w.way = append(w.way, p)
				continue
			}
			if n := w.at[p.to]; n != nil && !n.dead && !n.paused && (w.cut == nil || !w.cut(w.at[p.from], n)) {
				w.deliver(n, p)
				if w.double != nil && w.double() {
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
			if !n.dead && !n.paused && !w.now.Before(n.next) {
				n.beat()
				n.next = w.now.Add(n.interval())
			}
		}
	}
}

func (w *world) deliver(n *node, p datagram) {
	m, err := Decode(p.data)
	if err != nil {
		w.t.Fatal(err)
	}
	if len(m.Suspects) > 0 {
		w.suspectBytes += len(p.data)
	}
	n.take(p.from, m)
}

// wantAgreement fails the test unless all live instances name the same schedulers,
// schedulersKept of each data centre, and schedulers count all instances.
func (w *world) wantAgreement(dataCentres int) {
	w.t.Helper()
	live := 0
	for _, n := range w.nodes {
		if !n.dead {
			live++
		}
	}
	schedulers := make(map[uint64]bool)
	for _, n := range w.nodes {
		if _, schedules := n.Schedulers(); schedules && !n.dead {
			schedulers[n.id] = true
		}
	}
	if len(schedulers) != dataCentres*schedulersKept {
		w.t.Errorf("%d instances are schedulers, want %d", len(schedulers), dataCentres*schedulersKept)
	}
	for i, n := range w.nodes {
		if n.dead {
			continue
		}
		others, schedules := n.Schedulers()
		want := len(schedulers)
		if schedules {
			want--
		}
		if len(others) != want {
			w.t.Errorf("instance %d (scheduler: %v) knows %d schedulers, want %d", i, schedules, len(others), want)
		}
		for _, m := range others {
			if !schedulers[m.ID] {
				w.t.Errorf("instance %d takes %d for a scheduler", i, m.ID)
			}
		}
		if n.count != live {
			w.t.Errorf("instance %d counts %d instances, want %d", i, n.count, live)
		}
	}
}

// A fleet that starts at once agrees on its schedulers within some seconds, also in
// data centres without a seed.
func TestFleetAgreesAfterItsStart(t *testing.T) {
	t.Parallel()
	for _, n := range []int{7, 30, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			dataCentres := 5
			if n < 20 {
				dataCentres = 2
			}
			w := newWorld(t, n, dataCentres)
			w.run(4 * time.Second)
			w.wantAgreement(dataCentres)
			w.run(20 * time.Second)
			w.wantAgreement(dataCentres)
		})
	}
}

// The schedulers of all data centres are lost together, and nobody who hears all
// instances is left.
func TestFleetSurvivesTheLossOfItsSchedulers(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 80, 5)
	w.run(20 * time.Second)
	for _, n := range w.nodes {
		_, schedules := n.Schedulers()
		n.dead = schedules
	}
	w.run(15 * time.Second)
	w.wantAgreement(5)
}

// An instance that starts again is soon among the others.
func TestRestartedInstanceIsFound(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 60, 5)
	w.run(20 * time.Second)
	w.start(50, 1000, w.nodes[50].DataCentre, 0.2)
	w.run(2 * time.Second)
	w.wantAgreement(5)
}

// What crosses data centres grows more slowly than the fleet: 234 KB/s on 40 instances and
// 955 KB/s on 160 while all told all that they live.
func TestFarBytesGrowWithTheFleet(t *testing.T) {
	t.Parallel()
	rate := func(n int) float64 {
		w := newWorld(t, n, 5)
		w.run(15 * time.Second)
		w.farBytes = 0
		w.run(10 * time.Second)
		return float64(w.farBytes) / 10
	}
	small, large := rate(40), rate(160)
	t.Logf("40 instances %.0f KB/s, 160 instances %.0f KB/s", small/1e3, large/1e3)
	if large > 2.5*small {
		t.Errorf("four times the instances send %.1f times as much between data centres", large/small)
	}
}

// After a time without proofs, the first one that any instance has is known to all at
// once, and dated no younger than it is.
func TestRenewedProofReachesAll(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 60, 5)
	w.run(10*time.Second + 3*worldStep) // heartbeats, sent together here, have just been
	ordinary := w.nodes[40]
	if _, schedules := ordinary.Schedulers(); schedules {
		t.Fatal("want an instance that is no scheduler")
	}
	proved := w.now
	_ = ordinary.Beliefs.Apply(&belief.Update{Revision: 1, Proved: proved})
	w.run(200 * time.Millisecond)
	for i, n := range w.nodes {
		age, _ := n.Beliefs.Age()
		if age > time.Second || age < w.now.Sub(proved) {
			t.Errorf("instance %d takes its beliefs for %v old, they are %v", i, age, w.now.Sub(proved))
		}
	}
}
