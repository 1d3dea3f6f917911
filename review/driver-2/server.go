package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
)

// A server is a stand-in of one server of a service. It takes the path of a request as it stands in the
// request line.
type server struct {
	id, service, zone, address string
	record                     *record
	handle                     func(s *server, c net.Conn, a *arrival) // answers a request that is meant for this server

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// An arrival is a request that reached a server.
type arrival struct {
	method, target string
	header         http.Header
	body           []byte
}

func (a *arrival) id() string { return a.header.Get("Ivyridge-Request-Id") }

// newServer starts a server on a free port.
func newServer(r *record, id, service, zone string, handle func(*server, net.Conn, *arrival)) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, address: l.Addr().String(), record: r, handle: handle, listener: l, conns: make(map[net.Conn]bool)}
	go s.accept(l)
	return s, nil
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

// reopen accepts connections again, after close.
func (s *server) reopen(l net.Listener) {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	go s.accept(l)
}

// close ends the process: nobody listens, and all its connections are closed.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		a, err := readArrival(in)
		if err != nil {
			return
		}
		if got := a.header.Get("Ivyridge-Expect-Instance"); got != "" && got != s.id {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nIvyridge-Request-Id: "+a.id()+"\r\nIvyridge-Instance-Id: "+s.id+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		s.handle(s, c, a)
	}
}

// readArrival reads a request with a length, or without a body.
func readArrival(in *bufio.Reader) (*arrival, error) {
	text := textproto.NewReader(in)
	line, err := text.ReadLine()
	if err != nil {
		return nil, err
	}
	words := strings.Split(line, " ")
	if len(words) != 3 {
		return nil, errors.New("not a request line")
	}
	header, err := text.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	a := &arrival{method: words[0], target: words[1], header: http.Header(header)}
	length, _ := strconv.Atoi(a.header.Get("Content-Length"))
	a.body = make([]byte, length)
	_, err = io.ReadFull(in, a.body)
	return a, err
}
