package link

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// startEcho returns a link to an echo server, and a connection through it.
func startEcho(t *testing.T) (*TCP, net.Conn) {
	t.Helper()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	l, err := ListenTCP("127.0.0.1:0", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	c, err := net.Dial("tcp", l.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return l, c
}

func roundTrip(t *testing.T, c net.Conn, line string) (string, error) {
	t.Helper()
	if _, err := c.Write([]byte(line)); err != nil {
		return "", err
	}
	return bufio.NewReader(c).ReadString('\n')
}

func TestTCPForwards(t *testing.T) {
	_, c := startEcho(t)
	if got, err := roundTrip(t, c, "one\n"); got != "one\n" || err != nil {
		t.Fatalf("got %q, %v, want the line back", got, err)
	}
}

func TestTCPBlockBack(t *testing.T) {
	l, c := startEcho(t)
	l.Set(Conditions{BlockBack: true})
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if got, err := roundTrip(t, c, "one\n"); err == nil {
		t.Fatalf("got %q through a blocked link, want a timeout", got)
	}
	l.Set(Conditions{})
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if got, err := bufio.NewReader(c).ReadString('\n'); got != "one\n" || err != nil {
		t.Fatalf("after unblocking: got %q, %v, want the line back", got, err)
	}
}

func TestTCPResets(t *testing.T) {
	l, c := startEcho(t)
	l.Set(Conditions{ResetAfter: 2})
	if got, err := roundTrip(t, c, "one\n"); err == nil {
		t.Fatalf("got %q through a link that resets after 2 bytes, want an error", got)
	}
	l, c = startEcho(t)
	if _, err := roundTrip(t, c, "one\n"); err != nil {
		t.Fatal(err)
	}
	l.Reset()
	if got, err := roundTrip(t, c, "two\n"); err == nil {
		t.Fatalf("got %q after a reset, want an error", got)
	}
}

func TestTCPRate(t *testing.T) {
	l, c := startEcho(t)
	l.Set(Conditions{Rate: 10_000})
	began := time.Now()
	go func() { _, _ = c.Write(make([]byte, 3000)) }()
	if _, err := io.ReadFull(c, make([]byte, 3000)); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < 250*time.Millisecond {
		t.Fatalf("3,000 bytes at 10,000 bytes/s took %v, want at least 250 ms", took)
	}
}

// Datagrams are delivered with the sender's front as their source address.
func TestSwitchForwardsBetweenFronts(t *testing.T) {
	s := NewSwitch(1)
	defer s.Close()
	var own [2]*net.UDPConn
	var fronts [2]*net.UDPAddr
	for n, name := range []string{"a", "b"} {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		own[n] = c
		front, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		fronts[n] = front.LocalAddr().(*net.UDPAddr)
		_ = front.Close()
		if err := s.Join(name, c.LocalAddr().String(), fronts[n].String()); err != nil {
			t.Fatal(err)
		}
	}
	receive := func(c *net.UDPConn, within time.Duration) (string, *net.UDPAddr) {
		buf := make([]byte, 100)
		_ = c.SetReadDeadline(time.Now().Add(within))
		n, from, _ := c.ReadFromUDP(buf)
		return string(buf[:n]), from
	}
	_, _ = own[0].WriteToUDP([]byte("hello"), fronts[1])
	if got, from := receive(own[1], 5*time.Second); got != "hello" || from.String() != fronts[0].String() {
		t.Fatalf("got %q from %v, want hello from the sender's front", got, from)
	}
	s.Set(func(from, to string) DatagramConditions { return DatagramConditions{Cut: from == "a", Duplicate: 1} })
	_, _ = own[0].WriteToUDP([]byte("lost"), fronts[1])
	if got, _ := receive(own[1], 100*time.Millisecond); got != "" {
		t.Fatalf("got %q over a cut link, want nothing", got)
	}
	_, _ = own[1].WriteToUDP([]byte("twice"), fronts[0])
	for range 2 {
		if got, _ := receive(own[0], 5*time.Second); got != "twice" {
			t.Fatalf("got %q, want two copies of \"twice\"", got)
		}
	}
}
