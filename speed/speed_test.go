package speed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ivyridge/speed"
)

// sums returns those of endpoints with so many samples each, of engines that
// take ms per token give or take a third.
func sums(r *rand.Rand, endpoints, samples int, ms float64) []speed.Sum {
	out := make([]speed.Sum, endpoints)
	for i := range out {
		for range samples {
			out[i].Add(ms*math.Exp(0.33*r.NormFloat64()), 1)
		}
	}
	return out
}

func near(got, want, part float64) bool { return math.Abs(math.Log(got/want)) < part }

func TestGuessIsLeftSoon(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for _, tokensEach := range []float64{20, 43, 57, 110} {
		f := speed.NewFigure(1 / 50.0)
		f.Update(sums(r, 10, 5, 1/tokensEach), 100*time.Millisecond)
		if got := 1 / f.Value(); !near(got, tokensEach, 0.15) {
			t.Errorf("after 50 samples of %.0f tokens a ms: %.1f", tokensEach, got)
		}
	}
}

// A few endpoints that are slow, or whose queue is guessed wrong, do not move
// what holds for the others.
func TestFewSlowEndpointsDoNotMoveTheService(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	f := speed.NewFigure(0.025)
	all := append(sums(r, 8, 20, 0.025), sums(r, 2, 20, 0.125)...)
	slow := all[9]
	f.Update(all, time.Second)
	if !near(f.Value(), 0.025, 0.12) {
		t.Errorf("the service's figure is %.4f ms, want 0.025", f.Value())
	}
	if got := f.Of(slow); got < 0.08 {
		t.Errorf("an endpoint that takes 0.125 ms is thought to take %.4f", got)
	}
}

// What chance explains is no difference between endpoints.
func TestChanceIsNoDifference(t *testing.T) {
	f := speed.NewFigure(0.025)
	var few, many speed.Sum
	for range 3 {
		few.Add(0.04, 1)
	}
	for range 30 {
		many.Add(0.04, 1)
	}
	if got := f.Of(few); got != f.Value() {
		t.Errorf("three samples make %.4f of %.4f", got, f.Value())
	}
	if got := f.Of(many); got < 0.03 || got > 0.04 {
		t.Errorf("thirty samples of 0.04 make %.4f", got)
	}
}

func TestFigureStaysWhenSamplesFade(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	f := speed.NewFigure(0.02)
	for range 30 {
		f.Update(sums(r, 10, 10, 0.05), time.Second)
	}
	f.Update([]speed.Sum{{}, {}}, time.Second)
	var s speed.Sum
	s.Add(0.02, 0.1)
	f.Update([]speed.Sum{s.Faded(0.9)}, time.Second)
	if !near(f.Value(), 0.05, 0.15) {
		t.Errorf("after the samples have faded: %.4f ms, want 0.05", f.Value())
	}
	if got := s.Faded(0.1); got != (speed.Sum{}) {
		t.Errorf("hardly any weight is left, and %+v is kept", got)
	}
}

func TestSamplesAreBounded(t *testing.T) {
	f := speed.NewFigure(0.02)
	if got := f.Bounded(40); got > 0.2 {
		t.Errorf("a lost packet counts as %.2f ms a token", got)
	}
	if got := f.Bounded(0.03); !near(got, 0.03, 1e-9) {
		t.Errorf("0.03 ms a token counts as %.3f", got)
	}
	var s speed.Sum
	s.Add(0, 1)
	s.Add(-1, 1)
	s.Add(1, 0)
	if s != (speed.Sum{}) {
		t.Errorf("times that are none count: %+v", s)
	}
}
