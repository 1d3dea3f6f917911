package speed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ivyridge/speed"
)

// randomSamples returns endpoints with log-normally distributed samples around ms per token.
func randomSamples(r *rand.Rand, endpoints, samples int, ms float64) []speed.Samples {
	out := make([]speed.Samples, endpoints)
	for i := range out {
		for range samples {
			out[i].Add(ms*math.Exp(0.33*r.NormFloat64()), 1)
		}
	}
	return out
}

func near(got, want, tolerance float64) bool { return math.Abs(math.Log(got/want)) < tolerance }

func TestInitialGuessIsReplaced(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for _, tokensPerMs := range []float64{20, 43, 57, 110} {
		e := speed.NewEstimate(1 / 50.0)
		e.Update(randomSamples(r, 10, 5, 1/tokensPerMs), 100*time.Millisecond)
		if got := 1 / e.Value(); !near(got, tokensPerMs, 0.15) {
			t.Errorf("estimate after 50 samples around %.0f tokens per ms: %.1f, want the same within a factor of 1.16", tokensPerMs, got)
		}
	}
}

// A few endpoints that are slow or misjudged don't shift the estimate for the service.
func TestOutliersDoNotShiftServiceTime(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	e := speed.NewEstimate(0.025)
	all := append(randomSamples(r, 8, 20, 0.025), randomSamples(r, 2, 20, 0.125)...)
	slow := all[9]
	e.Update(all, time.Second)
	if !near(e.Value(), 0.025, 0.12) {
		t.Errorf("estimate for the service %.4f ms, want about 0.025", e.Value())
	}
	if got := e.ForEndpoint(slow); got < 0.08 {
		t.Errorf("estimate %.4f ms for an endpoint that takes 0.125, want at least 0.08", got)
	}
}

func TestInsignificantDeviationIsIgnored(t *testing.T) {
	e := speed.NewEstimate(0.025)
	var few, many speed.Samples
	for range 3 {
		few.Add(0.04, 1)
	}
	for range 30 {
		many.Add(0.04, 1)
	}
	if got := e.ForEndpoint(few); got != e.Value() {
		t.Errorf("estimate %.4f ms for an endpoint with 3 samples of 0.04, want that for the service, %.4f", got, e.Value())
	}
	if got := e.ForEndpoint(many); got < 0.03 || got > 0.04 {
		t.Errorf("estimate %.4f ms for an endpoint with 30 samples of 0.04, want 0.03 to 0.04", got)
	}
}

func TestServiceTimeSurvivesSampleDecay(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	e := speed.NewEstimate(0.02)
	for range 30 {
		e.Update(randomSamples(r, 10, 10, 0.05), time.Second)
	}
	e.Update([]speed.Samples{{}, {}}, time.Second)
	var s speed.Samples
	s.Add(0.02, 0.1)
	e.Update([]speed.Samples{s.Decayed(0.9)}, time.Second)
	if !near(e.Value(), 0.05, 0.15) {
		t.Errorf("estimate for the service %.4f ms after the samples have decayed, want about 0.05", e.Value())
	}
	if got := s.Decayed(0.1); got != (speed.Samples{}) {
		t.Errorf("samples decayed to a weight of 0.01: %+v, want none", got)
	}
}

func TestSamplesAreBounded(t *testing.T) {
	e := speed.NewEstimate(0.02)
	if got := e.Clamp(40); got > 0.2 {
		t.Errorf("a sample of 40 ms counts as %.2f ms, want at most 0.2", got)
	}
	if got := e.Clamp(0.03); !near(got, 0.03, 1e-9) {
		t.Errorf("a sample of 0.03 ms counts as %.3f ms, want it unchanged", got)
	}
	var s speed.Samples
	s.Add(0, 1)
	s.Add(-1, 1)
	s.Add(1, 0)
	if s != (speed.Samples{}) {
		t.Errorf("after samples without a positive time and weight: %+v, want none", s)
	}
}
