package instance

// This file sets up the memory accounting of an instance.

import "ivyridge/memory"

const (
	// limitFraction is the part of the machine's memory that accounted data may use. It is
	// below the heap fraction of 0.75 from which the garbage collector runs more often:
	// accounted data is in use and can't be collected.
	limitFraction = 0.65
	// baseFraction is the part of the machine's memory reserved for the program,
	// its configuration and gossip.
	baseFraction = 0.125
)

// memoryLimit returns the limit of accounted memory and the base reservation, in bytes.
func memoryLimit(s *Settings) (limit, base int64) {
	total := float64(int64(s.Machine.MemoryMB) << 20)
	return int64(limitFraction * total), int64(baseFraction * total)
}

// newAccount returns an account with the base reserved.
func newAccount(s *Settings) *memory.Account {
	limit, base := memoryLimit(s)
	a := memory.New(limit)
	a.Reserve(memory.Base, base)
	return a
}
