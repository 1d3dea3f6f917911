package upstream_test

// This file tests answers that end with their connection while the request is still being sent.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ivyridge/upstream"
)

const uploadBytes = 4 << 20 // more than socket buffers hold

// readRequestHead reads a request but for its body, and reports whether there was one.
func readRequestHead(r *bufio.Reader) bool {
	_, err := http.ReadRequest(r)
	return err == nil
}

// exchange sends a request with a body, and returns the response's body.
func (c *client) exchange(body []byte) (string, error) {
	r := &upstream.Request{Endpoint: "e", Address: c.addr, Method: "POST", Host: "h", Target: "/x", Header: http.Header{}, Body: body}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	x, err := c.pool.Do(ctx, r, func(http.Header) bool { return false })
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(x.Body)
	x.Close(err == nil, time.Minute)
	return string(data), err
}

// A caller must not get a part of an answer as the whole one. The answer states no length, and the
// connection is reset while the upload is being written, so that the writer may learn of it alone.
func TestResetDuringUploadIsNotTheEndOfAnAnswer(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"} {
		addr := startEndpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if readRequestHead(r) {
				fmt.Fprint(c, head+"a part")
				time.Sleep(20 * time.Millisecond)
				c.(*net.TCPConn).SetLinger(0)
			}
		})
		for range 50 {
			if got, err := newClient(t, addr).exchange(make([]byte, uploadBytes)); err == nil {
				t.Fatalf("%q: got %q as a complete answer", head, got)
			}
		}
	}
}

// An answer that ends with its connection is complete if the connection was closed, also before the upload
// has been read.
func TestCloseDuringUploadEndsAnAnswer(t *testing.T) {
	for _, reads := range []bool{false, true} {
		addr := startEndpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if !readRequestHead(r) {
				return
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nthe whole")
			if reads {
				_, _ = io.CopyN(io.Discard, r, uploadBytes)
				return
			}
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(200 * time.Millisecond)
		})
		for range 10 {
			if got, err := newClient(t, addr).exchange(make([]byte, uploadBytes)); err != nil || got != "the whole" {
				t.Fatalf("endpoint reads the upload %v: got %q, %v, want the whole answer", reads, got, err)
			}
		}
	}
}
