package entry

// This file handles the part of a request body that has not been read when the request is refused. The
// response must not wait for a caller that sends slowly or has stopped, yet a connection that is closed
// with bytes unread is reset, so that a caller that is still sending may lose the response.

import (
	"io"
	"net/http"
	"time"
)

const (
	// maxDrainBytes is how much of an unread body is read, as in net/http.
	maxDrainBytes = 256 << 10
	// drainTimeout is how long an error response waits for the rest of the body, so that the
	// connection can be used again.
	drainTimeout = 25 * time.Millisecond
	// lingerTimeout is how long a connection stays open after an error response while the caller is
	// still sending, as in net/http.
	lingerTimeout = 500 * time.Millisecond
)

// drain reads the rest of a short body before an error response. If it does not arrive in time, the
// response closes the connection; see linger.
func (ex *exchange) drain() {
	if ex.bodyRead || ex.r.ContentLength == 0 {
		return
	}
	// Reading would ask a caller that expects 100-continue for a body that is not wanted.
	if !ex.bodySlow && ex.r.Header.Get("Expect") == "" && ex.readRest(drainTimeout) {
		// The server goes on reading to detect a disconnect.
		_ = http.NewResponseController(ex.w).SetReadDeadline(time.Time{})
		return
	}
	ex.bodyUnread = true
	ex.w.Header().Set("Connection", "close")
}

// linger must be called after the response. It delays the end of the handler, and with it the close of
// the connection, until the caller has sent its body or lingerTimeout has passed.
func (ex *exchange) linger() {
	if !ex.bodyUnread || http.NewResponseController(ex.w).Flush() != nil {
		return
	}
	ex.readRest(lingerTimeout)
}

// readRest discards the rest of the body, and reports whether it ended within timeout.
func (ex *exchange) readRest(timeout time.Duration) bool {
	_ = http.NewResponseController(ex.w).SetReadDeadline(time.Now().Add(timeout))
	_, err := io.CopyN(io.Discard, ex.r.Body, maxDrainBytes)
	return err == io.EOF
}
