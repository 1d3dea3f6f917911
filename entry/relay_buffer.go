package entry

// This file buffers what was read of a response until its caller reads it.

import "ivyridge/memory"

// maxRelayBuffer is the most bytes that are buffered for one response.
const maxRelayBuffer = 128 << 10

// A relayBuffer is a queue of chunks whose memory is taken from the request's reservation.
type relayBuffer struct {
	mem    *memory.Reservation
	chunks [][]byte
	size   int // in bytes
	peak   int // largest size so far, in bytes
}

func (a *relayBuffer) empty() bool { return len(a.chunks) == 0 }

// add copies a chunk into the queue. It returns false if there is no room.
func (a *relayBuffer) add(chunk []byte) bool {
	if a.size+len(chunk) > maxRelayBuffer || !a.mem.Grow(memory.Buffered, chunkMemory(len(chunk))) {
		return false
	}
	a.chunks = append(a.chunks, append(make([]byte, 0, len(chunk)), chunk...))
	a.size += len(chunk)
	a.peak = max(a.peak, a.size)
	return true
}

// chunkOverheadBytes is the estimated overhead of a queued chunk.
const chunkOverheadBytes = 48

func chunkMemory(n int) int64 { return int64(n + chunkOverheadBytes) }

// first returns the oldest chunk. The buffer must not be empty.
func (a *relayBuffer) first() []byte { return a.chunks[0] }

// removeFirst removes the oldest chunk and releases its memory.
func (a *relayBuffer) removeFirst() {
	n := len(a.chunks[0])
	a.chunks[0] = nil
	a.chunks = a.chunks[1:]
	a.size -= n
	a.mem.Shrink(memory.Buffered, chunkMemory(n))
}

func (a *relayBuffer) clear() {
	for !a.empty() {
		a.removeFirst()
	}
}
