package fleet_test

// This file implements an instance's connections to the platform, its peers and
// the endpoints, with the faults currently set in the simulation.

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"ivyridge/dispatch"
	"ivyridge/home"
	"ivyridge/platformclient"
)

// platformClient is an instance's client of the simulated platform.
type platformClient struct {
	sim  *simulation
	inst *instance
}

func (r *platformClient) Watch(ctx context.Context, k platformclient.Kind, after int64, wait time.Duration) (*platformclient.Published, error) {
	timeout := time.After(wait)
	r.sim.mu.Lock()
	r.sim.platformCalls++
	r.sim.mu.Unlock()
	for {
		r.sim.mu.Lock()
		doc, down, changed := r.sim.config, r.sim.platformDown, r.sim.updated
		if r.sim.platformStale {
			doc.Revision = 1
		}
		if k == platformclient.List {
			data, err := json.Marshal(r.sim.list)
			if err != nil {
				panic(err)
			}
			doc = platformclient.Published{Revision: r.sim.list.Revision, Value: string(data)}
		}
		r.sim.mu.Unlock()
		if down || r.inst.ctx.Err() != nil {
			return nil, errors.New("platform unavailable")
		}
		if doc.Revision != after {
			return &doc, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// loadClient is an instance's client for the load reports of endpoints.
type loadClient struct {
	sim  *simulation
	inst *instance
}

func (l *loadClient) Load(_ context.Context, name, _ string) (home.Load, error) {
	l.sim.mu.Lock()
	defer l.sim.mu.Unlock()
	e := l.sim.endpoints[name]
	if e.mode == "dead" {
		return home.Load{}, errors.New("refused")
	}
	return home.Load{Endpoint: name, Leaving: !e.leavingSince.IsZero()}, nil
}

// transport is an http.RoundTripper that carries an instance's requests to peers
// and endpoints in the same process.
type transport struct {
	sim  *simulation
	inst *instance
}

func (l *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
		_ = r.Body.Close()
	}
	if l.inst.ctx.Err() != nil {
		return nil, errors.New("the sending instance has crashed")
	}
	l.sim.mu.Lock()
	e := l.sim.endpoints[r.URL.Host]
	peer := l.sim.instances[r.URL.Host]
	l.sim.mu.Unlock()
	if e != nil {
		return l.toEndpoint(r, e, body)
	}
	if peer == nil || peer.ctx.Err() != nil {
		return nil, syscall.ECONNREFUSED
	}
	return l.toPeer(r, peer, body)
}

// toPeer sends a request to a peer with the link's faults.
func (l *transport) toPeer(r *http.Request, peer *instance, body []byte) (*http.Response, error) {
	l.sim.mu.Lock()
	partitioned := l.inst.side != peer.side && l.sim.linkFault(l.inst.name, peer.name, l.sim.rng).drop
	fault := l.sim.linkFault(l.inst.name, peer.name, l.sim.rng)
	l.sim.mu.Unlock()
	if partitioned || fault.drop {
		return nil, l.awaitTimeout(r.Context())
	}
	if fault.delay > 0 {
		time.Sleep(fault.delay)
	}
	if err := awaitTransfer(r.Context(), len(body), fault.bytesPerSecond); err != nil {
		return nil, err
	}
	if fault.duplicate {
		go func() { _, _ = l.serve(r, peer, body) }()
	}
	res, err := l.serve(r, peer, body)
	if err == nil && fault.loseReply {
		return nil, l.awaitTimeout(r.Context())
	}
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err
	}
	if err := awaitTransfer(r.Context(), len(data), fault.bytesPerSecond); err != nil {
		return nil, err
	}
	res.Body = io.NopCloser(bytes.NewReader(data))
	return res, nil
}

// awaitTransfer waits for the time that a transfer of n bytes takes at rate bytes
// per second, or returns an error when ctx ends. A rate of zero takes no time.
func awaitTransfer(ctx context.Context, n, rate int) error {
	if rate == 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Second * time.Duration(n) / time.Duration(rate)):
		return nil
	}
}

// awaitTimeout waits as the sender of a lost message does, at most 500 ms, and
// returns an error.
func (l *transport) awaitTimeout(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(500 * time.Millisecond):
		return errors.New("time-out")
	case <-l.inst.ctx.Done():
		return errors.New("the sending instance has crashed")
	}
}

// serve runs a peer's handler and returns its response, or an error if either
// instance crashes before the handler has finished.
func (l *transport) serve(r *http.Request, peer *instance, body []byte) (*http.Response, error) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	rec := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		in := r.Clone(ctx)
		in.Body = io.NopCloser(bytes.NewReader(body))
		peer.handler.ServeHTTP(rec, in)
	}()
	select {
	case <-done:
		return rec.Result(), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-peer.ctx.Done():
		return nil, syscall.ECONNRESET
	case <-l.inst.ctx.Done():
		return nil, errors.New("the sending instance has crashed")
	}
}

// toEndpoint runs a request on an endpoint and records the execution.
func (l *transport) toEndpoint(r *http.Request, e *endpoint, body []byte) (*http.Response, error) {
	l.sim.mu.Lock()
	mode, serviceTime, leavingSince := e.mode, e.serviceTime, e.leavingSince
	l.sim.mu.Unlock()
	if mode == "dead" {
		return nil, syscall.ECONNREFUSED
	}
	if t := httptrace.ContextClientTrace(r.Context()); t != nil && t.GotConn != nil {
		t.GotConn(httptrace.GotConnInfo{})
	}
	if mode == "busy" {
		return newResponse(http.StatusTooManyRequests, "busy"), nil
	}
	id, attempt := string(body), r.Header.Get(dispatch.RequestIDHeader)
	l.sim.mu.Lock()
	l.sim.runs[id]++
	l.sim.trace("run %s as %s by %s on %s", id, attempt, l.inst.name, e.name)
	l.sim.attempts[attempt] = append(l.sim.attempts[attempt], e.name)
	e.inFlight++
	e.maxInFlight = max(e.maxInFlight, e.inFlight)
	l.sim.mu.Unlock()
	defer func() {
		l.sim.mu.Lock()
		e.inFlight--
		l.sim.mu.Unlock()
	}()
	if !leavingSince.IsZero() && time.Since(leavingSince) > 2*time.Second {
		l.sim.recordViolation("endpoint %s received request %s %s after it announced that it leaves, want at most 2 s", e.name, id, time.Since(leavingSince))
	}
	if mode == "late" {
		serviceTime = 5 * time.Second
	}
	select {
	case <-time.After(serviceTime):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-l.inst.ctx.Done():
		return nil, errors.New("the sending instance has crashed")
	}
	if mode == "cut" {
		return nil, syscall.ECONNRESET
	}
	return newResponse(http.StatusOK, id), nil
}

func newResponse(status int, body string) *http.Response {
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Header: http.Header{"Content-Type": {"text/plain"}}, Body: io.NopCloser(bytes.NewReader([]byte(body)))}
}
