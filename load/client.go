package load

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
	readinessInterval = 200 * time.Millisecond
	readinessTimeout  = 150 * time.Millisecond
	maxIdleConns      = 4096
	bytesPerToken     = 4
	requestTimeout    = 5 * time.Minute // for all attempts of a request
)

// An Outcome is the result of a request as observed by the client.
type Outcome struct {
	Arrival
	ID             string
	Status         int // zero if there was no response
	Verdict        string
	Reason         string
	First          time.Duration // from scheduled arrival to first token or header
	End            time.Duration // from scheduled arrival to the end
	Tokens         int
	Complete       bool
	Misdirected    bool // the response belongs to another request
	Retries        int
	RefusalLatency time.Duration // from sending the last attempt to an error response
}

// OnTime reports whether the correct and complete response met the latency targets.
func (o *Outcome) OnTime() bool {
	c := o.Class
	return o.Complete && !o.Misdirected &&
		(c.FirstToken == 0 || o.First <= c.FirstToken) &&
		(c.Whole == 0 || o.End <= c.Whole)
}

// A Client sends the requests of a run, round robin over the ready instances. Sent
// and Done count requests and may be read during Run.
type Client struct {
	run     string
	targets []string
	ready   []atomic.Bool
	next    atomic.Uint64
	http    *http.Client
	Done    atomic.Int64
	Sent    atomic.Int64
}

// NewClient returns a Client for targets, each IP:port. Request IDs start with run,
// which must be unique.
func NewClient(run string, targets []string) *Client {
	c := &Client{run: run, targets: targets, ready: make([]atomic.Bool, len(targets))}
	for i := range c.ready {
		c.ready[i].Store(true)
	}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}}
	return c
}

// Run sends the arrivals at their times, waits for all requests to end and returns
// their outcomes in the same order. If ctx is done, it cancels open requests and
// leaves the Class of unsent ones nil.
func (c *Client) Run(ctx context.Context, arrivals []Arrival) []Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range c.targets {
		go c.checkReadiness(ctx, i)
	}
	outcomes := make([]Outcome, len(arrivals))
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
			outcomes[i] = c.sendWithRetries(ctx, &arrivals[i], at)
			c.Done.Add(1)
		}()
		c.Sent.Add(1)
	}
	wg.Wait()
	return outcomes
}

// sleepUntil waits until at and returns true, or returns false if ctx is done before.
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

