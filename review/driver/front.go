package main

// This file plays the store's front for each machine, which can turn a machine away.

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// A storeFront is the address at which one machine reaches the store.
type storeFront struct {
	name, store string
	address     string
	rec         *record
	server      *http.Server

	mu         sync.Mutex
	turnedAway bool
	waiting    int       // watches that wait for a change
	lastRead   time.Time // when the last call that doesn't wait was answered
	cut        chan struct{}
}

func newStoreFront(name, store string, rec *record) (*storeFront, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &storeFront{name: name, store: store, address: l.Addr().String(), rec: rec, cut: make(chan struct{})}
	s.server = &http.Server{Handler: http.HandlerFunc(s.handle)}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// turnAway makes the store reset the machine's calls, also those that wait, until serve is called.
func (s *storeFront) turnAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnedAway = true
	close(s.cut)
	s.rec.log("store: turns %s away (reset)", s.name)
}

func (s *storeFront) serve() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.turnedAway {
		s.turnedAway, s.cut = false, make(chan struct{})
		s.rec.log("store: serves %s again", s.name)
	}
}

func (s *storeFront) state() (waiting int, lastRead time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting, s.lastRead
}

func (s *storeFront) handle(w http.ResponseWriter, r *http.Request) {
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	s.mu.Lock()
	turnedAway, cut := s.turnedAway, s.cut
	if wait > 0 {
		s.waiting++
		defer s.stopWaiting()
	}
	s.mu.Unlock()
	if turnedAway {
		reset(w)
		return
	}
	type answer struct {
		res  *http.Response
		body []byte
		err  error
	}
	answered := make(chan answer, 1)
	go func() {
		req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+s.store+r.RequestURI, nil)
		if err != nil {
			answered <- answer{err: err}
			return
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			answered <- answer{err: err}
			return
		}
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		answered <- answer{res, body, err}
	}()
	select {
	case <-cut:
		reset(w)
	case <-r.Context().Done():
	case a := <-answered:
		if a.err != nil {
			reset(w)
			return
		}
		w.Header().Set("Content-Type", a.res.Header.Get("Content-Type"))
		w.WriteHeader(a.res.StatusCode)
		_, _ = w.Write(a.body)
		if wait == 0 {
			s.mu.Lock()
			s.lastRead = time.Now()
			s.mu.Unlock()
		}
	}
}

func (s *storeFront) stopWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

// reset ends the connection with a reset.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
