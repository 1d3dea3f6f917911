package dispatch_test

// This file tests answers of endpoints in trouble, which must not reach a caller.

import (
	"bufio"
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ivyridge/decl"
	"ivyridge/dispatch"
	"ivyridge/node"
	"ivyridge/owner"
	"ivyridge/verdict"
)

// An oneEndpoint is a fleet with one endpoint.
type oneEndpoint struct {
	dispatch.Fleet
	address string
}

func (f oneEndpoint) Now() time.Duration { return 0 }

func (f oneEndpoint) Acquire(context.Context, *node.Request) (*node.Grant, error) {
	return &node.Grant{Endpoint: "e", Addr: f.address}, nil
}

func (f oneEndpoint) GrantValid(*node.Grant) bool { return true }

func (f oneEndpoint) Release(*node.Grant, node.Outcome) {}

func (f oneEndpoint) RecordTokens(*node.Grant, int, time.Duration) {}

func (f oneEndpoint) Claim(context.Context, owner.Key) (*node.Claim, error) {
	return new(node.Claim), nil
}

// A caller keeps its answer.
type caller struct {
	status int
	body   []byte
}

func (c *caller) Start(status int, _ http.Header) { c.status = status }

func (c *caller) Write(p []byte) error {
	c.body = append(c.body, p...)
	return nil
}

// newDispatcher returns a dispatcher with one endpoint, which runs serve for each connection once it has
// read the head of a request.
func newDispatcher(t *testing.T, serve func(net.Conn)) *dispatch.Dispatcher {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					serve(c)
				}
			}()
		}
	}()
	return dispatch.New(oneEndpoint{address: l.Addr().String()}, new(expvar.Map).Init())
}

// send sends a request with a body.
func send(t *testing.T, d *dispatch.Dispatcher, body []byte, stream bool) (*caller, dispatch.Result) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	out := new(caller)
	res := d.Do(ctx, &dispatch.Request{ID: "r", Pool: &decl.Pool{Name: "p"}, Class: &decl.Class{Name: "c"}, Method: http.MethodPost, Path: "/", Body: body, Stream: stream}, out)
	return out, res
}

// A caller must not get a part of an answer as the whole one, whose connection was reset during the upload.
func TestResetDuringUploadIsNotTheEndOfAnAnswer(t *testing.T) {
	d := newDispatcher(t, func(c net.Conn) {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\na part")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	for range 50 {
		got, res := send(t, d, make([]byte, 4<<20), false)
		if res.Err == nil {
			t.Fatalf("got %d, %q as a complete answer", got.status, got.body)
		}
	}
}

// An answer that is not HTTP/1.1 must not reach a caller.
func TestInvalidAnswersAreRejected(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 000 Trouble\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 099 Trouble\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 999 Trouble\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 2\r\n\r\nhello",
		"HTTP/1.1 200 OK\nContent-Length: 5\n\nhello",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nA : b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	} {
		for _, stream := range []bool{false, true} {
			d := newDispatcher(t, func(c net.Conn) { fmt.Fprint(c, answer) })
			got, res := send(t, d, []byte("question"), stream)
			if res.Err == nil || got.status != 0 || len(got.body) > 0 {
				t.Errorf("%q: the caller got %d, %q, %v", answer, got.status, got.body, res.Err)
			}
			if e := verdict.Of(res.Err); e == nil || e.Verdict != verdict.MayHaveRun {
				t.Errorf("%q: got %v, want an error that says that the request may have run", answer, res.Err)
			}
		}
	}
}

// Answers after interim ones, also in pieces, must still be taken.
func TestAnswerInPiecesIsTaken(t *testing.T) {
	d := newDispatcher(t, func(c net.Conn) {
		for _, b := range []byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello") {
			_, _ = c.Write([]byte{b})
		}
	})
	got, res := send(t, d, []byte("question"), false)
	if res.Err != nil || got.status != http.StatusOK || string(got.body) != "hello" {
		t.Errorf("got %d, %q, %v, want 200 and hello", got.status, got.body, res.Err)
	}
}

// Endpoints that send without end to many requests at a time must not fill the memory.
func TestEndlessAnswersTakeBoundedMemory(t *testing.T) {
	const (
		requests = 24
		most     = 256 << 20 // bytes, the memory of an instance
	)
	stop := make(chan struct{})
	var held atomic.Int64
	go func() {
		var m runtime.MemStats
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
				runtime.ReadMemStats(&m)
				held.Store(max(held.Load(), int64(m.HeapAlloc)))
			}
		}
	}()
	more := make([]byte, 64<<10)
	d := newDispatcher(t, func(c net.Conn) {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n")
		// Less than an answer may have, so that it is kept until the connection ends.
		for range 15 << 4 {
			if _, err := c.Write(more); err != nil {
				return
			}
		}
		time.Sleep(time.Second)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	var all sync.WaitGroup
	for range requests {
		all.Go(func() {
			if _, res := send(t, d, []byte("question"), false); res.Err == nil {
				t.Error("an answer without end was taken")
			}
		})
	}
	all.Wait()
	close(stop)
	if got := held.Load(); got > most {
		t.Errorf("%d MB of the heap were held, want at most %d", got>>20, most>>20)
	}
}
