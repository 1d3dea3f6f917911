package api

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

const writeTimeout = 10 * time.Second // per write, against slow clients

type sink struct {
	w        http.ResponseWriter
	flush    *http.ResponseController
	instance string
	id       string
	stream   bool // the response consists of server-sent events
	broken   bool // a write failed
}

var _ dispatch.Sink = (*sink)(nil)

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

// abort ends a response that failed after its header was sent. It closes the
// connection, so that the client does not take the response for complete.
func (s *sink) abort(e *verdict.Error) {
	if s.stream && !s.broken {
		_, _ = fmt.Fprintf(s.w, "data: %s\n\n", errorBody(e))
		_ = s.flush.Flush()
	}
	panic(http.ErrAbortHandler)
}

func newRequestID(instance string) string {
	return fmt.Sprintf("%s-%016x%08x", instance, rand.Uint64(), rand.Uint32())
}
