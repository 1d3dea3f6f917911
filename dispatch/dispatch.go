// Package dispatch runs one admitted request until it is answered.
//
// Do claims the request's key if the request must not be repeated, acquires a grant, sends the
// request to the granted endpoint and forwards the answer. A failed attempt is retried only if it
// certainly did not run or the request is repeatable, and only within a retry budget. The state
// machine in chart/charts/request.yaml determines the verdict of a failed request.
package dispatch

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"ivyridge/chart"
	"ivyridge/decl"
	"ivyridge/memory"
	"ivyridge/node"
	"ivyridge/owner"
	"ivyridge/verdict"
)

const (
	maxAttempts = 4
	// claimTTL is how long after its claim a keyed request may be sent. It is below
	// owner.Retention, so that the owners still hold the record.
	claimTTL = owner.Retention / 2
)

// A Fleet provides grants and claims. *node.Node implements it.
type Fleet interface {
	Now() time.Duration
	Acquire(ctx context.Context, r *node.Request) (*node.Grant, error)
	GrantValid(g *node.Grant) bool
	Release(g *node.Grant, e node.Outcome)
	RecordTokens(g *node.Grant, count int, elapsed time.Duration)
	Claim(ctx context.Context, k owner.Key) (*node.Claim, error)
	Withdraw(c *node.Claim)
	StoreAnswer(c *node.Claim, a *node.Answer)
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
	Path       string // includes the query
	Header     http.Header
	Body       []byte
	Stream     bool
	Repeatable bool
	Key        *owner.Key // hash of the idempotency key, nil if none
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

// A Result is the outcome of a request.
type Result struct {
	Endpoint   string
	Tokens     int
	FirstToken time.Duration // from arrival to the first token or byte
	Total      time.Duration
	Late       bool
	Joined     bool // the answer or failure is that of an earlier attempt
	Started    bool // Sink.Start was called
	Err        *verdict.Error
}

// A Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	fleet       Fleet
	pooled      *http.Client // reuses connections
	unpooled    *http.Client // a new connection for each request
	budget      budget
	retries     *expvar.Map
	answerLimit int64           // for an answer that is not streamed, in bytes
	answers     *memory.Account // of those answers
}

// New returns a Dispatcher on f. Retries are counted by reason in retries.
func New(f Fleet, retries *expvar.Map) *Dispatcher {
	return NewWithTransports(f, retries, transport(true), transport(false))
}

// NewWithTransports returns a Dispatcher that reaches endpoints over the transport pooled, and over
// unpooled for requests that must not be sent on a reused connection.
func NewWithTransports(f Fleet, retries *expvar.Map, pooled, unpooled http.RoundTripper) *Dispatcher {
	return &Dispatcher{
		fleet:       f,
		pooled:      &http.Client{Transport: pooled, CheckRedirect: noRedirect},
		unpooled:    &http.Client{Transport: unpooled, CheckRedirect: noRedirect},
		budget:      newBudget(),
		retries:     retries,
		answerLimit: maxAnswer,
		answers:     memory.New(maxHeldAnswers),
	}
}

// A run is the state of one request in progress.
type run struct {
	d          *Dispatcher
	req        *Request
	sink       Sink
	machine    chart.Machine
	claim      *node.Claim
	res        Result
	avoid      string
	mayHaveRun bool      // an earlier attempt may have run
	recorder   *recorder // records the answer of a keyed request, else nil
}

// Do runs req until it is answered, refused or failed, or ctx is done. A request with a key
// that must not be repeated runs on after ctx is cancelled, up to its deadline.
func (d *Dispatcher) Do(ctx context.Context, req *Request, sink Sink) Result {
	d.budget.deposit()
	r := &run{d: d, req: req, sink: sink, machine: chart.Request.New()}
	if req.Key != nil && !req.Repeatable {
		r.recorder = &recorder{sink: sink}
		r.sink = r.recorder
		// A caller that disconnects may retry for the answer.
		var cancel context.CancelFunc
		ctx, cancel = withoutCancel(ctx)
		defer cancel()
	}
	err := r.execute(ctx)
	r.res.Total = d.fleet.Now() - req.Arrived
	if err != nil {
		r.res.Err = r.verdictOf(ctx, err)
	} else {
		r.res.Late = r.late()
	}
	r.finishClaim()
	return r.res
}

