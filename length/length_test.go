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
			t.Errorf("Quantile(%g) = %.0f, want about %.0f", q, got, want)
		}
		if fraction := d.Within(d.Quantile(q)); math.Abs(fraction-q) > 0.01 {
			t.Errorf("Within(quantile) = %.3f, want about %g", fraction, q)
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
		t.Errorf("quantile %.0f of the team with short responses, want at most 20", got)
	}
	if ds.Dist("letter", "unknown") != ds.Class("letter") || ds.Dist("chat", "short") != nil {
		t.Error("Dist does not return the distribution of the class, or nil without one")
	}
}
