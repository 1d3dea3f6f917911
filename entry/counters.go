package entry

// This file counts what an entry does.

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ivyridge/balance"
	"ivyridge/verdict"
)

// Bounds of the latency histograms, in milliseconds.
const (
	latencyMost   = 60_000
	latencyDigits = 2
)

// Counters are the figures of an entry. Each refusal and retry reason has a
// counter; latencies are histograms in milliseconds.
type Counters struct {
	requests *expvar.Map
	refusals *expvar.Map
	retries  *expvar.Map
	budget   *expvar.Map // retries by who paid for them, or denied, and service
	choices  *expvar.Map // cold: at endpoints that were cold; fetched: with parts from another one
	poison   *expvar.Map // ended: endpoints that ended under requests; suspected: requests in hand then; known, cleared: those of them
	words    *expvar.Map // what endpoints said of themselves, and requests not sent for it, by service; see said.go
	slow     *expvar.Map // read-beside: answers that were read on beside a write that took long
	first    *histogram
	whole    *histogram
}

// NewCounters returns Counters that are published in m.
func NewCounters(m *expvar.Map) *Counters {
	c := &Counters{
		requests: new(expvar.Map).Init(),
		refusals: new(expvar.Map).Init(),
		retries:  new(expvar.Map).Init(),
		budget:   new(expvar.Map).Init(),
		choices:  new(expvar.Map).Init(),
		poison:   new(expvar.Map).Init(),
		words:    new(expvar.Map).Init(),
		slow:     new(expvar.Map).Init(),
		first:    newHistogram(),
		whole:    newHistogram(),
	}
	m.Set("requests", c.requests)
	m.Set("refusals", c.refusals)
	m.Set("retries", c.retries)
	m.Set("retry_budget", c.budget)
	m.Set("choices", c.choices)
	m.Set("poison", c.poison)
	m.Set("endpoints_said", c.words)
	m.Set("slow", c.slow)
	m.Set("first_ms", c.first)
	m.Set("whole_ms", c.whole)
	return c
}

func (c *Counters) passed(status int)        { c.requests.Add(strconv.Itoa(status), 1) }
func (c *Counters) refused(r verdict.Reason) { c.refusals.Add(string(r), 1) }
func (c *Counters) retried(r verdict.Reason) { c.retries.Add(string(r), 1) }

// paid counts a retry that somebody paid for, or nobody.
func (c *Counters) paid(payer, service string) { c.budget.Add(payer+"/"+service, 1) }

// said counts a word of an endpoint, or what follows from it.
func (c *Counters) said(word, service string) { c.words.Add(word+"/"+service, 1) }

// placed counts the choice of an endpoint.
func (c *Counters) placed(p *balance.Placement) {
	if p.Cold {
		c.choices.Add("cold", 1)
	}
	if p.Donor != nil {
		c.choices.Add("fetched", 1)
	}
}

// A histogram is published with its quantiles.
type histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{h: hdrhistogram.New(1, latencyMost, latencyDigits)}
}

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(max(1, d.Milliseconds()), latencyMost))
}

// String implements expvar.Var.
func (h *histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	quantile := func(q float64) string { return strconv.FormatInt(h.h.ValueAtQuantile(q), 10) }
	return `{"count":` + strconv.FormatInt(h.h.TotalCount(), 10) +
		`,"p50":` + quantile(50) + `,"p95":` + quantile(95) + `,"p99":` + quantile(99) + `}`
}
