package fake

// This file is the stand-in for a model engine.

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
	defaultLength = 32
	maxWaiting    = 512 // then the engine answers 429
	bytesAToken   = 4
	prefixBytes   = 1024
)

// A Fault is what is wrong with an endpoint.
type Fault struct {
	Slow    float64       // factor on its time, zero or one if healthy
	Hang    bool          // takes requests and never answers
	Cut     int           // tokens after which streams are cut, zero for none
	CutOnce int           // the same, for the next stream only
	Delay   time.Duration // before every answer
	Error   int           // status that every request is answered with
}

// An Engine is a stand-in model engine.
type Engine struct {
	Name  string
	books *Books
	lag   time.Duration // of load reports

	mu      sync.Mutex
	model   *engine.Engine
	fault   Fault
	leaving bool
	wake    chan struct{}
	reports []report
	ctx     context.Context
	stop    context.CancelFunc
	server  *http.Server
	conns   connections
}

// A report is the load at a moment.
type report struct {
	at   time.Time
	Load LoadReport
}

// A LoadReport is what endpoints publish at /load.
type LoadReport struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
}

// NewEngine returns an engine that is not yet listening.
func NewEngine(name string, p engine.Params, books *Books, lag time.Duration) *Engine {
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{Name: name, books: books, lag: lag, model: engine.New(p), wake: make(chan struct{}, 1), ctx: ctx, stop: stop}
	e.server = &http.Server{Handler: e.handler(), ConnState: e.conns.track}
	go e.loop()
	return e
}

func (e *Engine) handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", e.complete)
	r.Post("/v1/completions", e.complete)
	r.Get("/load", e.load)
	return r
}

// Serve answers on l until Crash.
func (e *Engine) Serve(l net.Listener) { _ = e.server.Serve(l) }

// Crash ends the engine at once, connections and all.
func (e *Engine) Crash() {
	e.stop()
	_ = e.server.Close()
	e.conns.cut()
}

// Set puts a fault in force.
func (e *Engine) Set(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	e.model.Slowness = max(f.Slow, 1)
}

// Leave makes the engine say in its load reports that it is leaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// A stream carries the tokens of one sequence to its handler.
type stream struct {
	tokens chan int // number produced
}

// loop runs the model in real time.
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
		took, out := e.model.Step()
		e.mu.Unlock()
		next = next.Add(took)
		time.Sleep(time.Until(next))
		for _, s := range out {
			s.Tag.(*stream).tokens <- s.Produced
		}
	}
}

// completion is the part of a request that the engine reads.
type completion struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Priority int             `json:"priority"`
	MaxToken int             `json:"max_tokens"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

func (c *completion) prefix(team string) (uint64, int) {
	first := []byte(c.Prompt)
	if len(c.Messages) > 0 {
		first = c.Messages[0].Content
	}
	if len(first) < prefixBytes {
		return 0, 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(team)
	_, _ = d.Write(first[:prefixBytes])
	return d.Sum64(), len(first) / bytesAToken
}

func (e *Engine) complete(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	var c completion
	if err == nil {
		err = json.Unmarshal(body, &c)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	fault, leaving, busy := e.fault, e.leaving, e.model.Waiting() >= maxWaiting
	if fault.CutOnce > 0 {
		fault.Cut = fault.CutOnce
		e.fault.CutOnce = 0
	}
	e.mu.Unlock()
	if busy {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many requests", http.StatusTooManyRequests)
		return
	}
	o := readOrders(body)
	if o.id == "" {
		o.id = q.Header.Get("X-Request-Id")
	}
	run := e.books.Begin(o.id, e.Name, q.Header.Get("X-Team"), leaving)
	if fault.Error != 0 {
		http.Error(w, "the engine is at fault", fault.Error)
		return
	}
	s := e.sequence(&c, body, o, q.Header.Get("X-Team"))
	a := &answer{engine: e, w: w, c: &c, o: o, s: s, run: run, fault: fault}
	a.serve(q.Context())
}

func (e *Engine) sequence(c *completion, body []byte, o order, team string) *engine.Sequence {
	length := o.length
	if length <= 0 {
		length = defaultLength
	}
	if c.MaxToken > 0 {
		length = min(length, c.MaxToken)
	}
	s := &engine.Sequence{Priority: c.Priority, Prompt: len(body) / bytesAToken, Length: length}
	s.Prefix, s.PrefixLen = c.prefix(team)
	s.Tag = &stream{tokens: make(chan int, length+1)}
	return s
}

// An answer is one request being answered.
type answer struct {
	engine *Engine
	w      http.ResponseWriter
	c      *completion
	o      order
	s      *engine.Sequence
	run    *Run
	fault  Fault
	got    int
}

func (a *answer) serve(ctx context.Context) {
	e := a.engine
	e.mu.Lock()
	e.model.Add(a.s)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	whole := a.produce(ctx)
	if !whole {
		e.mu.Lock()
		e.model.Cancel(a.s)
		e.mu.Unlock()
	}
	e.books.End(a.run, a.got, whole)
}

// produce writes the answer, and reports whether it was whole.
func (a *answer) produce(ctx context.Context) bool {
	flush := http.NewResponseController(a.w)
	if a.fault.Delay > 0 {
		time.Sleep(a.fault.Delay)
	}
	if a.c.Stream {
		a.w.Header().Set("Content-Type", "text/event-stream")
	}
	for a.got < a.s.Length {
		select {
		case a.got = <-a.s.Tag.(*stream).tokens:
		case <-ctx.Done():
			return false
		case <-a.engine.ctx.Done():
			panic(http.ErrAbortHandler)
		}
		if a.c.Stream {
			a.event(a.got)
			_ = flush.Flush()
		}
		if a.fault.Cut > 0 && a.got >= a.fault.Cut {
			a.engine.books.End(a.run, a.got, false)
			panic(http.ErrAbortHandler)
		}
	}
	if a.c.Stream {
		_, err := io.WriteString(a.w, "data: [DONE]\n\n")
		return err == nil
	}
	return a.document() == nil
}

// event writes one token. The first names the request, so that a caller can
// tell an answer that is not its own.
func (a *answer) event(n int) {
	text := fmt.Sprintf(" w%d", n)
	if n == 1 {
		text = "id:" + a.o.id
	}
	fmt.Fprintf(a.w, `data: {"id":%q,"object":"chat.completion.chunk","created":0,"model":%q,"choices":[{"index":0,"delta":{"role":"assistant","content":%q},"finish_reason":null}]}`+"\n\n",
		a.o.id, a.c.Model, text)
}

func (a *answer) document() error {
	a.w.Header().Set("Content-Type", "application/json")
	_, err := fmt.Fprintf(a.w, `{"id":%q,"object":"chat.completion","created":0,"model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`,
		a.o.id, a.c.Model, "id:"+a.o.id, a.s.Prompt, a.s.Length, a.s.Prompt+a.s.Length)
	return err
}

// load answers with the load of a while ago.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
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

// connections are tracked so that a crash can cut them.
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

func (c *connections) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		_ = conn.Close()
	}
}
