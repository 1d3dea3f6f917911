package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"
)

// A class is one kind of request of the sheet.
type class struct {
	name, path, service, kind string
	perSecond                 float64 // of the whole deployment
	deadline                  time.Duration
	objective, gap            time.Duration
	attempts, priority        int
	resumable, stream         bool
	bytes                     int
	tokens                    string
}

// The requests of Huurtoets in SYSTEM.md.
var classes = []class{
	{name: "dossier-verdict", path: "/dossier-verdict/", service: "screening-llm", kind: "stream", stream: true, perSecond: 25, deadline: 4 * time.Second, objective: 1200 * time.Millisecond, gap: time.Second, attempts: 1, priority: 2, bytes: 18000, tokens: "9190,60"},
	{name: "landlord-letter", path: "/landlord-letter/", service: "screening-llm", kind: "stream", stream: true, resumable: true, perSecond: 15.5, deadline: 3 * time.Second, objective: 500 * time.Millisecond, gap: 400 * time.Millisecond, attempts: 2, priority: 1, bytes: 4700, tokens: "2368,30"},
	{name: "agent-followup", path: "/agent-followup/", service: "screening-llm", kind: "stream", stream: true, perSecond: 11.8, deadline: 12 * time.Second, objective: 300 * time.Millisecond, gap: 250 * time.Millisecond, attempts: 1, priority: 0, bytes: 1400, tokens: "715,280"},
	{name: "status-ping", path: "/status-ping/", service: "portal-api", kind: "unsafe", perSecond: 13.1, deadline: 600 * time.Millisecond, objective: 100 * time.Millisecond, attempts: 1, priority: 2, bytes: 600},
	{name: "id-lookup", path: "/id-lookup/", service: "portal-api", kind: "safe", perSecond: 6.41, deadline: 600 * time.Millisecond, objective: 100 * time.Millisecond, attempts: 2, priority: 2},
}

// configuration returns the first version of the configuration.
func configuration(version int, tenants map[string][]string) map[string]any {
	routes := []any{}
	for _, c := range classes {
		routes = append(routes, map[string]any{
			"name": c.name, "host": host, "path-prefix": c.path, "kind": c.kind, "service": c.service, "timeout-ms": c.deadline.Milliseconds(),
			"goal-ms": c.objective.Milliseconds(), "gap-goal-ms": c.gap.Milliseconds(), "priority": c.priority, "max-attempts": c.attempts,
			"can-resume": c.resumable, "allow-anonymous": false, "sticky": c.stream,
		})
	}
	list := []any{}
	for name, keys := range tenants {
		list = append(list, map[string]any{"name": name, "api-keys": keys})
	}
	return map[string]any{
		"version": version, "routes": routes, "tenants": list,
		"services": []any{
			map[string]any{"name": "screening-llm", "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kv-tokens": 289584, "kv-token-bytes": 18432, "link-mbps": 550000.0}},
			map[string]any{"name": "portal-api", "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

const host = "huurtoets.example"

// An outcome is what a client has seen of one request.
type outcome struct {
	id       string
	machine  *machine
	kept     bool // sent on a kept connection
	status   int  // zero: no answer
	complete bool
	closed   bool // the connection was closed or reset before the first byte of an answer
	sent     time.Time
	ended    time.Time
	err      error
}

// A client keeps its connections to one machine.
type client struct {
	machine *machine
	address string
	key     string
	http    *http.Client
	rec     *record
}

func newClient(m *machine, address, key string, rec *record) *client {
	return &client{machine: m, address: address, key: key, rec: rec, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 20, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
}

func (c *client) send(id string, k *class) (o outcome) {
	o = outcome{id: id, machine: c.machine, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), k.deadline)
	defer cancel()
	firstByte := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(i httptrace.GotConnInfo) { o.kept = i.Reused },
		GotFirstResponseByte: func() { firstByte = true },
	})
	method, body := http.MethodPost, io.Reader(strings.NewReader(strings.Repeat("d", k.bytes)))
	if k.bytes == 0 {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+k.path+"x", body)
	if err != nil {
		o.err = err
		return o
	}
	req.GetBody = nil // a client's attempt is sent once
	req.Host = host
	req.Header.Set("Ivyridge-Request-Id", id)
	req.Header.Set("Ivyridge-Deadline-Ms", strconv.FormatInt(k.deadline.Milliseconds(), 10))
	req.Header.Set("X-Api-Key", c.key)
	if k.tokens != "" {
		prompt, _, _ := strings.Cut(k.tokens, ",")
		req.Header.Set("Ivyridge-Model", "m")
		req.Header.Set("Ivyridge-Token-Counts", k.tokens)
		req.Header.Set("Ivyridge-Prefix-Hash", fmt.Sprintf("%x:%s", len(id)*1000+int(id[len(id)-1]), prompt))
	}
	res, err := c.http.Do(req)
	if err != nil {
		o.err, o.ended = err, time.Now()
		o.closed = !firstByte && !errors.Is(err, context.DeadlineExceeded) && o.sentWhole(err)
		c.rec.log("client of %s: %s (%s, kept connection: %v) got no answer: %s", c.machine.name, id, k.name, o.kept, err)
		return o
	}
	defer res.Body.Close()
	o.status = res.StatusCode
	o.complete = readAnswer(res, k)
	o.ended = time.Now()
	c.rec.log("client of %s: %s (%s) got %d after %s, complete: %v", c.machine.name, id, k.name, o.status, o.ended.Sub(o.sent).Round(time.Millisecond), o.complete)
	return o
}

// sentWhole reports whether the error is one of a connection that was up, not of one that could not be made.
func (o *outcome) sentWhole(err error) bool { return !strings.Contains(err.Error(), "dial tcp") }

func readAnswer(res *http.Response, k *class) bool {
	if !k.stream || res.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, res.Body)
		return err == nil
	}
	lines, last, of := bufio.NewScanner(res.Body), 0, 0
	for lines.Scan() {
		_, _ = fmt.Sscanf(lines.Text(), "data: piece %d of %d", &last, &of)
	}
	return lines.Err() == nil && last > 0 && last == of
}
