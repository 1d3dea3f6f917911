package fair_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/fair"
)

// Nobody is refused by itself, while there is room, or when only counted; whoever is refused
// uses more than the fair rate. Requests, pauses and congestion are drawn.
func TestOnlyUseAboveTheFairRateIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		teams := rapid.IntRange(1, 100).Draw(t, "teams")
		room := rapid.Bool().Draw(t, "room")
		most := 3.0
		if room {
			most = 1
		}
		var s fair.Shares
		for range 300 {
			r := &fair.Request{
				Team:  uint32(rapid.IntRange(1, teams).Draw(t, "team")),
				Level: rapid.IntRange(0, fair.Levels-1).Draw(t, "level"), Work: rapid.Float64Range(0.1, 10).Draw(t, "work"),
				Congestion: rapid.Float64Range(0, most).Draw(t, "congestion"), Chance: rapid.Float64Range(0, 1).Draw(t, "chance"),
				Fixed: rapid.IntRange(0, 3).Draw(t, "fixed") == 0,
			}
			over, refused := s.Offer(now, r)
			if refused && (room || teams == 1 || r.Fixed || over <= 1) {
				t.Fatalf("refused at %.2f of the fair rate: %+v", over, r)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
		}
	})
}

// A rush is teams that ask for many times their usual at a service, chosen for by several
// schedulers that tell each other what teams use.
type rush struct {
	name  string
	teams int     // usual ones, that ask for 0.8 of what the service bears
	small int     // further teams that share 0.1 of it
	heavy int     // teams of those that rush
	times float64 // their usual
	near  bool    // the teams that rush enter at half of the schedulers only
	event func(f *fleet)
}

// A fleet is schedulers before a service that works off so much a second.
type fleet struct {
	now        time.Time
	schedulers []*fair.Shares
	cut        bool // they don't hear each other
	rand       *rand.Rand
	queue      float64 // work that waits
}

const (
	bears = 1000.0 // work a second
	step  = 10 * time.Millisecond
)

// ask offers a request of one unit, and reports whether it is served.
func (f *fleet) ask(at int, team uint32) bool {
	s := f.schedulers[at%len(f.schedulers)]
	// Shares bind from 60 ms of waiting work, and all are refused from 120.
	_, refused := s.Offer(f.now, &fair.Request{Team: team, Level: 2, Work: 1, Congestion: f.queue / (0.06 * bears), Chance: f.rand.Float64()})
	if refused || f.queue > 0.12*bears {
		return false
	}
	s.Grant(f.now, team, 2, 1)
	f.queue++
	return true
}

// pass works off, and lets schedulers speak each 200 ms.
func (f *fleet) pass() {
	f.queue = max(0, f.queue-bears*step.Seconds())
	f.now = f.now.Add(step)
	if f.cut || f.now.UnixMilli()%200 != 0 {
		return
	}
	for i, s := range f.schedulers {
		uses := s.Uses(f.now)
		for j, other := range f.schedulers {
			if j != i {
				other.Merge(f.now, uint64(i+1), uses)
			}
		}
	}
}

// play returns the part of the requests of usual teams without a rush that are served from
// a second after the rush began.
func (r *rush) play(times float64) float64 {
	f := &fleet{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(1, 2))}
	for range 6 {
		f.schedulers = append(f.schedulers, new(fair.Shares))
	}
	asked, served := 0, 0
	for i := range 800 {
		if i == 400 && r.event != nil {
			r.event(f)
		}
		rushes := i >= 200
		for team := range r.teams {
			rate := 0.8 * bears / float64(r.teams)
			heavy := team < r.heavy
			if heavy && rushes {
				rate *= times
			}
			for n := rate*step.Seconds() + f.rand.Float64(); n >= 1; n-- {
				at := f.rand.IntN(len(f.schedulers))
				if heavy && r.near {
					at /= 2
				}
				ok := f.ask(at, uint32(team+1))
				if !heavy && i >= 300 {
					asked++
					if ok {
						served++
					}
				}
			}
		}
		if r.small > 0 && f.rand.Float64() < 0.1*bears*step.Seconds() {
			f.ask(f.rand.IntN(len(f.schedulers)), uint32(1000+f.rand.IntN(r.small)))
		}
		f.pass()
	}
	return float64(served) / float64(asked)
}

