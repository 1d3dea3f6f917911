package fair_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/fair"
)

// A request is refused only if its team is above the fair rate, there are other teams, there is no
// spare capacity, and the request is not Unlimited.
func TestOnlyUseAboveTheFairRateIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		teams := rapid.IntRange(1, 100).Draw(t, "teams")
		spare := rapid.Bool().Draw(t, "spare")
		maxCongestion := 3.0
		if spare {
			maxCongestion = 1
		}
		var s fair.Shares
		for range 300 {
			r := &fair.Request{
				Team:  uint32(rapid.IntRange(1, teams).Draw(t, "team")),
				Level: rapid.IntRange(0, fair.Levels-1).Draw(t, "level"), Work: rapid.Float64Range(0.1, 10).Draw(t, "work"),
				Congestion: rapid.Float64Range(0, maxCongestion).Draw(t, "congestion"), Random: rapid.Float64Range(0, 1).Draw(t, "chance"),
				Unlimited: rapid.IntRange(0, 3).Draw(t, "fixed") == 0,
			}
			over, refused := s.Admit(now, r)
			if refused && (spare || teams == 1 || r.Unlimited || over <= 1) {
				t.Fatalf("request refused at %.2f times the fair rate, want it served: %+v", over, r)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
		}
	})
}

// A surge is a scenario in which some teams send many times their usual rate.
type surge struct {
	name    string
	teams   int     // together use 0.8 of the capacity
	small   int     // further teams that together use 0.1 of the capacity
	heavy   int     // of teams, those that surge
	factor  float64 // increase of their rate
	partial bool    // the surging teams use only half of the schedulers
	failure func(f *fleet)
}

// A fleet is several schedulers in front of one service.
type fleet struct {
	now         time.Time
	schedulers  []*fair.Shares
	partitioned bool // schedulers don't receive each other's reports
	rand        *rand.Rand
	queue       float64 // work that is queued
}

const (
	capacity = 1000.0 // work per second
	step     = 10 * time.Millisecond
)

// send submits a request of one unit of work and reports whether it is served.
func (f *fleet) send(scheduler int, team uint32) bool {
	s := f.schedulers[scheduler%len(f.schedulers)]
	// Congestion is 1 at 60 ms of queued work; the queue is full at 120 ms.
	_, refused := s.Admit(f.now, &fair.Request{Team: team, Level: 2, Work: 1, Congestion: f.queue / (0.06 * capacity), Random: f.rand.Float64()})
	if refused || f.queue > 0.12*capacity {
		return false
	}
	s.RecordGranted(f.now, team, 2, 1)
	f.queue++
	return true
}

// advance serves queued work for one step and exchanges reports every 200 ms.
func (f *fleet) advance() {
	f.queue = max(0, f.queue-capacity*step.Seconds())
	f.now = f.now.Add(step)
	if f.partitioned || f.now.UnixMilli()%200 != 0 {
		return
	}
	for i, s := range f.schedulers {
		uses := s.Report(f.now)
		for j, other := range f.schedulers {
			if j != i {
				other.Merge(f.now, uint64(i+1), uses)
			}
		}
	}
}

// run returns the fraction of the other teams' requests that is served, from 1 s into the surge.
func (r *surge) run(factor float64) float64 {
	f := &fleet{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(1, 2))}
	for range 6 {
		f.schedulers = append(f.schedulers, new(fair.Shares))
	}
	sent, served := 0, 0
	for i := range 800 {
		if i == 400 && r.failure != nil {
			r.failure(f)
		}
		surging := i >= 200
		for team := range r.teams {
			rate := 0.8 * capacity / float64(r.teams)
			heavy := team < r.heavy
			if heavy && surging {
				rate *= factor
			}
			for n := rate*step.Seconds() + f.rand.Float64(); n >= 1; n-- {
				scheduler := f.rand.IntN(len(f.schedulers))
				if heavy && r.partial {
					scheduler /= 2
				}
				ok := f.send(scheduler, uint32(team+1))
				if !heavy && i >= 300 {
					sent++
					if ok {
						served++
					}
				}
			}
		}
		if r.small > 0 && f.rand.Float64() < 0.1*capacity*step.Seconds() {
			f.send(f.rand.IntN(len(f.schedulers)), uint32(1000+f.rand.IntN(r.small)))
		}
		f.advance()
	}
	return float64(served) / float64(sent)
}

