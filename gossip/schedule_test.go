package gossip

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/belief"
	"ivyridge/catalog"
)

// A dataCentre holds a scheduler and an instance that asks it, over real
// datagrams on this machine.
type dataCentre struct {
	scheduler, asker *Gossip
	endpoints        []*belief.Endpoint
	demand           *balance.Demand
}

func newDataCentre(t *testing.T) *dataCentre {
	t.Helper()
	d := &dataCentre{scheduler: listen(t, 1), asker: listen(t, 9)}
	// Two more schedulers that are silent for good stand behind the first, so
	// that the second instance is none.
	now := time.Now()
	m := &Message{Sender: 1, DataCentre: "z", Cores: 3, Warm: true, Next: time.Minute}
	d.asker.members.heard(now, d.scheduler.conn.(*net.UDPConn).LocalAddr().String(), m, time.Time{})
	for id := uint64(2); id < 2+schedulersKept; id++ {
		silent := listen(t, id)
		m := &Message{Sender: id, DataCentre: "z", Cores: 2, Warm: true, Next: time.Minute}
		d.asker.members.heard(now, silent.conn.(*net.UDPConn).LocalAddr().String(), m, time.Time{})
	}
	d.endpoints = d.asker.Beliefs.View().Endpoints("s")
	d.demand = &balance.Demand{Service: &catalog.Service{Name: "s"}}
	return d
}

func listen(t *testing.T, id uint64) *Gossip {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	table := belief.NewTable(time.Now)
	u := &belief.Update{Revision: 1, Whole: true, Proved: time.Now(), Config: &catalog.Document{Version: 1, Services: []catalog.Service{{Name: "s"}}}}
	for i := range 4 {
		u.Present = append(u.Present, belief.Record{Endpoint: catalog.Endpoint{ID: fmt.Sprint(i), Service: "s", Slots: 4}, Revision: 1})
	}
	if err := table.Apply(u); err != nil {
		t.Fatal(err)
	}
	return newGossip(Options{
		Address: "own", DataCentre: "z", Cores: 1, Beliefs: table, Balancer: balance.New("z", time.Now), Log: zap.NewNop(),
		Count: func(string) {}, Now: time.Now, Instances: func(int, time.Duration) {},
	}, id, conn)
}

func TestSchedulerChooses(t *testing.T) {
	d := newDataCentre(t)
	go d.scheduler.receive()
	go d.asker.receive()
	asked := make(map[string]int)
	for range 8 {
		p, _ := d.asker.Place(context.Background(), d.endpoints, d.demand)
		if p == nil {
			t.Fatal("no placement")
		}
		asked[p.Endpoint.ID]++
	}
	for id, n := range asked {
		if n != 2 {
			t.Errorf("%d of 8 requests at endpoint %s: %v", n, id, asked)
		}
	}
	if _, upTo := d.scheduler.Balancer.Reports(false, 0); upTo != 0 {
		t.Error("the scheduler counts what it granted as its own")
	}
}

// A scheduler that keeps silent costs one short wait; then the next ones are
// asked, and at last the instance decides alone.
func TestSilentSchedulersAreLeftAlone(t *testing.T) {
	d := newDataCentre(t)
	go d.asker.receive()
	for range schedulersKept {
		if p, _ := d.asker.Place(context.Background(), d.endpoints, d.demand); p == nil {
			t.Fatal("no placement")
		}
	}
	if got := d.asker.scheduler(time.Now()); got != "" {
		t.Fatalf("%s would be asked, and all are silent", got)
	}
	if got := d.asker.scheduler(time.Now().Add(silentLeftMost)); got == "" {
		t.Fatal("silent schedulers are left alone for good")
	}
}

// A scheduler that has no configuration grants nothing, and the instance
// decides alone.
func TestSchedulerWithoutConfiguration(t *testing.T) {
	d := newDataCentre(t)
	d.scheduler.Beliefs = belief.NewTable(time.Now)
	go d.scheduler.receive()
	go d.asker.receive()
	if p, _ := d.asker.Place(context.Background(), d.endpoints, d.demand); p == nil {
		t.Fatal("no placement")
	}
	if len(d.asker.silences) != 0 {
		t.Error("a scheduler that answers is taken for silent")
	}
}

// A scheduler's refusal is the answer: the instance does not place the request
// by what little it knows itself.
func TestSchedulerRefuses(t *testing.T) {
	d := newDataCentre(t)
	engine := &catalog.Service{Name: "s", Engine: &catalog.Engine{Slots: 2, MemoryTokens: 100_000}}
	document := &catalog.Document{Version: 2, Services: []catalog.Service{*engine}}
	if err := d.scheduler.Beliefs.Apply(&belief.Update{Revision: 2, Proved: time.Now(), Config: document}); err != nil {
		t.Fatal(err)
	}
	d.demand = &balance.Demand{Service: engine, Objective: 50 * time.Millisecond, Prompt: 20_000, Output: 100}
	for range 80 {
		d.scheduler.Balancer.Place(d.endpoints, d.demand)
	}
	go d.scheduler.receive()
	go d.asker.receive()
	p, refusal := d.asker.Place(context.Background(), d.endpoints, d.demand)
	if p != nil || refusal == nil || refusal.RetryAfter <= 0 || refusal.Wait <= 0 {
		t.Fatalf("got %+v, %+v, want a refusal with a time to come back", p, refusal)
	}
}
