package link

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// A CutMode is how a cut network treats the connections of one process.
type CutMode uint8

const (
	NoCut     CutMode = iota
	CutHang           // connections, open and new ones, hang
	CutReset          // open connections are reset, new ones are refused
	CutRefuse         // new connections are refused, open ones work
)

// deadAfter is how long an open connection hangs before keep-alive probes give up.
const deadAfter = 3 * time.Second

// A Dialer opens the connections of one process, which can be cut off from some addresses. It is
// safe for concurrent use.
type Dialer struct {
	dialer net.Dialer

	mu      sync.Mutex
	mode    CutMode
	applies func(address string) bool
	healed  chan struct{} // closed when the cut ends
	conns   map[*cutConn]struct{}
}

// NewDialer returns a Dialer without a cut.
func NewDialer() *Dialer { return &Dialer{conns: make(map[*cutConn]struct{})} }

// Cut cuts the process off from the addresses for which applies returns true; nil: from all. It
// replaces an earlier cut. With NoCut it ends the cut; what a connection sent while it hung is lost.
func (d *Dialer) Cut(mode CutMode, applies func(address string) bool) {
	if applies == nil {
		applies = func(string) bool { return true }
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.healed != nil {
		close(d.healed)
		d.healed = nil
	}
	d.mode, d.applies = mode, applies
	if mode == NoCut {
		return
	}
	d.healed = make(chan struct{})
	for c := range d.conns {
		if !applies(c.address) {
			continue
		}
		switch mode {
		case CutReset:
			reset(c.Conn)
		case CutHang:
			c.hang()
		}
	}
}

// modeFor returns the mode for an address, and a channel that is closed when the cut ends.
func (d *Dialer) modeFor(address string) (CutMode, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mode == NoCut || !d.applies(address) {
		return NoCut, nil
	}
	return d.mode, d.healed
}

// DialContext opens a connection unless address is cut off.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	for {
		mode, healed := d.modeFor(address)
		switch mode {
		case NoCut:
			return d.dial(ctx, network, address)
		case CutReset, CutRefuse:
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-healed:
		}
	}
}

func (d *Dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	cc := &cutConn{Conn: c, dialer: d, address: address}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[cc] = struct{}{}
	return cc, nil
}

// A cutConn is a connection of a Dialer. Once it hangs, it sends and receives nothing more.
type cutConn struct {
	net.Conn
	dialer  *Dialer
	address string

	mu   sync.Mutex
	hung bool
}

func (c *cutConn) hang() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hung = true
	_ = c.SetReadDeadline(time.Now().Add(deadAfter))
}

func (c *cutConn) isHung() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hung
}

// Read discards what arrives once the connection hangs.
func (c *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.isHung() || err != nil {
			return n, err
		}
	}
}

// Write discards p once the connection hangs.
func (c *cutConn) Write(p []byte) (int, error) {
	if c.isHung() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *cutConn) Close() error {
	c.dialer.mu.Lock()
	delete(c.dialer.conns, c)
	c.dialer.mu.Unlock()
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *cutConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}
