// Package dispatch takes one request from its admission to its answer.
//
// Do claims the request's key where it must not be repeated, acquires a
// grant, sends the request to the endpoint granted and passes the answer on.
// Where an attempt fails it is repeated only if it surely did not run, or if
// its class may be repeated, and only within a budget. The request's state
// is kept in the chart of charts/request.yaml, and the verdict of a failure
// is the verdict of the state that it ended in: nothing here decides it a
// second time.
//
// The files: dispatch.go (the steps), send.go (one attempt), stream.go
// (passing a stream on), budget.go (the retry budget).
package dispatch

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"ivyridge/chart"
	"ivyridge/decl"
	"ivyridge/node"
	"ivyridge/owner"
	"ivyridge/verdict"
)

// Limits of an attempt.
const (
	maxAttempts = 4
	// claimLife is how long after its claim a keyed request may be sent;
	// far below owner.Retention, so that no owner forgets it before.
	claimLife = owner.Retention / 2
)

// A Fleet is what the node gives a request. *node.Node implements it.
type Fleet interface {
	Now() time.Duration
	Acquire(ctx context.Context, r *node.Request) (*node.Grant, error)
	May(g *node.Grant) bool
	Release(g *node.Grant, e node.End)
	SawTokens(g *node.Grant, count int, elapsed time.Duration)
	Claim(ctx context.Context, k owner.Key) (*node.Claim, error)
	Withdraw(c *node.Claim)
	Keep(c *node.Claim, a *node.Answer)
	Join(ctx context.Context, r *owner.Record) (*node.Answer, error)
}

var _ Fleet = (*node.Node)(nil)

// A Request is one caller's request.
type Request struct {
	ID         string
	Pool       *decl.Pool
	Class      *decl.Class
	Team       string
	Method     string
	Path       string // with its query
	Header     http.Header
	Body       []byte
	Stream     bool
	Repeatable bool
	Key        *owner.Key // of a request that its caller named
	Prompt     int
	MaxTokens  int
	Prefix     uint64
	Arrived    time.Duration
}

// A Sink receives an answer. Start is called once, before the first Write.
type Sink interface {
	Start(status int, header http.Header)
	Write(p []byte) error
}

// A Result tells what became of a request.
type Result struct {
	Endpoint string
	Tokens   int
	First    time.Duration // from arrival to the first token or byte
	Total    time.Duration
	Late     bool
	Joined   bool // the answer is that of an earlier attempt
	Started  bool // the sink has been given something
	Err      *verdict.Error
}

// A Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	fleet  Fleet
	client *http.Client // keeps connections
	once   *http.Client // a new connection for each request
	budget budget
	retry  *expvar.Map
	limit  int64 // bytes of an answer that is held whole
}

// maxAnswer bounds an answer that is not streamed.
const maxAnswer = 16 << 20

// New returns a Dispatcher. Retries are counted by reason in retries.
func New(f Fleet, retries *expvar.Map) *Dispatcher {
	return NewOver(f, retries, transport(true), transport(false))
}

// NewOver returns a Dispatcher that reaches endpoints over keep, and over
// once where a connection must not be used twice.
func NewOver(f Fleet, retries *expvar.Map, keep, once http.RoundTripper) *Dispatcher {
	return &Dispatcher{
		fleet:  f,
		client: &http.Client{Transport: keep, CheckRedirect: noRedirect},
		once:   &http.Client{Transport: once, CheckRedirect: noRedirect},
		budget: newBudget(),
		retry:  retries,
		limit:  maxAnswer,
	}
}

// A run is the state of one request in progress.
type run struct {
	d       *Dispatcher
	req     *Request
	sink    Sink
	machine chart.Machine
	claim   *node.Claim
	res     Result
	avoid   string
	doubt   bool      // an earlier attempt may have run
	record  *recorder // keeps the answer of a claimed request
}

// Do runs a request to its end.
func (d *Dispatcher) Do(ctx context.Context, req *Request, sink Sink) Result {
	d.budget.deposit()
	r := &run{d: d, req: req, sink: sink, machine: chart.Request.New()}
	if req.Key != nil && !req.Repeatable {
		r.record = &recorder{sink: sink}
		r.sink = r.record
		// The caller may go and come back for the answer.
		var cancel context.CancelFunc
		ctx, cancel = detached(ctx)
		defer cancel()
	}
	err := r.steps(ctx)
	r.res.Total = d.fleet.Now() - req.Arrived
	if err != nil {
		r.res.Err = r.verdictOf(ctx, err)
	} else {
		r.res.Late = r.late()
	}
	r.settle()
	return r.res
}

// detached returns a context that keeps ctx's deadline but not its end.
func detached(ctx context.Context) (context.Context, context.CancelFunc) {
	free := context.WithoutCancel(ctx)
	if at, ok := ctx.Deadline(); ok {
		return context.WithDeadline(free, at)
	}
	return free, func() {}
}

func (r *run) steps(ctx context.Context) error {
	if r.record != nil {
		joined, err := r.claimKey(ctx)
		if joined || err != nil {
			return err
		}
	}
	for attempt := 1; ; attempt++ {
		err := r.attempt(ctx)
		if err == nil {
			return nil
		}
		if !r.again(ctx, attempt, err) {
			return err
		}
	}
}

// claimKey claims the request's key, or passes on the answer of the attempt
// that has it.
func (r *run) claimKey(ctx context.Context) (joined bool, err error) {
	const claims = 3
	for range claims {
		c, err := r.d.fleet.Claim(ctx, *r.req.Key)
		if err != nil {
			return false, err
		}
		if c.Other == nil {
			r.claim = c
			r.machine.Step(evClaim)
			return false, nil
		}
		ans, err := r.d.fleet.Join(ctx, c.Other)
		if err != nil {
			r.res.Joined = true // what is known is known of the other attempt
			return false, err
		}
		if ans != nil {
			return true, r.pass(ans)
		}
		r.d.retry.Add("claim-withdrawn", 1)
	}
	return false, verdict.Refuse(verdict.KeyConflict, "other attempts at the same key keep beginning").After(time.Second)
}

