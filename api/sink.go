package api

// This file passes answers on to callers.

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

// writeWithin bounds how long a slow caller may hold up one write.
const writeWithin = 10 * time.Second

// A sink writes an answer to one caller.
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
func (s *sink) Start(status int, from http.Header) {
	h := s.w.Header()
	for _, name := range []string{"Content-Type", "Content-Language", "Cache-Control"} {
		if v := from.Get(name); v != "" {
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
		return errCallerGone
	}
	_ = s.flush.SetWriteDeadline(time.Now().Add(writeWithin))
	if _, err := s.w.Write(p); err != nil {
		s.broken = true
		return errors.Wrap(err, "write")
	}
	if s.stream {
		return errors.Wrap(s.flush.Flush(), "write")
	}
	return nil
}

var errCallerGone = errors.New("the caller has gone")

// abort ends an answer that could not be completed, so that the caller
// cannot take it for a whole one: a stream gets an error event and no
// [DONE], and the connection is cut.
func (s *sink) abort(e *verdict.Error) {
	if s.stream && !s.broken {
		_, _ = fmt.Fprintf(s.w, "data: %s\n\n", errorBody(e))
		_ = s.flush.Flush()
	}
	panic(http.ErrAbortHandler)
}

// newID returns a request id that is unique across the fleet.
func newID(instance string) string {
	return fmt.Sprintf("%s-%016x%08x", instance, rand.Uint64(), rand.Uint32())
}
