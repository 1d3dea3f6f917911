package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ivyridge/daemon"
)

// serveRaw runs an endpoint that answers each request with head and then with more, again and again until
// limit bytes are written. It returns its address and the number of bytes.
func serveRaw(t *testing.T, head, more string, limit int64) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	written := new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				for next := head; written.Load() < limit; next = more {
					n, err := io.WriteString(c, next)
					written.Add(int64(n))
					if err != nil || more == "" {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), written
}

// A load report without end must not fill the memory, and one that is not HTTP/1.1 must not be taken.
func TestInvalidLoadReportsAreRejected(t *testing.T) {
	const (
		sent = 64 << 20
		most = 16 << 20 // socket buffers hold a few megabytes besides what was read
	)
	client := daemon.NewLoadClient()
	load := func(address string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := client.Load(ctx, "e", address)
		return err
	}
	const report = `{"running":1,"waiting":2}`
	for _, head := range []string{
		"HTTP/1.1 000 Trouble\r\nContent-Length: 25\r\n\r\n" + report,
		"HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 25\r\n\r\n" + report,
		"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n" + report,
	} {
		address, _ := serveRaw(t, head, "", sent)
		if err := load(address); err == nil {
			t.Errorf("%q was taken for a load report", head)
		}
	}
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n{\"running\":", "HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\n\r\n\""} {
		address, written := serveRaw(t, head, strings.Repeat("1", 64<<10), sent)
		if err := load(address); err == nil {
			t.Errorf("%q without end was taken for a load report", head)
		}
		if got := written.Load(); got > most {
			t.Errorf("%q without end: the endpoint could send %d bytes, want at most %d", head, got, most)
		}
	}
	address, _ := serveRaw(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report), "", sent)
	if err := load(address); err != nil {
		t.Errorf("a load report was rejected: %v", err)
	}
}
