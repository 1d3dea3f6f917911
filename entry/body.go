package entry

// This file reads the body of a request.
//
// It answers callers that send slowly or not at all: a body that makes no progress for
// the operator's header time is given up, and so is one that has not come when the
// request's time is over. Room for a body is taken before it is read.

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
	// bodyPause is how long a body may make no progress where the operator sets no time.
	bodyPause = 5 * time.Second
	// firstRoom is what is taken first for a body of unknown length; it doubles as the
	// body grows.
	firstRoom = 4 << 10
)

// readBody reads the whole body, within the limits.
func (f *exchange) readBody() *verdict.Error {
	limits := f.entry.Beliefs.View().Catalog.Limits()
	length, most := f.r.ContentLength, int64(limits.MaxBodyBytes)
	if most > 0 && length > most {
		return verdict.Refuse(verdict.TooLarge, "the body has %d bytes, %d are allowed", length, most)
	}
	if length == 0 {
		return nil
	}
	body := &callerBody{r: f.r.Body, control: http.NewResponseController(f.w), pause: limits.HeaderTimeout, ends: f.ends, now: f.entry.Now}
	if body.pause <= 0 {
		body.pause = bodyPause
	}
	data, err := f.readInto(body, length, most)
	body.done()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.w.Header().Set("Connection", "close")
		return verdict.Refuse(verdict.BodySlow, "%d bytes of the body came, the last %s ago", body.read, f.entry.Now().Sub(body.last).Round(time.Millisecond))
	case err == errFull:
		return f.noMemory("the body")
	case err != nil:
		return verdict.Refuse(verdict.BodyCut, "the body broke off")
	case most > 0 && int64(len(data)) > most:
		return verdict.Refuse(verdict.TooLarge, "the body has more than %d bytes", most)
	}
	f.call.Body = data
	return nil
}

// errFull ends the reading of a body for which there is no room.
var errFull = errors.New("no room for the body")

// readInto reads a body of a length (negative: unknown), at most one byte more than most
// (zero: no bound).
func (f *exchange) readInto(body io.Reader, length, most int64) ([]byte, error) {
	if length > 0 {
		if !f.hold.Take(memory.Bodies, length) {
			return nil, errFull
		}
		data := make([]byte, length)
		_, err := io.ReadFull(body, data)
		return data, err
	}
	if most > 0 {
		body = io.LimitReader(body, most+1)
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			size := max(firstRoom, 2*cap(data))
			if !f.hold.Take(memory.Bodies, int64(size)) {
				return nil, errFull
			}
			before := cap(data)
			data = append(make([]byte, 0, size), data...)
			f.hold.Give(memory.Bodies, int64(before))
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// A callerBody reads from a caller, who has a time for each piece.
type callerBody struct {
	r       io.Reader
	control *http.ResponseController
	pause   time.Duration
	ends    time.Time
	now     func() time.Time

	read int       // bytes
	last time.Time // some came
}

func (b *callerBody) Read(p []byte) (int, error) {
	if b.last.IsZero() {
		b.last = b.now()
	}
	by := b.last.Add(b.pause)
	if b.ends.Before(by) {
		by = b.ends
	}
	_ = b.control.SetReadDeadline(clock.Deadline(b.now, by))
	n, err := b.r.Read(p)
	if n > 0 {
		b.read += n
		b.last = b.now()
	}
	return n, err
}

// done leaves no deadline to those who read after the body: the server reads on to notice
// that the caller leaves.
func (b *callerBody) done() { _ = b.control.SetReadDeadline(time.Time{}) }
