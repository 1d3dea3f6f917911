package fleet_test

// This file is what an instance sees of the world: the platform, its peers and
// the endpoints, with the faults that the world has put in force.

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
	"ivyridge/publish"
)

// reader is the platform as an instance sees it.
type reader struct {
	w *world
	x *instance
}

func (r *reader) Watch(ctx context.Context, k publish.Kind, after int64, wait time.Duration) (*publish.Published, error) {
	end := time.After(wait)
	r.w.mu.Lock()
	r.w.calls++
	r.w.mu.Unlock()
	for {
		r.w.mu.Lock()
		doc, down, changed := r.w.config, r.w.down, r.w.changed
		if r.w.old {
			doc.Revision = 1
		}
		if k == publish.List {
			data, err := json.Marshal(r.w.list)
			if err != nil {
				panic(err)
			}
			doc = publish.Published{Revision: r.w.list.Revision, Value: string(data)}
		}
		r.w.mu.Unlock()
		if down || r.x.life.Err() != nil {
			return nil, errors.New("the platform is down")
		}
		if doc.Revision != after {
			return &doc, nil
		}
		select {
		case <-changed:
		case <-end:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// loads are the endpoints' reports as an instance sees them.
type loads struct {
	w *world
	x *instance
}

func (l *loads) Load(_ context.Context, name, _ string) (home.Load, error) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	e := l.w.endpoints[name]
	if e.mode == "dead" {
		return home.Load{}, errors.New("refused")
	}
	return home.Load{Endpoint: name, Leaving: !e.leaving.IsZero()}, nil
}

// link carries an instance's messages to peers and endpoints.
type link struct {
	w *world
	x *instance
}

func (l *link) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
		_ = r.Body.Close()
	}
	if l.x.life.Err() != nil {
		return nil, errors.New("this instance is dead")
	}
	l.w.mu.Lock()
	e := l.w.endpoints[r.URL.Host]
	peer := l.w.instances[r.URL.Host]
	l.w.mu.Unlock()
	if e != nil {
		return l.toEndpoint(r, e, body)
	}
	if peer == nil || peer.life.Err() != nil {
		return nil, syscall.ECONNREFUSED
	}
	return l.toPeer(r, peer, body)
}

func (l *link) toPeer(r *http.Request, peer *instance, body []byte) (*http.Response, error) {
	l.w.mu.Lock()
	cut := l.x.side != peer.side && l.w.weather(l.x.name, peer.name, l.w.rng).drop
	sky := l.w.weather(l.x.name, peer.name, l.w.rng)
	l.w.mu.Unlock()
	if cut || sky.drop {
		return nil, l.lose(r.Context())
	}
	if sky.delay > 0 {
		time.Sleep(sky.delay)
	}
	if err := arrive(r.Context(), len(body), sky.rate); err != nil {
		return nil, err
	}
	if sky.double {
		go func() { _, _ = l.serve(r, peer, body) }()
	}
	res, err := l.serve(r, peer, body)
	if err == nil && sky.loseReply {
		return nil, l.lose(r.Context())
	}
	if err != nil {
		return nil, err
	}
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err
	}
	if err := arrive(r.Context(), len(answer), sky.rate); err != nil {
		return nil, err
	}
	res.Body = io.NopCloser(bytes.NewReader(answer))
	return res, nil
}

// arrive returns once so many bytes have come at a rate, or with an error when
// ctx ends. Without a rate they are there at once.
func arrive(ctx context.Context, n, rate int) error {
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

// lose waits as a caller does whose message was lost.
func (l *link) lose(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(500 * time.Millisecond):
		return errors.New("time-out")
	case <-l.x.life.Done():
		return errors.New("this instance is dead")
	}
}

// serve runs a peer's handler, until either process dies.
func (l *link) serve(r *http.Request, peer *instance, body []byte) (*http.Response, error) {
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
	case <-peer.life.Done():
		return nil, syscall.ECONNRESET
	case <-l.x.life.Done():
		return nil, errors.New("this instance is dead")
	}
}

// toEndpoint runs a request on an endpoint, and books it.
func (l *link) toEndpoint(r *http.Request, e *endpoint, body []byte) (*http.Response, error) {
	l.w.mu.Lock()
	mode, work, left := e.mode, e.work, e.leaving
	l.w.mu.Unlock()
	if mode == "dead" {
		return nil, syscall.ECONNREFUSED
	}
	if t := httptrace.ContextClientTrace(r.Context()); t != nil && t.GotConn != nil {
		t.GotConn(httptrace.GotConnInfo{})
	}
	if mode == "busy" {
		return answer(http.StatusTooManyRequests, "busy"), nil
	}
	id, attempt := string(body), r.Header.Get(dispatch.RequestIDHeader)
	l.w.mu.Lock()
	l.w.runs[id]++
	l.w.trace("run %s as %s by %s on %s", id, attempt, l.x.name, e.name)
	l.w.attempts[attempt] = append(l.w.attempts[attempt], e.name)
	e.now++
	e.most = max(e.most, e.now)
	l.w.mu.Unlock()
	defer func() {
		l.w.mu.Lock()
		e.now--
		l.w.mu.Unlock()
	}()
	if !left.IsZero() && time.Since(left) > 2*time.Second {
		l.w.breach("endpoint %s got %s %s after it began to leave", e.name, id, time.Since(left))
	}
	if mode == "late" {
		work = 5 * time.Second
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-l.x.life.Done():
		return nil, errors.New("this instance is dead")
	}
	if mode == "cut" {
		return nil, syscall.ECONNRESET
	}
	return answer(http.StatusOK, id), nil
}

func answer(status int, body string) *http.Response {
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Header: http.Header{"Content-Type": {"text/plain"}}, Body: io.NopCloser(bytes.NewReader([]byte(body)))}
}
