// Package fetch makes HTTP calls whose answers are read whole. A call is given
// up when its source keeps silent, not when its answer is long. Of an answer
// that did not come whole it tells how far it came.
package fetch

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Times of an answer that has begun. They bound what a source that stops or
// trickles costs; none grows or shrinks with the answer.
const (
	// silentMost is the longest pause between bytes: twice the half second for
	// which a full link delays packets at most while it still passes them.
	silentMost = time.Second
	// arriveMost is for all of it: 12 MB over a link of 10 Mbit/s.
	arriveMost = 10 * time.Second
)

// What ends a call before its answer's end.
var (
	ErrTooLong   = errors.New("the answer is too long")
	ErrSilent    = errors.New("the source keeps silent")
	ErrTrickling = errors.New("the answer takes too long to arrive")
	ErrAbandoned = errors.New("the wait for an answer was abandoned")
)

// Times of connections. One that goes silent without a reset is told by its probes,
// within three seconds.
const (
	dialWithin = 600 * time.Millisecond
	probeAfter = time.Second // a connection that waits is probed so often
	probes     = 2
)

// NewClient returns a client that keeps so many connections to a source at rest, for
// so long, and follows no redirects.
func NewClient(kept int, rest time.Duration) *http.Client {
	dialer := &net.Dialer{
		Timeout:         dialWithin,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeAfter, Count: probes},
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: kept,
			IdleConnTimeout:     rest,
			ReadBufferSize:      4 << 10,
			WriteBufferSize:     1 << 10,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// A Wait bounds the wait for an answer to begin.
type Wait struct {
	Begin time.Duration // until its head
	// Abandon, once closed, ends the wait; nil: nothing does. An answer that
	// has begun is read to its end all the same.
	Abandon <-chan struct{}
	// Begun, if set, is called once the head has come.
	Begun func()
}

// An Answer is the whole answer to a call.
type Answer struct {
	Status int
	Body   []byte
	First  time.Duration // from the call to the answer's head
	Took   time.Duration // from the call to the answer's end
}

// A CutError is the error of a call whose answer did not come whole.
type CutError struct {
	Begun bool          // the answer's head came
	Bytes int           // of the body that came
	First time.Duration // from the call to the head, if it came
	Took  time.Duration // from the call to its failure
	Err   error
}

func (e *CutError) Error() string {
	if !e.Begun {
		return fmt.Sprintf("no answer in %v: %v", e.Took.Round(time.Millisecond), e.Err)
	}
	return fmt.Sprintf("answer cut after %d bytes and %v: %v", e.Bytes, e.Took.Round(time.Millisecond), e.Err)
}

// Unwrap returns what ended the call.
func (e *CutError) Unwrap() error { return e.Err }

// Do makes a call and reads its answer, whose body may have most bytes. Each
// error is a *CutError.
func Do(client *http.Client, req *http.Request, most int64, w Wait) (*Answer, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	silence := time.AfterFunc(w.Begin, func() { cancel(ErrSilent) })
	defer silence.Stop()
	began := time.Now()
	res, err := head(ctx, cancel, client, req, w.Abandon)
	if err != nil {
		return nil, &CutError{Took: time.Since(began), Err: cause(ctx, err)}
	}
	defer res.Body.Close()
	if w.Begun != nil {
		w.Begun()
	}
	whole := time.AfterFunc(arriveMost, func() { cancel(ErrTrickling) })
	defer whole.Stop()
	a := &Answer{Status: res.StatusCode, First: time.Since(began)}
	a.Body, err = io.ReadAll(io.LimitReader(&heard{res.Body, silence}, most+1))
	a.Took = time.Since(began)
	if err == nil && int64(len(a.Body)) > most {
		err = ErrTooLong
	}
	if err != nil {
		return nil, &CutError{Begun: true, Bytes: len(a.Body), First: a.First, Took: a.Took, Err: cause(ctx, err)}
	}
	return a, nil
}

// head makes a call and returns once its answer has begun; until then, closing
// abandon ends the call.
func head(ctx context.Context, cancel context.CancelCauseFunc, client *http.Client, req *http.Request, abandon <-chan struct{}) (*http.Response, error) {
	begun := make(chan struct{})
	defer close(begun)
	go func() {
		select {
		case <-begun:
		case <-abandon:
			cancel(ErrAbandoned)
		}
	}()
	return client.Do(req.WithContext(ctx))
}

// cause returns what ended ctx, or else err.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// A heard reader puts silence off with each byte that comes.
type heard struct {
	io.Reader
	silence *time.Timer
}

func (h *heard) Read(p []byte) (int, error) {
	h.silence.Reset(silentMost)
	return h.Reader.Read(p)
}
