// Package fetch makes HTTP calls that read the complete response, with separate limits for silence,
// total time and size. The error of an incomplete response tells how much of it arrived.
package fetch

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ivyridge/internal/http1"
)

// Timeouts of a response whose header has arrived, whatever its size.
const (
	// readIdleTimeout is the longest pause between bytes. A saturated link delays packets by half this.
	readIdleTimeout = time.Second
	// bodyTimeout limits the transfer of the body. It suffices for 12 MB at 10 Mbit/s.
	bodyTimeout = 10 * time.Second
)

// maxHeaderBytes bounds the header of a response, with those of the interim responses before it. A
// source may send bytes that are no response without end, and net/http's default is 10 MB.
const maxHeaderBytes = 64 << 10

// Reasons for which Do aborts a call.
var (
	ErrTooLong  = errors.New("response too long")
	ErrIdle     = errors.New("source stopped sending")
	ErrTooSlow  = errors.New("response took too long to arrive")
	ErrCanceled = errors.New("call canceled before the response header arrived")
)

// Keep-alive probes detect a connection that died without a reset within three seconds.
const (
	dialTimeout   = 600 * time.Millisecond
	probeInterval = time.Second // idle time before the first keep-alive probe, and between probes
	probeCount    = 2
)

// NewClient returns a client that keeps up to maxIdle idle connections per host, each for up to
// idleTimeout, and follows no redirects. Do rejects responses that are not HTTP/1.1.
func NewClient(maxIdle int, idleTimeout time.Duration) *http.Client {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         http1.Dial(dialer.DialContext),
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdle,
			IdleConnTimeout:     idleTimeout,
			ReadBufferSize:      4 << 10,
			WriteBufferSize:     1 << 10,

			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// HeaderOptions control the wait for the response header.
type HeaderOptions struct {
	Timeout time.Duration // until the header arrives
	// Cancel, if not nil and closed before the header has arrived, aborts the call.
	Cancel   <-chan struct{}
	OnHeader func() // called when the header has arrived; may be nil
}

// A Response is a complete response.
type Response struct {
	Status     int
	Body       []byte
	HeaderTime time.Duration // from the call to the header
	TotalTime  time.Duration // from the call to the end of the body
}

// A TruncatedError is the error of a call without a complete response.
type TruncatedError struct {
	HeaderReceived bool
	Bytes          int           // received of the body
	HeaderTime     time.Duration // from the call to the header; zero if it did not arrive
	Elapsed        time.Duration // from the call to the error
	Err            error
}

func (e *TruncatedError) Error() string {
	if !e.HeaderReceived {
		return fmt.Sprintf("no response header within %v: %v", e.Elapsed.Round(time.Millisecond), e.Err)
	}
	return fmt.Sprintf("response truncated after %d bytes and %v: %v", e.Bytes, e.Elapsed.Round(time.Millisecond), e.Err)
}

func (e *TruncatedError) Unwrap() error { return e.Err }

// Do makes a call and reads its complete response, whose body may have up to maxBytes. Every error
// is a *TruncatedError.
func Do(client *http.Client, req *http.Request, maxBytes int64, w HeaderOptions) (*Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	idleTimer := time.AfterFunc(w.Timeout, func() { cancel(ErrIdle) })
	defer idleTimer.Stop()
	began := time.Now()
	res, err := awaitHeader(ctx, cancel, client, req, w.Cancel)
	if err != nil {
		return nil, &TruncatedError{Elapsed: time.Since(began), Err: cause(ctx, err)}
	}
	defer res.Body.Close()
	if w.OnHeader != nil {
		w.OnHeader()
	}
	bodyTimer := time.AfterFunc(bodyTimeout, func() { cancel(ErrTooSlow) })
	defer bodyTimer.Stop()
	out := &Response{Status: res.StatusCode, HeaderTime: time.Since(began)}
	out.Body, err = io.ReadAll(io.LimitReader(&idleReader{res.Body, idleTimer}, maxBytes+1))
	out.TotalTime = time.Since(began)
	if err == nil && int64(len(out.Body)) > maxBytes {
		err = ErrTooLong
	}
	if err != nil {
		return nil, &TruncatedError{HeaderReceived: true, Bytes: len(out.Body), HeaderTime: out.HeaderTime, Elapsed: out.TotalTime, Err: cause(ctx, err)}
	}
	return out, nil
}

// awaitHeader returns when the response header has arrived. If canceled is closed first, it aborts
// the call.
func awaitHeader(ctx context.Context, cancel context.CancelCauseFunc, client *http.Client, req *http.Request, canceled <-chan struct{}) (*http.Response, error) {
	returned := make(chan struct{})
	defer close(returned)
	go func() {
		select {
		case <-returned:
		case <-canceled:
			cancel(ErrCanceled)
		}
	}()
	return client.Do(req.WithContext(http1.WithCheck(ctx)))
}

// cause returns the cause of ctx's end, or err if ctx has not ended.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// An idleReader restarts the idle timer at each read.
type idleReader struct {
	io.Reader
	idleTimer *time.Timer
}

func (r *idleReader) Read(p []byte) (int, error) {
	r.idleTimer.Reset(readIdleTimeout)
	return r.Reader.Read(p)
}
