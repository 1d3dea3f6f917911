// Package api implements the HTTP interface for clients: OpenAI-compatible
// endpoints for models, and a path prefix that proxies to services.
//
// A client authenticates with a bearer token, which identifies its team. The
// request class is taken from the class header, the pool or the team, in this
// order. Errors have the OpenAI format, with the verdict and reason added.
package api

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"ivyridge/decl"
	"ivyridge/dispatch"
	"ivyridge/ledger"
	"ivyridge/node"
	"ivyridge/owner"
	"ivyridge/verdict"
)

// Request and response headers.
const (
	ClassHeader      = "X-Ivyridge-Class"
	RepeatableHeader = "X-Ivyridge-Repeatable"
	KeyHeader        = "Idempotency-Key"
	VerdictHeader    = "X-Ivyridge-Verdict"
	ReasonHeader     = "X-Ivyridge-Reason"
	InstanceHeader   = "X-Ivyridge-Instance"
	// shouldRetryHeader controls automatic retries by OpenAI client libraries.
	shouldRetryHeader = "X-Should-Retry"
)

const (
	maxKeyBytes    = 256
	bytesPerToken  = 4
	maxPrefixBytes = 1024 // prompt bytes hashed for cache affinity
)

// A Node is the part of a node.Node that the API uses.
type Node interface {
	Name() string
	DataCentre() string
	Now() time.Duration
	Declarations() (*decl.Set, bool)
	Ready() (bool, string)
	Ledger() *ledger.Ledger
}

var _ Node = (*node.Node)(nil)

// Options are limits on requests.
type Options struct {
	MaxBody int64         // bytes
	MaxTime time.Duration // per request
	Open    int           // concurrent requests
}

// An API serves client requests. It is safe for concurrent use.
type API struct {
	node       Node
	dispatcher *dispatch.Dispatcher
	opt        Options
	slots      chan struct{} // semaphore for Options.Open
	stop       chan struct{} // closed by Stop
	counters   Counters
}

// Counters are metrics of requests.
type Counters struct {
	Requests, Served, Late *expvar.Int
	Refused, Failed        *expvar.Map // by reason
	Joined, Tokens         *expvar.Int
	Open                   *expvar.Int
}

// NewCounters returns zeroed Counters and registers them in m unless m is nil.
func NewCounters(m *expvar.Map) Counters {
	c := Counters{
		Requests: new(expvar.Int), Served: new(expvar.Int), Late: new(expvar.Int),
		Refused: new(expvar.Map).Init(), Failed: new(expvar.Map).Init(),
		Joined: new(expvar.Int), Tokens: new(expvar.Int), Open: new(expvar.Int),
	}
	if m != nil {
		m.Set("requests", c.Requests)
		m.Set("served", c.Served)
		m.Set("late", c.Late)
		m.Set("refused", c.Refused)
		m.Set("failed", c.Failed)
		m.Set("joined", c.Joined)
		m.Set("tokens", c.Tokens)
		m.Set("open", c.Open)
	}
	return c
}

// New returns an API that serves on behalf of n and dispatches through d.
func New(n Node, d *dispatch.Dispatcher, opt Options, c Counters) *API {
	return &API{node: n, dispatcher: d, opt: opt, slots: make(chan struct{}, opt.Open), stop: make(chan struct{}), counters: c}
}

// Handler returns the HTTP handler for clients.
func (a *API) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", a.handleModel)
	r.Post("/v1/completions", a.handleModel)
	r.Get("/v1/models", a.handleModels)
	r.HandleFunc("/services/{name}/*", a.handleService)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	r.Get("/readyz", a.handleReady)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		a.refuse(w, verdict.Refuse(verdict.BadRequest, "no such path: %s", r.URL.Path))
	})
	return r
}

// Stop makes the API refuse new requests. It must be called at most once.
func (a *API) Stop() { close(a.stop) }

// Wait waits until no request is in progress or ctx is done. Requests with an
// idempotency key outlast their client's connection.
func (a *API) Wait(ctx context.Context) error {
	for range cap(a.slots) { // holding every slot means that no request is in progress
		select {
		case a.slots <- struct{}{}:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "waiting for requests in progress")
		}
	}
	return nil
}

