package instance

import (
	"net"
	"testing"

	"ivyridge/memory"
)

// net/http half-closes a connection of which it has not read the whole body, so that the caller
// has the refusal before the connection is reset. It looks for CloseWrite, which the caller's
// connection had as a TCP connection and has no more.
func TestCallersConnectionsCanBeHalfClosed(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = tcp.Close() }()
	l := &callerListener{Listener: tcp, account: memory.New(0), limits: func() callerTimes { return callerTimes{} }, count: func(string) {}}
	go func() {
		if c, err := net.Dial("tcp", tcp.Addr().String()); err == nil {
			_ = c.Close()
		}
	}()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, ok := c.(interface{ CloseWrite() error }); !ok {
		t.Errorf("%T has no CloseWrite: callers see the end of a refusal half a second later", c)
	}
}
