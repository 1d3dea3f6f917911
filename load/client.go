package load

// This file sends the requests of a run, as callers behind a balancer.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"ivyridge/api"
	"ivyridge/verdict"
)

const (
	healthEvery  = 200 * time.Millisecond
	healthWithin = 150 * time.Millisecond
	maxConns     = 4096
	bytesAToken  = 4
	requestWait  = 5 * time.Minute
)

// An Outcome is what a caller saw of one request.
type Outcome struct {
	Arrival
	ID      string
	Status  int // zero if no answer came
	Verdict string
	Reason  string
	First   time.Duration // from the intended start
	End     time.Duration
	Tokens  int
	Whole   bool // the answer came to its end
	Crossed bool // the answer names another request
	Repeats int
	Held    time.Duration // of a refusal, from sending to its answer
}

// OnTime reports whether the request was answered whole within its targets.
func (o *Outcome) OnTime() bool {
	c := o.Class
	return o.Whole && !o.Crossed &&
		(c.FirstToken == 0 || o.First <= c.FirstToken) &&
		(c.Whole == 0 || o.End <= c.Whole)
}

// A Client sends a run's requests to the instances behind a balancer of its
// own: round robin over those that say they are ready.
type Client struct {
	run     string
	targets []string
	ready   []atomic.Bool
	turn    atomic.Uint64
	http    *http.Client
	Done    atomic.Int64
	Sent    atomic.Int64
}

// NewClient returns a Client for targets, each IP:port. Run names the run in
// the ids of its requests.
func NewClient(run string, targets []string) *Client {
	c := &Client{run: run, targets: targets, ready: make([]atomic.Bool, len(targets))}
	for i := range c.ready {
		c.ready[i].Store(true)
	}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: maxConns,
		DisableCompression:  true,
	}}
	return c
}

// Run sends all arrivals at their times and returns what came of each. It
// returns when all are answered, or when ctx is done.
func (c *Client) Run(ctx context.Context, arrivals []Arrival) []Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range c.targets {
		go c.watch(ctx, i)
	}
	out := make([]Outcome, len(arrivals))
	var wg sync.WaitGroup
	start := time.Now()
	for i := range arrivals {
		at := start.Add(arrivals[i].At)
		if !sleepUntil(ctx, at) {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			out[i] = c.request(ctx, &arrivals[i], at)
			c.Done.Add(1)
		}()
		c.Sent.Add(1)
	}
	wg.Wait()
	return out
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// watch is the balancer's health check of one target.
func (c *Client) watch(ctx context.Context, i int) {
	for sleepUntil(ctx, time.Now().Add(healthEvery)) {
		hctx, cancel := context.WithTimeout(ctx, healthWithin)
		req, err := http.NewRequestWithContext(hctx, http.MethodGet, "http://"+c.targets[i]+"/readyz", nil)
		if err == nil {
			var res *http.Response
			res, err = c.http.Do(req)
			if err == nil {
				_ = res.Body.Close()
				c.ready[i].Store(res.StatusCode == http.StatusOK)
			}
		}
		if err != nil {
			c.ready[i].Store(false)
		}
		cancel()
	}
}

// pick returns the next ready target.
func (c *Client) pick() string {
	for range c.targets {
		i := int(c.turn.Add(1)) % len(c.targets)
		if c.ready[i].Load() {
			return c.targets[i]
		}
	}
	return c.targets[int(c.turn.Add(1))%len(c.targets)]
}

// request sends one request, and again where its class's callers would.
func (c *Client) request(ctx context.Context, a *Arrival, start time.Time) Outcome {
	ctx, cancel := context.WithTimeout(ctx, requestWait)
	defer cancel()
	id := fmt.Sprintf("%s-%d", c.run, a.N)
	for try := 0; ; try++ {
		o := Outcome{Arrival: *a, ID: id, Repeats: try}
		wait := c.send(ctx, &o, start)
		o.End = time.Since(start)
		if o.Whole || wait == 0 || try >= a.Class.Repeats || !sleepUntil(ctx, time.Now().Add(wait)) {
			return o
		}
	}
}

