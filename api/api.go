// Package api serves callers: the OpenAI HTTP interface for models, and a
// plain path for services.
//
// A caller shows a bearer token that names its team; the class comes from
// the team's binding, from the pool, or from a header where the binding
// allows it. Every answer that is not a plain success has the OpenAI error
// shape and carries its verdict and reason, in the body and in headers.
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

// Headers of requests and answers.
const (
	ClassHeader      = "X-Ivyridge-Class"
	RepeatableHeader = "X-Ivyridge-Repeatable"
	KeyHeader        = "Idempotency-Key"
	VerdictHeader    = "X-Ivyridge-Verdict"
	ReasonHeader     = "X-Ivyridge-Reason"
	InstanceHeader   = "X-Ivyridge-Instance"
	// noRetryHeader stops OpenAI client libraries from repeating a request
	// that may have run.
	noRetryHeader = "X-Should-Retry"
)

const (
	maxKey       = 256
	bytesAToken  = 4
	prefixLength = 1024 // bytes of the first message that name a prefix
)

// A Node is what the api needs of the instance.
type Node interface {
	Name() string
	DataCentre() string
	Now() time.Duration
	Declarations() (*decl.Set, bool)
	Ready() (bool, string)
	Ledger() *ledger.Ledger
}

var _ Node = (*node.Node)(nil)

// Options bound what callers may do.
type Options struct {
	MaxBody int64
	MaxTime time.Duration
	Open    int // requests at once
}

// An API serves callers. It is safe for concurrent use.
type API struct {
	node  Node
	disp  *dispatch.Dispatcher
	opt   Options
	open  chan struct{}
	stop  chan struct{} // closed when new requests are refused
	count Counters
}

// Counters are published for operators.
type Counters struct {
	Requests, Served, Late *expvar.Int
	Refused, Failed        *expvar.Map // by reason
	Joined, Tokens         *expvar.Int
	Open                   *expvar.Int
}

// NewCounters returns Counters that are also in m, if it is not nil.
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

// New returns an API of an instance.
func New(n Node, d *dispatch.Dispatcher, opt Options, c Counters) *API {
	return &API{node: n, disp: d, opt: opt, open: make(chan struct{}, opt.Open), stop: make(chan struct{}), count: c}
}

// Handler returns the handler of the callers' listener.
func (a *API) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", a.model)
	r.Post("/v1/completions", a.model)
	r.Get("/v1/models", a.models)
	r.HandleFunc("/services/{name}/*", a.service)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	r.Get("/readyz", a.ready)
	r.NotFound(func(w http.ResponseWriter, q *http.Request) {
		a.refuse(w, verdict.Refuse(verdict.BadRequest, "no such path: %s", q.URL.Path))
	})
	return r
}

// Stop refuses new requests from now on; those in progress go on.
func (a *API) Stop() { close(a.stop) }

