package entry

// This file splits an event stream into events.

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"

	"ivyridge/memory"
)

// Sizes in bytes.
const (
	eventBuffer    = 2 << 10 // read buffer
	minEventBuffer = 256     // smallest allocation for an event
	maxEvent       = 1 << 20
)

// An event is one event of a stream, including the empty line that ends it.
type event struct {
	id   string
	data []byte // valid until the next call of next
}

// An eventReader splits a stream into events. An incomplete last event is an error.
type eventReader struct {
	r    *bufio.Reader
	data []byte
	mem  *memory.Reservation // reservation for long events; nil: no limit
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBuffer)}
}

var errEventMemory = errors.New("no memory for an event of this length")

// grow makes room for an event of n bytes, and returns false if there is no memory. Only long
// events are charged; the memory of every request covers the others.
func (e *eventReader) grow(n int) bool {
	if n <= cap(e.data) {
		return true
	}
	size := max(n, min(2*cap(e.data), eventBuffer), minEventBuffer)
	if n > eventBuffer {
		size = max(n, 2*cap(e.data))
	}
	if size > eventBuffer && e.mem != nil && !e.mem.Grow(memory.Responses, int64(size)) {
		return false
	}
	e.data = append(make([]byte, 0, size), e.data...)
	return true
}

var idField = []byte("id:")

// next returns the next complete event, or io.EOF after the last.
func (e *eventReader) next() (event, error) {
	e.data = e.data[:0]
	var id string
	lineStart := 0
	for {
		fragment, err := e.r.ReadSlice('\n')
		if !e.grow(len(e.data) + len(fragment)) {
			return event{}, errEventMemory
		}
		e.data = append(e.data, fragment...)
		if len(e.data) > maxEvent {
			return event{}, errors.New("an event without end")
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(e.data) == 0:
			return event{}, io.EOF
		case err == io.EOF:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		line := bytes.TrimRight(e.data[lineStart:], "\r\n")
		lineStart = len(e.data)
		if len(line) == 0 {
			return event{id: id, data: e.data}, nil
		}
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}
