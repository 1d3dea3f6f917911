package fleet_test

// This file simulates an instance's connections, with faults.

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

type platformClient struct {
	sim  *simulation
	inst *instance
}

func (c *platformClient) Watch(ctx context.Context, k platformclient.Kind, after int64, wait time.Duration) (*platformclient.Published, error) {
	timeout := time.After(wait)
	c.sim.mu.Lock()
	c.sim.platformCalls++
	c.sim.mu.Unlock()
	for {
		c.sim.mu.Lock()
		doc, down, changed := c.sim.config, c.sim.platformDown, c.sim.updated
		if c.sim.platformStale {
			doc.Revision = 1
		}
		if k == platformclient.List {
			data, err := json.Marshal(c.sim.list)
			if err != nil {
				panic(err)
			}
			doc = platformclient.Published{Revision: c.sim.list.Revision, Value: string(data)}
		}
		c.sim.mu.Unlock()
		if down || c.inst.ctx.Err() != nil {
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

type loadClient struct {
	sim  *simulation
	inst *instance
}

func (c *loadClient) Load(_ context.Context, name, _ string) (home.Load, error) {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	e := c.sim.endpoints[name]
	if e.mode == "dead" {
		return home.Load{}, errors.New("refused")
	}
	return home.Load{Endpoint: name, Leaving: !e.leavingSince.IsZero()}, nil
}

// transport delivers an instance's requests to peers and endpoints.
type transport struct {
	sim  *simulation
	inst *instance
}

func (tr *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
		_ = r.Body.Close()
	}
	if tr.inst.ctx.Err() != nil {
		return nil, errors.New("the sending instance has crashed")
	}
	tr.sim.mu.Lock()
	e := tr.sim.endpoints[r.URL.Host]
	peer := tr.sim.instances[r.URL.Host]
	tr.sim.mu.Unlock()
	if e != nil {
		return tr.toEndpoint(r, e, body)
	}
	if peer == nil || peer.ctx.Err() != nil {
		return nil, syscall.ECONNREFUSED
	}
	return tr.toPeer(r, peer, body)
}

func (tr *transport) toPeer(r *http.Request, peer *instance, body []byte) (*http.Response, error) {
	tr.sim.mu.Lock()
	partitioned := tr.inst.side != peer.side && tr.sim.linkFault(tr.inst.name, peer.name, tr.sim.rng).drop
	fault := tr.sim.linkFault(tr.inst.name, peer.name, tr.sim.rng)
	tr.sim.mu.Unlock()
	if partitioned || fault.drop {
		return nil, tr.awaitTimeout(r.Context())
	}
	if fault.delay > 0 {
		time.Sleep(fault.delay)
	}
	if err := awaitTransfer(r.Context(), len(body), fault.bytesPerSecond); err != nil {
		return nil, err
	}
	if fault.duplicate {
		go func() { _, _ = tr.serve(r, peer, body) }()
	}
	res, err := tr.serve(r, peer, body)
	if err == nil && fault.loseReply {
		return nil, tr.awaitTimeout(r.Context())
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

// awaitTransfer waits for the transfer time of n bytes at rate bytes per second. A
// rate of zero is unlimited.
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

// awaitTimeout waits like the sender of a lost message. It always returns an error.
func (tr *transport) awaitTimeout(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(500 * time.Millisecond):
		return errors.New("time-out")
	case <-tr.inst.ctx.Done():
		return errors.New("the sending instance has crashed")
	}
}

// serve calls a peer's handler. It fails if either instance crashes meanwhile.
func (tr *transport) serve(r *http.Request, peer *instance, body []byte) (*http.Response, error) {
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
	case <-tr.inst.ctx.Done():
		return nil, errors.New("the sending instance has crashed")
	}
}

func (tr *transport) toEndpoint(r *http.Request, e *endpoint, body []byte) (*http.Response, error) {
	tr.sim.mu.Lock()
	mode, serviceTime, leavingSince := e.mode, e.serviceTime, e.leavingSince
	tr.sim.mu.Unlock()
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
	tr.sim.mu.Lock()
	tr.sim.runs[id]++
	tr.sim.trace("run %s as %s by %s on %s", id, attempt, tr.inst.name, e.name)
	tr.sim.attempts[attempt] = append(tr.sim.attempts[attempt], e.name)
	e.inFlight++
	e.maxInFlight = max(e.maxInFlight, e.inFlight)
	tr.sim.mu.Unlock()
	defer func() {
		tr.sim.mu.Lock()
		e.inFlight--
		tr.sim.mu.Unlock()
	}()
	if !leavingSince.IsZero() && time.Since(leavingSince) > 2*time.Second {
		tr.sim.recordViolation("endpoint %s received request %s %s after it announced that it leaves, want at most 2 s", e.name, id, time.Since(leavingSince))
	}
	if mode == "late" {
		serviceTime = 5 * time.Second
	}
	select {
	case <-time.After(serviceTime):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-tr.inst.ctx.Done():
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
