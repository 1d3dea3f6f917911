// Package link imitates the network between processes on loopback addresses:
// TCP connections and datagrams are passed on, and delayed, slowed, cut, lost
// or reset as a test wants.
package link

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// step is how often a bounded rate passes bytes on.
const step = 10 * time.Millisecond

// A Weather is what happens to a TCP link. The zero value passes everything
// on at once.
type Weather struct {
	Rate      int           // bytes a second of what comes back, shared by all connections; zero: no bound
	Delay     time.Duration // before each piece, each way
	Silent    bool          // nothing passes there; what was sent waits
	SilentOut bool          // nothing passes back
	Cut       int           // each connection is reset after so many bytes of what comes back; zero: none is
}

// A TCP link passes connections on to another address. It is safe for
// concurrent use.
type TCP struct {
	Address string
	to      string
	listen  net.Listener

	rate    sync.Mutex // held by the connection that is passing bytes on at a rate
	mu      sync.Mutex
	weather Weather
	changed chan struct{}             // closed at each change of the weather
	conns   map[net.Conn]*atomic.Bool // whether the connection is hushed
	closed  bool
}

// ListenTCP starts a link at an address, IP:port, to another one.
func ListenTCP(address, to string) (*TCP, error) {
	listen, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &TCP{Address: listen.Addr().String(), to: to, listen: listen, conns: make(map[net.Conn]*atomic.Bool), changed: make(chan struct{})}
	go l.accept()
	return l, nil
}

// Set changes the weather.
func (l *TCP) Set(w Weather) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.weather = w
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset resets all connections.
func (l *TCP) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		reset(c)
	}
}

// Hush makes the connections that are open now silent for good, without a reset. New
// ones work.
func (l *TCP) Hush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, hushed := range l.conns {
		hushed.Store(true)
	}
}

// Close ends the link and its connections.
func (l *TCP) Close() {
	_ = l.listen.Close()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Set(Weather{})
	l.Reset()
}

// reset closes c so that its other end sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (l *TCP) accept() {
	for {
		near, err := l.listen.Accept()
		if err != nil {
			return
		}
		go l.connect(near)
	}
}

// connect passes a connection on, until either end closes.
func (l *TCP) connect(near net.Conn) {
	far, err := net.Dial("tcp", l.to)
	if err != nil {
		reset(near)
		return
	}
	hushed := new(atomic.Bool)
	if !l.hold(hushed, near, far) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.pass(far, near, false, hushed) })
	both.Go(func() { l.pass(near, far, true, hushed) })
	both.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range []net.Conn{near, far} {
		delete(l.conns, c)
		_ = c.Close()
	}
}

func (l *TCP) hold(hushed *atomic.Bool, conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		if l.closed {
			reset(c)
			continue
		}
		l.conns[c] = hushed
	}
	return !l.closed
}

// pass copies bytes as the weather wants, until either end closes. The end of
// what comes is passed on as such.
func (l *TCP) pass(to, from net.Conn, back bool, hushed *atomic.Bool) {
	buf := make([]byte, 16<<10)
	passed := 0
	for {
		n, err := from.Read(buf[:l.piece(back, len(buf))])
		w := l.await(back)
		if hushed.Load() {
			if err != nil {
				return // the other end is not told
			}
			continue
		}
		if n > 0 {
			time.Sleep(w.Delay)
			passed += n
			if back && w.Cut > 0 && passed > w.Cut {
				reset(to)
				reset(from)
				return
			}
			if l.write(to, buf[:n], w, back) != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			end(to, err)
			return
		}
	}
}

// end passes the end of one direction on: a close as a close, all else as a
// reset.
func end(to net.Conn, err error) {
	t, ok := to.(*net.TCPConn)
	if !ok || !errors.Is(err, io.EOF) {
		reset(to)
		return
	}
	_ = t.CloseWrite()
}

// piece returns how many bytes are read at once.
func (l *TCP) piece(back bool, most int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !back || l.weather.Rate == 0 {
		return most
	}
	return min(most, max(1, l.weather.Rate*int(step/time.Millisecond)/1000))
}

// await returns the weather once it lets bytes through.
func (l *TCP) await(back bool) Weather {
	for {
		l.mu.Lock()
		w, changed := l.weather, l.changed
		l.mu.Unlock()
		if !(w.Silent && !back || w.SilentOut && back) {
			return w
		}
		<-changed
	}
}

// write writes at the weather's rate.
func (l *TCP) write(to net.Conn, data []byte, w Weather, back bool) error {
	if back && w.Rate > 0 {
		l.rate.Lock()
		defer l.rate.Unlock()
		time.Sleep(time.Second * time.Duration(len(data)) / time.Duration(w.Rate))
	}
	_, err := to.Write(data)
	return err
}
