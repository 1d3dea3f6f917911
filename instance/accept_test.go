package instance

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"ivyridge/memory"
)

// A connection beyond the descriptors or the memory is closed unread; one that closes
// makes room for the next.
func TestConnectionsBeyondTheBounds(t *testing.T) {
	for want, l := range map[string]*callerListener{
		"refused-descriptors": {most: 2, account: memory.New(0)},
		"refused-memory":      {account: memory.New(20 << 10)}, // two, beside what is for answers
	} {
		counts := serve(t, l)
		first, second := dial(t, l), dial(t, l)
		if !answers(first) || !answers(second) {
			t.Fatalf("%s: a connection within the bounds is not served", want)
		}
		if answers(dial(t, l)) {
			t.Errorf("%s: a third connection is served", want)
		}
		if got := counts.of(want); got == 0 {
			t.Errorf("%s: nothing is counted", want)
		}
		_ = first.Close()
		served := false
		for end := time.Now().Add(5 * time.Second); !served && time.Now().Before(end); {
			served = answers(dial(t, l))
		}
		if !served {
			t.Errorf("%s: no room after a connection has closed", want)
		}
	}
}

// The operator's times for a header and for a connection that rests bound those of the
// server, also where they come later.
func TestOperatorsTimesBoundConnections(t *testing.T) {
	const header, idle = 150 * time.Millisecond, 500 * time.Millisecond
	l := &callerListener{account: memory.New(0), limits: func() callerTimes { return callerTimes{header, idle} }}
	serve(t, l)
	silent := dial(t, l)
	if took := closes(t, silent); took < header/2 || took > idle {
		t.Errorf("a connection without a header was closed after %v", took)
	}
	used := dial(t, l)
	if !answers(used) {
		t.Fatal("not served")
	}
	time.Sleep(2 * header)
	if !answers(used) {
		t.Error("a connection that rested for less than allowed was closed")
	}
	if took := closes(t, used); took < idle/2 {
		t.Errorf("a resting connection was closed after %v", took)
	}
}

type counts struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *counts) of(event string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[event]
}

// serve runs a server behind l on a loopback address.
func serve(t *testing.T, l *callerListener) *counts {
	t.Helper()
	c := &counts{n: make(map[string]int)}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Listener = inner
	l.count = func(event string) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.n[event]++
	}
	if l.limits == nil {
		l.limits = func() callerTimes { return callerTimes{} }
	}
	s := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second, ConnState: rests}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return c
}

func dial(t *testing.T, l *callerListener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// answers reports whether a request on c is answered.
func answers(c net.Conn) bool {
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		return false
	}
	n, _ := c.Read(make([]byte, 4096))
	return n > 0
}

// closes returns how long the other side took to close c.
func closes(t *testing.T, c net.Conn) time.Duration {
	t.Helper()
	began := time.Now()
	_ = c.SetDeadline(began.Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatal("bytes came in place of a close")
	}
	return time.Since(began)
}
