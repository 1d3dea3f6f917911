package upstream

// This file sends one request and reads the head of its response.

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"ivyridge/internal/http1"
	"ivyridge/verdict"
)

const (
	// concurrentWriteBytes is the body size from which the response is read while the request
	// is still written, since an endpoint may respond early.
	concurrentWriteBytes = 8 << 10
	// maxMismatched is how many responses to other requests are skipped.
	maxMismatched = 2
	// maxMismatchedBody is the body size from which a response to another request fails the exchange.
	maxMismatchedBody = 64 << 10
	// maxHeadBytes bounds the head of each response.
	maxHeadBytes = 64 << 10
	// maxInformational is how many 1xx responses are skipped.
	maxInformational = 5
)

// A Request is a request to an endpoint.
type Request struct {
	Endpoint string // incarnation, the key for connection reuse
	Address  string
	Method   string
	Host     string
	Target   string // as in the request line
	Header   http.Header
	Body     []byte
	MaySend  func() bool // called before the first byte is written; nil: always true
	// Reserve is called before memory for a long response head is allocated; nil: always true.
	Reserve func(bytes int) bool
}

// An Exchange is a request that was sent and its response. The caller of Do must call Close once.
// Calling Close with complete unset while Body is being read makes that read fail.
type Exchange struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Dialled is set if the request was the first on its connection.
	Dialled bool

	pool       *Pool
	conn       *conn
	endpoint   string
	written    *atomic.Bool
	reusable   bool
	stopCancel func() bool
}

// Do sends r and returns once the response head has been read. The connection is closed when ctx
// is done, also after Do has returned. Responses for whose headers mismatched returns true belong
// to other requests and are skipped. Errors have a *verdict.Error in their chain.
func (p *Pool) Do(ctx context.Context, r *Request, mismatched func(http.Header) bool) (*Exchange, error) {
	c := p.getIdle(r.Endpoint)
	dialled := c == nil
	if dialled {
		var err error
		if c, err = p.dial(ctx, r.Address, dialTimeout); err != nil {
			return nil, &connectError{
				error:   verdict.Fail(verdict.NotRun, verdict.EndpointConnect, "%s: %s", r.Endpoint, err),
				refused: errors.Is(err, syscall.ECONNREFUSED),
			}
		}
	}
	x := &Exchange{Dialled: dialled, pool: p, conn: c, endpoint: r.Endpoint, written: new(atomic.Bool)}
	x.stopCancel = context.AfterFunc(ctx, func() { _ = c.Close() })
	if ctx.Err() != nil {
		x.Close(false, 0)
		return nil, verdict.Fail(verdict.NotRun, verdict.CallerGone, "%s: nothing was sent", r.Endpoint)
	}
	if r.MaySend != nil && !r.MaySend() {
		x.written.Store(true) // nothing to write, so that the connection is reusable
		x.reusable = true
		x.Close(true, 0)
		return nil, verdict.Refuse(verdict.EndpointInBackoff, "%s: nothing was sent", r.Endpoint)
	}
	if err := x.send(r); err != nil {
		x.Close(false, 0)
		return nil, cutError(r, err)
	}
	if err := x.readHead(r, mismatched); err != nil {
		x.Close(false, 0)
		return nil, cutError(r, err)
	}
	return x, nil
}

func cutError(r *Request, err error) error {
	if errors.Is(err, http1.ErrHeadMemory) {
		return verdict.Fail(verdict.MayHaveRun, verdict.ResponseNoMemory, "%s: %s", r.Endpoint, err)
	}
	return verdict.Fail(verdict.MayHaveRun, verdict.EndpointCut, "%s: %s", r.Endpoint, err)
}

func (x *Exchange) send(r *Request) error {
	out := &http.Request{
		Method:        r.Method,
		Host:          r.Host,
		URL:           &url.URL{Opaque: r.Target},
		Header:        r.Header,
		ContentLength: int64(len(r.Body)),
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // suppresses net/http's default
	}
	if len(r.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	write := func() error {
		if err := writeRequest(x.conn.writer, out); err != nil {
			return err
		}
		if err := x.conn.writer.Flush(); err != nil {
			return err
		}
		x.written.Store(true)
		return nil
	}
	if len(r.Body) < concurrentWriteBytes {
		return write()
	}
	// A write error needs no handling: the reader sees the failed connection too.
	go func() { _ = write() }()
	return nil
}

func (x *Exchange) readHead(r *Request, mismatched func(http.Header) bool) error {
	skipped, interim := 0, 0
	for {
		res, err := x.conn.reader.ReadResponse(r.Method, http1.HeadLimits{Max: maxHeadBytes, Reserve: r.Reserve})
		if err != nil {
			return errors.Wrap(err, "no answer")
		}
		switch {
		case res.StatusCode < http.StatusOK:
			if interim++; interim > maxInformational || res.StatusCode == http.StatusSwitchingProtocols {
				return errors.Errorf("answered %s", res.Status)
			}
		case mismatched(res.Header):
			if skipped++; skipped > maxMismatched {
				return errors.New("answers to other requests")
			}
			if err := discardMismatched(res); err != nil {
				return err
			}
		default:
			x.setResponse(res)
			return nil
		}
	}
}

// discardMismatched reads the body of a response to another request.
func discardMismatched(res *http.Response) error {
	if res.Close {
		return errors.New("a last answer to another request")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxMismatchedBody))
	if err != nil {
		return errors.Wrap(err, "an answer to another request")
	}
	if n == maxMismatchedBody {
		return errors.New("a long answer to another request")
	}
	return nil
}

func (x *Exchange) setResponse(res *http.Response) {
	x.Status = res.StatusCode
	x.Header = res.Header
	x.Body = res.Body
	x.reusable = !res.Close
}

// Discard reads the rest of Body, and reports whether it ended within maxBytes and timeout.
func (x *Exchange) Discard(maxBytes int64, timeout time.Duration) bool {
	_ = x.conn.SetReadDeadline(time.Now().Add(timeout))
	n, err := io.Copy(io.Discard, io.LimitReader(x.Body, maxBytes))
	_ = x.conn.SetReadDeadline(time.Time{})
	return err == nil && n < maxBytes
}

// Close ends the exchange. If the response is complete, the connection is kept for reuse where
// possible, for idleTimeout (zero: a default). Otherwise it is closed, which tells the endpoint to
// abort the request.
func (x *Exchange) Close(complete bool, idleTimeout time.Duration) {
	alive := x.stopCancel()
	if complete && alive && x.reusable && x.written.Load() && x.conn.reader.Buffered() == 0 {
		x.conn.reader.Trim()
		x.pool.putIdle(x.endpoint, x.conn, idleTimeout)
		return
	}
	_ = x.conn.Close()
}
