package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"ivyridge/engine"
)

const (
	defaultLength = 32  // tokens
	maxWaiting    = 512 // queue length at which the engine responds with 429
	bytesPerToken = 4
	prefixBytes   = 1024 // shortest prompt start that is cached
)

// A Fault is a set of failures to inject. Services ignore Cut and CutOnce.
type Fault struct {
	Slow    float64       // factor on processing time; below one has no effect
	Hang    bool          // accept requests and never respond
	Cut     int           // tokens after which to abort responses; zero for never
	CutOnce int           // like Cut, for the next request only
	Delay   time.Duration // added to every response
	Error   int           // HTTP status of every response; zero for none
}

// An Engine is a fake model engine with an OpenAI-compatible HTTP interface.
// It is safe for concurrent use.
type Engine struct {
	Name   string
	runLog *RunLog
	lag    time.Duration // age of load reports

	mu      sync.Mutex
	model   *engine.Engine
	fault   Fault
	leaving bool
	wake    chan struct{}
	reports []report // oldest first
	ctx     context.Context
	stop    context.CancelFunc
	server  *http.Server
	conns   connections
}

type report struct {
	at   time.Time
	Load LoadReport
}

// A LoadReport is the response to GET /load. Running and Waiting count requests.
type LoadReport struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
}

// NewEngine starts an engine that records its runs in runLog and serves load reports
// of age lag. Crash releases its resources.
func NewEngine(name string, p engine.Params, runLog *RunLog, lag time.Duration) *Engine {
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{Name: name, runLog: runLog, lag: lag, model: engine.New(p), wake: make(chan struct{}, 1), ctx: ctx, stop: stop}
	e.server = &http.Server{Handler: e.handler(), ConnState: e.conns.track}
	go e.loop()
	return e
}

func (e *Engine) handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", e.handleCompletion)
	r.Post("/v1/completions", e.handleCompletion)
	r.Get("/load", e.handleLoad)
	return r
}

// Serve accepts connections on l until Crash.
func (e *Engine) Serve(l net.Listener) { _ = e.server.Serve(l) }

// Crash stops the engine and closes its connections.
func (e *Engine) Crash() {
	e.stop()
	_ = e.server.Close()
	e.conns.closeAll()
}

// Set replaces the injected fault.
func (e *Engine) Set(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	e.model.Slowness = max(f.Slow, 1)
}

// Leave sets the leaving flag of load reports.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

type stream struct {
	tokens chan int // number of tokens produced so far, after each iteration
}

// loop runs the engine model in real time.
func (e *Engine) loop() {
	next := time.Now()
	for e.ctx.Err() == nil {
		e.mu.Lock()
		if e.model.Idle() || e.fault.Hang {
			e.mu.Unlock()
			select {
			case <-e.wake:
			case <-time.After(20 * time.Millisecond):
			case <-e.ctx.Done():
			}
			next = time.Now()
			continue
		}
		elapsed, out := e.model.Step()
		e.mu.Unlock()
		next = next.Add(elapsed)
		time.Sleep(time.Until(next))
		for _, s := range out {
			s.Tag.(*stream).tokens <- s.Produced
		}
	}
}

type completionRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Priority int             `json:"priority"`
	MaxToken int             `json:"max_tokens"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// prefix returns the cache key and length in tokens of the first message. Both are
// zero if it is too short to be cached.
func (req *completionRequest) prefix(team string) (uint64, int) {
	first := []byte(req.Prompt)
	if len(req.Messages) > 0 {
		first = req.Messages[0].Content
	}
	if len(first) < prefixBytes {
		return 0, 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(team)
	_, _ = d.Write(first[:prefixBytes])
	return d.Sum64(), len(first) / bytesPerToken
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var req completionRequest
	if err == nil {
		err = json.Unmarshal(body, &req)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	fault, leaving, overloaded := e.fault, e.leaving, e.model.Waiting() >= maxWaiting
	if fault.CutOnce > 0 {
		fault.Cut = fault.CutOnce
		e.fault.CutOnce = 0
	}
	e.mu.Unlock()
	if overloaded {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many requests", http.StatusTooManyRequests)
		return
	}
	d := parseDirectives(body)
	if d.id == "" {
		d.id = r.Header.Get("X-Request-Id")
	}
	run := e.runLog.Begin(d.id, e.Name, r.Header.Get("X-Team"), leaving)
	if fault.Error != 0 {
		http.Error(w, "the engine is at fault", fault.Error)
		return
	}
	s := e.newSequence(&req, body, d, r.Header.Get("X-Team"))
	resp := &response{engine: e, w: w, req: &req, directives: d, seq: s, run: run, fault: fault}
	resp.serve(r.Context())
}

func (e *Engine) newSequence(req *completionRequest, body []byte, d directives, team string) *engine.Sequence {
	length := d.length
	if length <= 0 {
		length = defaultLength
	}
	if req.MaxToken > 0 {
		length = min(length, req.MaxToken)
	}
	s := &engine.Sequence{Priority: req.Priority, Prompt: len(body) / bytesPerToken, Length: length}
	s.Prefix, s.PrefixLen = req.prefix(team)
	s.Tag = &stream{tokens: make(chan int, length+1)}
	return s
}

type response struct {
	engine     *Engine
	w          http.ResponseWriter
	req        *completionRequest
	directives directives
	seq        *engine.Sequence
	run        *Run
	fault      Fault
	produced   int // tokens
}

func (r *response) serve(ctx context.Context) {
	e := r.engine
	e.mu.Lock()
	e.model.Add(r.seq)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	complete := r.write(ctx)
	if !complete {
		e.mu.Lock()
		e.model.Cancel(r.seq)
		e.mu.Unlock()
	}
	e.runLog.End(r.run, r.produced, complete)
}

// write produces the response and reports whether it was completed.
func (r *response) write(ctx context.Context) bool {
	flush := http.NewResponseController(r.w)
	if r.fault.Delay > 0 {
		time.Sleep(r.fault.Delay)
	}
	if r.req.Stream {
		r.w.Header().Set("Content-Type", "text/event-stream")
	}
	for r.produced < r.seq.Length {
		select {
		case r.produced = <-r.seq.Tag.(*stream).tokens:
		case <-ctx.Done():
			return false
		case <-r.engine.ctx.Done():
			panic(http.ErrAbortHandler)
		}
		if r.req.Stream {
			r.writeEvent(r.produced)
			_ = flush.Flush()
		}
		if r.fault.Cut > 0 && r.produced >= r.fault.Cut {
			r.engine.runLog.End(r.run, r.produced, false)
			panic(http.ErrAbortHandler)
		}
	}
	if r.req.Stream {
		_, err := io.WriteString(r.w, "data: [DONE]\n\n")
		return err == nil
	}
	return r.writeBody() == nil
}

// writeEvent writes a token. The first contains the request ID, for clients to check.
func (r *response) writeEvent(n int) {
	text := fmt.Sprintf(" w%d", n)
	if n == 1 {
		text = "id:" + r.directives.id
	}
	fmt.Fprintf(r.w, `data: {"id":%q,"object":"chat.completion.chunk","created":0,"model":%q,"choices":[{"index":0,"delta":{"role":"assistant","content":%q},"finish_reason":null}]}`+"\n\n",
		r.directives.id, r.req.Model, text)
}

func (r *response) writeBody() error {
	r.w.Header().Set("Content-Type", "application/json")
	_, err := fmt.Fprintf(r.w, `{"id":%q,"object":"chat.completion","created":0,"model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`,
		r.directives.id, r.req.Model, "id:"+r.directives.id, r.seq.Prompt, r.seq.Length, r.seq.Prompt+r.seq.Length)
	return err
}

// handleLoad serves the load of about e.lag ago with the current leaving flag.
func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	e.reports = append(e.reports, report{now, LoadReport{Running: e.model.Running(), Waiting: e.model.Waiting(), Leaving: e.leaving}})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.lag {
		e.reports = e.reports[1:]
	}
	l := e.reports[0].Load
	l.Leaving = e.leaving
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l)
}

// connections tracks a server's open connections.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]bool
}

func (c *connections) track(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[net.Conn]bool)
	}
	if s == http.StateClosed || s == http.StateHijacked {
		delete(c.open, conn)
		return
	}
	c.open[conn] = true
}

func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		_ = conn.Close()
	}
}
