package instance

// This file sets up the memory accounting of an instance.

import "ivyridge/memory"

const (
	// limitFraction is the fraction of the machine's memory for accounted data. All of that is live, so
	// above 0.75 the garbage collector would run more often without freeing any.
	limitFraction = 0.65
	// baseFraction is the fraction reserved for the program, its configuration and gossip.
	baseFraction = 0.125
)

// memoryLimit returns the limit of accounted memory and the base reservation, in bytes.
func memoryLimit(s *Settings) (limit, base int64) {
	total := float64(int64(s.Machine.MemoryMB) << 20)
	return int64(limitFraction * total), int64(baseFraction * total)
}

func newAccount(s *Settings) *memory.Account {
	limit, base := memoryLimit(s)
	a := memory.New(limit)
	a.Reserve(memory.Base, base)
	return a
}
