package http1_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"ivyridge/internal/http1"
)

// dialPeer returns both ends of a connection, the first one opened by dial.
func dialPeer(t *testing.T, dial http1.DialFunc) (net.Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := dial(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	return c, peer.(*net.TCPConn)
}

// readEnd returns the error that ends the reads of c while a write to it is blocked and end is called.
func readEnd(c net.Conn, end func()) error {
	writeEnded := make(chan struct{})
	go func() {
		_, _ = c.Write(make([]byte, 16<<20))
		close(writeEnded)
	}()
	go func() {
		time.Sleep(5 * time.Millisecond)
		end()
	}()
	_, err := io.Copy(io.Discard, struct{ io.Reader }{c})
	<-writeEnded
	return err
}

// A reset whose report a write gets must not look to the reader like the end of the data.
func TestResetDuringWriteIsNotTheEnd(t *testing.T) {
	for range 50 {
		c, peer := dialPeer(t, http1.Dial(new(net.Dialer).DialContext))
		if err := readEnd(c, func() {
			_ = peer.SetLinger(0)
			_ = peer.Close()
		}); err == nil {
			t.Fatal("the reads ended without an error after a reset")
		}
	}
}

// A close is the end of the data, also during a write, which ends with it.
func TestCloseDuringWriteIsTheEnd(t *testing.T) {
	for range 10 {
		c, peer := dialPeer(t, http1.Dial(new(net.Dialer).DialContext))
		if err := readEnd(c, func() { _ = peer.CloseWrite() }); err != nil {
			t.Fatalf("the reads ended with %v after a close", err)
		}
	}
}
