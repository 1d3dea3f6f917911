package balance_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ivyridge/balance"
)

// A rushDay offers requests of teams to Balancers that know each other's load at once, and
// ends what they place after the time that it takes.
type rushDay struct {
	*fixture
	balancers []*balance.Balancer
	demand    func(f *fixture) *balance.Demand
	rate      int // requests of a usual team in 10 s
	takes     func(p *balance.Placement) time.Duration
	held      map[string]int // requests at an endpoint
	most      int            // that an endpoint takes; it refuses others
	ends      []ending
}

type ending struct {
	at     time.Time
	placed *balance.Placement
}

// play lets 20 teams ask for 6 s, the first of them so many times as often as the others
// from the first second on, and returns the part of the others' requests that is served
// from the second second on.
func (r *rushDay) play(t *testing.T, times int) float64 {
	asked, served := 0, 0
	last := make([]time.Time, 21)
	start := r.now
	for ; r.now.Sub(start) < 6*time.Second; r.now = r.now.Add(time.Millisecond) {
		r.end()
		for team := 1; team <= 20; team++ {
			every := 10 * time.Second / time.Duration(r.rate)
			if team == 1 && r.now.Sub(start) > time.Second {
				every /= time.Duration(times)
			}
			for ; r.now.Sub(last[team]) >= every; last[team] = last[team].Add(every) {
				if last[team].IsZero() {
					last[team] = r.now.Add(-every * time.Duration(team) / 20)
				}
				ok := r.ask(t, fmt.Sprint("team", team))
				if team > 1 && r.now.Sub(start) > 2*time.Second {
					asked++
					if ok {
						served++
					}
				}
			}
		}
	}
	return float64(served) / float64(asked)
}

func (r *rushDay) ask(t *testing.T, team string) bool {
	d := r.demand(r.fixture)
	d.Team = balance.TeamHash(team)
	b := r.balancers[int(r.now.UnixMilli())%len(r.balancers)]
	p, refusal := b.Admit(r.endpoints, d)
	if refusal != nil {
		if refusal.RetryAfter <= 0 || refusal.RetryAfter > 2*time.Second {
			t.Fatalf("told to come back in %s", refusal.RetryAfter)
		}
		return false
	}
	if r.held[p.Endpoint.ID] >= r.most {
		p.Done(balance.Refused)
		return false
	}
	r.held[p.Endpoint.ID]++
	r.ends = append(r.ends, ending{r.now.Add(r.takes(p)), p})
	return true
}

// end ends what is over by now, and lets the Balancers speak.
func (r *rushDay) end() {
	r.ends = slices.DeleteFunc(r.ends, func(e ending) bool {
		if r.now.Before(e.at) {
			return false
		}
		r.held[e.placed.Endpoint.ID]--
		e.placed.Done(balance.Served)
		return true
	})
	for i, from := range r.balancers {
		for j, to := range r.balancers {
			if i == j || r.now.UnixMilli()%40 != 0 {
				continue
			}
			reports, _ := from.Reports(true, 0)
			to.Merge(uint64(i+1), nil, reports, true)
			if r.now.UnixMilli()%200 == 0 {
				to.MergeTeams(uint64(i+1), from.TeamUses())
			}
		}
	}
}

// One team asks for thirty times its usual at engines whose slots are then all taken. Before
// shares, each other team lost as great a part of its requests as that one.
func TestRushAtEnginesIsNotPaidByOthers(t *testing.T) {
	day := func() *rushDay {
		r := &rushDay{fixture: newFixture(4), rate: 50, held: make(map[string]int), most: 1000}
		r.engines.Engine.Slots = 8
		r.demand = func(f *fixture) *balance.Demand {
			return &balance.Demand{Service: f.engines, Priority: 2, Objective: 500 * time.Millisecond, Prompt: 400, Output: 40}
		}
		r.takes = func(p *balance.Placement) time.Duration {
			p.First(16 * time.Millisecond)
			return 200 * time.Millisecond * time.Duration(max(1, (r.held[p.Endpoint.ID]+7)/8))
		}
		return r
	}
	compareRush(t, day)
}

// The same at a plain service of 4 endpoints, each with 8 slots and room for as many
// requests again, which refuse the rest whatever their team.
func TestRushAtPlainEndpointsIsNotPaidByOthers(t *testing.T) {
	day := func() *rushDay {
		r := &rushDay{fixture: newFixture(4), rate: 150, held: make(map[string]int), most: 16}
		r.demand = func(f *fixture) *balance.Demand {
			return &balance.Demand{Service: f.plain, Priority: 2, Objective: 300 * time.Millisecond}
		}
		r.takes = func(p *balance.Placement) time.Duration {
			return 60 * time.Millisecond * time.Duration(max(1, (r.held[p.Endpoint.ID]+7)/8))
		}
		return r
	}
	compareRush(t, day)
}

