package entry

// This file gives the Proxy access to the connection of a request.

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// A Connection is a caller's connection that the Proxy controls while it handles a request.
type Connection interface {
	// WidenReadBuffer sets a receive buffer that fits a large body, until the next request.
	WidenReadBuffer()
	// SetRunning states whether the request is complete and runs. Otherwise the connection may be
	// closed to make room for others.
	SetRunning(running bool)
	// Reclaim closes another connection to make room for the request, and reports whether there was one.
	Reclaim() bool
}

type (
	rawConnKey    struct{}
	connectionKey struct{}
)

// ConnContext is for http.Server.ConnContext. It gives the Proxy access to the connection's count of
// acknowledged bytes and, if it is a Connection, control of it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if connection, ok := c.(Connection); ok {
		ctx = context.WithValue(ctx, connectionKey{}, connection)
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return ctx
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return ctx
	}
	return context.WithValue(ctx, rawConnKey{}, raw)
}

// uncontrolled is the Connection of requests whose connection is none.
type uncontrolled struct{}

// WidenReadBuffer implements Connection.
func (uncontrolled) WidenReadBuffer() {}

// SetRunning implements Connection.
func (uncontrolled) SetRunning(bool) {}

// Reclaim implements Connection.
func (uncontrolled) Reclaim() bool { return false }

// connection returns the connection of the request.
func (ex *exchange) connection() Connection {
	if c, ok := ex.r.Context().Value(connectionKey{}).(Connection); ok {
		return c
	}
	return uncontrolled{}
}

// resetOnClose makes the caller see a reset when the connection is closed. Without it, a caller that speaks
// HTTP/1.0 takes the part of a response for the whole one, which ends with its connection.
func (ex *exchange) resetOnClose() {
	raw, ok := ex.r.Context().Value(rawConnKey{}).(syscall.RawConn)
	if !ok {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
}
