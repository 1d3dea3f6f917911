package fake

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// A Service is a fake service with a fixed number of workers; excess requests
// queue. It is safe for concurrent use.
type Service struct {
	Name    string
	runLog  *RunLog
	work    time.Duration
	workers chan struct{}
	server  *http.Server
	conns   connections

	mu      sync.Mutex
	fault   Fault
	leaving bool
	open    int // requests being served or queued
}

// NewService returns a service that takes the time work for each request.
func NewService(name string, work time.Duration, workers int, runLog *RunLog) *Service {
	s := &Service{Name: name, runLog: runLog, work: work, workers: make(chan struct{}, workers)}
	r := chi.NewRouter()
	r.Get("/load", s.handleLoad)
	r.HandleFunc("/*", s.handleRequest)
	s.server = &http.Server{Handler: r, ConnState: s.conns.track}
	return s
}

// Serve accepts connections on l until Crash.
func (s *Service) Serve(l net.Listener) { _ = s.server.Serve(l) }

// Crash stops the service and closes its connections.
func (s *Service) Crash() {
	_ = s.server.Close()
	s.conns.closeAll()
}

// Set replaces the injected fault.
func (s *Service) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Leave sets the leaving flag of load reports.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

func (s *Service) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	l := LoadReport{Running: min(s.open, cap(s.workers)), Waiting: max(0, s.open-cap(s.workers)), Leaving: s.leaving}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l)
}

// A ServiceAnswer is the body of a service's response.
type ServiceAnswer struct {
	ID       string `json:"id"`
	Endpoint string `json:"endpoint"`
	Path     string `json:"path"`
}

func (s *Service) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d := parseDirectives(append(body, r.URL.RawQuery...))
	if d.id == "" {
		d.id = r.Header.Get("X-Request-Id")
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
	run := s.runLog.Begin(d.id, s.Name, r.Header.Get("X-Team"), leaving)
	if fault.Error != 0 {
		http.Error(w, "the service is at fault", fault.Error)
		return
	}
	select {
	case s.workers <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.workers }()
	if !s.process(r, d, fault) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	err = json.NewEncoder(w).Encode(ServiceAnswer{ID: d.id, Endpoint: s.Name, Path: r.URL.Path})
	s.runLog.End(run, 0, err == nil)
}

// process waits for the processing time. It returns false if the client disconnects.
func (s *Service) process(r *http.Request, d directives, f Fault) bool {
	work := s.work
	if d.work > 0 {
		work = d.work
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
	case <-r.Context().Done():
		return false
	}
}
