package entry

// This file takes the memory of a request from the instance's account.

import (
	"ivyridge/balance"
	"ivyridge/memory"
	"ivyridge/verdict"
)

// What is taken for a request beside its body and its answer. With callers that do not
// read, or do not send, 1,000 at a time, the memory of a process grew by 54 KB a caller
// with a running stream and by 28 KB beside the body for one that is still read; two
// thirds of that are in use, the rest is what the collector lets grow beside it.
const (
	// ConnectionBytes is what a caller's connection takes, with or without a request.
	ConnectionBytes = 8 << 10
	// requestBytes is what a request that is read takes: headers, and its goroutine's stack.
	requestBytes = 8 << 10
	// exchangeBytes is what a request that runs takes beside: the connection to its
	// endpoint, copies of headers, and the goroutines that watch it.
	exchangeBytes = 20 << 10
)

// letIn takes what the request needs from the account, or says why there is no room.
func (f *exchange) letIn() *verdict.Error {
	team := uint64(0)
	if f.team != nil {
		team = uint64(balance.TeamHash(f.team.Name))
	}
	hold, cause := f.entry.Memory.Admit(team, f.route.Priority, requestBytes)
	if hold == nil {
		return f.noMemory(string(cause))
	}
	f.hold = hold
	return nil
}

// noMemory refuses a request for which there is no memory.
func (f *exchange) noMemory(cause string) *verdict.Error {
	s := f.entry.Memory.Sum()
	return verdict.Refuse(verdict.MemoryFull, "%s: %d of %d bytes held", cause, s.Used, s.Limit).After(retryAfterLong)
}

// startRun takes what a request that runs needs.
func (f *exchange) startRun() *verdict.Error {
	if !f.hold.Take(memory.Requests, exchangeBytes) {
		return f.noMemory("the exchange")
	}
	return nil
}

// letGo gives back all that the request holds.
func (f *exchange) letGo() {
	if f.hold != nil {
		f.hold.Close()
	}
}
