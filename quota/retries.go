package quota

// This file divides the retries that a service may receive. An endpoint that fails interrupts
// several requests of a few instances at once, and an equal part of a constant is less than one
// retry for each of hundreds of instances. So most of it is pooled at the schedulers, and a small
// part stays with each instance for when no scheduler answers.

const (
	// duplicateMargin scales deposits, as a message duplicated by the network counts twice.
	duplicateMargin = 0.95
	// instanceRatio and instanceExtra are the fractions of Ratio and Extra for the instances' buckets.
	instanceRatio = 0.2
	instanceExtra = 0.3
	// minInstances is the lowest number assumed: starting instances don't reach each other at once.
	minInstances = 4
	// maxPartitions is how many parts of a fleet may start without hearing each other and still
	// stay within the limit.
	maxPartitions = 2
)

// A RetryLimit limits the retries of a service within any window, over all instances. Ratio applies
// to the requests in that window or, if it has more, in the one before.
type RetryLimit struct {
	Ratio float64 // of the requests for the service
	Extra float64 // retries beyond the ratio
}

// A DepositKind is the part of a request's deposit that goes to the scheduler's bucket. Its number
// is sent between instances.
type DepositKind uint8

// The instance that handles the request decides, so that nothing is deposited twice even if
// instances disagree about the size of the fleet.
const (
	DepositNone      DepositKind = iota // the request has already been counted
	DepositRemainder                    // the instance has deposited its part in its own bucket
	DepositFull                         // the instance has no bucket of its own
)

// InstanceBudget returns the deposit of each request into an instance's own bucket and its base
// capacity, given the number of reachable instances, including itself (zero:
// unknown). Both are zero if that is unknown or the capacity is below one retry.
func (r RetryLimit) InstanceBudget(instances int) (deposit, capacity float64) {
	if instances <= 0 {
		return 0, 0
	}
	capacity = instanceExtra * r.Extra / float64(maxPartitions*max(instances, minInstances))
	if capacity < 1 {
		return 0, 0
	}
	return duplicateMargin * instanceRatio * r.Ratio, capacity
}

// PooledDeposit returns the deposit of a request into the scheduler's bucket.
func (r RetryLimit) PooledDeposit(kind DepositKind) float64 {
	switch kind {
	case DepositRemainder:
		return duplicateMargin * (1 - instanceRatio) * r.Ratio
	case DepositFull:
		return duplicateMargin * r.Ratio
	}
	return 0
}

// PooledCapacity returns the base capacity of the bucket of a scheduler with share of the limit. It
// is given the numbers of data centres that divide the limit and of instances that the scheduler
// reaches. It leaves out what the instances' own buckets hold, which is less if these are too many.
func (r RetryLimit) PooledCapacity(share float64, dataCentres, instances int) float64 {
	reserved := instanceExtra
	if _, capacity := r.InstanceBudget(instances / maxPartitions); capacity <= 0 && instances >= maxPartitions {
		reserved = instanceExtra / maxPartitions
	}
	return max(0, share) * (1 - reserved) * r.Extra / MaxTotalShare(dataCentres)
}
