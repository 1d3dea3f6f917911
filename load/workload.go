// Package load drives an open-loop load and reports what came of it.
//
// Arrivals are drawn before the run from a seed and never wait for answers;
// latencies count from the intended start, so that a stalled system is not
// flattered. A report joins what callers saw with the stand-ins' books, so
// that duplicated, lost and crossed answers and wasted tokens are counted.
//
// The files: workload.go (what to send), client.go (sending it), report.go
// (what came of it), table.go and plot.go (for people), compare.go.
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

// A Workload describes a load.
type Workload struct {
	Pos      yamlfile.Pos
	Name     string        `yaml:"name"`
	Duration time.Duration `yaml:"duration"`
	Drain    time.Duration `yaml:"drain"` // wait for answers after the last arrival
	Teams    []Team        `yaml:"teams"`
	Classes  []Class       `yaml:"classes"`
	Bursts   []Burst       `yaml:"bursts"`
}

// A Team sends a part of the load.
type Team struct {
	Pos    yamlfile.Pos
	Name   string  `yaml:"name"`
	Token  string  `yaml:"token"`
	Weight float64 `yaml:"weight"`
}

// A Class is one kind of request.
type Class struct {
	Pos  yamlfile.Pos
	Name string `yaml:"name"`
	// Model or Service names the pool; one is set.
	Model   string  `yaml:"model"`
	Service string  `yaml:"service"`
	Stream  bool    `yaml:"stream"`
	Rate    float64 `yaml:"rate"` // arrivals a second
	// FirstToken and Whole are the targets that on-time is judged by.
	FirstToken time.Duration `yaml:"first_token"`
	Whole      time.Duration `yaml:"whole"`
	// Length is the median answer in tokens, Spread the log-normal sigma.
	Length float64 `yaml:"length"`
	Spread float64 `yaml:"spread"`
	// Prompt is the prompt's length in tokens; Shared, the part of it that
	// a team's requests have in common.
	Prompt int `yaml:"prompt"`
	Shared int `yaml:"shared"`
	// Keyed requests carry an Idempotency-Key.
	Keyed bool `yaml:"keyed"`
	// Repeats is how often a caller asks again after a refusal that was
	// not run, when the answer says when, or after a lost connection.
	Repeats int `yaml:"repeats"`
}

// A Burst multiplies the rate of a class, of one team if it is named.
type Burst struct {
	Pos   yamlfile.Pos
	Class string        `yaml:"class"`
	Team  string        `yaml:"team"`
	From  time.Duration `yaml:"from"`
	To    time.Duration `yaml:"to"`
	Times float64       `yaml:"times"`
}

// Read reads and checks a workload file.
func Read(file string) (*Workload, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "workload")
	}
	return Parse(file, data)
}

// Parse checks a workload. The error, if any, is a yamlfile.Errors.
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
			errs.Add(b.Pos, "a burst names class %q, which is not there", b.Class)
		}
		if b.Times <= 0 || b.To <= b.From {
			errs.Add(b.Pos, "a burst needs times above zero, and to after from")
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

// An Arrival is one request to send.
type Arrival struct {
	At     time.Duration
	Class  *Class
	Team   *Team
	Length int
	N      int // its number in the run
}

// Arrivals draws the requests of a run, in order.
func (w *Workload) Arrivals(seed uint64) []Arrival {
	var out []Arrival
	for ci := range w.Classes {
		for ti := range w.Teams {
			rng := rand.New(rand.NewPCG(seed, uint64(ci)<<32|uint64(ti)))
			out = append(out, w.draw(rng, &w.Classes[ci], &w.Teams[ti])...)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	for i := range out {
		out[i].N = i
	}
	return out
}

// draw makes a Poisson process by thinning one of the highest rate.
func (w *Workload) draw(rng *rand.Rand, c *Class, t *Team) []Arrival {
	base := c.Rate * t.Weight / w.weights()
	most := base * w.highest(c, t)
	if most <= 0 {
		return nil
	}
	var out []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / most * float64(time.Second))
		if at >= w.Duration {
			return out
		}
		if rng.Float64()*most < base*w.times(c, t, at) {
			out = append(out, Arrival{At: at, Class: c, Team: t, Length: c.draw(rng)})
		}
	}
}

func (w *Workload) weights() float64 {
	sum := 0.0
	for _, t := range w.Teams {
		sum += t.Weight
	}
	return sum
}

func (w *Workload) times(c *Class, t *Team, at time.Duration) float64 {
	f := 1.0
	for _, b := range w.Bursts {
		if b.Class == c.Name && (b.Team == "" || b.Team == t.Name) && at >= b.From && at < b.To {
			f *= b.Times
		}
	}
	return f
}

func (w *Workload) highest(c *Class, t *Team) float64 {
	f := 1.0
	for _, b := range w.Bursts {
		f = max(f, w.times(c, t, b.From))
	}
	return f
}

// draw returns the length of one answer.
func (c *Class) draw(rng *rand.Rand) int {
	if c.Length == 0 {
		return 0
	}
	return max(1, int(c.Length*math.Exp(c.Spread*rng.NormFloat64())))
}
