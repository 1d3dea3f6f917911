package entry

// This file reads an endpoint's response in chunks, for a relay.

import "io"

// A chunkSource is a response body, read chunk by chunk.
type chunkSource interface {
	// next returns the next chunk, which is valid until the following call, or io.EOF.
	next() ([]byte, error)
	// detach makes later calls of next leave the last returned chunk unchanged.
	detach()
}

var (
	_ chunkSource = (*bodySource)(nil)
	_ chunkSource = (*eventSource)(nil)
)

// An eventSource returns the events of a stream that the caller does not have yet.
type eventSource struct {
	ex     *exchange
	events *eventReader
	timing *streamTiming
}

func (ex *exchange) newEventSource(body io.Reader) *eventSource {
	events := newEventReader(body)
	events.mem = ex.mem
	return &eventSource{ex, events, ex.newStreamTiming()}
}

func (s *eventSource) next() ([]byte, error) {
	for {
		event, err := s.events.next()
		if err == io.EOF {
			s.timing.recordEnd()
		}
		if err != nil {
			return nil, err
		}
		s.timing.recordEvent(s.ex.proxy.Now())
		if alreadySent(event.id, s.ex.call.LastEventID) {
			continue
		}
		if event.id != "" {
			s.ex.call.LastEventID = event.id
		}
		return event.data, nil
	}
}

func (s *eventSource) detach() { s.events.data = nil }

// A bodySource returns the body of a response that is not a stream.
type bodySource struct {
	r      io.Reader
	buffer []byte
}

// bodyChunkSize is the largest chunk of a bodySource, in bytes.
const bodyChunkSize = 4 << 10

func newBodySource(r io.Reader) *bodySource { return &bodySource{r, make([]byte, bodyChunkSize)} }

func (s *bodySource) next() ([]byte, error) {
	for {
		n, err := s.r.Read(s.buffer)
		if n > 0 {
			return s.buffer[:n], nil // the error, if any, is returned by the next Read
		}
		if err != nil {
			return nil, err
		}
	}
}

func (s *bodySource) detach() { s.buffer = make([]byte, len(s.buffer)) }
