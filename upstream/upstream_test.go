package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ivyridge/upstream"
	"ivyridge/verdict"
)

// endpoint accepts connections and hands each to serve with its number.
func endpoint(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

func read(r *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(r)
	if err == nil {
		_, err = io.Copy(io.Discard, req.Body)
	}
	return req, err
}

func say(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

type caller struct {
	t      *testing.T
	pool   *upstream.Pool
	addr   string
	events map[string]int
}

func newCaller(t *testing.T, addr string) *caller {
	c := &caller{t: t, addr: addr, events: make(map[string]int)}
	c.pool = upstream.NewPool(func(event string) { c.events[event]++ }, time.Now)
	t.Cleanup(c.pool.Close)
	return c
}

func (c *caller) do(id, method string, body string) (string, error) {
	r := &upstream.Request{Endpoint: "e", Address: c.addr, Method: method, Host: "h", Target: "/x", Header: http.Header{"Id": {id}}, Body: []byte(body)}
	x, err := c.pool.Do(context.Background(), r, func(h http.Header) bool { return h.Get("Id") != "" && h.Get("Id") != id })
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(x.Body)
	x.Close(err == nil, time.Minute)
	return string(data), err
}

func TestConnectionsAreReused(t *testing.T) {
	addr := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req, err := read(r)
			if err != nil {
				return
			}
			say(c, req.Header.Get("Id"), "ok")
		}
	})
	c := newCaller(t, addr)
	for n := range 3 {
		if got, err := c.do(fmt.Sprint(n), "GET", ""); err != nil || got != "ok" {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	if c.events["dialled"] != 1 || c.events["reused"] != 2 {
		t.Fatalf("connections: %v", c.events)
	}
}

// net/http's client sends a GET again if a kept connection closes before its
// answer. That would be a second run that no budget counts.
func TestNothingIsRepeated(t *testing.T) {
	requests := make(chan string, 10)
	addr := endpoint(t, func(n int, c net.Conn, r *bufio.Reader) {
		for k := 0; ; k++ {
			req, err := read(r)
			if err != nil {
				return
			}
			requests <- req.Header.Get("Id")
			if k == 1 {
				return // the second request on a connection gets no answer
			}
			say(c, req.Header.Get("Id"), "ok")
		}
	})
	c := newCaller(t, addr)
	if _, err := c.do("1", "GET", ""); err != nil {
		t.Fatal(err)
	}
	_, err := c.do("2", "GET", "")
	if v := verdict.Of(err); v == nil || v.Verdict != verdict.MayHaveRun {
		t.Fatalf("got %v, want a failure that may have run", err)
	}
	if n := len(requests); n != 2 {
		t.Fatalf("%d requests arrived, want 2", n)
	}
}

func TestClosedWhileResting(t *testing.T) {
	addr := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if req, err := read(r); err == nil {
			say(c, req.Header.Get("Id"), "ok")
		}
	})
	c := newCaller(t, addr)
	for n := range 3 {
		if _, err := c.do(fmt.Sprint(n), "POST", "body"); err != nil {
			t.Fatalf("request %d met the end of a connection that had rested: %v", n, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestSurplusAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		surplus string
		pause   time.Duration
	}{
		{"at once", "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 4\r\n\r\nmore", 0},
		{"while the connection rests", "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 4\r\n\r\nmore", 30 * time.Millisecond},
		{"what is no answer", "rubbish\r\n", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr := endpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for {
					req, err := read(r)
					if err != nil {
						return
					}
					say(conn, req.Header.Get("Id"), "own")
					time.Sleep(c.pause)
					// A surplus answer names the request that it answers again.
					io.WriteString(conn, strings.ReplaceAll(c.surplus, "%s", req.Header.Get("Id")))
				}
			})
			caller := newCaller(t, addr)
			for n := range 3 {
				got, err := caller.do(fmt.Sprint(n), "POST", "")
				if err == nil && got != "own" {
					t.Fatalf("request %d got another's answer: %q", n, got)
				}
				time.Sleep(2 * c.pause)
			}
		})
	}
}

// A surplus answer that comes in the place of the next one is told by its id.
func TestStrayAnswerIsPassedOver(t *testing.T) {
	addr := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req, err := read(r)
			if err != nil {
				return
			}
			say(c, "earlier", "not yours")
			say(c, req.Header.Get("Id"), "yours")
		}
	})
	if got, err := newCaller(t, addr).do("1", "POST", ""); err != nil || got != "yours" {
		t.Fatalf("got %q, %v", got, err)
	}
}

func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	addr := endpoint(t, func(n int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		say(c, req.Header.Get("Id"), fmt.Sprint("connection ", n))
		time.Sleep(time.Second)
	})
	c := newCaller(t, addr)
	for n := 1; n <= 2; n++ {
		got, err := c.do(fmt.Sprint(n), "POST", strings.Repeat("x", 8<<20))
		if want := fmt.Sprint("connection ", n); err != nil || got != want {
			t.Fatalf("got %q, %v, want %q: a connection with a body in it is not for another request", got, err, want)
		}
	}
}

func TestVerdicts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := l.Addr().String()
	l.Close()
	cut := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) { _, _ = read(r) })
	for _, c := range []struct {
		addr string
		want verdict.Verdict
	}{{refused, verdict.NotRun}, {cut, verdict.MayHaveRun}} {
		_, err := newCaller(t, c.addr).do("1", "POST", "")
		if v := verdict.Of(err); v == nil || v.Verdict != c.want {
			t.Errorf("got %v, want %v", err, c.want)
		}
	}
}

func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	addr := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := read(r); err != nil {
			return
		}
		_, _ = r.ReadByte() // until the connection closes
		close(closed)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	c := newCaller(t, addr)
	r := &upstream.Request{Endpoint: "e", Address: addr, Method: "POST", Host: "h", Target: "/", Header: http.Header{}}
	if _, err := c.pool.Do(ctx, r, func(http.Header) bool { return false }); err == nil {
		t.Fatal("a cancelled request was answered")
	}
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the endpoint was not told")
	}
}
