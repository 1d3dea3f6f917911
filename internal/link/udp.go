package link

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxDatagram exceeds the size of any datagram.
const maxDatagram = 64 << 10

// DatagramConditions are the properties of the path from one process to another. The zero value
// forwards datagrams at once.
type DatagramConditions struct {
	Loss       float64       // fraction of datagrams dropped
	Duplicate  float64       // fraction of datagrams duplicated
	Jitter     time.Duration // upper limit of a random extra delay, which reorders datagrams
	Cut        bool          // all datagrams are dropped
	Delay      time.Duration // fixed delay of each datagram
	Bottleneck *Bottleneck   // shared link on the path; may be nil
}

// A Switch forwards datagrams between processes. Other processes know each process by its front,
// an address of the Switch: a datagram sent to a front is delivered to the process behind it, with
// the sender's front as its source address. It is safe for concurrent use.
type Switch struct {
	mu         sync.Mutex
	rng        *rand.Rand
	ports      map[netip.AddrPort]*port // by the process's own address
	conditions func(from, to string) DatagramConditions
}

// A port is a process attached to a Switch.
type port struct {
	name string
	own  netip.AddrPort
	conn *net.UDPConn // bound to the front
}

// NewSwitch returns a Switch whose random choices are seeded with seed.
func NewSwitch(seed uint64) *Switch {
	return &Switch{
		rng: rand.New(rand.NewPCG(seed, 1)), ports: make(map[netip.AddrPort]*port),
		conditions: func(string, string) DatagramConditions { return DatagramConditions{} },
	}
}

// Set sets the function that returns the conditions between two processes, by name. It is called with
// the Switch locked, and must not call its methods.
func (s *Switch) Set(conditions func(from, to string) DatagramConditions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conditions = conditions
}

// Join attaches a process with its own address and listens on its front, each IP:port.
func (s *Switch) Join(name, own, front string) error {
	address, err := netip.ParseAddrPort(own)
	if err != nil {
		return err
	}
	frontAddress, err := net.ResolveUDPAddr("udp4", front)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", frontAddress)
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

// Close closes all fronts.
func (s *Switch) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.ports {
		_ = p.conn.Close()
	}
}

// serve forwards the datagrams that arrive at the front of p.
func (s *Switch) serve(p *port) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an ICMP error for an earlier datagram
		}
		s.forward(p, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), append([]byte(nil), buf[:n]...))
	}
}

// forward sends data to the process of p under the current conditions. Datagrams from unknown
// senders, and from a process to its own front, are dropped.
func (s *Switch) forward(p *port, from netip.AddrPort, data []byte) {
	s.mu.Lock()
	sender := s.ports[from]
	if sender == nil || sender == p {
		s.mu.Unlock()
		return
	}
	conditions := s.conditions(sender.name, p.name)
	copies := 1
	switch {
	case conditions.Cut || s.rng.Float64() < conditions.Loss:
		copies = 0
	case s.rng.Float64() < conditions.Duplicate:
		copies = 2
	}
	var delays []time.Duration
	for range copies {
		d := conditions.Delay
		if conditions.Jitter > 0 {
			d += time.Duration(s.rng.Int64N(int64(conditions.Jitter)))
		}
		if conditions.Bottleneck != nil {
			queued, fits := conditions.Bottleneck.enqueue(len(data), time.Now())
			if !fits {
				continue
			}
			d += queued
		}
		delays = append(delays, d)
	}
	s.mu.Unlock()
	for _, d := range delays {
		time.AfterFunc(d, func() { _, _ = sender.conn.WriteToUDPAddrPort(data, p.own) })
	}
}
