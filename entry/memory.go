package entry

// This file reserves memory for requests from the instance's account.

import (
	"ivyridge/balance"
	"ivyridge/memory"
	"ivyridge/verdict"
)

// Estimated memory of a request besides its body and response, with garbage not yet collected.
const (
	// ConnectionBytes is the memory of a caller's connection, with or without a request.
	ConnectionBytes = 8 << 10
	// requestBytes is the memory of a request that is being read: headers and a goroutine stack.
	requestBytes = 8 << 10
	// exchangeBytes is added while the request runs: its endpoint connection, headers, goroutines.
	exchangeBytes = 20 << 10
)

func (f *exchange) reserveMemory() *verdict.Error {
	team := uint64(0)
	if f.team != nil {
		team = uint64(balance.TeamHash(f.team.Name))
	}
	mem, cause := f.proxy.Memory.Admit(team, f.route.Priority, requestBytes)
	if mem == nil {
		return f.noMemory(string(cause))
	}
	f.mem = mem
	return nil
}

func (f *exchange) noMemory(cause string) *verdict.Error {
	s := f.proxy.Memory.Stats()
	return verdict.Refuse(verdict.MemoryFull, "%s: %d of %d bytes held", cause, s.Used, s.Limit).WithRetryAfter(retryAfterLong)
}

func (f *exchange) reserveExchangeMemory() *verdict.Error {
	if !f.mem.Grow(memory.Requests, exchangeBytes) {
		return f.noMemory("the exchange")
	}
	return nil
}

func (f *exchange) releaseMemory() {
	if f.mem != nil {
		f.mem.Close()
	}
}
