package instance

// This file sets the account of the instance's memory.

import "ivyridge/memory"

const (
	// accountShare is the part of the machine's memory that the account may fill. Below
	// the part from which the collector works harder instead of letting the heap grow
	// (0.75): what is counted is in use and can't be collected.
	accountShare = 0.65
	// baseShare is the part that the program, beliefs and gossip take: 21 MB of 184 were
	// the most that an ordinary instance of a large fleet took.
	baseShare = 0.125
)

// memoryLimit returns the limit of the account of a machine, and its base, in bytes.
func memoryLimit(s *Settings) (limit, base int64) {
	total := float64(int64(s.Machine.MemoryMB) << 20)
	return int64(accountShare * total), int64(baseShare * total)
}

// newAccount returns the account of a machine.
func newAccount(s *Settings) *memory.Account {
	limit, base := memoryLimit(s)
	a := memory.New(limit)
	a.Open(memory.Base, base)
	return a
}
