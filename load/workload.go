// Package load is an open-loop load generator.
//
// Arrival times are drawn from a seed before the run. Latencies count from the
// scheduled arrival, which avoids coordinated omission. Reports compare the clients'
// observations with the runs that the fakes recorded.
package load

import (
	"math"
	"math/rand/v2"
	"os"
	"sort"
	"time"

	"github.com/pkg/errors"

	"ivyridge/yamlfile"
)

// A Workload describes the requests of a run.
type Workload struct {
	Pos      yamlfile.Pos
	Name     string        `yaml:"name"`
	Duration time.Duration `yaml:"duration"`
	Drain    time.Duration `yaml:"drain"` // time to wait for responses after Duration
	Teams    []Team        `yaml:"teams"`
	Classes  []Class       `yaml:"classes"`
	Bursts   []Burst       `yaml:"bursts"`
}

// A Team sends a share of each class's requests that is proportional to its weight.
type Team struct {
	Pos    yamlfile.Pos
	Name   string  `yaml:"name"`
	Token  string  `yaml:"token"`
	Weight float64 `yaml:"weight"`
}

// A Class is a request class.
type Class struct {
	Pos     yamlfile.Pos
	Name    string  `yaml:"name"`
	Model   string  `yaml:"model"`
	Service string  `yaml:"service"` // set if Model is not
	Stream  bool    `yaml:"stream"`
	Rate    float64 `yaml:"rate"` // arrivals per second, of all teams
	// Latency targets, zero for none.
	FirstToken time.Duration `yaml:"first_token"`
	Whole      time.Duration `yaml:"whole"` // for the complete response
	// Response lengths are log-normal.
	Length float64 `yaml:"length"` // median in tokens
	Spread float64 `yaml:"spread"` // sigma
	// Lengths in tokens.
	Prompt int  `yaml:"prompt"`
	Shared int  `yaml:"shared"` // prefix shared by all requests of a team
	Keyed  bool `yaml:"keyed"`  // send an Idempotency-Key
	// Repeats is the maximum number of retries. Refusals are retried only with verdict
	// not-run and a Retry-After header.
	Repeats int `yaml:"repeats"`
}

// A Burst multiplies the rate of a class by Times between From and To. An empty Team
// stands for all teams.
type Burst struct {
	Pos   yamlfile.Pos
	Class string        `yaml:"class"`
	Team  string        `yaml:"team"`
	From  time.Duration `yaml:"from"`
	To    time.Duration `yaml:"to"`
	Times float64       `yaml:"times"`
}

// Read reads and validates a workload file.
func Read(file string) (*Workload, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "workload")
	}
	return Parse(file, data)
}

// Parse parses and validates a workload; file is used in error positions. Any error
// is a yamlfile.Errors.
func Parse(file string, data []byte) (*Workload, error) {
	w := new(Workload)
	err := yamlfile.Decode(file, data, w)
	errs, _ := err.(yamlfile.Errors)
	if errs.Unreadable() {
		return nil, errs
	}
	if w.Duration <= 0 {
		errs.Add(yamlfile.Pos{File: file, Line: 1, Col: 1}, "duration must be positive")
	}
	if len(w.Teams) == 0 || len(w.Classes) == 0 {
		errs.Add(yamlfile.Pos{File: file, Line: 1, Col: 1}, "a workload needs teams and classes")
	}
	for _, c := range w.Classes {
		if (c.Model == "") == (c.Service == "") {
			errs.Add(c.Pos, "class %q: set one of model and service", c.Name)
		}
		if c.Rate < 0 || c.Length < 0 || c.Prompt < 0 {
			errs.Add(c.Pos, "class %q: rate, length and prompt must not be negative", c.Name)
		}
	}
	for _, b := range w.Bursts {
		if w.class(b.Class) == nil {
			errs.Add(b.Pos, "burst of undefined class %q", b.Class)
		}
		if b.Times <= 0 || b.To <= b.From {
			errs.Add(b.Pos, "burst: times must be positive and to must be after from")
		}
	}
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return w, nil
}

func (w *Workload) class(name string) *Class {
	for i := range w.Classes {
		if w.Classes[i].Name == name {
			return &w.Classes[i]
		}
	}
	return nil
}

// An Arrival is a scheduled request.
type Arrival struct {
	At     time.Duration // since the start of the run
	Class  *Class
	Team   *Team
	Length int // of the response, in tokens
	N      int // index in order of arrival
}

// Arrivals generates requests in order of arrival. They refer to the classes and
// teams of w. Equal seeds yield equal arrivals.
func (w *Workload) Arrivals(seed uint64) []Arrival {
	var out []Arrival
	for ci := range w.Classes {
		for ti := range w.Teams {
			rng := rand.New(rand.NewPCG(seed, uint64(ci)<<32|uint64(ti)))
			out = append(out, w.drawArrivals(rng, &w.Classes[ci], &w.Teams[ti])...)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	for i := range out {
		out[i].N = i
	}
	return out
}

// drawArrivals generates t's requests of c: a Poisson process of varying rate, by thinning.
func (w *Workload) drawArrivals(rng *rand.Rand, c *Class, t *Team) []Arrival {
	base := c.Rate * t.Weight / w.totalWeight()
	maxRate := base * w.maxRateFactor(c, t)
	if maxRate <= 0 {
		return nil
	}
	var out []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / maxRate * float64(time.Second))
		if at >= w.Duration {
			return out
		}
		if rng.Float64()*maxRate < base*w.rateFactor(c, t, at) {
			out = append(out, Arrival{At: at, Class: c, Team: t, Length: c.drawLength(rng)})
		}
	}
}

func (w *Workload) totalWeight() float64 {
	sum := 0.0
	for _, t := range w.Teams {
		sum += t.Weight
	}
	return sum
}

// rateFactor returns the factor of all bursts on the rate of t's requests of c at time at.
func (w *Workload) rateFactor(c *Class, t *Team, at time.Duration) float64 {
	f := 1.0
	for _, b := range w.Bursts {
		if b.Class == c.Name && (b.Team == "" || b.Team == t.Name) && at >= b.From && at < b.To {
			f *= b.Times
		}
	}
	return f
}

// maxRateFactor returns the highest rateFactor at the start of a burst, at least one.
func (w *Workload) maxRateFactor(c *Class, t *Team) float64 {
	f := 1.0
	for _, b := range w.Bursts {
		f = max(f, w.rateFactor(c, t, b.From))
	}
	return f
}

// drawLength returns zero if the class has no length.
func (c *Class) drawLength(rng *rand.Rand) int {
	if c.Length == 0 {
		return 0
	}
	return max(1, int(c.Length*math.Exp(c.Spread*rng.NormFloat64())))
}
