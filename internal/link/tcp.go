// Package link simulates a network between processes on loopback addresses. It forwards connections
// and datagrams, and delays, throttles, drops or resets them under a test's control.
package link

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// rateInterval is the time worth of data that a throttled connection forwards at once.
const rateInterval = 10 * time.Millisecond

// Conditions are the properties of a TCP link. The zero value forwards everything at once. Forward is
// the direction from the connecting side to the target, back the opposite one.
type Conditions struct {
	Rate         int           // bytes per second back, shared by all connections; zero: unlimited
	Delay        time.Duration // before each read chunk, each way
	BlockForward bool          // data sent forward is held, not dropped
	BlockBack    bool          // data sent back is held, not dropped
	ResetAfter   int           // bytes sent back above which a connection is reset; zero: never
}

// A TCP forwards connections to another address. It is safe for concurrent use.
type TCP struct {
	Address  string
	target   string
	listener net.Listener

	rateMu     sync.Mutex // held while a throttled connection forwards a chunk
	mu         sync.Mutex
	conditions Conditions
	changed    chan struct{}             // closed at each change of conditions
	conns      map[net.Conn]*atomic.Bool // both ends of each connection; true: silenced
	closed     bool
}

// ListenTCP starts a link that listens on address, IP:port, and forwards to target.
func ListenTCP(address, target string) (*TCP, error) {
	listen, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &TCP{Address: listen.Addr().String(), target: target, listener: listen, conns: make(map[net.Conn]*atomic.Bool), changed: make(chan struct{})}
	go l.accept()
	return l, nil
}

// Set changes the conditions of the link, for open connections too.
func (l *TCP) Set(c Conditions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conditions = c
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset resets all open connections.
func (l *TCP) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		reset(c)
	}
}

// Silence makes open connections forward nothing more, without a reset. New ones are unaffected.
func (l *TCP) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, silenced := range l.conns {
		silenced.Store(true)
	}
}

// Close closes the link and resets its connections.
func (l *TCP) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Set(Conditions{})
	l.Reset()
}

// reset closes c with a TCP RST.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (l *TCP) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(client)
	}
}

// connect forwards a connection in both directions until both have ended.
func (l *TCP) connect(client net.Conn) {
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(client)
		return
	}
	silenced := new(atomic.Bool)
	if !l.register(silenced, client, server) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(server, client, false, silenced) })
	directions.Go(func() { l.forward(client, server, true, silenced) })
	directions.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range []net.Conn{client, server} {
		delete(l.conns, c)
		_ = c.Close()
	}
}

// register adds the two ends of a connection. If the link is closed, it resets them.
func (l *TCP) register(silenced *atomic.Bool, conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		if l.closed {
			reset(c)
			continue
		}
		l.conns[c] = silenced
	}
	return !l.closed
}

// forward copies one direction under the link's conditions until it ends, and propagates its end.
func (l *TCP) forward(to, from net.Conn, back bool, silenced *atomic.Bool) {
	buf := make([]byte, 16<<10)
	forwarded := 0
	for {
		n, err := from.Read(buf[:l.readSize(back, len(buf))])
		c := l.awaitOpen(back)
		if silenced.Load() {
			if err != nil {
				return // the end of a silenced connection is not propagated
			}
			continue
		}
		if n > 0 {
			time.Sleep(c.Delay)
			forwarded += n
			if back && c.ResetAfter > 0 && forwarded > c.ResetAfter {
				reset(to)
				reset(from)
				return
			}
			if l.write(to, buf[:n], c, back) != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			closeWrite(to, err)
			return
		}
	}
}

// closeWrite propagates the end of a direction: EOF as a half-close, any other error as a reset.
func closeWrite(to net.Conn, err error) {
	t, ok := to.(*net.TCPConn)
	if !ok || !errors.Is(err, io.EOF) {
		reset(to)
		return
	}
	_ = t.CloseWrite()
}

func (l *TCP) readSize(back bool, limit int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !back || l.conditions.Rate == 0 {
		return limit
	}
	return min(limit, max(1, l.conditions.Rate*int(rateInterval/time.Millisecond)/1000))
}

// awaitOpen waits until a direction is not blocked, and returns the conditions.
func (l *TCP) awaitOpen(back bool) Conditions {
	for {
		l.mu.Lock()
		c, changed := l.conditions, l.changed
		l.mu.Unlock()
		if !(c.BlockForward && !back || c.BlockBack && back) {
			return c
		}
		<-changed
	}
}

func (l *TCP) write(to net.Conn, data []byte, c Conditions, back bool) error {
	if back && c.Rate > 0 {
		l.rateMu.Lock()
		defer l.rateMu.Unlock()
		time.Sleep(time.Second * time.Duration(len(data)) / time.Duration(c.Rate))
	}
	_, err := to.Write(data)
	return err
}
