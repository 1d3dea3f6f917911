package entry

// This file reads an endpoint's answer piece by piece, for a relay.

import "io"

// pieces are an answer as it is read.
type pieces interface {
	// next returns the next piece, valid until the next call, or io.EOF after the last.
	next() ([]byte, error)
	// renew makes later calls of next leave the last piece alone.
	renew()
}

var (
	_ pieces = (*chunks)(nil)
	_ pieces = (*streamPieces)(nil)
)

// streamPieces are the events of a stream that the caller does not have yet.
type streamPieces struct {
	f      *exchange
	events *eventReader
	pace   *streamPace
}

func (f *exchange) newStreamPieces(body io.Reader) *streamPieces {
	events := newEventReader(body)
	events.hold = f.hold
	return &streamPieces{f, events, f.newStreamPace()}
}

func (s *streamPieces) next() ([]byte, error) {
	for {
		event, err := s.events.next()
		if err == io.EOF {
			s.pace.end()
		}
		if err != nil {
			return nil, err
		}
		s.pace.event(s.f.entry.Now())
		if repeats(event.id, s.f.call.LastEvent) {
			continue
		}
		if event.id != "" {
			s.f.call.LastEvent = event.id
		}
		return event.data, nil
	}
}

func (s *streamPieces) renew() { s.events.data = nil }

// chunks are the pieces of an answer without events.
type chunks struct {
	r      io.Reader
	buffer []byte
}

// chunkBytes is the length of such a piece.
const chunkBytes = 4 << 10

func newChunks(r io.Reader) *chunks { return &chunks{r, make([]byte, chunkBytes)} }

func (c *chunks) next() ([]byte, error) {
	for {
		n, err := c.r.Read(c.buffer)
		if n > 0 {
			return c.buffer[:n], nil // an error comes again
		}
		if err != nil {
			return nil, err
		}
	}
}

func (c *chunks) renew() { c.buffer = make([]byte, len(c.buffer)) }
