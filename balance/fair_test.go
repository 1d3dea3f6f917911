package balance_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ivyridge/balance"
)

// A surge simulates requests of several teams, placed by balancers that exchange reports.
type surge struct {
	*fixture
	balancers   []*balance.Balancer
	demand      func(f *fixture) *balance.Demand
	rate        int // requests per team in 10 s
	duration    func(p *balance.Placement) time.Duration
	running     map[string]int // running requests by endpoint
	capacity    int            // running requests above which an endpoint refuses
	completions []completion
}

type completion struct {
	at     time.Time
	placed *balance.Placement
}

// run simulates 20 teams for 6 s. After 1 s, the first team sends factor times as many requests as
// the others. It returns the share of the others' requests served after 2 s.
func (r *surge) run(t *testing.T, factor int) float64 {
	sent, served := 0, 0
	last := make([]time.Time, 21)
	start := r.now
	for ; r.now.Sub(start) < 6*time.Second; r.now = r.now.Add(time.Millisecond) {
		r.complete()
		for team := 1; team <= 20; team++ {
			every := 10 * time.Second / time.Duration(r.rate)
			if team == 1 && r.now.Sub(start) > time.Second {
				every /= time.Duration(factor)
			}
			for ; r.now.Sub(last[team]) >= every; last[team] = last[team].Add(every) {
				if last[team].IsZero() {
					last[team] = r.now.Add(-every * time.Duration(team) / 20)
				}
				admitted := r.send(t, fmt.Sprint("team", team))
				if team > 1 && r.now.Sub(start) > 2*time.Second {
					sent++
					if admitted {
						served++
					}
				}
			}
		}
	}
	return float64(served) / float64(sent)
}

func (r *surge) send(t *testing.T, team string) bool {
	d := r.demand(r.fixture)
	d.Team = balance.TeamHash(team)
	b := r.balancers[int(r.now.UnixMilli())%len(r.balancers)]
	p, refusal := b.Admit(r.endpoints, d)
	if refusal != nil {
		if refusal.RetryAfter <= 0 || refusal.RetryAfter > 2*time.Second {
			t.Fatalf("retry after %s, want at most 2s", refusal.RetryAfter)
		}
		return false
	}
	if r.running[p.Endpoint.ID] >= r.capacity {
		p.Done(balance.Refused)
		return false
	}
	r.running[p.Endpoint.ID]++
	r.completions = append(r.completions, completion{r.now.Add(r.duration(p)), p})
	return true
}

