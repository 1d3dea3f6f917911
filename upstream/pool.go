// Package upstream sends requests to endpoints over kept connections.
//
// An Exchange is one request and its answer on one connection. Nothing is
// repeated, redirected or decompressed here, and nothing that an endpoint
// sends beyond an answer is taken for another one: net/http's own client
// repeats some requests by itself on a kept connection, so that only its
// parser and writer are used. A failure before the first byte was written
// carries the verdict NotRun; any later one MayHaveRun.
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
)

// Bounds on connections.
const (
	dialWithin   = 300 * time.Millisecond
	unackedFor   = 800 * time.Millisecond // sent bytes that are not acknowledged end a connection
	probeAfter   = time.Second            // a silent connection is probed so often
	probeMissed  = 2
	restFor      = 4 * time.Second        // where the endpoint names no time
	restMargin   = 500 * time.Millisecond // a connection is not reused so near its end
	readBuffer   = 4 << 10
	writeBuffer  = 2 << 10
	idleEndpoint = 12 // kept connections an endpoint
)

// A conn is a connection to an endpoint.
type conn struct {
	net.Conn
	raw     syscall.RawConn
	reader  *bufio.Reader
	writer  *bufio.Writer
	expires time.Time
}

// sound reports whether a resting connection is open and silent. Bytes that
// wait there belong to no request.
func (c *conn) sound() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	silent := false
	var one [1]byte
	err := c.raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = err == unix.EAGAIN
		return true
	})
	return err == nil && silent
}

// A Pool keeps connections, by endpoint. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	count  func(event string)
	now    func() time.Time

	mu     sync.Mutex
	idle   map[string][]*conn // by the endpoint's incarnation, the last used at the end
	closed bool
}

// NewPool returns an empty Pool whose connections rest by the clock now. Count is called for each connection that is
// opened, reused or found dead.
func NewPool(count func(event string), now func() time.Time) *Pool {
	return &Pool{
		dialer: net.Dialer{
			Timeout:         dialWithin,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeAfter, Count: probeMissed},
			Control:         boundUnacked,
		},
		count: count,
		now:   now,
		idle:  make(map[string][]*conn),
	}
}

func boundUnacked(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedFor.Milliseconds()))
	})
}

// take returns a kept connection that is sound, or nil.
func (p *Pool) take(endpoint string) *conn {
	for {
		c := p.pop(endpoint)
		if c == nil {
			return nil
		}
		if p.now().Before(c.expires) && c.sound() {
			p.count("reused")
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) pop(endpoint string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[endpoint]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[endpoint] = kept[:len(kept)-1]
	return c
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.count("dial-failed")
		return nil, err
	}
	p.count("dialled")
	c := &conn{Conn: nc, reader: bufio.NewReaderSize(nc, readBuffer), writer: bufio.NewWriterSize(nc, writeBuffer)}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	return c, nil
}

// A Presence says what answers at an endpoint's address.
type Presence uint8

// What answers.
const (
	Unclear Presence = iota // nothing, in time
	Listens                 // a process
	Refused                 // a machine on which no process listens there
)

// Probe opens a connection to an endpoint, to see whether its process is there; it is kept for
// the next request.
func (p *Pool) Probe(ctx context.Context, endpoint, address string) Presence {
	c, err := p.dial(ctx, address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case err != nil:
		return Unclear
	}
	p.keep(endpoint, c, restFor)
	return Listens
}

// keep takes a connection back that may carry another request.
func (p *Pool) keep(endpoint string, c *conn, rest time.Duration) {
	if rest <= 0 {
		rest = restFor
	}
	c.expires = p.now().Add(rest - restMargin)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[endpoint]) >= idleEndpoint || rest <= restMargin {
		_ = c.Close()
		return
	}
	p.idle[endpoint] = append(p.idle[endpoint], c)
}

// Sweep closes the connections that have rested too long, and all those of
// endpoints that known says are not there any more.
func (p *Pool) Sweep(now time.Time, known func(endpoint string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for endpoint, kept := range p.idle {
		there := known(endpoint)
		alive := kept[:0]
		for _, c := range kept {
			if there && now.Before(c.expires) {
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

// Close closes the kept connections; those in use are closed by their users.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Sweep(p.now(), func(string) bool { return false })
}
