package entry

// This file reserves memory for requests from the instance's account.

import (
	"ivyridge/balance"
	"ivyridge/memory"
	"ivyridge/verdict"
)

// Estimated memory of a request besides its body and response, including garbage not yet collected.
const (
	// requestBytes is the memory of a request: headers, goroutines and its endpoint connection.
	requestBytes = 28 << 10
)

// maxReclaims bounds the connections that are closed to make room for a request.
const maxReclaims = 64

func (ex *exchange) reserveMemory() *verdict.Error {
	team := uint64(0)
	if ex.team != nil {
		team = uint64(balance.TeamHash(ex.team.Name))
	}
	mem, cause := ex.proxy.Memory.Admit(team, ex.route.Priority, requestBytes)
	for n := 0; mem == nil && cause == memory.OverLimit && n < maxReclaims && ex.connection().Reclaim(); n++ {
		mem, cause = ex.proxy.Memory.Admit(team, ex.route.Priority, requestBytes)
	}
	if mem == nil {
		return ex.noMemory(string(cause))
	}
	ex.mem = mem
	return nil
}

// growMemory adds n bytes of kind k to the request's memory, and closes connections that wait if there
// is no room. It reports false if there is still none.
func (ex *exchange) growMemory(k memory.Kind, n int64) bool {
	for range maxReclaims {
		if ex.mem.Grow(k, n) {
			return true
		}
		if !ex.connection().Reclaim() {
			return false
		}
	}
	return false
}

// reserveHead adds n bytes for the head of a response to the request's memory.
func (ex *exchange) reserveHead(n int) bool { return ex.mem.Grow(memory.Responses, int64(n)) }

func (ex *exchange) noMemory(cause string) *verdict.Error {
	s := ex.proxy.Memory.Stats()
	return verdict.Refuse(verdict.MemoryFull, "%s: %d of %d bytes held", cause, s.Used, s.Limit).WithRetryAfter(retryAfterLong)
}

func (ex *exchange) releaseMemory() {
	if ex.mem != nil {
		ex.mem.Close()
	}
}
