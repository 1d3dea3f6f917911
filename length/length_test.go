package length_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"ivyridge/length"
)

func TestQuantiles(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var d length.Dist
	for range 5000 {
		d.Observe(int(100 * math.Exp(0.5*rng.NormFloat64())))
	}
	for q, want := range map[float64]float64{0.5: 100, 0.9: 190, 0.99: 320} {
		if got := d.Quantile(q); math.Abs(got-want) > 0.15*want {
			t.Errorf("Quantile(%g) = %.0f, want %.0f with an error of at most 0.15 of it", q, got, want)
		}
		if fraction := d.Within(d.Quantile(q)); math.Abs(fraction-q) > 0.01 {
			t.Errorf("Within(Quantile(q)) = %.3f, want q = %g with an error of at most 0.01", fraction, q)
		}
	}
}

func TestOldObservationsDecay(t *testing.T) {
	var d length.Dist
	for range 1000 {
		d.Observe(10)
	}
	for range 2000 {
		d.Observe(1000)
	}
	if got := d.Quantile(0.5); got < 800 {
		t.Errorf("median %.0f after 2000 responses of 1000 tokens, want at least 800", got)
	}
}

func TestTeamDistribution(t *testing.T) {
	ds := length.NewDistributions()
	for range 100 {
		ds.Observe("letter", "long", 1000)
		ds.Observe("letter", "short", 10)
	}
	if got := ds.Dist("letter", "short").Quantile(0.9); got > 20 {
		t.Errorf("Quantile(0.9) = %.0f for the team with responses of 10 tokens, want at most 20", got)
	}
	if ds.Dist("letter", "unknown") != ds.Class("letter") || ds.Dist("chat", "short") != nil {
		t.Error("Dist must return the distribution of the class for an unknown team, and nil for an unknown class")
	}
}
