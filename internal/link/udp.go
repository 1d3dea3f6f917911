package link

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxDatagram is more than any datagram holds.
const maxDatagram = 64 << 10

// A Sky is what happens to datagrams on their way from one process to another.
// The zero value passes them on at once.
type Sky struct {
	Lose    float64       // part of them that is lost
	Double  float64       // part of them that comes twice
	Late    time.Duration // each is delayed by up to so much, so that they overtake each other
	Cut     bool          // all are lost
	Delay   time.Duration // of each
	Through *Narrow       // what they share with others on their way; nil: nothing
}

// A Switch passes datagrams between processes. Each process is known to the
// others by a front, an address of the Switch: what is sent to a front comes
// to its process, from the front of the sender. It is safe for concurrent use.
type Switch struct {
	mu    sync.Mutex
	rng   *rand.Rand
	ports map[netip.AddrPort]*port // by the process's own address
	sky   func(from, to string) Sky
}

// A port is one process at a Switch.
type port struct {
	name string
	own  netip.AddrPort
	conn *net.UDPConn // at its front
}

// NewSwitch returns a Switch whose chances follow a seed.
func NewSwitch(seed uint64) *Switch {
	return &Switch{
		rng: rand.New(rand.NewPCG(seed, 1)), ports: make(map[netip.AddrPort]*port),
		sky: func(string, string) Sky { return Sky{} },
	}
}

// Set changes what happens to datagrams between processes, by their names.
func (s *Switch) Set(sky func(from, to string) Sky) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sky = sky
}

// Join adds a process with its own address and its front, each IP:port.
func (s *Switch) Join(name, own, front string) error {
	address, err := netip.ParseAddrPort(own)
	if err != nil {
		return err
	}
	at, err := net.ResolveUDPAddr("udp4", front)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return err
	}
	p := &port{name: name, own: address, conn: conn}
	s.mu.Lock()
	s.ports[address] = p
	s.mu.Unlock()
	go s.serve(p)
	return nil
}

// Close ends all fronts.
func (s *Switch) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.ports {
		_ = p.conn.Close()
	}
}

// serve passes on what is sent to the front of p.
func (s *Switch) serve(p *port) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an answer to an earlier datagram that could not be delivered
		}
		s.pass(p, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), append([]byte(nil), buf[:n]...))
	}
}

// pass sends data to the process of p, if the sky lets it. What a process sends
// to its own front is dropped.
func (s *Switch) pass(p *port, from netip.AddrPort, data []byte) {
	s.mu.Lock()
	sender := s.ports[from]
	if sender == nil || sender == p {
		s.mu.Unlock()
		return
	}
	sky := s.sky(sender.name, p.name)
	copies := 1
	switch {
	case sky.Cut || s.rng.Float64() < sky.Lose:
		copies = 0
	case s.rng.Float64() < sky.Double:
		copies = 2
	}
	var late []time.Duration
	for range copies {
		d := sky.Delay
		if sky.Late > 0 {
			d += time.Duration(s.rng.Int64N(int64(sky.Late)))
		}
		if sky.Through != nil {
			queued, fits := sky.Through.take(len(data), time.Now())
			if !fits {
				continue
			}
			d += queued
		}
		late = append(late, d)
	}
	s.mu.Unlock()
	for _, d := range late {
		time.AfterFunc(d, func() { _, _ = sender.conn.WriteToUDPAddrPort(data, p.own) })
	}
}