// pass gives the caller the answer of an earlier attempt.
func (r *run) pass(ans *node.Answer) error {
	r.res.Joined = true
	if ans.Failure != nil {
		return ans.Failure
	}
	r.record = nil
	r.start(ans.Status, http.Header{"Content-Type": {ans.ContentType}})
	return r.sink.Write(ans.Body)
}

// attempt acquires a grant and sends the request once.
func (r *run) attempt(ctx context.Context) error {
	r.machine.Step(evAsk)
	g, err := r.d.fleet.Acquire(ctx, &node.Request{
		Pool:      r.req.Pool.Name,
		Class:     r.req.Class.Name,
		Team:      r.req.Team,
		Prompt:    r.req.Prompt,
		MaxTokens: r.req.MaxTokens,
		Prefix:    r.req.Prefix,
		Avoid:     r.avoid,
		Arrived:   r.req.Arrived,
	})
	if err != nil {
		return err
	}
	r.machine.Step(evGrant)
	if !r.d.fleet.May(g) {
		r.d.fleet.Release(g, node.End{})
		r.machine.Step(evExpire)
		return verdict.Refuse(verdict.GrantExpired, "endpoint %s was withdrawn", g.Endpoint)
	}
	if r.claim != nil && r.d.fleet.Now()-r.claim.At > claimLife {
		r.d.fleet.Release(g, node.End{})
		return verdict.Refuse(verdict.GrantExpired, "the request waited longer than its key is held")
	}
	end, err := r.send(ctx, g)
	r.d.fleet.Release(g, end)
	if err != nil {
		r.avoid = g.Endpoint
	}
	return err
}

// again reports whether a failed attempt may be followed by another.
func (r *run) again(ctx context.Context, attempt int, err error) bool {
	e := verdict.Of(err)
	if ctx.Err() != nil || r.res.Started || attempt >= maxAttempts || r.machine.Final() && !r.req.Repeatable {
		return false
	}
	switch e.Reason {
	case verdict.EndpointConnect, verdict.EndpointBusy, verdict.GrantExpired:
	case verdict.EndpointError, verdict.EndpointCut:
		if !r.req.Repeatable {
			return false
		}
		r.machine, r.doubt = chart.Request.New(), true
	default:
		return false
	}
	if !r.d.budget.withdraw() {
		r.d.retry.Add(string(verdict.RetryBudget), 1)
		return false
	}
	r.d.retry.Add(string(e.Reason), 1)
	return true
}

// verdictOf is what the caller is told of err.
func (r *run) verdictOf(ctx context.Context, err error) *verdict.Error {
	e := *verdict.Of(err)
	if r.res.Joined {
		return &e
	}
	if ctx.Err() != nil {
		r.machine.Step(evGone)
		e.Reason = verdict.CallerGone
		if context.Cause(ctx) == context.DeadlineExceeded {
			e.Reason = verdict.TimeLimit
		}
	} else {
		r.machine.Step(evRefuse)
	}
	e.Verdict = r.machine.Verdict()
	if r.doubt && e.Verdict == verdict.NotRun {
		e.Verdict = verdict.MayHaveRun
	}
	return &e
}

// settle withdraws the claim of a request that was not run, and keeps the
// answer of any other for repeats.
func (r *run) settle() {
	if r.claim == nil {
		return
	}
	if r.res.Err != nil && r.res.Err.Verdict == verdict.NotRun {
		r.d.fleet.Withdraw(r.claim)
		return
	}
	ans := &node.Answer{Failure: r.res.Err}
	if r.res.Err == nil {
		ans = r.record.answer()
	}
	r.d.fleet.Keep(r.claim, ans)
}

func (r *run) late() bool {
	c := r.req.Class
	return c.FirstToken > 0 && r.res.First > c.FirstToken || c.Whole > 0 && r.res.Total > c.Whole
}

func (r *run) start(status int, h http.Header) {
	r.res.Started = true
	r.sink.Start(status, h)
}

// A recorder passes an answer on and keeps a copy.
type recorder struct {
	sink        Sink
	status      int
	contentType string
	body        []byte
}

// Start implements Sink.
func (k *recorder) Start(status int, h http.Header) {
	k.status, k.contentType = status, h.Get("Content-Type")
	k.sink.Start(status, h)
}

// Write implements Sink. A caller that has gone does not end a claimed
// request's record: its repeat will ask for it.
func (k *recorder) Write(p []byte) error {
	k.body = append(k.body, p...)
	_ = k.sink.Write(p)
	return nil
}

func (k *recorder) answer() *node.Answer {
	return &node.Answer{Status: k.status, ContentType: k.contentType, Body: k.body}
}

var (
	evClaim        = chart.Request.Event("claim")
	evAsk          = chart.Request.Event("ask")
	evGrant        = chart.Request.Event("grant")
	evExpire       = chart.Request.Event("expire")
	evSend         = chart.Request.Event("send")
	evUnsent       = chart.Request.Event("unsent")
	evRefusedUnrun = chart.Request.Event("refused_unrun")
	evHeaders      = chart.Request.Event("headers")
	evFinish       = chart.Request.Event("finish")
	evCut          = chart.Request.Event("cut")
	evRefuse       = chart.Request.Event("refuse")
	evGone         = chart.Request.Event("gone")
)
