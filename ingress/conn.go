package ingress

// This file implements the connections of a Listener.

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"ivyridge/memory"
)

// A conn is a client's connection. It releases its reservations when it is closed.
type conn struct {
	net.Conn
	listener    *Listener
	reservation *memory.Reservation
	closed      sync.Once
	isClosed    atomic.Bool
	isIdle      atomic.Bool // the next read deadline is that of an idle connection
	place       place

	mu      sync.Mutex // guards the following
	head    head
	limit   int   // of the request line and of the header lines, in bytes
	heads   int64 // charged for head
	sockets sockets
	running int64 // bytes counted in listener.running
}

var (
	_ net.Conn     = (*conn)(nil)
	_ syscall.Conn = (*conn)(nil)
)

func newConn(c net.Conn, l *Listener, reservation *memory.Reservation) *conn {
	out := &conn{Conn: c, listener: l, reservation: reservation}
	out.beginHead() // an empty head needs no memory
	l.waiting.putIncomplete(out)
	return out
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return sc.SyscallConn()
}

// CloseWrite closes the sending side. net/http calls it before it closes a connection with an unread
// request body, so that the caller can read the response to its end before a reset.
func (c *conn) CloseWrite() error {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return syscall.ENOTSUP
	}
	return closer.CloseWrite()
}

// SetReadDeadline sets the earlier of t and the published timeout. A zero t clears the deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	limits := c.listener.Limits().orDefaults()
	limit := limits.HeaderTimeout
	// net/http sets the idle timeout when the connection becomes idle, and the header timeout when
	// bytes of the next request have arrived.
	if c.isIdle.CompareAndSwap(true, false) {
		limit = limits.IdleTimeout
	}
	if deadline := time.Now().Add(limit); deadline.Before(t) {
		t = deadline
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and releases its memory. It may be called repeatedly.
func (c *conn) Close() error {
	c.closed.Do(func() {
		c.isClosed.Store(true)
		c.listener.waiting.close(c)
		c.listener.open.Add(-1)
		c.reservation.Close()
	})
	return c.Conn.Close()
}

// connState is the server's ConnState hook. It marks connections that wait for the next request, and
// the ends of heads.
func connState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	reserved := true
	switch state {
	case http.StateIdle:
		c.listener.waiting.putIdle(c)
		reserved = c.beginHead()
		c.isIdle.Store(true)
	case http.StateActive:
		// Room made for others is no help if c has been closed for them.
		reserved = c.listener.withReclaim(c, func() bool { return c.endHead() || c.isClosed.Load() })
	}
	if !reserved {
		c.listener.Count(refusedRequestMemory)
		_ = c.Close()
	}
}

var (
	errHeadTooLarge = errors.New("the request's head is too large")
	errHeadMemory   = errors.New("no memory for the request's head")
)

// beginHead is called when the connection is accepted, and when the response to the last request has
// been written. It reports whether there is memory.
func (c *conn) beginHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = c.listener.Limits().orDefaults().MaxHeaderBytes
	c.head = c.head.next()
	return c.chargeUnread() && c.chargeHead()
}

// endHead is called when net/http has parsed the head, or has failed to. From now on the caller can
// fill the kernel's buffers. It reports whether there is memory for them.
func (c *conn) endHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.reading = false
	return c.chargeRequest()
}

// chargeHead reserves the memory of the head. The caller holds c.mu.
func (c *conn) chargeHead() bool { return c.charge(memory.Heads, &c.heads, c.head.cost()) }

// charge adjusts reserved memory of kind k from *held to n bytes. The caller holds c.mu.
func (c *conn) charge(k memory.Kind, held *int64, n int64) bool {
	switch {
	case n > *held && !c.reservation.Grow(k, n-*held):
		return false
	case n < *held:
		c.reservation.Shrink(k, *held-n)
	}
	*held = n
	return true
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.addWritten(len(p))
	return c.Conn.Write(p)
}

// Read implements net.Conn. It fails if the bytes read exceed the limit or the memory of a head, before
// net/http parses them. A head over the limit is answered here, as net/http has no such limit; the
// connection of one without memory is closed, so that the caller can retry elsewhere.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	switch failure := c.measureHead(p[:n]); failure {
	case nil:
		return n, err
	case errHeadTooLarge:
		c.listener.Count(refusedHeaderSize)
		c.reject(http.StatusRequestHeaderFieldsTooLarge)
		return 0, readError(failure)
	default:
		c.listener.Count(refusedHeaderMemory)
		// Otherwise net/http answers 400 if it can't parse what it has of the head.
		_ = c.Close()
		return 0, readError(failure)
	}
}

// readError returns an error that net/http does not answer.
func readError(err error) error { return &net.OpError{Op: "read", Net: "tcp", Err: err} }

// measureHead measures bytes that were read, and reserves memory for those of a head.
func (c *conn) measureHead(data []byte) error {
	c.mu.Lock()
	reading := c.head.reading
	c.head.measure(data)
	tooLarge := c.head.requestLine > c.limit || c.head.fields.bytes > c.limit
	reserved := !reading || tooLarge || c.chargeHead()
	c.mu.Unlock()
	switch {
	case !reading:
		return nil
	case tooLarge:
		return errHeadTooLarge
	case !reserved:
		return errHeadMemory
	}
	c.listener.waiting.resume(c)
	return nil
}

const (
	rejectTimeout = 500 * time.Millisecond // for the response, and for the client to read it
	maxRejectRead = 256 << 10              // bytes that are read while a client reads the response
)

// reject sends a response with a status to a request whose head is incomplete. Closing a connection
// with unread bytes resets it, which may destroy the response; so the rest is read for a while.
func (c *conn) reject(status int) {
	response := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: make(http.Header)}
	_ = c.Conn.SetDeadline(time.Now().Add(rejectTimeout))
	if response.Write(c.Conn) != nil || c.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, maxRejectRead)
}
