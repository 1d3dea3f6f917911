package gossip

import (
	"fmt"
	"testing"
	"time"

	"ivyridge/balance"
)

// fleet returns the pictures of n instances in so many data centres, in which
// each hears all others.
func fleet(now time.Time, n, dataCentres int, change func(i int, m *Message)) []*members {
	all := make([]*members, n)
	for i := range all {
		all[i] = newMembers(Member{ID: uint64(i + 1), Address: fmt.Sprint(i), DataCentre: fmt.Sprint(i % dataCentres), Cores: 0.2}, nil)
	}
	for i, s := range all {
		for j := range all {
			if i == j {
				continue
			}
			m := &Message{Sender: uint64(j + 1), DataCentre: fmt.Sprint(j % dataCentres), Cores: 0.2, Next: quietFor, Hears: n}
			change(j, m)
			s.heard(now, fmt.Sprint(j), m, time.Time{})
		}
		own := &Message{Cores: 0.2}
		change(i, own)
		s.self.Cores, s.self.Leaving, s.self.Warm = own.Cores, own.Leaving, own.Warm
	}
	return all
}

func same(int, *Message) {}

func TestSmallFleetsScheduleThemselves(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, s := range fleet(now, 7, 3, same) {
		r := s.current(now)
		if !r.schedules || len(r.schedulers) != 6 || len(r.asked)+len(r.near)+len(r.far) != 0 {
			t.Fatalf("instance %d: %+v", s.self.ID, r)
		}
	}
}

// All who hear the same see the same roles, and ask a scheduler of their own
// data centre.
func TestInstancesAgreeOnRoles(t *testing.T) {
	now := time.Unix(1000, 0)
	large := func(i int, m *Message) {
		if i >= 40 && i < 46 {
			m.Cores = 0.8
		}
	}
	schedulers := 0
	asked := make(map[string]bool)
	for i, s := range fleet(now, 80, 3, large) {
		r := s.current(now)
		if r.schedules {
			schedulers++
			continue
		}
		if len(r.schedulers) != 3*schedulersKept {
			t.Fatalf("instance %d tells %d schedulers", i, len(r.schedulers))
		}
		if r.asked[0].DataCentre != s.self.DataCentre || r.asked[0].Cores != 0.8 {
			t.Fatalf("instance %d of %s asks %+v", i, s.self.DataCentre, r.asked[0])
		}
		asked[r.asked[0].Address] = true
	}
	if schedulers != 3*schedulersKept || len(asked) != 3 {
		t.Fatalf("%d schedulers, %d are asked", schedulers, len(asked))
	}
}

// A scheduler that was started again knows little; those that know more keep
// their place.
func TestWarmSchedulersStay(t *testing.T) {
	now := time.Unix(1000, 0)
	change := func(i int, m *Message) {
		m.Warm = i >= 10 && i < 13
		if i == 0 {
			m.Cores = 0.8
		}
	}
	s := fleet(now, 30, 1, change)[20]
	for _, m := range s.current(now).asked {
		if !m.Warm {
			t.Fatalf("asks %s, which is not warm", m.Address)
		}
	}
	leaves := func(i int, m *Message) {
		change(i, m)
		m.Leaving = i == 10
	}
	s = fleet(now, 30, 1, leaves)[20]
	if first := s.current(now).asked[0]; first.Address != "11" {
		t.Fatalf("asks %s, want the next one that is warm", first.Address)
	}
}

func TestSchedulersGetWarm(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newMembers(Member{ID: 1, Address: "own", DataCentre: "z"}, nil)
	s.current(now)
	if s.self.Warm {
		t.Fatal("warm at the start")
	}
	s.current(now.Add(warmAfter))
	if !s.self.Warm {
		t.Fatalf("not warm after %v", warmAfter)
	}
}

// What an instance sends grows little with the fleet.
func TestBeatsGrowSeldomer(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct{ instances, dataCentres, most int }{{7, 3, 150}, {80, 3, 80}, {390, 6, 40}} {
		s := fleet(now, c.instances, c.dataCentres, same)[c.instances-1]
		r := s.current(now)
		perSecond := func(n int, every time.Duration) float64 { return float64(n) * float64(time.Second) / float64(every) }
		rate := perSecond(len(r.nearby), balance.ReportEvery(r.dataCentreSize())) +
			perSecond(len(r.near)+len(r.beyond), heartbeatEvery(c.instances))
		if r.schedules {
			rate = perSecond(len(r.schedulers), r.interval())
		}
		if rate > float64(c.most) {
			t.Errorf("one of %d instances sends %.0f datagrams a second, want %d at most", c.instances, rate, c.most)
		}
	}
}

func TestLargeDataCentresAskSeveral(t *testing.T) {
	now := time.Unix(1000, 0)
	asked := make(map[string]int)
	for _, s := range fleet(now, 100, 1, same) {
		if r := s.current(now); !r.schedules {
			asked[r.asked[0].Address]++
		}
	}
	if len(asked) != 3 {
		t.Fatalf("100 instances ask %v", asked)
	}
}

// One instance in each data centre reads the store; the others follow it.
func TestOneReaderInEachDataCentre(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, n := range []int{7, 80} {
		readers := make(map[string]int)
		for _, s := range fleet(now, n, 3, same) {
			r := s.current(now)
			if r.schedules && len(r.ahead) == 0 {
				readers[s.self.DataCentre]++
			}
			if r.readers != 3 {
				t.Errorf("one of %d instances counts %d readers", n, r.readers)
			}
			for _, m := range r.ahead {
				if m.DataCentre != s.self.DataCentre {
					t.Errorf("one of %d instances follows another data centre", n)
				}
			}
		}
		if len(readers) != 3 || readers["0"]+readers["1"]+readers["2"] != 3 {
			t.Errorf("%d instances: readers %v", n, readers)
		}
	}
}
