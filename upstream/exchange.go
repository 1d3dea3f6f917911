package upstream

// This file carries one request and its answer.

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"ivyridge/verdict"
)

const (
	// writeAside is the size of a body from which it is written beside the
	// reading, since an endpoint may answer before it has read it.
	writeAside = 8 << 10
	// maxStrays is how many answers to earlier requests are passed over.
	maxStrays = 2
	// maxStrayBody is how long such an answer may be.
	maxStrayBody = 64 << 10
	// maxInformational is how many interim answers are passed over.
	maxInformational = 5
)

// A Request is sent to an endpoint.
type Request struct {
	Endpoint string // its incarnation: connections are kept by it
	Address  string
	Method   string
	Host     string
	Target   string // for the request line
	Header   http.Header
	Body     []byte
	MaySend  func() bool // asked right before the first byte leaves; nil: it may
}

// An Exchange is a request that was sent, and the head of its answer. Its
// owner reads the body and calls Close.
type Exchange struct {
	Status int
	Header http.Header
	Body   io.Reader

	pool     *Pool
	conn     *conn
	endpoint string
	written  *atomic.Bool
	reusable bool
	stop     func() bool
}

// Do sends r and returns when the head of its answer has come. The request is
// broken off when ctx ends. Stray tells whether an answer belongs to an
// earlier request on the connection.
func (p *Pool) Do(ctx context.Context, r *Request, stray func(http.Header) bool) (*Exchange, error) {
	c := p.take(r.Endpoint)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, r.Address); err != nil {
			return nil, verdict.Fail(verdict.NotRun, verdict.EndpointConnect, "%s: %s", r.Endpoint, err)
		}
	}
	x := &Exchange{pool: p, conn: c, endpoint: r.Endpoint, written: new(atomic.Bool)}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if ctx.Err() != nil {
		x.Close(false, 0)
		return nil, verdict.Fail(verdict.NotRun, verdict.CallerGone, "%s: nothing was sent", r.Endpoint)
	}
	if r.MaySend != nil && !r.MaySend() {
		x.written.Store(true) // nothing is: the connection may be kept
		x.reusable = true
		x.Close(true, 0)
		return nil, verdict.Refuse(verdict.EndpointRests, "%s: nothing was sent", r.Endpoint)
	}
	if err := x.send(r); err != nil {
		x.Close(false, 0)
		return nil, failed(r, err)
	}
	if err := x.head(r, stray); err != nil {
		x.Close(false, 0)
		return nil, failed(r, err)
	}
	return x, nil
}

func failed(r *Request, err error) error {
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
		out.Header["User-Agent"] = nil // none is made up
	}
	if len(r.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	write := func() error {
		if err := out.Write(x.conn.writer); err != nil {
			return err
		}
		if err := x.conn.writer.Flush(); err != nil {
			return err
		}
		x.written.Store(true)
		return nil
	}
	if len(r.Body) < writeAside {
		return write()
	}
	// The reader sees the failure of a connection too.
	go func() { _ = write() }()
	return nil
}

// head reads the head of the answer that belongs to r.
func (x *Exchange) head(r *Request, stray func(http.Header) bool) error {
	strays, interim := 0, 0
	for {
		res, err := http.ReadResponse(x.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return errors.Wrap(err, "no answer")
		}
		switch {
		case res.StatusCode < http.StatusOK:
			if interim++; interim > maxInformational || res.StatusCode == http.StatusSwitchingProtocols {
				return errors.Errorf("answered %s", res.Status)
			}
		case stray(res.Header):
			if strays++; strays > maxStrays {
				return errors.New("answers to other requests")
			}
			if err := skip(res); err != nil {
				return err
			}
		default:
			x.accept(res)
			return nil
		}
	}
}

// skip reads over an answer that belongs to another request.
func skip(res *http.Response) error {
	if res.Close {
		return errors.New("a last answer to another request")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxStrayBody))
	if err != nil {
		return errors.Wrap(err, "an answer to another request")
	}
	if n == maxStrayBody {
		return errors.New("a long answer to another request")
	}
	return nil
}

func (x *Exchange) accept(res *http.Response) {
	x.Status = res.StatusCode
	x.Header = res.Header
	x.Body = res.Body
	x.reusable = !res.Close
}

// Close ends the exchange. If its answer was read whole, the connection may
// be kept for rest; otherwise it is closed, which tells the endpoint to stop.
func (x *Exchange) Close(whole bool, rest time.Duration) {
	alive := x.stop()
	if whole && alive && x.reusable && x.written.Load() && x.conn.reader.Buffered() == 0 {
		x.pool.keep(x.endpoint, x.conn, rest)
		return
	}
	_ = x.conn.Close()
}
