// Package upstream sends requests to endpoints over persistent HTTP/1.1 connections.
//
// The package never retries a request, follows redirects or decompresses, and never takes surplus
// bytes after a response for the next response. It does not use net/http's client, which retries
// some requests on persistent connections. A failure before the first byte is written has the
// verdict NotRun, any later one MayHaveRun.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"ivyridge/internal/http1"
)

// Connection settings.
const (
	dialTimeout        = 300 * time.Millisecond
	unackedTimeout     = 800 * time.Millisecond // TCP_USER_TIMEOUT: closes a connection whose data stays unacknowledged
	keepAliveInterval  = time.Second            // also the idle time before the first probe
	keepAliveProbes    = 2
	defaultIdleTimeout = 4 * time.Second        // if the endpoint states none
	idleMargin         = 500 * time.Millisecond // connections this close to their idle timeout are not reused
	readBufferBytes    = 4 << 10
	writeBufferBytes   = 2 << 10
	maxIdlePerEndpoint = 12
	// receiveBufferBytes is the size of the kernel's receive buffer, which the kernel doubles. With automatic
	// sizing, an endpoint that sends without being read fills megabytes.
	receiveBufferBytes = 16 << 10
)

// A conn is a connection to an endpoint.
type conn struct {
	net.Conn
	raw     syscall.RawConn
	reader  *http1.Reader
	writer  *bufio.Writer
	expires time.Time
}

// usable reports whether an idle connection is open and has no unread data, which would belong to
// no request.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	idle := false
	var buf [1]byte
	err := c.raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN
		return true
	})
	return err == nil && idle
}

// A Pool keeps idle connections for reuse, by endpoint. It is safe for concurrent use.
type Pool struct {
	dialEndpoint DialFunc
	count        func(event string)
	now          func() time.Time

	mu     sync.Mutex
	idle   map[string][]*conn // by catalog.Endpoint.Incarnation; most recently used last
	closed bool
}

// A DialFunc opens a connection to an endpoint, as net.Dialer.DialContext does.
type DialFunc = http1.DialFunc

// NewPool returns an empty Pool that uses now for idle timeouts. Count is called with
// "dialled", "dial-failed" or "reused" for each event; it must be safe for concurrent use.
func NewPool(count func(event string), now func() time.Time) *Pool {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setSocketOptions,
	}
	return &Pool{dialEndpoint: http1.Dial(dialer.DialContext), count: count, now: now, idle: make(map[string][]*conn)}
}

// SetDial replaces the function that opens connections. It must be called before first use.
func (p *Pool) SetDial(dial DialFunc) { p.dialEndpoint = http1.Dial(dial) }

// setSocketOptions sets the options of a connection before it is opened, as a receive buffer that is set later
// does not bound what the endpoint sends at first.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}

// getIdle returns a usable idle connection, or nil.
func (p *Pool) getIdle(endpoint string) *conn {
	for {
		c := p.popIdle(endpoint)
		if c == nil {
			return nil
		}
		if p.now().Before(c.expires) && c.usable() {
			p.count("reused")
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) popIdle(endpoint string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[endpoint]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[endpoint] = conns[:len(conns)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	nc, err := p.dialEndpoint(ctx, "tcp", address)
	if err != nil {
		p.count("dial-failed")
		return nil, err
	}
	p.count("dialled")
	c := &conn{Conn: nc, reader: http1.NewReader(nc, readBufferBytes), writer: bufio.NewWriterSize(nc, writeBufferBytes)}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	return c, nil
}

// A connectError is the error of a request whose connection could not be opened.
type connectError struct {
	error
	refused bool
}

func (e *connectError) Unwrap() error { return e.error }

// Refused reports whether err of Do says that the endpoint refused the connection at once. Otherwise
// the connection may only have taken long, as over a congested link.
func Refused(err error) bool {
	var e *connectError
	return errors.As(err, &e) && e.refused
}

// A ProbeResult is the result of a Probe.
type ProbeResult uint8

// Results of a Probe.
const (
	ProbeInconclusive ProbeResult = iota // no response in time, or another error
	ProbeListening                       // a process accepts connections
	ProbeRefused                         // the machine refuses connections: no process listens
)

// Probe opens a connection within timeout (zero: that of requests) to check whether an endpoint's
// process is running. The connection is kept for the next request.
func (p *Pool) Probe(ctx context.Context, endpoint, address string, timeout time.Duration) ProbeResult {
	if timeout <= 0 {
		timeout = dialTimeout
	}
	c, err := p.dial(ctx, address, timeout)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return ProbeRefused
	case err != nil:
		return ProbeInconclusive
	}
	p.putIdle(endpoint, c, defaultIdleTimeout)
	return ProbeListening
}

// putIdle keeps a connection for idleTimeout (zero: defaultIdleTimeout) less idleMargin. It closes
// the connection if there are too many.
func (p *Pool) putIdle(endpoint string, c *conn, idleTimeout time.Duration) {
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	c.expires = p.now().Add(idleTimeout - idleMargin)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[endpoint]) >= maxIdlePerEndpoint || idleTimeout <= idleMargin {
		_ = c.Close()
		return
	}
	p.idle[endpoint] = append(p.idle[endpoint], c)
}

// CloseExpired closes connections that have reached their idle timeout at now, and those of
// endpoints for which known returns false.
func (p *Pool) CloseExpired(now time.Time, known func(endpoint string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for endpoint, conns := range p.idle {
		exists := known(endpoint)
		alive := conns[:0]
		for _, c := range conns {
			if exists && now.Before(c.expires) {
				alive = append(alive, c)
				continue
			}
			_ = c.Close()
		}
		if len(alive) == 0 {
			delete(p.idle, endpoint)
			continue
		}
		p.idle[endpoint] = alive
	}
}

// Close closes all idle connections. Connections in use are closed when their exchanges end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseExpired(p.now(), func(string) bool { return false })
}