func compareRush(t *testing.T, day func() *rushDay) {
	t.Helper()
	for _, n := range []int{1, 3} {
		// The mean of some plays: who is refused is drawn.
		const plays = 5
		served := func(times int) (mean float64) {
			for range plays {
				r := day()
				for range n {
					r.balancers = append(r.balancers, r.balancer())
				}
				mean += r.play(t, times) / plays
			}
			return mean
		}
		without, with := served(1), served(30)
		t.Logf("%d balancers: others are served %.3f without and %.3f with the rush", n, without, with)
		if with < 0.95*without {
			t.Errorf("%d balancers: others are served %.3f, want 0.95 of %.3f", n, with, without)
		}
	}
}

// What is told of teams fades when nobody tells it any more, and nothing is told on a calm
// day.
func TestCalmBalancersTellNothingOfTeams(t *testing.T) {
	f := newFixture(4)
	b := f.balancer()
	for range 20 {
		d := f.level(2)
		d.Team = 7
		if p, _ := b.Admit(f.endpoints, d); p != nil {
			p.Done(balance.Served)
		}
		f.now = f.now.Add(100 * time.Millisecond)
	}
	if uses := b.TeamUses(); len(uses) != 0 {
		t.Errorf("told %+v while nothing is scarce", uses)
	}
}

// A choice for another instance beside 23,000 teams, while nothing is scarce and while the
// engines are short.
func BenchmarkGrant(bench *testing.B) {
	for _, n := range []int{12, 63, 204, 690} {
		for _, short := range []bool{false, true} {
			bench.Run(fmt.Sprintf("%d/short=%v", n, short), func(bench *testing.B) {
				f := newFixture(n)
				f.engines.Engine.Slots = 8
				b := f.balancer()
				d := f.long(9)
				if short {
					f.engines.Engine.Slots = 1
				}
				i := 0
				bench.ReportAllocs()
				for bench.Loop() {
					i++
					f.now = f.now.Add(time.Millisecond)
					d.Team = uint32(i*7919%23000 + 1)
					b.Grant(1, f.endpoints, d)
					b.Placed()
					if !short {
						b.Merge(1, nil, nil, true)
					}
				}
			})
		}
	}
}

// Symptom: in a rush of one team, 89 of 457 urgent requests got nothing within five seconds, most
// of them refused for that team's share, while longer, less urgent ones were let in.
//
// Cause: a fair rate holds for a second and more after the waits that it came from are over, and
// less urgent requests give way only while there are waits.
func TestUrgentAreNotRefusedForSharesWhileLessUrgentAreLetIn(t *testing.T) {
	r := &rushDay{fixture: newFixture(4), held: make(map[string]int), most: 1000}
	r.engines.Engine.Slots = 8
	b := r.balancer()
	r.balancers = []*balance.Balancer{b}
	r.takes = func(*balance.Placement) time.Duration {
		return 200 * time.Millisecond * time.Duration(1+len(r.ends)/32)
	}
	demand := func(priority int) *balance.Demand {
		return &balance.Demand{Service: r.engines, Priority: priority, Objective: 500 * time.Millisecond, Prompt: 400, Output: 40}
	}
	refused, let := 0, 0
	for start := r.now; r.now.Sub(start) < 10*time.Second; r.now = r.now.Add(2 * time.Millisecond) {
		r.end()
		team := "others"
		if r.now.UnixMilli()%16 != 0 {
			team = "rush"
		}
		if second := int(r.now.Sub(start).Seconds()); second%2 == 1 && team == "rush" && r.now.UnixMilli()%10 != 0 {
			continue // its rush comes and goes
		}
		r.demand = func(*fixture) *balance.Demand { return demand(0) }
		d := demand(0)
		d.Team = balance.TeamHash(team)
		p, refusal := b.Admit(r.endpoints, d)
		if refusal == nil {
			r.held[p.Endpoint.ID]++
			r.ends = append(r.ends, ending{r.now.Add(r.takes(p)), p})
			continue
		}
		if refusal.Cause != balance.TeamShare {
			continue
		}
		refused++
		less := demand(2)
		less.Team = balance.TeamHash("another")
		if p, _ := b.Admit(r.endpoints, less); p != nil {
			p.Done(balance.Unknown)
			let++
		}
	}
	if refused == 0 {
		t.Error("no urgent request was refused for its team's share: the test shows nothing")
	}
	if let > 0 {
		t.Errorf("%d of %d times a less urgent request would have been let in", let, refused)
	}
}
