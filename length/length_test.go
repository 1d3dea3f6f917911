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
			t.Errorf("quantile %g is %.0f; want about %.0f", q, got, want)
		}
		if part := d.Within(d.Quantile(q)); math.Abs(part-q) > 0.01 {
			t.Errorf("%.3f are within quantile %g", part, q)
		}
	}
}

func TestForgets(t *testing.T) {
	var d length.Dist
	for range 1000 {
		d.Observe(10)
	}
	for range 2000 {
		d.Observe(1000)
	}
	if got := d.Quantile(0.5); got < 800 {
		t.Errorf("the median is still %.0f after 2000 long answers", got)
	}
}

func TestTeamsOwn(t *testing.T) {
	b := length.NewBook()
	for range 100 {
		b.Observe("letter", "long", 1000)
		b.Observe("letter", "short", 10)
	}
	if got := b.Of("letter", "short").Quantile(0.9); got > 20 {
		t.Errorf("the short team's quantile is %.0f", got)
	}
	if b.Of("letter", "unknown") != b.Class("letter") || b.Of("chat", "short") != nil {
		t.Error("a team without answers does not get its class's lengths")
	}
}
