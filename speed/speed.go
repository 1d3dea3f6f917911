// Package speed estimates how fast engines work from the requests that they served.
//
// Estimates are times per token, for processing a prompt or generating a response. They are
// averaged as logarithms, so that factors of two and one half weigh the same. Samples hold the
// decaying times of one endpoint and can be merged between instances. An Estimate is the median
// over the endpoints of a service, which a few slow or misjudged endpoints do not shift. The
// estimate for one endpoint is that of its service unless its own samples deviate significantly.
//
// The package does no I/O. Its types are not safe for concurrent use.
package speed

import (
	"math"
	"sort"
	"time"
)

const (
	// maxDeviation is the largest deviation of a sample from the estimate of its service that
	// counts, as a logarithm. It allows for an engine that is seven times slower, and limits the
	// effect of a lost packet.
	maxDeviation = 2.0
	// sampleError is the error attributed to one sample, as a logarithm: twice the standard
	// deviation under load. A deviation that it explains is ignored; otherwise prompts would be
	// sent away from the endpoints that cache their prefixes for no benefit.
	sampleError = 1.0
	// priorWeight is the weight of the earlier or initial estimate, relative to samples.
	priorWeight = 4.0
	// settleTime is the time in which the estimate becomes the prior, so that it lasts when the
	// samples decay.
	settleTime = 10 * time.Second
	// peerWeight is the share of the difference to another instance's estimate, which may be based
	// on few endpoints, that one call of MergePeer makes up.
	peerWeight = 0.2
	// minWeight is the weight below which samples are dropped.
	minWeight = 0.05
)

// Samples are a weighted sum of the logarithms of times per token. The zero value is empty.
type Samples struct {
	Weight float64
	Log    float64 // of milliseconds per token
}

// Add adds ms, a time per token in milliseconds. It ignores times and weights that are not positive.
func (s *Samples) Add(ms, weight float64) {
	if ms <= 0 || weight <= 0 {
		return
	}
	s.Weight += weight
	s.Log += weight * math.Log(ms)
}

// Merge adds the samples of other to s.
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

// NewEstimate returns an Estimate with the initial guess ms, in milliseconds per token.
func NewEstimate(ms float64) Estimate {
	return Estimate{log: math.Log(ms), value: ms, prior: math.Log(ms)}
}

func (e *Estimate) set(log float64) {
	e.log = log
	e.value = math.Exp(log)
}

// Value returns the estimate in milliseconds per token.
func (e *Estimate) Value() float64 { return e.value }

// ForEndpoint returns the estimate in milliseconds per token for an endpoint with the samples s. It
// deviates from that of the service as far as the deviation of the samples is significant.
func (e *Estimate) ForEndpoint(s Samples) float64 {
	if s.Weight <= 0 {
		return e.Value()
	}
	deviation := s.mean() - e.log
	significant := math.Abs(deviation) - sampleError/math.Sqrt(s.Weight)
	if significant <= 0 {
		return e.Value()
	}
	return e.Value() * math.Exp(math.Copysign(significant, deviation))
}

// MergePeer moves e towards ms, the estimate in milliseconds per token of another instance that has
// more samples. It ignores values that are not positive.
func (e *Estimate) MergePeer(ms float64) {
	if ms <= 0 {
		return
	}
	e.set(e.log + peerWeight*(math.Log(ms)-e.log))
	e.prior = e.log
}

// Clamp returns ms, a time in milliseconds per token, limited to maxDeviation from e.
func (e *Estimate) Clamp(ms float64) float64 {
	if ms <= 0 {
		return ms
	}
	return math.Exp(min(max(math.Log(ms), e.log-maxDeviation), e.log+maxDeviation))
}

// Update computes the estimate from the samples of a service's endpoints; elapsed is the time since
// the previous call. It reorders sums.
func (e *Estimate) Update(sums []Samples, elapsed time.Duration) {
	total := 0.0
	for _, s := range sums {
		total += s.Weight
	}
	if total <= 0 {
		return
	}
	e.set((total*medianOf(sums, total) + priorWeight*e.prior) / (total + priorWeight))
	progress := min(1, float64(elapsed)/float64(settleTime))
	e.prior += progress * total / (total + priorWeight) * (e.log - e.prior)
}

// medianOf returns the weighted median of the mean logarithms of sums; total is the sum of weights.
func medianOf(sums []Samples, total float64) float64 {
	sort.Slice(sums, func(i, j int) bool {
		if sums[i].Weight <= 0 || sums[j].Weight <= 0 {
			return sums[i].Weight > sums[j].Weight
		}
		return sums[i].mean() < sums[j].mean()
	})
	sum, last := 0.0, 0.0
	for _, s := range sums {
		if s.Weight <= 0 {
			break
		}
		last = s.mean()
		if sum += s.Weight; sum >= total/2 {
			break
		}
	}
	return last
}
