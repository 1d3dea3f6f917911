package entry

// This file splits a stream into its events.

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"

	"ivyridge/memory"
)

// Bounds on events.
const (
	eventBuffer = 2 << 10
	eventFirst  = 256 // room for an event, at first
	maxEvent    = 1 << 20
)

// An event is one event of a stream with its closing empty line.
type event struct {
	id   string
	data []byte // valid until the next call
}

// An eventReader splits a stream. A stream that ends within an event is cut.
type eventReader struct {
	r    *bufio.Reader
	data []byte
	hold *memory.Holding // from which room for long events is taken; nil: without a bound
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBuffer)}
}

var errNoRoom = errors.New("no memory for an event of this length")

// room makes room for an event of n bytes. That of ordinary events belongs to what every
// request takes.
func (e *eventReader) room(n int) bool {
	if n <= cap(e.data) {
		return true
	}
	size := max(n, min(2*cap(e.data), eventBuffer), eventFirst)
	if n > eventBuffer {
		size = max(n, 2*cap(e.data))
	}
	if size > eventBuffer && e.hold != nil && !e.hold.Take(memory.Answers, int64(size)) {
		return false
	}
	e.data = append(make([]byte, 0, size), e.data...)
	return true
}

var idField = []byte("id:")

// next returns the next whole event, or io.EOF after the last.
func (e *eventReader) next() (event, error) {
	e.data = e.data[:0]
	var id string
	lineStart := 0
	for {
		piece, err := e.r.ReadSlice('\n')
		if !e.room(len(e.data) + len(piece)) {
			return event{}, errNoRoom
		}
		e.data = append(e.data, piece...)
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
