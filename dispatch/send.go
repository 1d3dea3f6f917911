package dispatch

// This file sends a request to an endpoint once and reads its answer.

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"ivyridge/decl"
	"ivyridge/internal/http1"
	"ivyridge/memory"
	"ivyridge/node"
	"ivyridge/verdict"
)

const (
	connectTimeout      = 300 * time.Millisecond
	maxIdleConnsPerHost = 256
	stallTimeout        = 30 * time.Second // maximum pause within an answer
	// headerTimeoutFactor times the target is the timeout for headers, if above stallTimeout.
	headerTimeoutFactor = 4
	// RequestIDHeader carries the request's ID to the endpoint.
	RequestIDHeader = "X-Request-Id"
)

func transport(keepAlive bool) *http.Transport {
	return &http.Transport{
		DialContext:         http1.Dial((&net.Dialer{Timeout: connectTimeout}).DialContext),
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     20 * time.Second,
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// send makes one attempt on the endpoint of g.
func (r *run) send(caller context.Context, g *node.Grant) (node.Outcome, error) {
	r.machine.Step(evSend)
	r.res.Endpoint = g.Endpoint
	ctx, cancel := context.WithCancelCause(caller)
	defer cancel(nil)
	timer := newWatchdog(r.headerTimeout(), func() { cancel(errStalled) })
	defer timer.stop()
	sent := r.d.fleet.Now()
	connected := false
	res, err := r.post(ctx, g, &connected)
	if err != nil {
		return r.classifyError(ctx, connected, err)
	}
	defer res.Body.Close()
	if outcome, err, failed := r.classifyStatus(res); failed {
		return outcome, err
	}
	r.machine.Step(evHeaders)
	timer.reset(stallTimeout)
	var outcome node.Outcome
	if r.req.Stream && res.StatusCode == http.StatusOK {
		outcome, err = r.stream(res, g, sent, timer)
	} else {
		outcome, err = r.readComplete(res, sent)
	}
	if err != nil {
		r.machine.Step(evCut)
		outcome.Failed = outcome.Failed && caller.Err() == nil // not if the caller cancelled it
		return outcome, err
	}
	r.machine.Step(evFinish)
	return outcome, nil
}

var errStalled = errors.New("the endpoint fell silent")

func (r *run) headerTimeout() time.Duration {
	return max(stallTimeout, headerTimeoutFactor*r.req.Class.Whole)
}

func (r *run) post(ctx context.Context, g *node.Grant, connected *bool) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { *connected = true }}
	ctx = http1.WithCheck(httptrace.WithClientTrace(ctx, trace))
	req, err := http.NewRequestWithContext(ctx, r.req.Method, "http://"+g.Addr+r.req.Path, bytes.NewReader(r.req.Body))
	if err != nil {
		return nil, errors.Wrap(err, "send")
	}
	// Without GetBody the transport cannot send the body a second time.
	req.GetBody = nil
	copyHeader(req.Header, r.req.Header, "Content-Type", "Accept")
	req.Header.Set(RequestIDHeader, r.req.ID)
	req.Header.Set("X-Team", r.req.Team)
	req.Header.Set("X-Class", r.req.Class.Name)
	client := r.d.pooled
	if len(r.req.Body) == 0 && !r.req.Repeatable {
		// On a reused connection that breaks, the transport would send a GET again.
		client = r.d.unpooled
	}
	return client.Do(req)
}

func copyHeader(to, from http.Header, names ...string) {
	for _, name := range names {
		if v := from.Get(name); v != "" {
			to.Set(name, v)
		}
	}
}

