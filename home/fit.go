package home

// A gapRegression is a decaying linear regression of an endpoint's inter-token gap on its number of
// runs. Unlike an average, it also predicts gaps at numbers not seen recently.
type gapRegression struct {
	weight, n, gap, nn, ngap float64
}

const (
	fitDecay       = 0.995 // weight of older samples at each new one
	fitMinSamples  = 20.0  // total weight before the regression is used
	fitMinVariance = 1.0   // of the number of runs, before the regression is used
)

// observe adds a sample of n runs and a gap in seconds.
func (f *gapRegression) observe(n, gap float64) {
	f.weight = fitDecay*f.weight + 1
	f.n = fitDecay*f.n + n
	f.gap = fitDecay*f.gap + gap
	f.nn = fitDecay*f.nn + n*n
	f.ngap = fitDecay*f.ngap + n*gap
}

// solve returns the number of runs at which the gap reaches target, or false if it is undetermined.
func (f *gapRegression) solve(target float64) (float64, bool) {
	if f.weight < fitMinSamples {
		return 0, false
	}
	n, gap := f.n/f.weight, f.gap/f.weight
	variance := f.nn/f.weight - n*n
	slope := (f.ngap/f.weight - n*gap) / variance
	if variance < fitMinVariance || slope <= 0 {
		return 0, false
	}
	return n + (target-gap)/slope, true
}
