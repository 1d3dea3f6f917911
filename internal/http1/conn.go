package http1

// This file tells a connection that was closed from one that was reset while data was being written.

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// A Conn is a TCP connection whose reads return io.EOF only if the other side has closed it.
//
// The kernel reports a reset or a timeout once. If a write that runs at the same time gets the report, the
// next read ends as after a close, and a body that ends with its connection seems complete. A Conn
// therefore returns the error of such a write to the reader.
//
// For net/http's client it also checks the heads of responses; see WithCheck.
type Conn struct {
	net.Conn

	mu       sync.Mutex // held while data is written
	writeErr error      // of the first write that failed

	expected atomic.Bool  // a response is expected whose head is to be checked
	checker  *headChecker // of the current head; nil: none is checked. Used by the reader only
}

var _ syscall.Conn = (*Conn)(nil)

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. Writes fail once it has returned io.EOF.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if invalid := c.checkHead(p[:n]); invalid != nil {
		return 0, invalid
	}
	if err != io.EOF {
		return n, err
	}
	if broken := c.endWrites(); broken != nil {
		return n, broken
	}
	return n, io.EOF
}

// checkHead checks the next bytes that were read, if they belong to a head.
func (c *Conn) checkHead(p []byte) error {
	if c.expected.CompareAndSwap(true, false) {
		c.checker = new(headChecker)
	}
	if c.checker == nil {
		return nil
	}
	done, err := c.checker.check(p)
	if done {
		c.checker = nil
	}
	return err
}

// endWrites ends a write in progress, and returns the error of a write that broke off for a reason of the
// connection's.
func (c *Conn) endWrites() error {
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return nil
	}
	return c.writeErr
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("not a system connection")
	}
	return sc.SyscallConn()
}

// A DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc whose connections are of type *Conn.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c}, nil
	}
}
