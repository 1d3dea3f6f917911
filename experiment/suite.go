package experiment

// This file makes the scenarios of the policy benchmark out of a user's
// declarations and workload.

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

// When things happen in a scenario.
const (
	surgeFrom = 15 * time.Second
	surgeTo   = 35 * time.Second
	faultAt   = 20 * time.Second
	slowTimes = 4
	longLag   = 5 * time.Second
	usualLag  = 500 * time.Millisecond
)

// A User is one of the two first users, at the sizes of today.
type User struct {
	Name              string
	Engines, Services int
	Set               *decl.Set
	Workload          *load.Workload
}

// Sizes of today, from the brief.
var userSizes = []struct {
	name              string
	engines, services int
}{{"huurtoets", 9, 3}, {"inspection", 12, 3}}

// Users reads the users' files below dir.
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
		Params: engine.Default(), Lag: usualLag,
	}
}

// surge adds a burst of a class to times what the whole fleet can do.
func (s *Scenario) surge(class string, times float64) {
	for i := range s.Workload.Classes {
		c := &s.Workload.Classes[i]
		if c.Name != class {
			continue
		}
		rate := float64(s.Services*s.Workers) / s.Work.Seconds()
		if c.Model != "" {
			rate = s.Capacity() / (c.Length * meanOver(c.Spread))
		}
		s.SurgeClass, s.From, s.To = class, surgeFrom, surgeTo
		s.Workload.Bursts = append(s.Workload.Bursts, load.Burst{Class: class, From: surgeFrom, To: surgeTo, Times: times * rate / c.Rate})
	}
}

// meanOver is the mean of a log-normal distribution over its median.
func meanOver(sigma float64) float64 { return math.Exp(sigma * sigma / 2) }

// Suite returns the scenarios of a user: a quiet day, a surge of each class
// at 2, 5 and 10 times capacity, one team's rush, and faults in a wave.
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
	return append(out, u.Rush(), u.slow(), u.crash(), u.lagging())
}

// verdicts returns the class of the highest tier that models serve.
func (u *User) verdicts() string {
	for i := range u.Workload.Classes {
		c := &u.Workload.Classes[i]
		if c.Model != "" && u.Set.Class(c.Name).Tier == 0 {
			return c.Name
		}
	}
	return ""
}

// Rush is one team's verdicts at five times the whole fleet.
func (u *User) Rush() *Scenario {
	s := u.scenario("one team's rush x5")
	s.surge(u.verdicts(), 5)
	b := &s.Workload.Bursts[len(s.Workload.Bursts)-1]
	b.Team = u.Workload.Teams[0].Name
	weights := 0.0
	for _, t := range u.Workload.Teams {
		weights += t.Weight
	}
	b.Times *= weights / u.Workload.Teams[0].Weight
	return s
}

func (u *User) slow() *Scenario {
	s := u.scenario("engine slow 4x")
	s.Faults = []Fault{{At: faultAt, Endpoint: 0, Slow: slowTimes}}
	return s
}

func (u *User) crash() *Scenario {
	s := u.scenario("engine crash in a wave")
	s.surge(u.lowest(), 2)
	s.Faults = []Fault{{At: faultAt, Endpoint: 0, Crash: true}}
	return s
}

func (u *User) lagging() *Scenario {
	s := u.scenario("reports lag 5s in a wave")
	s.surge(u.lowest(), 5)
	s.Lag = longLag
	return s
}

// lowest returns the class of the lowest tier.
func (u *User) lowest() string {
	name, tier := "", -1
	for i := range u.Set.Classes {
		if c := &u.Set.Classes[i]; c.Tier > tier {
			name, tier = c.Name, c.Tier
		}
	}
	return name
}
