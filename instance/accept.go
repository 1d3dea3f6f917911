package instance

// This file accepts caller connections.
//
// Connections beyond the limit of descriptors or memory are closed unread, so that callers can safely
// retry elsewhere. If descriptors ran out, healthy endpoints could not be reached either.
//
// net/http reads its timeouts once, before the published configuration with the header and idle
// timeouts arrives. Each connection therefore shortens the deadlines that the server sets.

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ivyridge/entry"
	"ivyridge/memory"
)

// writeBufferSize is the kernel's send buffer of a connection, in bytes; the kernel doubles it. With
// automatic sizing, the buffer of a caller that does not read grows to 4 MB.
const writeBufferSize = 64 << 10

// One in callerDescriptorDivisor file descriptors is for callers, most others are for endpoints.
const callerDescriptorDivisor = 2

// A callerListener limits connections and their memory. It is safe for concurrent use.
type callerListener struct {
	net.Listener
	account  *memory.Account
	maxConns int64 // 0 means unlimited
	timeouts func() callerTimeouts
	count    func(event string) // accepted, refused-descriptors, refused-memory
	open     atomic.Int64
}

// callerTimeouts are timeouts for callers; 0 means none.
type callerTimeouts struct{ header, idle time.Duration }

// Accept returns the next connection within the limits. It closes others.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.admit(c); admitted != nil {
			return admitted, nil
		}
		_ = c.Close()
	}
}

// admit returns c with its resources reserved, or nil if a limit is reached.
func (l *callerListener) admit(c net.Conn) net.Conn {
	if n := l.open.Add(1); l.maxConns > 0 && n > l.maxConns {
		l.open.Add(-1)
		l.count("refused-descriptors")
		return nil
	}
	reservation := l.account.Reserve(memory.Connections, entry.ConnectionBytes)
	if reservation == nil {
		l.open.Add(-1)
		l.count("refused-memory")
		return nil
	}
	l.count("accepted")
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(writeBufferSize)
	}
	return &callerConn{Conn: c, listener: l, reservation: reservation}
}

// A callerConn is a caller's connection. It releases its reservations when it is closed.
type callerConn struct {
	net.Conn
	listener    *callerListener
	reservation *memory.Reservation
	closed      sync.Once
	isIdle      atomic.Bool
}

var _ syscall.Conn = (*callerConn)(nil)

// SyscallConn implements syscall.Conn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return sc.SyscallConn()
}

// CloseWrite closes the sending side. net/http calls it before it closes a connection with an unread
// request body, so that the caller can read the response to its end before a reset.
func (c *callerConn) CloseWrite() error {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return syscall.ENOTSUP
	}
	return closer.CloseWrite()
}

// SetReadDeadline sets the earlier of t and the configured timeout. A zero t clears the deadline.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		c.isIdle.Store(false)
		return c.Conn.SetReadDeadline(t)
	}
	timeouts := c.listener.timeouts()
	limit := timeouts.header
	if c.isIdle.Load() {
		limit = timeouts.idle
	}
	if limit > 0 {
		if deadline := time.Now().Add(limit); deadline.Before(t) {
			t = deadline
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and releases its memory. It may be called repeatedly.
func (c *callerConn) Close() error {
	c.closed.Do(func() {
		c.listener.open.Add(-1)
		c.reservation.Close()
	})
	return c.Conn.Close()
}

// markIdle is the server's ConnState hook. It marks connections that wait for the next request.
func markIdle(c net.Conn, state http.ConnState) {
	if cc, ok := c.(*callerConn); ok && state == http.StateIdle {
		cc.isIdle.Store(true)
	}
}
