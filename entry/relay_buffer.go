package entry

// This file buffers what was read of a response until its caller reads it.

import "ivyridge/memory"

// maxRelayBuffer is the most bytes that are buffered for one response. It is about ten times an
// ordinary response of an engine.
const maxRelayBuffer = 128 << 10

// A relayBuffer is a queue of chunks whose memory is taken from the request's reservation.
type relayBuffer struct {
	mem    *memory.Reservation
	chunks [][]byte
	size   int // in bytes
	peak   int // largest size so far, in bytes
}

func (b *relayBuffer) empty() bool { return len(b.chunks) == 0 }

// add copies a chunk into the queue. It returns false if there is no room.
func (b *relayBuffer) add(chunk []byte) bool {
	if b.size+len(chunk) > maxRelayBuffer || !b.mem.Grow(memory.Buffered, chunkMemory(len(chunk))) {
		return false
	}
	b.chunks = append(b.chunks, append(make([]byte, 0, len(chunk)), chunk...))
	b.size += len(chunk)
	b.peak = max(b.peak, b.size)
	return true
}

// chunkOverheadBytes is the estimated overhead of a queued chunk.
const chunkOverheadBytes = 48

func chunkMemory(n int) int64 { return int64(n + chunkOverheadBytes) }

// first returns the oldest chunk. The buffer must not be empty.
func (b *relayBuffer) first() []byte { return b.chunks[0] }

// removeFirst removes the oldest chunk and releases its memory.
func (b *relayBuffer) removeFirst() {
	n := len(b.chunks[0])
	b.chunks[0] = nil
	b.chunks = b.chunks[1:]
	b.size -= n
	b.mem.Shrink(memory.Buffered, chunkMemory(n))
}

func (b *relayBuffer) clear() {
	for !b.empty() {
		b.removeFirst()
	}
}
