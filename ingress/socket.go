package ingress

// This file bounds the kernel's buffers of connections, and accounts for them.
//
// With automatic sizing, the buffers of a caller that sends without being read, or that does not read,
// grow to megabytes. Bytes of a caller stay unread while its request runs or its response can't be
// written; between requests they are read at once. So the buffers are small, and wider for large
// bodies and responses while memory is plentiful.

import (
	"context"
	"net"
	"syscall"

	"ivyridge/memory"
)

// Buffer sizes of a connection, in bytes. The kernel doubles them.
const (
	readBufferSize      = 8 << 10
	wideReadBufferSize  = 32 << 10
	writeBufferSize     = 16 << 10
	wideWriteBufferSize = 64 << 10
)

// The memory of a connection's buffers, in bytes.
const (
	// requestBufferBytes is for a connection with a request.
	requestBufferBytes = 2 * (readBufferSize + writeBufferSize)
	wideReadBytes      = 2 * (wideReadBufferSize - readBufferSize)   // in addition
	wideWriteBytes     = 2 * (wideWriteBufferSize - writeBufferSize) // in addition
	// Responses of up to freeUnread bytes that a caller may not have read are part of the memory of its
	// connection.
	freeUnread = 4 << 10
)

// Listen listens for connections with a bounded receive buffer. They inherit it from the listening
// socket, as a buffer that is set later does not bound what the caller sends at first.
func Listen(address string) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readBufferSize)
		})
		if err != nil {
			return err
		}
		return failure
	}}
	return c.Listen(context.Background(), "tcp", address)
}

// sockets is the state of a connection's buffers in the kernel.
type sockets struct {
	charged   int64 // bytes reserved
	written   int64 // bytes of the current response
	wideRead  bool
	wideWrite bool
}

// WidenReadBuffer sets the receive buffer for a large body, until the next request, if there is memory
// to spare. The caller must be the handler of a request.
func (c *conn) WidenReadBuffer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if tcp := c.tcp(); tcp != nil && !c.sockets.wideRead && c.chargeSpare(wideReadBytes) {
		_ = tcp.SetReadBuffer(wideReadBufferSize)
		c.sockets.wideRead = true
	}
}

// addWritten counts n bytes of a response, and sets the send buffer for a large one.
func (c *conn) addWritten(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sockets.written += int64(n)
	if c.sockets.wideWrite || c.sockets.written <= writeBufferSize {
		return
	}
	if tcp := c.tcp(); tcp != nil && c.chargeSpare(wideWriteBytes) {
		_ = tcp.SetWriteBuffer(wideWriteBufferSize)
		c.sockets.wideWrite = true
	}
}

// chargeSpare reserves n bytes more if there is memory to spare. The caller holds c.mu.
func (c *conn) chargeSpare(n int64) bool {
	if !c.reservation.GrowSpare(memory.Sockets, n) {
		return false
	}
	c.sockets.charged += n
	return true
}

// chargeRequest reserves the buffers of a connection with a request. The caller holds c.mu.
func (c *conn) chargeRequest() bool {
	if c.tcp() == nil {
		return true
	}
	return c.charge(memory.Sockets, &c.sockets.charged, requestBufferBytes)
}

// chargeUnread reverts to small buffers after a response, and keeps memory for what the caller may not
// have read of it. The caller holds c.mu.
func (c *conn) chargeUnread() bool {
	tcp := c.tcp()
	if tcp == nil {
		return true
	}
	unread := int64(0)
	if c.sockets.written > freeUnread {
		unread = min(c.sockets.written, c.sockets.charged)
	}
	if c.sockets.wideRead {
		_ = tcp.SetReadBuffer(readBufferSize)
	}
	if c.sockets.wideWrite {
		_ = tcp.SetWriteBuffer(writeBufferSize)
	}
	c.sockets = sockets{charged: c.sockets.charged}
	return c.charge(memory.Sockets, &c.sockets.charged, unread)
}

// tcp returns the TCP connection whose buffers are bounded, or nil if they are not.
func (c *conn) tcp() *net.TCPConn {
	if c.listener.Trusted {
		return nil
	}
	tcp, _ := c.Conn.(*net.TCPConn)
	return tcp
}