// withoutCancel returns a context with ctx's deadline that is not cancelled with ctx.
func withoutCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	base := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(base, deadline)
	}
	return base, func() {}
}

func (r *run) execute(ctx context.Context) error {
	if r.recorder != nil {
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
		if !r.shouldRetry(ctx, attempt, err) {
			return err
		}
	}
}

// claimKey claims the request's key, or forwards the answer of the attempt that holds it.
func (r *run) claimKey(ctx context.Context) (joined bool, err error) {
	const maxClaims = 3
	for range maxClaims {
		c, err := r.d.fleet.Claim(ctx, *r.req.Key)
		if err != nil {
			return false, err
		}
		if c.Holder == nil {
			r.claim = c
			r.machine.Step(evClaim)
			return false, nil
		}
		ans, err := r.d.fleet.Join(ctx, c.Holder)
		if err != nil {
			r.res.Joined = true // the failure concerns the other attempt
			return false, err
		}
		if ans != nil {
			return true, r.replay(ans)
		}
		r.d.retries.Add("claim-withdrawn", 1)
	}
	return false, verdict.Refuse(verdict.KeyConflict, "other attempts at the same key keep beginning").WithRetryAfter(time.Second)
}

// replay sends the caller the answer of an earlier attempt.
func (r *run) replay(ans *node.Answer) error {
	r.res.Joined = true
	if ans.Failure != nil {
		return ans.Failure
	}
	r.recorder = nil
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
	if !r.d.fleet.GrantValid(g) {
		r.d.fleet.Release(g, node.Outcome{})
		r.machine.Step(evExpire)
		return verdict.Refuse(verdict.GrantExpired, "endpoint %s was withdrawn", g.Endpoint)
	}
	if r.claim != nil && r.d.fleet.Now()-r.claim.At > claimTTL {
		r.d.fleet.Release(g, node.Outcome{})
		return verdict.Refuse(verdict.GrantExpired, "the request waited longer than its key is held")
	}
	outcome, err := r.send(ctx, g)
	r.d.fleet.Release(g, outcome)
	if err != nil {
		r.avoid = g.Endpoint
	}
	return err
}

// shouldRetry reports whether another attempt may follow, and charges the retry budget if so.
func (r *run) shouldRetry(ctx context.Context, attempt int, err error) bool {
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
		r.machine, r.mayHaveRun = chart.Request.New(), true
	default:
		return false
	}
	if !r.d.budget.withdraw() {
		r.d.retries.Add(string(verdict.RetryBudget), 1)
		return false
	}
	r.d.retries.Add(string(e.Reason), 1)
	return true
}

// verdictOf returns the error reported to the caller for err.
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
	if r.mayHaveRun && e.Verdict == verdict.NotRun {
		e.Verdict = verdict.MayHaveRun
	}
	return &e
}

// finishClaim withdraws the claim of a request that was not run, and else stores its answer.
func (r *run) finishClaim() {
	if r.claim == nil {
		return
	}
	if r.res.Err != nil && r.res.Err.Verdict == verdict.NotRun {
		r.d.fleet.Withdraw(r.claim)
		return
	}
	ans := &node.Answer{Failure: r.res.Err}
	if r.res.Err == nil {
		ans = r.recorder.answer()
	}
	r.d.fleet.StoreAnswer(r.claim, ans)
}

func (r *run) late() bool {
	c := r.req.Class
	return c.FirstToken > 0 && r.res.FirstToken > c.FirstToken || c.Whole > 0 && r.res.Total > c.Whole
}

func (r *run) start(status int, h http.Header) {
	r.res.Started = true
	r.sink.Start(status, h)
}

// A recorder forwards an answer and keeps a copy.
type recorder struct {
	sink        Sink
	status      int
	contentType string
	body        []byte
}

func (k *recorder) Start(status int, h http.Header) {
	k.status, k.contentType = status, h.Get("Content-Type")
	k.sink.Start(status, h)
}

// Write ignores errors of the caller's sink: the answer is still recorded for a retry.
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
