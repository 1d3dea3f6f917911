package entry

// This file reserves memory for requests from the instance's account.

import (
	"ivyridge/balance"
	"ivyridge/memory"
	"ivyridge/verdict"
)

// Estimated memory of a request in addition to its body and its response, with what the
// garbage collector lets grow beyond what is in use.
const (
	// ConnectionBytes is the memory of a caller's connection, with or without a request.
	ConnectionBytes = 8 << 10
	// requestBytes is the memory of a request that is being read: headers and a goroutine stack.
	requestBytes = 8 << 10
	// exchangeBytes is the additional memory of a request that is running: the connection to
	// its endpoint, copies of headers, and goroutines.
	exchangeBytes = 20 << 10
)

// reserveMemory reserves the memory that every request needs, or returns an error if there is none.
func (f *exchange) reserveMemory() *verdict.Error {
	team := uint64(0)
	if f.team != nil {
		team = uint64(balance.TeamHash(f.team.Name))
	}
	mem, cause := f.entry.Memory.Admit(team, f.route.Priority, requestBytes)
	if mem == nil {
		return f.noMemory(string(cause))
	}
	f.mem = mem
	return nil
}

// noMemory returns the error of a request for which there is no memory.
func (f *exchange) noMemory(cause string) *verdict.Error {
	s := f.entry.Memory.Stats()
	return verdict.Refuse(verdict.MemoryFull, "%s: %d of %d bytes held", cause, s.Used, s.Limit).WithRetryAfter(retryAfterLong)
}

// reserveExchangeMemory reserves the memory of a running request.
func (f *exchange) reserveExchangeMemory() *verdict.Error {
	if !f.mem.Grow(memory.Requests, exchangeBytes) {
		return f.noMemory("the exchange")
	}
	return nil
}

// releaseMemory releases all memory reserved for the request.
func (f *exchange) releaseMemory() {
	if f.mem != nil {
		f.mem.Close()
	}
}
