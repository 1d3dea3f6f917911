// Package ingress accepts the connections of clients for an HTTP server, and bounds what they use
// before and between requests.
//
// At the limit of descriptors or memory, the connection that has waited longest is closed for a new
// one. If all have requests that run, the new one is closed unread, so that the caller can safely retry
// elsewhere. If descriptors ran out, healthy endpoints could not be reached either.
//
// net/http reads its limits once, before the published configuration arrives. Each connection
// therefore enforces the published ones itself: it shortens the deadlines that the server sets, and
// measures the heads of requests as they are read. Configure gives a server limits that don't
// interfere.
package ingress

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"ivyridge/memory"
)

// ConnectionBytes is the memory of a connection, with or without a request: the buffers of net/http and
// a goroutine's stack.
const ConnectionBytes = 16 << 10

// Limits bound the requests of clients. Zero values mean the defaults.
type Limits struct {
	HeaderTimeout  time.Duration // for a head, from its first byte or from the connection's begin
	IdleTimeout    time.Duration // between requests
	MaxHeaderBytes int           // of the request line, and of the header lines together
}

// DefaultLimits apply where no other limits are published.
var DefaultLimits = Limits{HeaderTimeout: 5 * time.Second, IdleTimeout: 75 * time.Second, MaxHeaderBytes: 64 << 10}

// Bounds that no published limit may exceed.
const (
	MaxHeaderBytes = 4 << 20
	maxTimeout     = time.Hour
)

// orDefaults replaces zero values by the defaults and caps others.
func (l Limits) orDefaults() Limits {
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultLimits.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultLimits.IdleTimeout
	}
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = DefaultLimits.MaxHeaderBytes
	}
	l.MaxHeaderBytes = min(l.MaxHeaderBytes, MaxHeaderBytes)
	return l
}

// Options are the settings of a Listener.
type Options struct {
	Account  *memory.Account
	MaxConns int // 0 means unlimited
	// Trusted is set for clients that read and send as fast as they can, such as other instances: only
	// the heads that they forward are accounted for.
	Trusted bool
	Limits  func() Limits      // called for each request; must be safe for concurrent use
	Count   func(event string) // called with one of the events below; must be safe for concurrent use
}

// Events of connections, as counted.
const (
	Accepted             = "accepted"
	refusedDescriptors   = "refused-descriptors"    // no connection could be closed for a new one
	refusedMemory        = "refused-memory"         // the same, for want of memory
	refusedHeaderSize    = "refused-header-size"    // a head over the limit
	refusedHeaderMemory  = "refused-header-memory"  // no memory for a head
	refusedRequestMemory = "refused-request-memory" // no memory for the buffers of a request
	closedIdle           = "closed-idle"            // closed for others between requests
	closedIncomplete     = "closed-incomplete"      // closed for others with an incomplete or refused request
)

// A Listener limits connections and their memory. It is safe for concurrent use.
type Listener struct {
	net.Listener
	Options
	open    atomic.Int64
	waiting waitingConns
	running atomic.Int64 // bytes of connections with a request that runs
}

// NewListener returns a Listener for the connections of inner.
func NewListener(inner net.Listener, o Options) *Listener {
	return &Listener{Listener: inner, Options: o}
}

// Configure sets the limits of a server that serves a Listener, and its ConnState hook.
func Configure(s *http.Server) {
	s.ReadHeaderTimeout = maxTimeout
	s.IdleTimeout = maxTimeout
	s.MaxHeaderBytes = 2 * MaxHeaderBytes // for the request line and the header lines
	s.ConnState = connState
}

// Accept returns the next connection within the limits. It closes others.
func (l *Listener) Accept() (net.Conn, error) {
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

// admit returns c with its resources reserved, or nil if a limit is reached and no other connection
// can be closed.
func (l *Listener) admit(c net.Conn) net.Conn {
	if n := l.open.Add(1); l.MaxConns > 0 && n > int64(l.MaxConns) && !l.reclaim(nil) {
		l.open.Add(-1)
		l.Count(refusedDescriptors)
		return nil
	}
	var reservation *memory.Reservation
	if !l.withReclaim(nil, func() bool { reservation = l.reserve(); return reservation != nil }) {
		l.open.Add(-1)
		l.Count(refusedMemory)
		return nil
	}
	l.Count(Accepted)
	admitted := newConn(c, l, reservation)
	if tcp := admitted.tcp(); tcp != nil {
		_ = tcp.SetWriteBuffer(writeBufferSize)
	}
	return admitted
}

// reserve reserves the memory of a connection, or returns nil if there is none for it and a request.
func (l *Listener) reserve() *memory.Reservation {
	if l.Trusted {
		return l.Account.Reserve(memory.Connections, 0)
	}
	r := l.Account.Reserve(memory.Connections, ConnectionBytes)
	if r == nil {
		return nil
	}
	if !r.Grow(memory.Sockets, requestBufferBytes) {
		r.Close()
		return nil
	}
	r.Shrink(memory.Sockets, requestBufferBytes)
	return r
}
