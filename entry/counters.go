package entry

// This file holds the metrics of a Proxy.

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ivyridge/balance"
	"ivyridge/verdict"
)

const (
	maxLatencyMillis         = 60_000
	latencySignificantDigits = 2
)

// Counters are the metrics of a Proxy. Refusals and retries are counted by reason;
// latencies are histograms in milliseconds.
type Counters struct {
	requests         *expvar.Map
	refusals         *expvar.Map
	retries          *expvar.Map
	retryBudget      *expvar.Map // retries by budget (see retry.go) and service
	placements       *expvar.Map // cold: at cold endpoints; fetched: with parts of the prompt fetched from another endpoint
	poison           *expvar.Map // ended: crashes of endpoints; suspected: requests in progress there; known, cleared, undecided: suspects confirmed, cleared, or with strikes that are not enough yet; await_trial, await_quiet, held_back: requests refused while a suspect is being tried, for a time without crashes, or as probably poison
	endpointFeedback *expvar.Map // feedback by kind (see feedback.go) and service
	forwards         *expvar.Map // requests forwarded to and by other instances, by outcome; see forward.go
	slowCallers      *expvar.Map // read-beside: responses read concurrently because of a slow write
	firstByte        *histogram
	total            *histogram
}

// NewCounters returns Counters that are published in m.
func NewCounters(m *expvar.Map) *Counters {
	c := &Counters{
		requests:         new(expvar.Map).Init(),
		refusals:         new(expvar.Map).Init(),
		retries:          new(expvar.Map).Init(),
		retryBudget:      new(expvar.Map).Init(),
		placements:       new(expvar.Map).Init(),
		poison:           new(expvar.Map).Init(),
		endpointFeedback: new(expvar.Map).Init(),
		forwards:         new(expvar.Map).Init(),
		slowCallers:      new(expvar.Map).Init(),
		firstByte:        newHistogram(),
		total:            newHistogram(),
	}
	m.Set("requests", c.requests)
	m.Set("refusals", c.refusals)
	m.Set("retries", c.retries)
	m.Set("retry_budget", c.retryBudget)
	m.Set("choices", c.placements)
	m.Set("poison", c.poison)
	m.Set("endpoints_said", c.endpointFeedback)
	m.Set("forwarded", c.forwards)
	m.Set("slow", c.slowCallers)
	m.Set("first_ms", c.firstByte)
	m.Set("whole_ms", c.total)
	return c
}

func (c *Counters) responded(status int)     { c.requests.Add(strconv.Itoa(status), 1) }
func (c *Counters) refused(r verdict.Reason) { c.refusals.Add(string(r), 1) }
func (c *Counters) retried(r verdict.Reason) { c.retries.Add(string(r), 1) }

func (c *Counters) forwarded(outcome string) { c.forwards.Add(outcome, 1) }

// retryCharged counts a retry by the budget that paid for it, or as denied.
func (c *Counters) retryCharged(budget, service string) { c.retryBudget.Add(budget+"/"+service, 1) }

func (c *Counters) feedback(kind, service string) { c.endpointFeedback.Add(kind+"/"+service, 1) }

// placed counts cold placements and fetches.
func (c *Counters) placed(p *balance.Placement) {
	if p.Cold {
		c.placements.Add("cold", 1)
	}
	if p.Donor != nil {
		c.placements.Add("fetched", 1)
	}
}

// A histogram is published as a JSON object with its count and quantiles.
type histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{h: hdrhistogram.New(1, maxLatencyMillis, latencySignificantDigits)}
}

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(max(1, d.Milliseconds()), maxLatencyMillis))
}

// String implements expvar.Var.
func (h *histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	quantile := func(q float64) string { return strconv.FormatInt(h.h.ValueAtQuantile(q), 10) }
	return `{"count":` + strconv.FormatInt(h.h.TotalCount(), 10) +
		`,"p50":` + quantile(50) + `,"p95":` + quantile(95) + `,"p99":` + quantile(99) + `}`
}