// checkReadiness polls target i until ctx is done.
func (c *Client) checkReadiness(ctx context.Context, i int) {
	for sleepUntil(ctx, time.Now().Add(readinessInterval)) {
		hctx, cancel := context.WithTimeout(ctx, readinessTimeout)
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

// pick returns the next ready target, or the next one if none is ready.
func (c *Client) pick() string {
	for range c.targets {
		i := int(c.next.Add(1)) % len(c.targets)
		if c.ready[i].Load() {
			return c.targets[i]
		}
	}
	return c.targets[int(c.next.Add(1))%len(c.targets)]
}

func (c *Client) sendWithRetries(ctx context.Context, a *Arrival, start time.Time) Outcome {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	id := fmt.Sprintf("%s-%d", c.run, a.N)
	for retries := 0; ; retries++ {
		o := Outcome{Arrival: *a, ID: id, Retries: retries}
		wait := c.attempt(ctx, &o, start)
		o.End = time.Since(start)
		if o.Complete || wait == 0 || retries >= a.Class.Repeats || !sleepUntil(ctx, time.Now().Add(wait)) {
			return o
		}
	}
}

// attempt sends o's request once and records the response in o. It returns the delay
// before a retry, or zero if there must be none.
func (c *Client) attempt(ctx context.Context, o *Outcome, start time.Time) time.Duration {
	const reconnectDelay = 100 * time.Millisecond
	var res *http.Response
	var err error
	sent := time.Now()
	for range c.targets {
		var req *http.Request
		if req, err = c.newRequest(ctx, o, c.pick()); err != nil {
			return 0
		}
		res, err = c.http.Do(req)
		var op *net.OpError
		if err == nil || !errors.As(err, &op) || op.Op != "dial" {
			break // only failures to connect are retried at once
		}
	}
	if err != nil {
		return reconnectDelay
	}
	defer res.Body.Close()
	o.Status = res.StatusCode
	o.Verdict, o.Reason = res.Header.Get(api.VerdictHeader), res.Header.Get(api.ReasonHeader)
	o.First = time.Since(start)
	if res.StatusCode != http.StatusOK {
		o.RefusalLatency = time.Since(sent)
		return c.retryDelay(res, o)
	}
	if o.Class.Stream {
		c.readStream(res.Body, o, start)
	} else {
		c.readBody(res.Body, o)
	}
	if !o.Complete {
		return reconnectDelay
	}
	return 0
}

// retryDelay returns the delay after an error response, or zero if the request may
// have run or there is no Retry-After header.
func (c *Client) retryDelay(res *http.Response, o *Outcome) time.Duration {
	_, _ = io.Copy(io.Discard, res.Body)
	s, err := strconv.Atoi(res.Header.Get("Retry-After"))
	if err != nil || o.Verdict != verdict.NotRun.String() {
		return 0
	}
	return time.Duration(s) * time.Second
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream"`
	Messages []message `json:"messages"`
}

func (c *Client) newRequest(ctx context.Context, o *Outcome, target string) (*http.Request, error) {
	directives := fmt.Sprintf("[[id=%s]] [[length=%d]]", o.ID, o.Length)
	url := "http://" + target + "/services/" + o.Class.Service + "/lookup"
	body := []byte(directives)
	if o.Class.Model != "" {
		url = "http://" + target + "/v1/chat/completions"
		var err error
		body, err = json.Marshal(chatRequest{Model: o.Class.Model, Stream: o.Class.Stream, Messages: messages(o, directives)})
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

// messages returns a prompt with a prefix that all requests of the team share.
func messages(o *Outcome, directives string) []message {
	shared := strings.Repeat(o.Team.Name+" ", 1+o.Class.Shared*bytesPerToken/(len(o.Team.Name)+1))
	unshared := strings.Repeat("case ", max(0, (o.Class.Prompt-o.Class.Shared)*bytesPerToken/5))
	if o.Class.Shared == 0 {
		return []message{{"user", directives + unshared}}
	}
	return []message{{"system", shared}, {"user", directives + unshared}}
}

// readStream reads server-sent events until [DONE] or an error.
func (c *Client) readStream(body io.Reader, o *Outcome, start time.Time) {
	r := bufio.NewScanner(body)
	r.Buffer(make([]byte, 0, 4<<10), 1<<20)
	for r.Scan() {
		line, ok := strings.CutPrefix(r.Text(), "data: ")
		switch {
		case !ok:
		case line == "[DONE]":
			o.Complete = true
			return
		case strings.HasPrefix(line, `{"error"`):
			c.readStreamError(line, o)
			return
		default:
			o.Tokens++
			if o.Tokens == 1 {
				o.First = time.Since(start)
			}
			o.Misdirected = o.Misdirected || !strings.Contains(line, o.ID)
		}
	}
}

func (c *Client) readStreamError(line string, o *Outcome) {
	var e api.ErrorBody
	if json.Unmarshal([]byte(line), &e) == nil {
		o.Verdict, o.Reason = e.Error.Verdict, e.Error.Code
	}
}

type completionResponse struct {
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

func (c *Client) readBody(body io.Reader, o *Outcome) {
	data, err := io.ReadAll(body)
	if err != nil {
		return
	}
	var res completionResponse
	o.Complete = json.Unmarshal(data, &res) == nil
	o.Tokens = res.Usage.CompletionTokens
	o.Misdirected = !bytes.Contains(data, []byte(`"`+o.ID+`"`))
}
