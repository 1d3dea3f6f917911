// Package speed estimates how fast engines work from the requests that they served.
//
// Estimates are times per token, for processing a prompt or generating a response. They are
// averaged as logarithms, so that factors of two and one half weigh the same. Samples hold the
// times of one endpoint; Samples of several instances can be merged, and old samples decay.
// An Estimate is the estimate for a service: the median over its endpoints, which a few slow,
// unresponsive or misjudged endpoints don't shift. The estimate for one endpoint is that of its
// service unless its own samples deviate significantly.
//
// The package does no I/O. Its types are not safe for concurrent use.
package speed

import (
	"math"
	"sort"
	"time"
)

const (
	// maxDeviation is the largest deviation of a sample from the figure of its service that
	// counts, as a logarithm. It allows for an engine that is seven times slower and limits
	// the effect of a lost packet.
	maxDeviation = 2.0
	// sampleError is the error attributed to one sample, as a logarithm: twice the standard
	// deviation under load. A deviation that it explains is ignored, or prompts would be sent
	// away from the endpoints that have their prefixes cached for no benefit.
	sampleError = 1.0
	// priorWeight is the weight of the earlier estimate, relative to samples. The first
	// estimate is a guess.
	priorWeight = 4.0
	// settleTime is the time in which the estimate becomes the prior, so that it lasts when
	// few samples arrive and these decay.
	settleTime = 10 * time.Second
	// peerWeight is the part of the difference to another instance's estimate that one call of
	// MergePeer makes up. That estimate may be based on few endpoints, and endpoints differ.
	peerWeight = 0.2
	// minWeight is the weight below which samples are dropped.
	minWeight = 0.05
)

// Samples are a weighted sum of the logarithms of times per token. The zero value is empty.
type Samples struct {
	Weight float64
	Log    float64 // of milliseconds per token
}

// Add adds a time per token in milliseconds. It ignores times and weights that are not
// positive.
func (s *Samples) Add(ms, weight float64) {
	if ms <= 0 || weight <= 0 {
		return
	}
	s.Weight += weight
	s.Log += weight * math.Log(ms)
}

// Merge adds the samples of other.
func (s *Samples) Merge(other Samples) {
	s.Weight += other.Weight
	s.Log += other.Log
}

// Decayed returns s with its weight multiplied by keep, from 0 to 1.
func (s Samples) Decayed(keep float64) Samples {
	if keep*s.Weight < minWeight {
		return Samples{}
	}
	return Samples{Weight: keep * s.Weight, Log: keep * s.Log}
}

// mean returns the mean logarithm. The sum must not be empty.
func (s Samples) mean() float64 { return s.Log / s.Weight }

// An Estimate is the estimated time per token of a service. Use NewEstimate to create one.
type Estimate struct {
	log   float64
	value float64 // the exponential of log
	prior float64 // estimate, as a logarithm, without the current samples
}

// NewEstimate returns an Estimate with an initial guess in milliseconds per token.
func NewEstimate(ms float64) Estimate {
	return Estimate{log: math.Log(ms), value: ms, prior: math.Log(ms)}
}

// set sets the estimate to a logarithm.
func (f *Estimate) set(log float64) {
	f.log = log
	f.value = math.Exp(log)
}

// Value returns the estimate in milliseconds per token.
func (f *Estimate) Value() float64 { return f.value }

// ForEndpoint returns the estimate in milliseconds per token for an endpoint with the samples s. It
// deviates from that of the service as far as the deviation of the samples is significant.
func (f *Estimate) ForEndpoint(s Samples) float64 {
	if s.Weight <= 0 {
		return f.Value()
	}
	deviation := s.mean() - f.log
	significant := math.Abs(deviation) - sampleError/math.Sqrt(s.Weight)
	if significant <= 0 {
		return f.Value()
	}
	return f.Value() * math.Exp(math.Copysign(significant, deviation))
}

// MergePeer moves f towards the estimate, in milliseconds per token, of another instance that has
// more samples. It ignores values that are not positive.
func (f *Estimate) MergePeer(ms float64) {
	if ms <= 0 {
		return
	}
	f.set(f.log + peerWeight*(math.Log(ms)-f.log))
	f.prior = f.log
}

// Clamp returns a time in milliseconds per token limited to maxDeviation from f.
func (f *Estimate) Clamp(ms float64) float64 {
	if ms <= 0 {
		return ms
	}
	return math.Exp(min(max(math.Log(ms), f.log-maxDeviation), f.log+maxDeviation))
}

// Update computes the estimate from the samples of a service's endpoints. Elapsed is the time
// since the previous call. It reorders sums.
func (f *Estimate) Update(sums []Samples, elapsed time.Duration) {
	total := 0.0
	for _, s := range sums {
		total += s.Weight
	}
	if total <= 0 {
		return
	}
	f.set((total*medianOf(sums, total) + priorWeight*f.prior) / (total + priorWeight))
	progress := min(1, float64(elapsed)/float64(settleTime))
	f.prior += progress * total / (total + priorWeight) * (f.log - f.prior)
}

// medianOf returns the median of the mean logarithms of sums, weighted by their samples. Total
// is the sum of the weights.
func medianOf(sums []Samples, total float64) float64 {
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
