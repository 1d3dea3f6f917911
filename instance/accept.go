package instance

// This file accepts callers' connections.
//
// It answers more connections than the machine has descriptors or memory for. One beyond
// either is closed before anything is read from it, so that a caller knows that its
// request was not read and may go elsewhere. Were the descriptors used up instead,
// connections to endpoints would fail too, and endpoints would be taken for dead.
//
// The times that an operator sets for headers and resting connections come with the
// configuration, later than the server starts and anew with each version; net/http reads
// its own once. So each connection shortens the deadlines that the server sets.

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

// writeBuffer is what the kernel may hold of an answer, in bytes (it takes twice that): at
// 30 ms to the caller and back, 4 MB/s. By itself it would let the buffer of a caller that
// does not read grow to 4 MB.
const writeBuffer = 64 << 10

// callerShare is the part of the machine's descriptors that callers' connections may
// take; endpoints take the most of the rest.
const callerShare = 2

// A callerListener accepts connections within bounds.
type callerListener struct {
	net.Listener
	account *memory.Account
	most    int64              // connections; zero: no bound
	limits  func() callerTimes // in force now
	count   func(event string) // accepted, refused-descriptors, refused-memory
	open    atomic.Int64
}

// callerTimes bound what a caller may take; zero is no bound.
type callerTimes struct{ header, idle time.Duration }

// Accept returns the next connection within the bounds.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if taken := l.take(c); taken != nil {
			return taken, nil
		}
		_ = c.Close()
	}
}

// take counts c, or returns nil if it is one too many.
func (l *callerListener) take(c net.Conn) net.Conn {
	if n := l.open.Add(1); l.most > 0 && n > l.most {
		l.open.Add(-1)
		l.count("refused-descriptors")
		return nil
	}
	hold := l.account.Open(memory.Connections, entry.ConnectionBytes)
	if hold == nil {
		l.open.Add(-1)
		l.count("refused-memory")
		return nil
	}
	l.count("accepted")
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(writeBuffer) // without it the kernel chooses
	}
	return &callerConn{Conn: c, listener: l, hold: hold}
}

// A callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	listener *callerListener
	hold     *memory.Holding
	closed   sync.Once
	resting  atomic.Bool
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

// CloseWrite ends what is sent to the caller, who may go on sending. net/http does so before
// it closes a connection of which it has not read all, so that the caller gets its answer.
func (c *callerConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return syscall.ENOTSUP
	}
	return half.CloseWrite()
}

// SetReadDeadline sets t, or what the operator allows if that is earlier. No deadline
// stays none.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		c.resting.Store(false)
		return c.Conn.SetReadDeadline(t)
	}
	limits := c.listener.limits()
	allowed := limits.header
	if c.resting.Load() {
		allowed = limits.idle
	}
	if allowed > 0 {
		if by := time.Now().Add(allowed); by.Before(t) {
			t = by
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and lets its memory go.
func (c *callerConn) Close() error {
	c.closed.Do(func() {
		c.listener.open.Add(-1)
		c.hold.Close()
	})
	return c.Conn.Close()
}

// rests notes which connections rest between requests. It is for http.Server.
func rests(c net.Conn, state http.ConnState) {
	if cc, ok := c.(*callerConn); ok && state == http.StateIdle {
		cc.resting.Store(true)
	}
}