// Wait waits until no request is in progress, or ctx is done. A request with
// a key goes on when its caller has hung up, so its connection does not tell.
func (a *API) Wait(ctx context.Context) error {
	for range cap(a.open) { // whoever holds all places is alone
		select {
		case a.open <- struct{}{}:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "requests in progress")
		}
	}
	return nil
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if ok, why := a.node.Ready(); !ok {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// modelBody is the part of a model request that is read.
type modelBody struct {
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

// start returns the bytes by which prefixes of the request are told apart.
func (b *modelBody) start() []byte {
	first := b.Prompt
	if len(b.Messages) > 0 {
		first = b.Messages[0].Content
	}
	return first[:min(len(first), prefixLength)]
}

func (a *API) model(w http.ResponseWriter, q *http.Request) {
	arrived := a.node.Now()
	set, id, body, err := a.receive(w, q)
	if err != nil {
		a.refuse(w, err)
		return
	}
	var m modelBody
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
	req, err := a.request(q, set, id, pool)
	if err != nil {
		a.refuse(w, err)
		return
	}
	req.Arrived = arrived
	req.Path = q.URL.RequestURI()
	req.Body = withPriority(body, req.Class.Tier)
	req.Stream = m.Stream
	req.MaxTokens = max(m.MaxTokens, m.MaxCompletionTokens)
	req.Prompt = len(body) / bytesAToken
	req.Prefix = prefixOf(id.Team.Name, m.Model, m.start())
	a.run(w, q, req)
}

// withPriority adds the tier as the engine's priority, lower first, to a body
// that is a JSON object with at least one field.
func withPriority(body []byte, tier int) []byte {
	i := bytes.IndexByte(body, '{')
	out := make([]byte, 0, len(body)+16)
	out = append(out, body[:i+1]...)
	out = append(out, `"priority":`...)
	out = strconv.AppendInt(out, int64(tier), 10)
	out = append(out, ',')
	return append(out, body[i+1:]...)
}

// prefixOf names a prompt's start within a team, so that no team's cache
// serves, or tells of, another's.
func prefixOf(team, model string, start []byte) uint64 {
	if len(start) == 0 {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(team + "\x00" + model + "\x00")
	_, _ = d.Write(start)
	return d.Sum64()
}

func (a *API) service(w http.ResponseWriter, q *http.Request) {
	arrived := a.node.Now()
	set, id, body, err := a.receive(w, q)
	if err != nil {
		a.refuse(w, err)
		return
	}
	pool := set.Pool(chi.URLParam(q, "name"))
	if pool == nil || pool.Kind != decl.Service {
		a.refuse(w, verdict.Refuse(verdict.UnknownModel, "the service %q does not exist", chi.URLParam(q, "name")))
		return
	}
	req, err := a.request(q, set, id, pool)
	if err != nil {
		a.refuse(w, err)
		return
	}
	req.Arrived = arrived
	req.Path = strings.TrimPrefix(q.URL.RequestURI(), "/services/"+pool.Name)
	req.Body = body
	a.run(w, q, req)
}

// receive takes in a request: who sends it, and its body.
func (a *API) receive(w http.ResponseWriter, q *http.Request) (*decl.Set, decl.Identity, []byte, error) {
	set, id, err := a.admitCaller(q)
	if err != nil {
		return nil, id, nil, err
	}
	body, err := a.readBody(w, q)
	return set, id, body, err
}

// admitCaller authenticates the caller against what is in force.
func (a *API) admitCaller(q *http.Request) (*decl.Set, decl.Identity, error) {
	a.count.Requests.Add(1)
	set, ok := a.node.Declarations()
	if !ok {
		return nil, decl.Identity{}, verdict.Refuse(verdict.NoConfiguration, "no configuration is in force yet").After(time.Second)
	}
	token, ok := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, decl.Identity{}, verdict.Refuse(verdict.Unauthenticated, "a bearer token is needed")
	}
	id, ok := set.Authenticate(token)
	if !ok {
		return nil, decl.Identity{}, verdict.Refuse(verdict.Unauthenticated, "the bearer token is not known")
	}
	return set, id, nil
}

func (a *API) readBody(w http.ResponseWriter, q *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, a.opt.MaxBody))
	if errors.As(err, new(*http.MaxBytesError)) {
		return nil, verdict.Refuse(verdict.TooLarge, "the body is larger than %d bytes", a.opt.MaxBody)
	}
	if err != nil {
		return nil, verdict.Refuse(verdict.BadRequest, "the body could not be read: %v", err)
	}
	return body, nil
}

// request fills in what the caller's binding and headers say.
func (a *API) request(q *http.Request, set *decl.Set, id decl.Identity, pool *decl.Pool) (*dispatch.Request, error) {
	name := q.Header.Get(ClassHeader)
	switch {
	case name == "" && pool.Class != "":
		name = pool.Class
	case name == "":
		name = id.Team.Class
	case !id.Team.May(name) && name != pool.Class:
		return nil, verdict.Refuse(verdict.Forbidden, "team %q may not use class %q", id.Team.Name, name)
	}
	class := set.Class(name)
	if class == nil {
		return nil, verdict.Refuse(verdict.UnknownClass, "class %q is not declared", name)
	}
	req := &dispatch.Request{
		ID:         q.Header.Get(dispatch.RequestIDHeader),
		Pool:       pool,
		Class:      class,
		Team:       id.Team.Name,
		Method:     q.Method,
		Header:     q.Header,
		Repeatable: class.Repeatable && q.Header.Get(RepeatableHeader) != "false",
	}
	if req.ID == "" {
		req.ID = newID(a.node.Name())
	}
	key := q.Header.Get(KeyHeader)
	if len(key) > maxKey {
		return nil, verdict.Refuse(verdict.BadRequest, "the %s is longer than %d bytes", KeyHeader, maxKey)
	}
	if key != "" {
		k := keyOf(id.Team.Name, q.URL.Path, key)
		req.Key = &k
	}
	return req, nil
}

