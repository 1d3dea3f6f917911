package load

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"ivyridge/fake"
	"ivyridge/verdict"
)

// A Report summarizes a run.
type Report struct {
	Workload string        `json:"workload"`
	Seed     uint64        `json:"seed"`
	Seconds  float64       `json:"seconds"`
	Classes  []ClassReport `json:"classes"`

	GoodputTokens  float64 `json:"goodput_tokens_per_s"`
	ComputedTokens int     `json:"computed_tokens"`
	WastedTokens   int     `json:"wasted_tokens"`
	// Numbers of requests.
	Duplicates    int `json:"duplicates"`      // ran more than once despite an idempotency key
	Lost          int `json:"lost"`            // got no final response
	Misdirected   int `json:"crossed"`         // got the response to another request
	RefusedButRun int `json:"refused_but_run"` // ran although reported as not run

	PlatformCalls int64 `json:"platform_calls"`

	Series []Sample `json:"series"`
}

// A ClassReport summarizes one class. P50 to P99 are latencies of complete responses
// in seconds, to the first token if the class has a target for it, else to the end.
type ClassReport struct {
	Class           string         `json:"class"`
	Offered         int            `json:"offered"`
	Served          int            `json:"served"`
	OnTime          int            `json:"on_time"`
	Refused         int            `json:"refused"`
	RefusedByReason map[string]int `json:"refused_by_reason"`
	Failed          int            `json:"failed"`
	FailedByReason  map[string]int `json:"failed_by_reason"`
	Attainment      float64        `json:"attainment"` // OnTime / Offered
	P50             float64        `json:"p50_s"`
	P95             float64        `json:"p95_s"`
	P99             float64        `json:"p99_s"`
	RefusalP99      float64        `json:"refusal_p99_s"`

	hist     *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
}

// A Sample covers one second of arrivals. Its slices are indexed like Report.Classes.
type Sample struct {
	Second  int       `json:"second"`
	Offered []int     `json:"offered"`
	OnTime  []int     `json:"on_time"`
	Open    []int     `json:"open"` // in progress
	Share   []float64 `json:"attainment"`
}

const (
	histMaxMicros         = int64(10 * time.Minute / time.Microsecond)
	histSignificantDigits = 3
)

// Summarize computes the report from the outcomes of Client.Run and the runs that the
// fakes recorded.
func Summarize(w *Workload, seed uint64, outcomes []Outcome, runLog *fake.RunLogResponse) *Report {
	r := &Report{Workload: w.Name, Seed: seed, Seconds: w.Duration.Seconds()}
	classIndex := make(map[string]int)
	for i := range w.Classes {
		classIndex[w.Classes[i].Name] = i
		r.Classes = append(r.Classes, ClassReport{
			Class:           w.Classes[i].Name,
			RefusedByReason: make(map[string]int),
			FailedByReason:  make(map[string]int),
			hist:            hdrhistogram.New(1, histMaxMicros, histSignificantDigits),
			refusals:        hdrhistogram.New(1, histMaxMicros, histSignificantDigits),
		})
	}
	r.ComputedTokens, r.PlatformCalls = runLog.Tokens, runLog.PlatformCalls
	goodTokens := 0
	for i := range outcomes {
		o := &outcomes[i]
		if o.Class == nil {
			continue // not sent
		}
		r.Classes[classIndex[o.Class.Name]].add(o)
		r.checkGuarantees(o, runLog.Runs[o.ID])
		if o.OnTime() {
			goodTokens += o.Tokens
		}
	}
	r.GoodputTokens = float64(goodTokens) / r.Seconds
	r.WastedTokens = max(0, runLog.Tokens-goodTokens)
	for i := range r.Classes {
		r.Classes[i].computeQuantiles()
	}
	r.computeSeries(w, classIndex, outcomes)
	return r
}

func (r *Report) checkGuarantees(o *Outcome, runs []fake.Run) {
	if o.Class.Keyed && len(runs) > 1 {
		r.Duplicates++
	}
	if o.Misdirected {
		r.Misdirected++
	}
	if o.Status == 0 || o.Status == http.StatusOK && !o.Complete && o.Reason == "" {
		r.Lost++
	}
	if o.Verdict == verdict.NotRun.String() && o.Status != http.StatusOK && len(runs) > 0 {
		r.RefusedButRun++
	}
}

func (c *ClassReport) add(o *Outcome) {
	c.Offered++
	switch {
	case o.Complete:
		c.Served++
		if o.OnTime() {
			c.OnTime++
		}
		d := o.End
		if o.Class.FirstToken > 0 {
			d = o.First
		}
		_ = c.hist.RecordValue(min(histMaxMicros, d.Microseconds()))
	case o.Verdict == verdict.NotRun.String():
		c.Refused++
		c.RefusedByReason[o.Reason]++
		_ = c.refusals.RecordValue(min(histMaxMicros, o.RefusalLatency.Microseconds()))
	default:
		c.Failed++
		reason := o.Reason
		if reason == "" {
			reason = "connection-lost"
		}
		c.FailedByReason[reason]++
	}
}

func (c *ClassReport) computeQuantiles() {
	if c.Offered > 0 {
		c.Attainment = float64(c.OnTime) / float64(c.Offered)
	}
	quantile := func(h *hdrhistogram.Histogram, q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / float64(time.Second/time.Microsecond)
	}
	c.P50, c.P95, c.P99 = quantile(c.hist, 50), quantile(c.hist, 95), quantile(c.hist, 99)
	c.RefusalP99 = quantile(c.refusals, 99)
}

func (r *Report) computeSeries(w *Workload, classIndex map[string]int, outcomes []Outcome) {
	n := int(math.Ceil(w.Duration.Seconds()))
	for s := range n {
		classes := len(w.Classes)
		r.Series = append(r.Series, Sample{Second: s, Offered: make([]int, classes), OnTime: make([]int, classes), Open: make([]int, classes), Share: make([]float64, classes)})
	}
	for i := range outcomes {
		o := &outcomes[i]
		if o.Class == nil {
			continue
		}
		c := classIndex[o.Class.Name]
		first := int(o.At / time.Second)
		r.Series[first].Offered[c]++
		if o.OnTime() {
			r.Series[first].OnTime[c]++
		}
		for s := first; s <= int((o.At+o.End)/time.Second) && s < n; s++ {
			r.Series[s].Open[c]++
		}
	}
	for i := range r.Series {
		s := &r.Series[i]
		for c := range s.Share {
			s.Share[c] = 1
			if s.Offered[c] > 0 {
				s.Share[c] = float64(s.OnTime[c]) / float64(s.Offered[c])
			}
		}
	}
}

// FetchRunLog fetches the runs recorded by the fakes with the given control address.
func FetchRunLog(control string) (*fake.RunLogResponse, error) {
	res, err := http.Get("http://" + control + "/books")
	if err != nil {
		return nil, errors.Wrap(err, "books")
	}
	defer res.Body.Close()
	runLog := new(fake.RunLogResponse)
	return runLog, errors.Wrap(json.NewDecoder(res.Body).Decode(runLog), "books")
}
