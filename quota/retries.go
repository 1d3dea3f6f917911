package quota

// This file divides the retries that a service may receive: a share of the requests for it
// and a number beyond.
//
// An engine that fails takes down several streams of a few instances, and a number that is
// divided by all instances gives each of 70 of them one retry and each of 390 none. So most
// of it belongs to those who choose endpoints, who see all requests of a data centre; a
// small part stays with each instance for the time when none of them answers.

const (
	// ratioUsed is the part of the share of requests that is earned at all: a datagram that
	// the network brings twice earns twice.
	ratioUsed = 0.95
	// ownRatio and ownExtra are what all instances' own buckets have together of the share
	// of requests and of the number beyond it.
	ownRatio = 0.2
	ownExtra = 0.3
	// leastInstances are assumed at least: those that start together hear each other one
	// after the other.
	leastInstances = 4
	// halves keeps two halves of a fleet that do not hear each other within the bound, where
	// their instances have started since.
	halves = 2
)

// Retries is the bound on the retries of a service within any window, for all instances: the
// requests are those of that window or, if it has more, of the one before it.
type Retries struct {
	Ratio float64 // of the requests for it
	Extra float64 // beyond that
}

// An Earning says which part of what a request earns is for those who choose endpoints.
// Instances tell it by its number.
type Earning uint8

// The parts. The instance that holds the request decides, so that none is earned twice
// however many instances each of them believes there are.
const (
	EarnsNothing Earning = iota // it has been placed before
	EarnsRest                   // its instance has taken the part of its own bucket
	EarnsWhole                  // its instance has no bucket of its own
)

// Own returns what each request earns an instance's own bucket, and what that holds at
// most, where the instance has heard so many at the same time, itself among them. It holds
// nothing as long as that is not known, and where its part is less than one retry.
func (r Retries) Own(instances int) (earns, most float64) {
	if instances <= 0 {
		return 0, 0
	}
	most = ownExtra * r.Extra / float64(halves*max(instances, leastInstances))
	if most < 1 {
		return 0, 0
	}
	return ratioUsed * ownRatio * r.Ratio, most
}

// Earns returns what a request earns the bucket of an instance that chooses endpoints.
func (r Retries) Earns(e Earning) float64 {
	switch e {
	case EarnsRest:
		return ratioUsed * (1 - ownRatio) * r.Ratio
	case EarnsWhole:
		return ratioUsed * r.Ratio
	}
	return 0
}

// Pooled returns what the bucket of an instance that chooses endpoints and has a part holds
// at most, where so many data centres divide the bound and so many instances are heard.
//
// Where these are too many for buckets of their own, also if half of them have started
// apart, what is left for such buckets is that of one group that has heard few others: on
// 70 instances and 180 retries 0.85 of them in place of 0.7.
func (r Retries) Pooled(part float64, dataCentres, instances int) float64 {
	own := ownExtra
	if _, most := r.Own(instances / halves); most <= 0 && instances >= halves {
		own = ownExtra / halves
	}
	return max(0, part) * (1 - own) * r.Extra / Wholes(dataCentres)
}
