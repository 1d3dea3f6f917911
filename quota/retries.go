package quota

// This file divides the retries that a service may receive: a share of the requests for it
// and a number beyond.
//
// An engine that fails takes down several streams of a few instances, and a number that is
// divided by all instances gives each of 70 of them one retry and each of 390 none. So most
// of it belongs to those who choose endpoints, who see all requests of a data centre; a
// small part stays with each instance for the time when none of them answers.

const (
	// ratioUsed is the part of the share of requests that is earned at all.
	ratioUsed = 0.9
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

// Retries is the bound on the retries of a service within any window, for all instances.
type Retries struct {
	Ratio float64 // of the requests for it
	Extra float64 // beyond that
}

// Own returns what each request earns an instance's own bucket, and what that holds at
// most, where the instance has heard so many at the same time, itself among them. It holds
// nothing as long as that is not known.
func (r Retries) Own(instances int) (earns, most float64) {
	if instances <= 0 {
		return 0, 0
	}
	return ratioUsed * ownRatio * r.Ratio, ownExtra * r.Extra / float64(halves*max(instances, leastInstances))
}

// Pooled returns what each request earns the bucket of an instance that chooses endpoints
// and has a part, and what that holds at most, where so many data centres divide the bound.
func (r Retries) Pooled(part float64, dataCentres int) (earns, most float64) {
	if part <= 0 {
		return 0, 0
	}
	return ratioUsed * (1 - ownRatio) * r.Ratio, part * (1 - ownExtra) * r.Extra / Wholes(dataCentres)
}