// classifyError returns the outcome and error of an attempt that got no response because of err.
func (r *run) classifyError(ctx context.Context, connected bool, err error) (node.Outcome, error) {
	if !connected {
		r.machine.Step(evUnsent)
		if ctx.Err() != nil {
			return node.Outcome{}, errors.Wrap(err, "connect")
		}
		return node.Outcome{Failed: true}, verdict.Fail(verdict.NotRun, verdict.EndpointConnect, "%v", err).WithRetryAfter(time.Second)
	}
	if ctx.Err() != nil && context.Cause(ctx) != errStalled {
		return node.Outcome{}, errors.Wrap(err, "send")
	}
	r.machine.Step(evCut)
	return node.Outcome{Failed: true}, verdict.Fail(verdict.MayHaveRun, verdict.EndpointCut, "no answer: %v", err)
}

// classifyStatus handles status 429, which means that the request was not run, and 5xx, after which
// it may have run. For any other status failed is false.
func (r *run) classifyStatus(res *http.Response) (outcome node.Outcome, err error, failed bool) {
	switch {
	case res.StatusCode == http.StatusTooManyRequests:
		r.machine.Step(evRefusedUnrun)
		e := verdict.Fail(verdict.NotRun, verdict.EndpointBusy, "the endpoint takes no more")
		return node.Outcome{Busy: true}, e.WithRetryAfter(retryAfter(res)), true
	case res.StatusCode >= http.StatusInternalServerError:
		r.machine.Step(evCut)
		_, _ = io.CopyN(io.Discard, res.Body, 4<<10)
		return node.Outcome{Failed: true}, verdict.Fail(verdict.MayHaveRun, verdict.EndpointError, "the endpoint answered %s", res.Status), true
	}
	return node.Outcome{}, nil, false
}

func retryAfter(res *http.Response) time.Duration {
	s, err := strconv.Atoi(res.Header.Get("Retry-After"))
	if err != nil || s < 0 {
		return time.Second
	}
	return time.Duration(s) * time.Second
}

// usage is the part of a response body that is decoded.
type usage struct {
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// readComplete reads the entire response before it forwards any of it.
func (r *run) readComplete(res *http.Response, sent time.Duration) (node.Outcome, error) {
	held := r.d.answers.Reserve(memory.Bodies, 0)
	if held == nil {
		return node.Outcome{}, verdict.Fail(verdict.Ran, verdict.ResponseNoMemory, "%s", errAnswerMemory)
	}
	defer held.Close()
	body, err := readAnswer(res.Body, r.d.answerLimit, held)
	switch {
	case err == errAnswerTooLong:
		return node.Outcome{}, verdict.Fail(verdict.Ran, verdict.EndpointError, "the answer is larger than %d bytes", r.d.answerLimit)
	case err == errAnswerMemory:
		return node.Outcome{}, verdict.Fail(verdict.Ran, verdict.ResponseNoMemory, "%s", err)
	case err != nil:
		return node.Outcome{Failed: true}, verdict.Fail(verdict.Ran, verdict.EndpointCut, "the answer was cut: %v", err)
	}
	now := r.d.fleet.Now()
	r.res.FirstToken = now - r.req.Arrived
	outcome := node.Outcome{Complete: true, Late: r.lateAt(now, now)}
	if r.req.Pool.Kind == decl.Model {
		var u usage
		if json.Unmarshal(body, &u) == nil {
			outcome.Tokens = u.Usage.CompletionTokens
		}
		r.res.Tokens = outcome.Tokens
	}
	r.start(res.StatusCode, res.Header)
	if err := r.sink.Write(body); err != nil {
		return outcome, errors.Wrap(err, "caller")
	}
	return outcome, nil
}

// lateAt reports whether an answer whose first token came at first and which ended at end is late.
func (r *run) lateAt(first, end time.Duration) bool {
	c, at := r.req.Class, r.req.Arrived
	return c.FirstToken > 0 && first-at > c.FirstToken || c.Whole > 0 && end-at > c.Whole
}

// A watchdog calls a function unless it is reset in time.
type watchdog struct{ t *time.Timer }

func newWatchdog(d time.Duration, f func()) *watchdog { return &watchdog{time.AfterFunc(d, f)} }

func (w *watchdog) reset(d time.Duration) { w.t.Reset(d) }

func (w *watchdog) stop() { w.t.Stop() }
