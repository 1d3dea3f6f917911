package entry

// This file reads request bodies. A body is rejected if it makes no progress for the header
// timeout or is incomplete at the request's deadline.

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"ivyridge/clock"
	"ivyridge/memory"
	"ivyridge/verdict"
)

const (
	// defaultBodyStall applies if the operator sets no header timeout.
	defaultBodyStall = 5 * time.Second
	// largeBodyBytes is the size above which a body is read with a larger receive buffer.
	largeBodyBytes = 16 << 10
	// initialBodyBytes is the initial buffer size for a body of unknown length.
	initialBodyBytes = 4 << 10
	// initialKnownBytes is the initial buffer size for a longer body of known length.
	initialKnownBytes = 32 << 10
)

func (ex *exchange) readBody() *verdict.Error {
	limits := ex.proxy.State.View().Catalog.Limits()
	length, limit := ex.r.ContentLength, int64(limits.MaxBodyBytes)
	if limit > 0 && length > limit {
		return verdict.Refuse(verdict.TooLarge, "the body has %d bytes, %d are allowed", length, limit)
	}
	if length == 0 {
		return nil
	}
	body := &callerBody{r: ex.r.Body, control: http.NewResponseController(ex.w), stallTimeout: limits.HeaderTimeout, deadline: ex.deadline, now: ex.proxy.Now}
	if body.stallTimeout <= 0 {
		body.stallTimeout = defaultBodyStall
	}
	data, err := ex.readLimited(body, length, limit)
	body.clearDeadline()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		ex.bodySlow = true
		return verdict.Refuse(verdict.BodySlow, "%d bytes of the body came, the last %s ago", body.bytesRead, ex.proxy.Now().Sub(body.lastRead).Round(time.Millisecond))
	case err == errBodyMemory:
		return ex.noMemory("the body")
	case err != nil:
		return verdict.Refuse(verdict.BodyCut, "the body broke off")
	case limit > 0 && int64(len(data)) > limit:
		return verdict.Refuse(verdict.TooLarge, "the body has more than %d bytes", limit)
	}
	ex.call.Body, ex.bodyRead = data, true
	ex.r.Trailer = nil // not forwarded, and possibly many lines
	return nil
}

var errBodyMemory = errors.New("no room for the body")

// readLimited reads a body of the given length (negative: unknown), at most limit+1 bytes
// (zero: no limit). Memory grows with the bytes that arrive, not with those that the caller states.
func (ex *exchange) readLimited(body io.Reader, length, limit int64) ([]byte, error) {
	if length < 0 && limit > 0 {
		body = io.LimitReader(body, limit+1)
	}
	var data []byte
	for {
		if length >= 0 && int64(len(data)) == length {
			return data, nil
		}
		if len(data) == cap(data) {
			grown, err := ex.growBody(data, length)
			if err != nil {
				return nil, err
			}
			data = grown
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case err == io.EOF && int64(len(data)) < length:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// growBody returns data with more capacity, up to length (negative: unknown).
func (ex *exchange) growBody(data []byte, length int64) ([]byte, error) {
	size := max(initialBodyBytes, 2*cap(data))
	if length >= 0 {
		size = int(min(int64(max(size, initialKnownBytes)), length))
	}
	if size > largeBodyBytes {
		ex.connection().WidenReadBuffer()
	}
	if !ex.growMemory(memory.Bodies, int64(size)) {
		return nil, errBodyMemory
	}
	grown := append(make([]byte, 0, size), data...)
	ex.mem.Shrink(memory.Bodies, int64(cap(data)))
	return grown, nil
}

// A callerBody reads a request body with a deadline for each read.
type callerBody struct {
	r            io.Reader
	control      *http.ResponseController
	stallTimeout time.Duration
	deadline     time.Time
	now          func() time.Time

	bytesRead int
	lastRead  time.Time // time of the last read that returned data
}

func (b *callerBody) Read(p []byte) (int, error) {
	if b.lastRead.IsZero() {
		b.lastRead = b.now()
	}
	deadline := b.lastRead.Add(b.stallTimeout)
	if b.deadline.Before(deadline) {
		deadline = b.deadline
	}
	_ = b.control.SetReadDeadline(clock.Deadline(b.now, deadline))
	n, err := b.r.Read(p)
	if n > 0 {
		b.bytesRead += n
		b.lastRead = b.now()
	}
	return n, err
}

// clearDeadline removes the read deadline, as the server goes on reading to detect a disconnect.
func (b *callerBody) clearDeadline() { _ = b.control.SetReadDeadline(time.Time{}) }
