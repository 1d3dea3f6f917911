package home

// A fit learns how an endpoint's time between tokens grows with what it runs,
// as a line through recent samples. It foresees how many requests would bring
// the gap to a target, though the endpoint has not run as many lately.
type fit struct {
	weight, n, gap, nn, ngap float64
}

const (
	fitKeep     = 0.995 // of older samples, at each new one
	fitSamples  = 20.0  // before a fit is used
	fitVariance = 1.0   // of what ran, before a fit is used
)

// add takes in that n requests ran with a gap in seconds.
func (f *fit) add(n, gap float64) {
	f.weight = fitKeep*f.weight + 1
	f.n = fitKeep*f.n + n
	f.gap = fitKeep*f.gap + gap
	f.nn = fitKeep*f.nn + n*n
	f.ngap = fitKeep*f.ngap + n*gap
}

// at returns how many requests bring the gap to target, or false where the
// samples do not tell.
func (f *fit) at(target float64) (float64, bool) {
	if f.weight < fitSamples {
		return 0, false
	}
	n, gap := f.n/f.weight, f.gap/f.weight
	variance := f.nn/f.weight - n*n
	slope := (f.ngap/f.weight - n*gap) / variance
	if variance < fitVariance || slope <= 0 {
		return 0, false
	}
	return n + (target-gap)/slope, true
}
