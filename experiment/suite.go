package experiment

// This file builds the scenarios of the policy benchmark.

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"ivyridge/decl"
	"ivyridge/engine"
	"ivyridge/load"
)

const (
	surgeFrom        = 15 * time.Second
	surgeTo          = 35 * time.Second
	faultAt          = 20 * time.Second
	slowFactor       = 4
	longReportLag    = 5 * time.Second
	defaultReportLag = 500 * time.Millisecond
)

// A User is a deployment to simulate: its size, declarations and workload.
type User struct {
	Name              string
	Engines, Services int
	Set               *decl.Set
	Workload          *load.Workload
}

var userSizes = []struct {
	name              string
	engines, services int
}{{"huurtoets", 9, 3}, {"inspection", 12, 3}}

// Users reads declarations.yaml and workload.yaml in each user's directory below dir.
func Users(dir string) ([]User, error) {
	var out []User
	for _, size := range userSizes {
		file := filepath.Join(dir, size.name, "declarations.yaml")
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "experiment")
		}
		set, err := decl.Parse(file, data)
		if err != nil {
			return nil, err
		}
		w, err := load.Read(filepath.Join(dir, size.name, "workload.yaml"))
		if err != nil {
			return nil, err
		}
		out = append(out, User{size.name, size.engines, size.services, set, w})
	}
	return out, nil
}

func (u *User) scenario(name string) *Scenario {
	w := *u.Workload
	w.Bursts = append([]load.Burst(nil), u.Workload.Bursts...)
	return &Scenario{
		Name: u.Name + "/" + name, Set: u.Set, Workload: &w,
		Engines: u.Engines, Services: u.Services, Workers: 16, Work: 15 * time.Millisecond,
		Params: engine.Default(), Lag: defaultReportLag,
	}
}

// surge adds a burst of class at times the rate that its pool can serve.
func (s *Scenario) surge(class string, times float64) {
	for i := range s.Workload.Classes {
		c := &s.Workload.Classes[i]
		if c.Name != class {
			continue
		}
		rate := float64(s.Services*s.Workers) / s.Work.Seconds()
		if c.Model != "" {
			rate = s.Capacity() / (c.Length * meanToMedian(c.Spread))
		}
		s.SurgeClass, s.From, s.To = class, surgeFrom, surgeTo
		s.Workload.Bursts = append(s.Workload.Bursts, load.Burst{Class: class, From: surgeFrom, To: surgeTo, Times: times * rate / c.Rate})
	}
}

// meanToMedian returns the ratio of mean to median of a log-normal distribution.
func meanToMedian(sigma float64) float64 { return math.Exp(sigma * sigma / 2) }

// Suite returns scenarios with normal load, a surge of each class, a surge of one
// team, a slow engine, and an engine crash or stale load reports during a surge.
func (u *User) Suite() []*Scenario {
	out := []*Scenario{u.scenario("quiet")}
	for i := range u.Workload.Classes {
		for _, times := range []float64{2, 5, 10} {
			class := u.Workload.Classes[i].Name
			s := u.scenario(fmt.Sprintf("%s x%g", class, times))
			s.surge(class, times)
			out = append(out, s)
		}
	}
	return append(out, u.SingleTeamSurge(), u.slowEngine(), u.engineCrash(), u.laggingReports())
}

// tierZeroModelClass returns the first class of tier 0 with a model, or "".
func (u *User) tierZeroModelClass() string {
	for i := range u.Workload.Classes {
		c := &u.Workload.Classes[i]
		if c.Model != "" && u.Set.Class(c.Name).Tier == 0 {
			return c.Name
		}
	}
	return ""
}

// SingleTeamSurge returns a scenario in which one team sends tier-0 model requests
// at five times the capacity of the pool.
func (u *User) SingleTeamSurge() *Scenario {
	s := u.scenario("one team's rush x5")
	s.surge(u.tierZeroModelClass(), 5)
	b := &s.Workload.Bursts[len(s.Workload.Bursts)-1]
	b.Team = u.Workload.Teams[0].Name
	weights := 0.0
	for _, t := range u.Workload.Teams {
		weights += t.Weight
	}
	b.Times *= weights / u.Workload.Teams[0].Weight
	return s
}

func (u *User) slowEngine() *Scenario {
	s := u.scenario("engine slow 4x")
	s.Faults = []Fault{{At: faultAt, Endpoint: 0, Slow: slowFactor}}
	return s
}

func (u *User) engineCrash() *Scenario {
	s := u.scenario("engine crash in a wave")
	s.surge(u.lowestPriorityClass(), 2)
	s.Faults = []Fault{{At: faultAt, Endpoint: 0, Crash: true}}
	return s
}

func (u *User) laggingReports() *Scenario {
	s := u.scenario("reports lag 5s in a wave")
	s.surge(u.lowestPriorityClass(), 5)
	s.Lag = longReportLag
	return s
}

func (u *User) lowestPriorityClass() string {
	name, tier := "", -1
	for i := range u.Set.Classes {
		if c := &u.Set.Classes[i]; c.Tier > tier {
			name, tier = c.Name, c.Tier
		}
	}
	return name
}
