package fake

// This file is the stand-in for a plain service.

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// A Service is a stand-in plain service with a fixed number of workers; what
// exceeds them waits.
type Service struct {
	Name    string
	books   *Books
	work    time.Duration
	workers chan struct{}
	server  *http.Server
	conns   connections

	mu      sync.Mutex
	fault   Fault
	leaving bool
	open    int
}

// NewService returns a service whose requests take work each.
func NewService(name string, work time.Duration, workers int, books *Books) *Service {
	s := &Service{Name: name, books: books, work: work, workers: make(chan struct{}, workers)}
	r := chi.NewRouter()
	r.Get("/load", s.load)
	r.HandleFunc("/*", s.serve)
	s.server = &http.Server{Handler: r, ConnState: s.conns.track}
	return s
}

// Serve answers on l until Crash.
func (s *Service) Serve(l net.Listener) { _ = s.server.Serve(l) }

// Crash ends the service at once, connections and all.
func (s *Service) Crash() {
	_ = s.server.Close()
	s.conns.cut()
}

// Set puts a fault in force.
func (s *Service) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Leave makes the service say that it is leaving.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	l := LoadReport{Running: min(s.open, cap(s.workers)), Waiting: max(0, s.open-cap(s.workers)), Leaving: s.leaving}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l)
}

// A ServiceAnswer is the body of a service's answer.
type ServiceAnswer struct {
	ID       string `json:"id"`
	Endpoint string `json:"endpoint"`
	Path     string `json:"path"`
}

func (s *Service) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o := readOrders(append(body, q.URL.RawQuery...))
	if o.id == "" {
		o.id = q.Header.Get("X-Request-Id")
	}
	s.mu.Lock()
	s.open++
	fault, leaving := s.fault, s.leaving
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
	}()
	run := s.books.Begin(o.id, s.Name, q.Header.Get("X-Team"), leaving)
	if fault.Error != 0 {
		http.Error(w, "the service is at fault", fault.Error)
		return
	}
	select {
	case s.workers <- struct{}{}:
	case <-q.Context().Done():
		return
	}
	defer func() { <-s.workers }()
	if !s.wait(q, o, fault) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	err = json.NewEncoder(w).Encode(ServiceAnswer{ID: o.id, Endpoint: s.Name, Path: q.URL.Path})
	s.books.End(run, 0, err == nil)
}

// wait works on a request, and reports whether its caller is still there.
func (s *Service) wait(q *http.Request, o order, f Fault) bool {
	work := s.work
	if o.work > 0 {
		work = o.work
	}
	work = time.Duration(float64(work)*max(f.Slow, 1)) + f.Delay
	if f.Hang {
		work = time.Hour
	}
	t := time.NewTimer(work)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-q.Context().Done():
		return false
	}
}