func (a *API) handleReady(w http.ResponseWriter, _ *http.Request) {
	if ok, reason := a.node.Ready(); !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// modelRequest holds the fields that the router reads.
type modelRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Priority            json.RawMessage `json:"priority"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// promptPrefix returns the start of the prompt or of the first message, as JSON.
func (b *modelRequest) promptPrefix() []byte {
	first := b.Prompt
	if len(b.Messages) > 0 {
		first = b.Messages[0].Content
	}
	return first[:min(len(first), maxPrefixBytes)]
}

func (a *API) handleModel(w http.ResponseWriter, r *http.Request) {
	arrived := a.node.Now()
	set, id, body, err := a.readRequest(w, r)
	if err != nil {
		a.refuse(w, err)
		return
	}
	var m modelRequest
	if e := json.Unmarshal(body, &m); e != nil {
		a.refuse(w, verdict.Refuse(verdict.BadRequest, "the body is not a JSON request: %v", e))
		return
	}
	if m.Priority != nil {
		a.refuse(w, verdict.Refuse(verdict.BadRequest, "the priority comes from the request's class and cannot be set"))
		return
	}
	pool := set.Pool(m.Model)
	if pool == nil || pool.Kind != decl.Model {
		a.refuse(w, verdict.Refuse(verdict.UnknownModel, "the model %q does not exist", m.Model))
		return
	}
	req, err := a.newRequest(r, set, id, pool)
	if err != nil {
		a.refuse(w, err)
		return
	}
	req.Arrived = arrived
	req.Path = r.URL.RequestURI()
	req.Body = withPriority(body, req.Class.Tier)
	req.Stream = m.Stream
	req.MaxTokens = max(m.MaxTokens, m.MaxCompletionTokens)
	req.Prompt = len(body) / bytesPerToken
	req.Prefix = prefixHash(id.Team.Name, m.Model, m.promptPrefix())
	a.run(w, r, req)
}

// withPriority inserts the engine priority (lower runs first) into body, a JSON
// object with at least one field.
func withPriority(body []byte, tier int) []byte {
	i := bytes.IndexByte(body, '{')
	out := make([]byte, 0, len(body)+16)
	out = append(out, body[:i+1]...)
	out = append(out, `"priority":`...)
	out = strconv.AppendInt(out, int64(tier), 10)
	out = append(out, ',')
	return append(out, body[i+1:]...)
}

// prefixHash returns zero if start is empty. The hash includes the team, so that
// cache affinity never links requests of different teams.
func prefixHash(team, model string, start []byte) uint64 {
	if len(start) == 0 {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(team + "\x00" + model + "\x00")
	_, _ = d.Write(start)
	return d.Sum64()
}

func (a *API) handleService(w http.ResponseWriter, r *http.Request) {
	arrived := a.node.Now()
	set, id, body, err := a.readRequest(w, r)
	if err != nil {
		a.refuse(w, err)
		return
	}
	pool := set.Pool(chi.URLParam(r, "name"))
	if pool == nil || pool.Kind != decl.Service {
		a.refuse(w, verdict.Refuse(verdict.UnknownModel, "the service %q does not exist", chi.URLParam(r, "name")))
		return
	}
	req, err := a.newRequest(r, set, id, pool)
	if err != nil {
		a.refuse(w, err)
		return
	}
	req.Arrived = arrived
	req.Path = strings.TrimPrefix(r.URL.RequestURI(), "/services/"+pool.Name)
	req.Body = body
	a.run(w, r, req)
}

func (a *API) readRequest(w http.ResponseWriter, r *http.Request) (*decl.Set, decl.Identity, []byte, error) {
	set, id, err := a.authenticate(r)
	if err != nil {
		return nil, id, nil, err
	}
	body, err := a.readBody(w, r)
	return set, id, body, err
}

// authenticate returns the client's identity and the declarations in force. It
// counts the request.
func (a *API) authenticate(r *http.Request) (*decl.Set, decl.Identity, error) {
	a.counters.Requests.Add(1)
	set, ok := a.node.Declarations()
	if !ok {
		return nil, decl.Identity{}, verdict.Refuse(verdict.NoConfiguration, "no configuration is in force yet").WithRetryAfter(time.Second)
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, decl.Identity{}, verdict.Refuse(verdict.Unauthenticated, "a bearer token is needed")
	}
	id, ok := set.Authenticate(token)
	if !ok {
		return nil, decl.Identity{}, verdict.Refuse(verdict.Unauthenticated, "the bearer token is not known")
	}
	return set, id, nil
}

func (a *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.opt.MaxBody))
	if errors.As(err, new(*http.MaxBytesError)) {
		return nil, verdict.Refuse(verdict.TooLarge, "the body is larger than %d bytes", a.opt.MaxBody)
	}
	if err != nil {
		return nil, verdict.Refuse(verdict.BadRequest, "the body could not be read: %v", err)
	}
	return body, nil
}

func (a *API) newRequest(r *http.Request, set *decl.Set, id decl.Identity, pool *decl.Pool) (*dispatch.Request, error) {
	name := r.Header.Get(ClassHeader)
	switch {
	case name == "" && pool.Class != "":
		name = pool.Class
	case name == "":
		name = id.Team.Class
	case !id.Team.MayUse(name) && name != pool.Class:
		return nil, verdict.Refuse(verdict.Forbidden, "team %q may not use class %q", id.Team.Name, name)
	}
	class := set.Class(name)
	if class == nil {
		return nil, verdict.Refuse(verdict.UnknownClass, "class %q is not declared", name)
	}
	req := &dispatch.Request{
		ID:         r.Header.Get(dispatch.RequestIDHeader),
		Pool:       pool,
		Class:      class,
		Team:       id.Team.Name,
		Method:     r.Method,
		Header:     r.Header,
		Repeatable: class.Repeatable && r.Header.Get(RepeatableHeader) != "false",
	}
	if req.ID == "" {
		req.ID = newRequestID(a.node.Name())
	}
	key := r.Header.Get(KeyHeader)
	if len(key) > maxKeyBytes {
		return nil, verdict.Refuse(verdict.BadRequest, "the %s is longer than %d bytes", KeyHeader, maxKeyBytes)
	}
	if key != "" {
		k := hashKey(id.Team.Name, r.URL.Path, key)
		req.Key = &k
	}
	return req, nil
}

// hashKey includes team and path, to which idempotency keys are scoped.
func hashKey(team, path, key string) owner.Key {
	var k owner.Key
	text := team + "\x00" + path + "\x00" + key
	for i, salt := range []string{"a", "b"} {
		sum := xxhash.Sum64String(salt + text)
		for j := range 8 {
			k[8*i+j] = byte(sum >> (8 * j))
		}
	}
	return k
}

// run dispatches req and writes its response to w.
func (a *API) run(w http.ResponseWriter, r *http.Request, req *dispatch.Request) {
	select {
	case <-a.stop:
		a.refuse(w, verdict.Refuse(verdict.Leaving, "instance %s is leaving", a.node.Name()).WithRetryAfter(time.Second))
		return
	default:
	}
	select {
	case a.slots <- struct{}{}:
		defer func() { <-a.slots }()
	default:
		a.refuse(w, verdict.Refuse(verdict.Overloaded, "instance %s holds %d requests", a.node.Name(), a.opt.Open).WithRetryAfter(time.Second))
		return
	}
	a.counters.Open.Add(1)
	defer a.counters.Open.Add(-1)
	ctx, cancel := context.WithTimeout(r.Context(), a.opt.MaxTime)
	defer cancel()
	s := &sink{w: w, flush: http.NewResponseController(w), instance: a.node.Name(), id: req.ID}
	res := a.dispatcher.Do(ctx, req, s)
	a.record(req, &res)
	switch {
	case res.Err == nil:
	case !res.Started:
		a.writeError(w, res.Err)
	default:
		s.abort(res.Err)
	}
}

func (a *API) record(req *dispatch.Request, res *dispatch.Result) {
	row := ledger.Row{Class: req.Class.Name, Team: req.Team, Endpoint: res.Endpoint, DataCentre: a.node.DataCentre()}
	a.counters.Tokens.Add(int64(res.Tokens))
	if res.Joined {
		a.counters.Joined.Add(1)
	}
	switch {
	case res.Err == nil && res.Late:
		row.Outcome = ledger.Late
		a.counters.Late.Add(1)
	case res.Err == nil:
		row.Outcome = ledger.Served
		a.counters.Served.Add(1)
	case res.Err.Verdict == verdict.NotRun:
		row.Outcome, row.Reason = ledger.Refused, string(res.Err.Reason)
		a.counters.Refused.Add(row.Reason, 1)
	default:
		row.Outcome, row.Reason = ledger.Failed, string(res.Err.Reason)
		a.counters.Failed.Add(row.Reason, 1)
	}
	a.node.Ledger().Add(a.node.Now(), row)
}

// refuse writes the error response for a request that was not dispatched.
func (a *API) refuse(w http.ResponseWriter, err error) {
	e := verdict.Of(err)
	a.counters.Refused.Add(string(e.Reason), 1)
	a.writeError(w, e)
}

func (a *API) writeError(w http.ResponseWriter, e *verdict.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(VerdictHeader, e.Verdict.String())
	h.Set(ReasonHeader, string(e.Reason))
	h.Set(InstanceHeader, a.node.Name())
	if e.Verdict != verdict.NotRun {
		h.Set(shouldRetryHeader, "false")
	}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((e.RetryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(e.Reason.Status())
	_, _ = w.Write(errorBody(e))
}

// An ErrorBody is the body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// An ErrorDetail is an OpenAI error object with two more fields: the verdict and,
// in seconds, the delay before a retry.
type ErrorDetail struct {
	Message    string  `json:"message"`
	Type       string  `json:"type"`
	Param      *string `json:"param"`
	Code       string  `json:"code"`
	Verdict    string  `json:"verdict"`
	RetryAfter float64 `json:"retry_after_s,omitempty"`
}

func errorBody(e *verdict.Error) []byte {
	data, err := json.Marshal(ErrorBody{ErrorDetail{
		Message:    e.Error(),
		Type:       errorType(e.Reason.Status()),
		Code:       string(e.Reason),
		Verdict:    e.Verdict.String(),
		RetryAfter: e.RetryAfter.Seconds(),
	}})
	if err != nil {
		panic(err) // an ErrorBody always encodes
	}
	return data
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (a *API) handleModels(w http.ResponseWriter, r *http.Request) {
	set, _, err := a.authenticate(r)
	if err != nil {
		a.refuse(w, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for i := range set.Pools {
		if set.Pools[i].Kind == decl.Model {
			list.Data = append(list.Data, modelItem{ID: set.Pools[i].Name, Object: "model", OwnedBy: "ivyridge"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
