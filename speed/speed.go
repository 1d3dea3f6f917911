// Package speed learns how fast engines work from the requests that they
// served.
//
// What is learnt is a time per token: to read a prompt, or to make an answer.
// Times are kept as logarithms, so that one that is twice too long and one
// that is half as long weigh the same. A Sum collects the samples of one
// endpoint; sums of several instances can be merged, and older samples fade. A
// Figure is the time of a whole service: the median over its endpoints, so
// that a few which are slow, silent or guessed wrong do not move it. The time
// of one endpoint is that of its service, unless its own samples differ by more
// than chance explains.
//
// The package does no I/O.
package speed

import (
	"math"
	"sort"
	"time"
)

const (
	// farthest bounds a sample's distance from the figure of its service, as a
	// logarithm: an engine that is seven times slower is still told apart, and
	// one lost packet does not count for more than that.
	farthest = 2.0
	// chance is how far the mean of one sample is off by chance, as a
	// logarithm: twice the spread that was measured at engines under load. What
	// it may explain is not taken for a difference between endpoints; prompts
	// would leave the endpoints that hold their parts for nothing.
	chance = 1.0
	// newAfter is the weight of samples from which they count more than what
	// was believed before. The first figure is a guess.
	newAfter = 4.0
	// settle is how long samples are seen before what they say is believed
	// when they have faded: so that few, which come seldom, are enough.
	settle = 10 * time.Second
	// heard is the part of the way to what another instance says that is gone
	// at once: it speaks of single endpoints, which differ.
	heard = 0.2
	// faded is the weight below which samples are forgotten.
	faded = 0.05
)

// A Sum is a weighted sum of the logarithms of times. The zero value is empty.
type Sum struct {
	Weight float64
	Log    float64 // of milliseconds per token
}

// Add adds a time per token in milliseconds.
func (s *Sum) Add(ms, weight float64) {
	if ms <= 0 || weight <= 0 {
		return
	}
	s.Weight += weight
	s.Log += weight * math.Log(ms)
}

// Merge adds the samples of other.
func (s *Sum) Merge(other Sum) {
	s.Weight += other.Weight
	s.Log += other.Log
}

// Faded returns s with the part keep of its weight.
func (s Sum) Faded(keep float64) Sum {
	if keep*s.Weight < faded {
		return Sum{}
	}
	return Sum{Weight: keep * s.Weight, Log: keep * s.Log}
}

// mean returns the mean logarithm of a sum that is not empty.
func (s Sum) mean() float64 { return s.Log / s.Weight }

// A Figure is a time per token that holds for a service.
type Figure struct {
	log    float64
	value  float64 // whose logarithm log is
	before float64 // what was believed before the samples that count now
}

// NewFigure returns a Figure that begins with a guess in milliseconds.
func NewFigure(ms float64) Figure {
	return Figure{log: math.Log(ms), value: ms, before: math.Log(ms)}
}

// set changes the time to that with a logarithm.
func (f *Figure) set(log float64) {
	f.log = log
	f.value = math.Exp(log)
}

// Value returns the time in milliseconds.
func (f *Figure) Value() float64 { return f.value }

// Of returns the time of an endpoint with the samples s: that of its service,
// but for what chance does not explain.
func (f *Figure) Of(s Sum) float64 {
	if s.Weight <= 0 {
		return f.Value()
	}
	apart := s.mean() - f.log
	clear := math.Abs(apart) - chance/math.Sqrt(s.Weight)
	if clear <= 0 {
		return f.Value()
	}
	return f.Value() * math.Exp(math.Copysign(clear, apart))
}

// Hear takes up what another instance believes, which knows more.
func (f *Figure) Hear(ms float64) {
	if ms <= 0 {
		return
	}
	f.set(f.log + heard*(math.Log(ms)-f.log))
	f.before = f.log
}

// Bounded returns a sample that is not farther from f than samples count.
func (f *Figure) Bounded(ms float64) float64 {
	if ms <= 0 {
		return ms
	}
	return math.Exp(min(max(math.Log(ms), f.log-farthest), f.log+farthest))
}

// Update takes up the samples of a service's endpoints, so long after the last
// time. It reorders sums.
func (f *Figure) Update(sums []Sum, passed time.Duration) {
	total := 0.0
	for _, s := range sums {
		total += s.Weight
	}
	if total <= 0 {
		return
	}
	f.set((total*medianOf(sums, total) + newAfter*f.before) / (total + newAfter))
	seen := min(1, float64(passed)/float64(settle))
	f.before += seen * total / (total + newAfter) * (f.log - f.before)
}

// medianOf returns the median of the endpoints' mean logarithms, each counting
// as its samples weigh.
func medianOf(sums []Sum, total float64) float64 {
	sort.Slice(sums, func(i, j int) bool {
		if sums[i].Weight <= 0 || sums[j].Weight <= 0 {
			return sums[i].Weight > sums[j].Weight
		}
		return sums[i].mean() < sums[j].mean()
	})
	acc, last := 0.0, 0.0
	for _, s := range sums {
		if s.Weight <= 0 {
			break
		}
		last = s.mean()
		if acc += s.Weight; acc >= total/2 {
			break
		}
	}
	return last
}
