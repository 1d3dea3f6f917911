package api

// This file writes dispatched responses to clients.

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"ivyridge/dispatch"
	"ivyridge/verdict"
)

// writeTimeout is the deadline of one write, so that a slow client cannot
// block it indefinitely.
const writeTimeout = 10 * time.Second

// A sink writes the response to one client.
type sink struct {
	w        http.ResponseWriter
	flush    *http.ResponseController
	instance string
	id       string
	stream   bool
	broken   bool
}

var _ dispatch.Sink = (*sink)(nil)

// Start implements dispatch.Sink.
func (s *sink) Start(status int, header http.Header) {
	h := s.w.Header()
	for _, name := range []string{"Content-Type", "Content-Language", "Cache-Control"} {
		if v := header.Get(name); v != "" {
			h.Set(name, v)
		}
	}
	h.Set(InstanceHeader, s.instance)
	h.Set(dispatch.RequestIDHeader, s.id)
	h.Set(VerdictHeader, verdict.Ran.String())
	s.stream = strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
	s.w.WriteHeader(status)
}

// Write implements dispatch.Sink.
func (s *sink) Write(p []byte) error {
	if s.broken {
		return errClientDisconnected
	}
	_ = s.flush.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(p); err != nil {
		s.broken = true
		return errors.Wrap(err, "write")
	}
	if s.stream {
		return errors.Wrap(s.flush.Flush(), "write")
	}
	return nil
}

var errClientDisconnected = errors.New("the caller has gone")

// abort terminates a response that failed after its header was sent. A stream
// gets an error event and no [DONE], and the connection is closed, so that the
// client cannot mistake the partial response for a complete one.
func (s *sink) abort(e *verdict.Error) {
	if s.stream && !s.broken {
		_, _ = fmt.Fprintf(s.w, "data: %s\n\n", errorBody(e))
		_ = s.flush.Flush()
	}
	panic(http.ErrAbortHandler)
}

// newID returns a random request ID prefixed with the instance name.
func newID(instance string) string {
	return fmt.Sprintf("%s-%016x%08x", instance, rand.Uint64(), rand.Uint32())
}
