package gossip

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/discovery"
)

// A dataCentre has a scheduler and an instance that sends requests to it, over real UDP sockets.
type dataCentre struct {
	scheduler, client *Gossip
	endpoints         []*discovery.Endpoint
	demand            *balance.Demand
}

func newDataCentre(t *testing.T) *dataCentre {
	t.Helper()
	d := &dataCentre{scheduler: listen(t, 1), client: listen(t, 9)}
	// Add further schedulers that never answer, so that the client isn't a scheduler.
	now := time.Now()
	m := &Message{Sender: 1, DataCentre: "z", Cores: 3, WarmedUp: true, NextWithin: time.Minute}
	d.client.members.observe(now, d.scheduler.conn.(*net.UDPConn).LocalAddr().String(), m, time.Time{})
	for id := uint64(2); id < 2+schedulersPerDataCentre; id++ {
		silent := listen(t, id)
		m := &Message{Sender: id, DataCentre: "z", Cores: 2, WarmedUp: true, NextWithin: time.Minute}
		d.client.members.observe(now, silent.conn.(*net.UDPConn).LocalAddr().String(), m, time.Time{})
	}
	d.endpoints = d.client.State.View().Endpoints("s")
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
	table := discovery.NewTable(time.Now)
	u := &discovery.Update{Revision: 1, Full: true, ValidatedAt: time.Now(), Config: &catalog.Document{Version: 1, Services: []catalog.Service{{Name: "s"}}}}
	for i := range 4 {
		u.Endpoints = append(u.Endpoints, discovery.Record{Endpoint: catalog.Endpoint{ID: fmt.Sprint(i), Service: "s", Slots: 4}, Revision: 1})
	}
	if err := table.Apply(u); err != nil {
		t.Fatal(err)
	}
	return newGossip(Options{
		Address: "own", DataCentre: "z", Cores: 1, State: table, Balancer: balance.New("z", time.Now), Log: zap.NewNop(),
		Count: func(string) {}, Now: time.Now, OnFleetSize: func(int, time.Duration) {},
	}, id, conn)
}

func TestSchedulerChooses(t *testing.T) {
	d := newDataCentre(t)
	go d.scheduler.receive()
	go d.client.receive()
	placed := make(map[string]int)
	for range 8 {
		p, _ := d.client.Place(context.Background(), d.endpoints, d.demand)
		if p == nil {
			t.Fatal("request not placed, want it placed at an endpoint")
		}
		placed[p.Endpoint.ID]++
	}
	for id, n := range placed {
		if n != 2 {
			t.Errorf("%d of 8 requests placed at endpoint %s, want 2; by endpoint: %v", n, id, placed)
		}
	}
	if _, upTo := d.scheduler.Balancer.Reports(false, 0); upTo != 0 {
		t.Error("scheduler reports granted requests as its own load, want no reports")
	}
}

// A silent scheduler delays one request. Then the next ones are asked, and last
// the instance chooses an endpoint itself.
func TestSilentSchedulerBackoff(t *testing.T) {
	d := newDataCentre(t)
	go d.client.receive()
	for range schedulersPerDataCentre {
		if p, _ := d.client.Place(context.Background(), d.endpoints, d.demand); p == nil {
			t.Fatal("request not placed")
		}
	}
	if got := d.client.nextScheduler(time.Now()); got != "" {
		t.Fatalf("next scheduler is %s, want none: all are silent", got)
	}
	if got := d.client.nextScheduler(time.Now().Add(maxBackoff)); got == "" {
		t.Fatal("silent schedulers not retried after the backoff")
	}
}

// A scheduler without a configuration grants nothing, and the instance chooses an endpoint itself.
func TestSchedulerWithoutConfiguration(t *testing.T) {
	d := newDataCentre(t)
	d.scheduler.State = discovery.NewTable(time.Now)
	go d.scheduler.receive()
	go d.client.receive()
	if p, _ := d.client.Place(context.Background(), d.endpoints, d.demand); p == nil {
		t.Fatal("request not placed")
	}
	if len(d.client.backoffs) != 0 {
		t.Error("scheduler that answers is in backoff")
	}
}

// A scheduler's refusal is final: the instance must not choose by its own limited knowledge.
func TestSchedulerRefuses(t *testing.T) {
	d := newDataCentre(t)
	engine := &catalog.Service{Name: "s", Engine: &catalog.Engine{Slots: 2, MemoryTokens: 100_000}}
	document := &catalog.Document{Version: 2, Services: []catalog.Service{*engine}}
	if err := d.scheduler.State.Apply(&discovery.Update{Revision: 2, ValidatedAt: time.Now(), Config: document}); err != nil {
		t.Fatal(err)
	}
	d.demand = &balance.Demand{Service: engine, Objective: 50 * time.Millisecond, Prompt: 20_000, Output: 100}
	for range 80 {
		d.scheduler.Balancer.Place(d.endpoints, d.demand)
	}
	go d.scheduler.receive()
	go d.client.receive()
	p, refusal := d.client.Place(context.Background(), d.endpoints, d.demand)
	if p != nil || refusal == nil || refusal.RetryAfter <= 0 || refusal.Wait <= 0 {
		t.Fatalf("placement %+v, refusal %+v, want a refusal with a wait and a retry delay", p, refusal)
	}
}