// Each other team keeps 0.95 or more of what it is served without the rush, also when a
// scheduler is lost, starts anew or all are cut off from each other.
func TestRushIsNotPaidByOthers(t *testing.T) {
	for _, r := range []rush{
		{name: "one", teams: 24, heavy: 1, times: 30},
		{name: "three", teams: 24, heavy: 3, times: 15},
		{name: "one at half of the schedulers", teams: 24, heavy: 1, times: 30, near: true},
		{name: "23,000 small teams beside it", teams: 12, small: 23000, heavy: 1, times: 15},
		{name: "a scheduler is lost", teams: 24, heavy: 1, times: 30, event: func(f *fleet) { f.schedulers = f.schedulers[1:] }},
		{name: "schedulers start anew", teams: 24, heavy: 1, times: 30, event: func(f *fleet) { f.schedulers[0], f.schedulers[3] = new(fair.Shares), new(fair.Shares) }},
		{name: "cut off from each other", teams: 24, heavy: 1, times: 30, event: func(f *fleet) { f.cut = true }},
	} {
		t.Run(r.name, func(t *testing.T) {
			without, with := r.play(1), r.play(r.times)
			t.Logf("others are served %.3f without and %.3f with the rush", without, with)
			if with < 0.95*without {
				t.Errorf("others are served %.3f, want 0.95 of %.3f", with, without)
			}
		})
	}
}

// What a service has left goes to the team that wants it: the others ask for half of it,
// one for twice of it.
func TestRoomIsUsed(t *testing.T) {
	f := &fleet{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(1, 2)), schedulers: []*fair.Shares{new(fair.Shares)}}
	served := 0
	for i := range 1000 {
		for n := range 25 {
			team := uint32(1)
			if n >= 20 {
				team = uint32(n)
			}
			if f.ask(0, team) && i >= 400 {
				served++
			}
		}
		f.pass()
	}
	if part := float64(served) / (6 * bears); part < 0.95 {
		t.Errorf("%.2f of what the service bears is used", part)
	}
}

// 23,000 teams cost no more memory, and no more to tell, than 24.
func TestManyTeamsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	var s fair.Shares
	for i := range 100_000 {
		s.Offer(now, &fair.Request{Team: uint32(i%23000 + 1), Level: 2, Work: 1, Congestion: 2, Chance: 1})
		now = now.Add(100 * time.Microsecond)
	}
	if n := len(s.Uses(now)); n > 16 {
		t.Errorf("%d teams are told", n)
	}
	for _, l := range s.Status(now) {
		if len(l.Teams) > 64 {
			t.Errorf("%d teams are held", len(l.Teams))
		}
		if l.Limited > 0 {
			t.Errorf("%d of 23,000 equal teams are limited", l.Limited)
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
				r := &fair.Request{Team: uint32(i*7919%teams + 1), Level: 2, Work: 1, Congestion: 2, Chance: 0.5}
				s.Offer(now, r)
				now = now.Add(100 * time.Microsecond)
				if i%2000 == 0 {
					other.Offer(now, r)
					s.Merge(now, 1, other.Uses(now))
				}
			}
		})
	}
}

// While there is no fair rate nobody is above it; then a team is that uses more, and one that uses
// less is not.
func TestTeamsAboveTheFairRate(t *testing.T) {
	var s fair.Shares
	now := time.Unix(1000, 0)
	offer := func(steps int, congestion float64) {
		for range steps {
			now = now.Add(10 * time.Millisecond)
			s.Offer(now, &fair.Request{Team: 1, Work: 10, Congestion: congestion, Fixed: true})
			s.Offer(now, &fair.Request{Team: 2, Work: 1, Congestion: congestion, Fixed: true})
			s.Grant(now, 1, 0, 1)
			s.Grant(now, 2, 0, 1)
		}
	}
	offer(400, 0)
	if s.Above(now, 1, 0) {
		t.Error("a team is above its share of what is not scarce")
	}
	offer(50, 3)
	if !s.Above(now, 1, 0) || s.Above(now, 2, 0) || s.Above(now, 3, 0) {
		t.Errorf("above the fair rate: %v of ten, %v of one, %v of nothing", s.Above(now, 1, 0), s.Above(now, 2, 0), s.Above(now, 3, 0))
	}
	if now = now.Add(time.Minute); s.Above(now, 1, 0) {
		t.Error("a fair rate of a minute ago holds")
	}
}