// complete ends the requests that are done, and exchanges reports.
func (r *surge) complete() {
	r.completions = slices.DeleteFunc(r.completions, func(e completion) bool {
		if r.now.Before(e.at) {
			return false
		}
		r.running[e.placed.Endpoint.ID]--
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

// Without fair shares, a surge of one team makes all teams lose the same share of requests.
func TestSurgeAtEnginesDoesNotHurtOtherTeams(t *testing.T) {
	newSurge := func() *surge {
		r := &surge{fixture: newFixture(4), rate: 50, running: make(map[string]int), capacity: 1000}
		r.engines.Engine.Slots = 8
		r.demand = func(f *fixture) *balance.Demand {
			return &balance.Demand{Service: f.engines, Priority: 2, Objective: 500 * time.Millisecond, Prompt: 400, Output: 40}
		}
		r.duration = func(p *balance.Placement) time.Duration {
			p.RecordFirstEvent(16 * time.Millisecond)
			return 200 * time.Millisecond * time.Duration(max(1, (r.running[p.Endpoint.ID]+7)/8))
		}
		return r
	}
	compareSurge(t, newSurge)
}

// Plain endpoints with 8 slots and a queue for 8 more requests refuse further ones of any team.
func TestSurgeAtPlainEndpointsDoesNotHurtOtherTeams(t *testing.T) {
	newSurge := func() *surge {
		r := &surge{fixture: newFixture(4), rate: 150, running: make(map[string]int), capacity: 16}
		r.demand = func(f *fixture) *balance.Demand {
			return &balance.Demand{Service: f.plain, Priority: 2, Objective: 300 * time.Millisecond}
		}
		r.duration = func(p *balance.Placement) time.Duration {
			return 60 * time.Millisecond * time.Duration(max(1, (r.running[p.Endpoint.ID]+7)/8))
		}
		return r
	}
	compareSurge(t, newSurge)
}

func compareSurge(t *testing.T, newSurge func() *surge) {
	t.Helper()
	for _, n := range []int{1, 3} {
		// Refusals are random, so use the mean of several runs.
		const runs = 5
		served := func(factor int) (mean float64) {
			for range runs {
				r := newSurge()
				for range n {
					r.balancers = append(r.balancers, r.balancer())
				}
				mean += r.run(t, factor) / runs
			}
			return mean
		}
		without, with := served(1), served(30)
		t.Logf("%d balancers: other teams are served %.3f without and %.3f with the surge", n, without, with)
		if with < 0.95*without {
			t.Errorf("%d balancers: other teams are served %.3f, want at least 0.95 of %.3f", n, with, without)
		}
	}
}

func TestNoTeamReportsWithoutOverload(t *testing.T) {
	f := newFixture(4)
	b := f.balancer()
	for range 20 {
		d := f.shortRequest(2)
		d.Team = 7
		if p, _ := b.Admit(f.endpoints, d); p != nil {
			p.Done(balance.Served)
		}
		f.now = f.now.Add(100 * time.Millisecond)
	}
	if uses := b.TeamUses(); len(uses) != 0 {
		t.Errorf("reported team use %+v while nothing is scarce, want none", uses)
	}
}

// BenchmarkGrant grants to 23,000 teams, with and without overload.
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
					b.TakeNotices()
					if !short {
						b.Merge(1, nil, nil, true)
					}
				}
			})
		}
	}
}

// Guards against refusing urgent requests for their team's share while less urgent ones are
// admitted: a fair rate outlasts the queueing that caused it, while yielding does not.
func TestSharesDoNotRefuseUrgentBeforeLessUrgent(t *testing.T) {
	r := &surge{fixture: newFixture(4), running: make(map[string]int), capacity: 1000}
	r.engines.Engine.Slots = 8
	b := r.balancer()
	r.balancers = []*balance.Balancer{b}
	r.duration = func(*balance.Placement) time.Duration {
		return 200 * time.Millisecond * time.Duration(1+len(r.completions)/32)
	}
	demand := func(priority int) *balance.Demand {
		return &balance.Demand{Service: r.engines, Priority: priority, Objective: 500 * time.Millisecond, Prompt: 400, Output: 40}
	}
	refused, admitted := 0, 0
	for start := r.now; r.now.Sub(start) < 10*time.Second; r.now = r.now.Add(2 * time.Millisecond) {
		r.complete()
		team := "others"
		if r.now.UnixMilli()%16 != 0 {
			team = "rush"
		}
		if second := int(r.now.Sub(start).Seconds()); second%2 == 1 && team == "rush" && r.now.UnixMilli()%10 != 0 {
			continue // the surge is intermittent
		}
		r.demand = func(*fixture) *balance.Demand { return demand(0) }
		d := demand(0)
		d.Team = balance.TeamHash(team)
		p, refusal := b.Admit(r.endpoints, d)
		if refusal == nil {
			r.running[p.Endpoint.ID]++
			r.completions = append(r.completions, completion{r.now.Add(r.duration(p)), p})
			continue
		}
		if refusal.Cause != balance.TeamOverShare {
			continue
		}
		refused++
		less := demand(2)
		less.Team = balance.TeamHash("another")
		if p, _ := b.Admit(r.endpoints, less); p != nil {
			p.Done(balance.Unknown)
			admitted++
		}
	}
	if refused == 0 {
		t.Error("no urgent request was refused for its team's share, so the test is void")
	}
	if admitted > 0 {
		t.Errorf("less urgent request admitted after %d of %d refusals of urgent ones, want none", admitted, refused)
	}
}
