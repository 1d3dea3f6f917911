package gossip

import (
	"fmt"
	"testing"
	"time"

	"ivyridge/balance"
)

// newFleetViews returns the member tables of n instances, each of which received from all others.
func newFleetViews(now time.Time, n, dataCentres int, change func(i int, m *Message)) []*members {
	all := make([]*members, n)
	for i := range all {
		all[i] = newMembers(Member{ID: uint64(i + 1), Address: fmt.Sprint(i), DataCentre: fmt.Sprint(i % dataCentres), Cores: 0.2}, nil)
	}
	for i, s := range all {
		for j := range all {
			if i == j {
				continue
			}
			m := &Message{Sender: uint64(j + 1), DataCentre: fmt.Sprint(j % dataCentres), Cores: 0.2, NextWithin: maxUpdateInterval, FleetSize: n}
			change(j, m)
			s.observe(now, fmt.Sprint(j), m, time.Time{})
		}
		ownMessage := &Message{Cores: 0.2}
		change(i, ownMessage)
		s.self.Cores, s.self.Leaving, s.self.WarmedUp = ownMessage.Cores, ownMessage.Leaving, ownMessage.WarmedUp
	}
	return all
}

func unchanged(int, *Message) {}

func TestSmallFleetHasOnlySchedulers(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, s := range newFleetViews(now, 7, 3, unchanged) {
		r := s.currentRoles(now)
		if !r.isScheduler || len(r.schedulers) != 6 || len(r.schedulerOrder)+len(r.localPeers)+len(r.remotePeers) != 0 {
			t.Fatalf("roles of instance %d are %+v, want a scheduler among 6 others and no ordinary instances", s.self.ID, r)
		}
	}
}

// Instances with the same members compute the same roles, and use a scheduler of their data centre.
func TestRolesAgree(t *testing.T) {
	now := time.Unix(1000, 0)
	large := func(i int, m *Message) {
		if i >= 40 && i < 46 {
			m.Cores = 0.8
		}
	}
	schedulers := 0
	receivers := make(map[string]bool)
	for i, s := range newFleetViews(now, 80, 3, large) {
		r := s.currentRoles(now)
		if r.isScheduler {
			schedulers++
			continue
		}
		if len(r.schedulers) != 3*schedulersPerDataCentre {
			t.Fatalf("instance %d knows %d schedulers, want schedulersPerDataCentre in each of 3 data centres", i, len(r.schedulers))
		}
		if r.schedulerOrder[0].DataCentre != s.self.DataCentre || r.schedulerOrder[0].Cores != 0.8 {
			t.Fatalf("instance %d of %s sends requests to %+v, want a scheduler of its data centre with 0.8 cores", i, s.self.DataCentre, r.schedulerOrder[0])
		}
		receivers[r.schedulerOrder[0].Address] = true
	}
	if schedulers != 3*schedulersPerDataCentre || len(receivers) != 3 {
		t.Fatalf("%d schedulers, of which %d receive requests, want schedulersPerDataCentre in each of 3 data centres, and 3", schedulers, len(receivers))
	}
}

// A restarted scheduler has little knowledge, so warmed-up ones rank ahead of it.
func TestWarmSchedulersPreferred(t *testing.T) {
	now := time.Unix(1000, 0)
	change := func(i int, m *Message) {
		m.WarmedUp = i >= 10 && i < 13
		if i == 0 {
			m.Cores = 0.8
		}
	}
	s := newFleetViews(now, 30, 1, change)[20]
	for _, m := range s.currentRoles(now).schedulerOrder {
		if !m.WarmedUp {
			t.Fatalf("instance 20 sends requests to %s, which is not warmed up", m.Address)
		}
	}
	leaving := func(i int, m *Message) {
		change(i, m)
		m.Leaving = i == 10
	}
	s = newFleetViews(now, 30, 1, leaving)[20]
	if first := s.currentRoles(now).schedulerOrder[0]; first.Address != "11" {
		t.Fatalf("instance 20 sends requests to %s, want 11, the next one that is warmed up", first.Address)
	}
}

func TestSchedulerWarmup(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newMembers(Member{ID: 1, Address: "own", DataCentre: "z"}, nil)
	s.currentRoles(now)
	if s.self.WarmedUp {
		t.Fatal("scheduler is warmed up at the start")
	}
	s.currentRoles(now.Add(warmupPeriod))
	if !s.self.WarmedUp {
		t.Fatalf("scheduler is not warmed up after %v", warmupPeriod)
	}
}

// The send rate of an instance hardly grows with the fleet.
func TestSendRateBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct{ instances, dataCentres, maxRate int }{{7, 3, 150}, {80, 3, 80}, {390, 6, 40}} {
		s := newFleetViews(now, c.instances, c.dataCentres, unchanged)[c.instances-1]
		r := s.currentRoles(now)
		perSecond := func(n int, interval time.Duration) float64 {
			return float64(n) * float64(time.Second) / float64(interval)
		}
		rate := perSecond(len(r.localSchedulers), balance.ReportInterval(r.dataCentreSize())) +
			perSecond(len(r.localPeers)+len(r.remoteSchedulers), heartbeatInterval(c.instances))
		if r.isScheduler {
			rate = perSecond(len(r.schedulers), r.tickInterval())
		}
		if rate > float64(c.maxRate) {
			t.Errorf("one of %d instances sends %.0f datagrams per second, want at most %d", c.instances, rate, c.maxRate)
		}
	}
}

func TestLargeDataCentreUsesSeveralSchedulers(t *testing.T) {
	now := time.Unix(1000, 0)
	receivers := make(map[string]int)
	for _, s := range newFleetViews(now, 100, 1, unchanged) {
		if r := s.currentRoles(now); !r.isScheduler {
			receivers[r.schedulerOrder[0].Address]++
		}
	}
	if len(receivers) != 3 {
		t.Fatalf("requests of 100 instances go to the schedulers %v, want three", receivers)
	}
}

// One instance per data centre reads the store; the others follow it.
func TestOneStoreReaderPerDataCentre(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, n := range []int{7, 80} {
		readers := make(map[string]int)
		for _, s := range newFleetViews(now, n, 3, unchanged) {
			r := s.currentRoles(now)
			if r.isScheduler && len(r.predecessors) == 0 {
				readers[s.self.DataCentre]++
			}
			if r.storeReaders != 3 {
				t.Errorf("one of %d instances counts %d store readers, want 3", n, r.storeReaders)
			}
			for _, m := range r.predecessors {
				if m.DataCentre != s.self.DataCentre {
					t.Errorf("one of %d instances follows another data centre", n)
				}
			}
		}
		if len(readers) != 3 || readers["0"]+readers["1"]+readers["2"] != 3 {
			t.Errorf("%d instances: store readers by data centre are %v, want one in each of three", n, readers)
		}
	}
}
