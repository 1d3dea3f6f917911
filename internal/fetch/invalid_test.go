package fetch

// This file tests sources in trouble.

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// fetchFrom makes a call to a source that sends response, and then closes the connection.
func fetchFrom(t *testing.T, response string) (*Response, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				fmt.Fprint(c, response)
			}
			_ = c.Close()
		}
	}()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return Do(NewClient(1, time.Second), req, 1000, HeaderOptions{Timeout: time.Second})
}

// A listing or configuration must not be taken from a response that is not HTTP/1.1.
func TestInvalidResponsesAreRejected(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 600 Trouble\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length : 100\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 100\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nA: b\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}",
		"HTTP/1.1 103 Early Hints\r\nA : b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	} {
		if a, err := fetchFrom(t, response); err == nil {
			t.Errorf("%q: got status %d and %q", response, a.Status, a.Body)
		}
	}
	if a, err := fetchFrom(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"); err != nil || string(a.Body) != "{}" {
		t.Errorf("valid response: got %+v, %v", a, err)
	}
}
