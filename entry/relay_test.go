package entry

import (
	"io"
	"testing"

	"ivyridge/memory"
)

// A singleChunk is a response body of one chunk.
type singleChunk struct{ read bool }

func (c *singleChunk) next() ([]byte, error) {
	if c.read {
		return nil, io.EOF
	}
	c.read = true
	return []byte("data: 1\n\n"), nil
}

func (c *singleChunk) detach() {}

// Guards against reporting a complete response when the relay was aborted after the reader
// had read one more chunk, which it drops.
func TestRelayReportsDroppedChunk(t *testing.T) {
	r := &relay{ex: &exchange{}, src: &singleChunk{}, concurrent: true, buffer: relayBuffer{mem: new(memory.Reservation)}}
	r.changed.L = &r.mu
	r.releaseOnce.Do(func() {}) // as handleDeadline does
	r.aborted = true            // as abortWrite does
	r.readConcurrently()
	if err := r.writeQueued(nil); err == nil {
		t.Error("a response without its last chunk is reported as complete")
	}
}