// keyOf hashes a caller's key within its team, so that no team meets
// another's.
func keyOf(team, path, key string) owner.Key {
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

// run takes a request to its end and accounts for it.
func (a *API) run(w http.ResponseWriter, q *http.Request, req *dispatch.Request) {
	select {
	case <-a.stop:
		a.refuse(w, verdict.Refuse(verdict.Leaving, "instance %s is leaving", a.node.Name()).After(time.Second))
		return
	default:
	}
	select {
	case a.open <- struct{}{}:
		defer func() { <-a.open }()
	default:
		a.refuse(w, verdict.Refuse(verdict.Overloaded, "instance %s holds %d requests", a.node.Name(), a.opt.Open).After(time.Second))
		return
	}
	a.count.Open.Add(1)
	defer a.count.Open.Add(-1)
	ctx, cancel := context.WithTimeout(q.Context(), a.opt.MaxTime)
	defer cancel()
	s := &sink{w: w, flush: http.NewResponseController(w), instance: a.node.Name(), id: req.ID}
	res := a.disp.Do(ctx, req, s)
	a.account(req, &res)
	switch {
	case res.Err == nil:
	case !res.Started:
		a.answerError(w, res.Err)
	default:
		s.abort(res.Err)
	}
}

// account counts a request under what became of it.
func (a *API) account(req *dispatch.Request, res *dispatch.Result) {
	row := ledger.Row{Class: req.Class.Name, Team: req.Team, Endpoint: res.Endpoint, DataCentre: a.node.DataCentre()}
	a.count.Tokens.Add(int64(res.Tokens))
	if res.Joined {
		a.count.Joined.Add(1)
	}
	switch {
	case res.Err == nil && res.Late:
		row.Outcome = ledger.Late
		a.count.Late.Add(1)
	case res.Err == nil:
		row.Outcome = ledger.Served
		a.count.Served.Add(1)
	case res.Err.Verdict == verdict.NotRun:
		row.Outcome, row.Reason = ledger.Refused, string(res.Err.Reason)
		a.count.Refused.Add(row.Reason, 1)
	default:
		row.Outcome, row.Reason = ledger.Failed, string(res.Err.Reason)
		a.count.Failed.Add(row.Reason, 1)
	}
	a.node.Ledger().Add(a.node.Now(), row)
}

// refuse answers a request that never got as far as a dispatcher.
func (a *API) refuse(w http.ResponseWriter, err error) {
	e := verdict.Of(err)
	a.count.Refused.Add(string(e.Reason), 1)
	a.answerError(w, e)
}

func (a *API) answerError(w http.ResponseWriter, e *verdict.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(VerdictHeader, e.Verdict.String())
	h.Set(ReasonHeader, string(e.Reason))
	h.Set(InstanceHeader, a.node.Name())
	if e.Verdict != verdict.NotRun {
		h.Set(noRetryHeader, "false")
	}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((e.RetryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(e.Reason.Status())
	_, _ = w.Write(errorBody(e))
}

// An ErrorBody is the body of an answer that is not a success.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// An ErrorDetail has the OpenAI shape, with the verdict added.
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

// errorType maps a status to the type names that OpenAI clients know.
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

// A modelList is the answer of GET /v1/models.
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

func (a *API) models(w http.ResponseWriter, q *http.Request) {
	set, _, err := a.admitCaller(q)
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