// send sends o once. It returns when to ask again, or zero.
func (c *Client) send(ctx context.Context, o *Outcome, start time.Time) time.Duration {
	const reconnect = 100 * time.Millisecond
	var res *http.Response
	var err error
	sent := time.Now()
	for range c.targets {
		var req *http.Request
		if req, err = c.compose(ctx, o, c.pick()); err != nil {
			return 0
		}
		res, err = c.http.Do(req)
		var op *net.OpError
		if err == nil || !errors.As(err, &op) || op.Op != "dial" {
			break // only a connection that was never made is tried elsewhere
		}
	}
	if err != nil {
		return reconnect
	}
	defer res.Body.Close()
	o.Status = res.StatusCode
	o.Verdict, o.Reason = res.Header.Get(api.VerdictHeader), res.Header.Get(api.ReasonHeader)
	o.First = time.Since(start)
	if res.StatusCode != http.StatusOK {
		o.Held = time.Since(sent)
		return c.refused(res, o)
	}
	if o.Class.Stream {
		c.readStream(res.Body, o, start)
	} else {
		c.readWhole(res.Body, o)
	}
	if !o.Whole {
		return reconnect
	}
	return 0
}

func (c *Client) refused(res *http.Response, o *Outcome) time.Duration {
	_, _ = io.Copy(io.Discard, res.Body)
	s, err := strconv.Atoi(res.Header.Get("Retry-After"))
	if err != nil || o.Verdict != verdict.NotRun.String() {
		return 0
	}
	return time.Duration(s) * time.Second
}

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chat is a chat request.
type chat struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream"`
	Messages []message `json:"messages"`
}

func (c *Client) compose(ctx context.Context, o *Outcome, target string) (*http.Request, error) {
	orders := fmt.Sprintf("[[id=%s]] [[length=%d]]", o.ID, o.Length)
	url := "http://" + target + "/services/" + o.Class.Service + "/lookup"
	body := []byte(orders)
	if o.Class.Model != "" {
		url = "http://" + target + "/v1/chat/completions"
		var err error
		body, err = json.Marshal(chat{Model: o.Class.Model, Stream: o.Class.Stream, Messages: messages(o, orders)})
		if err != nil {
			return nil, errors.Wrap(err, "compose")
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "compose")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+o.Team.Token)
	req.Header.Set(api.ClassHeader, o.Class.Name)
	if o.Class.Keyed {
		req.Header.Set(api.KeyHeader, o.ID)
	}
	return req, nil
}

// messages makes a prompt: a part that the team's requests share, and one of
// its own.
func messages(o *Outcome, orders string) []message {
	shared := strings.Repeat(o.Team.Name+" ", 1+o.Class.Shared*bytesAToken/(len(o.Team.Name)+1))
	own := strings.Repeat("case ", max(0, (o.Class.Prompt-o.Class.Shared)*bytesAToken/5))
	if o.Class.Shared == 0 {
		return []message{{"user", orders + own}}
	}
	return []message{{"system", shared}, {"user", orders + own}}
}

// readStream reads server-sent events to the end.
func (c *Client) readStream(body io.Reader, o *Outcome, start time.Time) {
	r := bufio.NewScanner(body)
	r.Buffer(make([]byte, 0, 4<<10), 1<<20)
	for r.Scan() {
		line, ok := strings.CutPrefix(r.Text(), "data: ")
		switch {
		case !ok:
		case line == "[DONE]":
			o.Whole = true
			return
		case strings.HasPrefix(line, `{"error"`):
			c.streamError(line, o)
			return
		default:
			o.Tokens++
			if o.Tokens == 1 {
				o.First = time.Since(start)
			}
			o.Crossed = o.Crossed || !strings.Contains(line, o.ID)
		}
	}
}

func (c *Client) streamError(line string, o *Outcome) {
	var e api.ErrorBody
	if json.Unmarshal([]byte(line), &e) == nil {
		o.Verdict, o.Reason = e.Error.Verdict, e.Error.Code
	}
}

// usage is the part of a whole answer that is read.
type usage struct {
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

func (c *Client) readWhole(body io.Reader, o *Outcome) {
	data, err := io.ReadAll(body)
	if err != nil {
		return
	}
	var u usage
	o.Whole = json.Unmarshal(data, &u) == nil
	o.Tokens = u.Usage.CompletionTokens
	o.Crossed = !bytes.Contains(data, []byte(`"`+o.ID+`"`))
}
