package instance

// This file sets up the memory accounting of an instance.

import (
	"os"
	"runtime/debug"

	"ivyridge/memory"
)

const (
	// limitFraction is the fraction of the machine's memory for accounted data. All of that is live, so
	// above runtimeFraction the garbage collector would run more often without freeing any.
	limitFraction = 0.65
	// baseFraction is the fraction reserved for the program, its configuration and gossip.
	baseFraction = 0.125
	// runtimeFraction is the fraction of the machine's memory for the program, its heap and the kernel's
	// buffers. Above it, the runtime collects more often.
	runtimeFraction = 0.85
	// programBytes is the resident memory of the program besides its heap.
	programBytes = 10 << 20
	// minRuntimeFraction is the least fraction for the heap.
	minRuntimeFraction = 0.25
	// runtimeLimitStep is the least change of the runtime's limit, as a fraction of the machine's memory.
	runtimeLimitStep = 0.03
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

// runtimeLimit returns the runtime's memory limit in bytes. The kernel's buffers, of which sockets bytes
// are reserved, are not part of the heap, but of the machine's memory.
func runtimeLimit(s *Settings, sockets int64) int64 {
	machine := float64(int64(s.Machine.MemoryMB) << 20)
	return int64(max(minRuntimeFraction*machine, runtimeFraction*machine-programBytes-float64(sockets)))
}

// setRuntimeLimit returns the function that sets the runtime's memory limit, or nil if the environment
// has set one.
func setRuntimeLimit() func(int64) {
	if os.Getenv("GOMEMLIMIT") != "" {
		return nil
	}
	return func(limit int64) { debug.SetMemoryLimit(limit) }
}

// adjustRuntimeLimit sets the runtime's memory limit by the memory of the kernel's buffers.
func (i *Instance) adjustRuntimeLimit() {
	s := i.effective.Load()
	if i.setRuntimeLimit == nil || s.Machine.MemoryMB == 0 {
		return
	}
	limit := runtimeLimit(s, i.account.Held(memory.Sockets))
	step := int64(runtimeLimitStep * float64(int64(s.Machine.MemoryMB)<<20))
	if change := limit - i.runtimeLimit; change < step && change > -step {
		return
	}
	i.runtimeLimit = limit
	i.setRuntimeLimit(limit)
}
