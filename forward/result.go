package forward

import (
	"net/http"
	"strconv"
	"time"

	"ivyridge/catalog"
	"ivyridge/verdict"
)

// resultResponse in headerResult marks an endpoint's response. Other values are verdicts.
const resultResponse = "response"

// A Result is the outcome of a forwarded request, besides the endpoint's response.
type Result struct {
	Version int64          // version of the receiver's configuration; zero: none
	SentTo  []string       // IDs of the endpoints that the receiver sent the request to
	Err     *verdict.Error // nil: the response is an endpoint's

	Software catalog.SoftwareID // version of the endpoint; zero: not known
}

// Encode replaces the headers of this package in h by those of the Result.
func (r *Result) Encode(h http.Header) {
	removeHeaders(h)
	h.Set(headerVersion, strconv.FormatInt(r.Version, 10))
	for _, id := range r.SentTo {
		h.Add(headerSentTo, id)
	}
	encodeSoftware(h, r.Software)
	if r.Err == nil {
		h.Set(headerResult, resultResponse)
		return
	}
	h.Set(headerResult, r.Err.Verdict.String())
	h.Set(headerReason, string(r.Err.Reason))
	h.Set(headerDetail, strconv.QuoteToASCII(r.Err.Detail))
	h.Set(headerRetryAfter, strconv.FormatInt(r.Err.RetryAfter.Milliseconds(), 10))
}

// DecodeResult decodes a Result and removes its headers from h. A Result of an unknown reason, as of
// a newer build, has reason EntryLost. It reports false if there is no valid Result.
func DecodeResult(h http.Header) (*Result, bool) {
	defer removeHeaders(h)
	r := &Result{SentTo: h[headerSentTo]}
	r.Version, _ = strconv.ParseInt(h.Get(headerVersion), 10, 64)
	software, _ := strconv.ParseUint(h.Get(headerSoftware), 16, 32)
	r.Software = catalog.SoftwareID(software)
	result := h.Get(headerResult)
	if result == resultResponse {
		return r, true
	}
	v, ok := verdict.Parse(result)
	if !ok {
		return nil, false
	}
	r.Err = &verdict.Error{Verdict: v, Reason: verdict.Reason(h.Get(headerReason))}
	if !r.Err.Reason.Known() {
		r.Err.Reason = verdict.EntryLost
	}
	r.Err.Detail, _ = strconv.Unquote(h.Get(headerDetail))
	if ms, err := strconv.ParseInt(h.Get(headerRetryAfter), 10, 32); err == nil && ms > 0 {
		r.Err.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return r, true
}
