package entry

// This file takes the memory of a request from the instance's account.

import (
	"ivyridge/balance"
	"ivyridge/verdict"
)

const (
	// requestBytes is what a request in hand takes beside its body and its answer: its
	// goroutines' stacks, the buffers of the connection to its endpoint and its headers,
	// which are copied for the endpoint.
	requestBytes = 24 << 10
	// ConnectionBytes is what a caller's connection takes, with or without a request:
	// its buffers, a goroutine and what the server keeps of it.
	ConnectionBytes = 16 << 10
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

// letGo gives back all that the request holds.
func (f *exchange) letGo() {
	if f.hold != nil {
		f.hold.Close()
	}
}