// Other teams keep at least 0.95 of their service, even if schedulers are lost or partitioned.
func TestSurgeDoesNotAffectOtherTeams(t *testing.T) {
	for _, r := range []surge{
		{name: "one", teams: 24, heavy: 1, factor: 30},
		{name: "three", teams: 24, heavy: 3, factor: 15},
		{name: "one at half of the schedulers", teams: 24, heavy: 1, factor: 30, partial: true},
		{name: "23,000 other small teams", teams: 12, small: 23000, heavy: 1, factor: 15},
		{name: "scheduler lost", teams: 24, heavy: 1, factor: 30, failure: func(f *fleet) { f.schedulers = f.schedulers[1:] }},
		{name: "schedulers restart", teams: 24, heavy: 1, factor: 30, failure: func(f *fleet) { f.schedulers[0], f.schedulers[3] = new(fair.Shares), new(fair.Shares) }},
		{name: "schedulers partitioned", teams: 24, heavy: 1, factor: 30, failure: func(f *fleet) { f.partitioned = true }},
	} {
		t.Run(r.name, func(t *testing.T) {
			baseline, got := r.run(1), r.run(r.factor)
			t.Logf("served %.3f without and %.3f with the surge", baseline, got)
			if got < 0.95*baseline {
				t.Errorf("other teams are served %.3f of their requests, want at least 0.95 of %.3f", got, baseline)
			}
		})
	}
}

// One team asks for twice the capacity, the others together for half. It must get what they leave.
func TestSpareCapacityIsUsed(t *testing.T) {
	f := &fleet{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(1, 2)), schedulers: []*fair.Shares{new(fair.Shares)}}
	served := 0
	for i := range 1000 {
		for n := range 25 {
			team := uint32(1)
			if n >= 20 {
				team = uint32(n)
			}
			if f.send(0, team) && i >= 400 {
				served++
			}
		}
		f.advance()
	}
	if used := float64(served) / (6 * capacity); used < 0.95 {
		t.Errorf("%.2f of the capacity is used, want at least 0.95", used)
	}
}

func TestManyTeamsUseBoundedMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	var s fair.Shares
	for i := range 100_000 {
		s.Admit(now, &fair.Request{Team: uint32(i%23000 + 1), Level: 2, Work: 1, Congestion: 2, Random: 1})
		now = now.Add(100 * time.Microsecond)
	}
	if n := len(s.Report(now)); n > 16 {
		t.Errorf("%d teams in a report, want at most 16", n)
	}
	for _, l := range s.Status(now) {
		if len(l.Teams) > 64 {
			t.Errorf("%d teams tracked, want at most 64", len(l.Teams))
		}
		if l.Limited > 0 {
			t.Errorf("%d of 23,000 equal teams are limited, want none", l.Limited)
		}
	}
}

func BenchmarkOffer(b *testing.B) {
	for _, teams := range []int{24, 23000} {
		b.Run(map[int]string{24: "24", 23000: "23000"}[teams], func(b *testing.B) {
			now := time.Unix(1000, 0)
			var s, other fair.Shares
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				r := &fair.Request{Team: uint32(i*7919%teams + 1), Level: 2, Work: 1, Congestion: 2, Random: 0.5}
				s.Admit(now, r)
				now = now.Add(100 * time.Microsecond)
				if i%2000 == 0 {
					other.Admit(now, r)
					s.Merge(now, 1, other.Report(now))
				}
			}
		})
	}
}

func TestTeamsAboveTheFairRate(t *testing.T) {
	var s fair.Shares
	now := time.Unix(1000, 0)
	send := func(steps int, congestion float64) {
		for range steps {
			now = now.Add(10 * time.Millisecond)
			s.Admit(now, &fair.Request{Team: 1, Work: 10, Congestion: congestion, Unlimited: true})
			s.Admit(now, &fair.Request{Team: 2, Work: 1, Congestion: congestion, Unlimited: true})
			s.RecordGranted(now, 1, 0, 1)
			s.RecordGranted(now, 2, 0, 1)
		}
	}
	send(400, 0)
	if s.Above(now, 1, 0) {
		t.Error("Above is true for a team without congestion, want false")
	}
	send(50, 3)
	if !s.Above(now, 1, 0) || s.Above(now, 2, 0) || s.Above(now, 3, 0) {
		t.Errorf("above the fair rate: %v at use 10, %v at use 1, %v at use 0, want only the first", s.Above(now, 1, 0), s.Above(now, 2, 0), s.Above(now, 3, 0))
	}
	if now = now.Add(time.Minute); s.Above(now, 1, 0) {
		t.Error("Above is true for a team after a minute without requests, want false")
	}
}
