// Package forward defines how an instance has another one run a caller's request because it cannot
// reach the endpoints itself.
//
// The request is sent over HTTP to Path on the other instance's listener for peers, with the caller's
// method, headers and body, and with a Head in further headers. The other instance handles it like a
// request of its own callers: it authenticates and admits it, and applies the limits of endpoints,
// regions, memory and retries. A request is forwarded once at most. The response is the endpoint's,
// or an error whose verdict says whether the request may have run; a Result in its headers tells
// them apart. A response without a Result comes from something else.
//
// The package is the wire format and the choice of the other instance. It does no I/O.
package forward

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/quota"
)

// Path is the HTTP path at which an instance receives forwarded requests.
const Path = "/v2/requests"

// Names of the headers of this package begin with headerPrefix. Callers' and endpoints' headers of
// such names are dropped.
const (
	headerPrefix     = "X-Ivyridge-Forward-"
	headerTo         = headerPrefix + "To"
	headerFrom       = headerPrefix + "From"
	headerHost       = headerPrefix + "Host"
	headerTarget     = headerPrefix + "Target"
	headerVersion    = headerPrefix + "Version"
	headerAvoid      = headerPrefix + "Avoid"
	headerMayHaveRun = headerPrefix + "May-Have-Run"
	headerDeposit    = headerPrefix + "Deposit"
	headerRetry      = headerPrefix + "Retry"
	headerResult     = headerPrefix + "Result"
	headerSentTo     = headerPrefix + "Sent-To"
	headerReason     = headerPrefix + "Reason"
	headerDetail     = headerPrefix + "Detail"
	headerRetryAfter = headerPrefix + "Retry-After"
	headerSoftware   = headerPrefix + "Software"
)

// maxAvoid bounds the endpoints in a Head. A route allows far fewer attempts.
const maxAvoid = 64

// A Head is what the receiver needs besides the caller's request.
type Head struct {
	// To is the ID of the receiving process, which only instances learn. The receiver rejects
	// other values, so that outsiders cannot forward, nor an instance to the wrong process.
	To         uint64
	From       string             // name of the sending instance
	Host       string             // as in the caller's request
	Target     string             // the caller's request target
	Version    int64              // version of the sender's configuration; an older receiver rejects the request
	Avoid      []uint32           // balance.EndpointHash of the incarnations that received the request already
	MayHaveRun bool               // on an endpoint of Avoid; the sender's own verdict takes it into account
	Deposit    quota.DepositKind  // deposit into the service's shared retry budget
	Retry      balance.Retry      // retry to charge to that budget
	Software   catalog.SoftwareID // version that began the stream; zero: any, or not known
}

// removeHeaders removes all headers of this package.
func removeHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// Encode replaces the headers of this package in h by those of the Head.
func (f *Head) Encode(h http.Header) {
	removeHeaders(h)
	h.Set(headerTo, strconv.FormatUint(f.To, 16))
	h.Set(headerFrom, f.From)
	h.Set(headerHost, f.Host)
	h.Set(headerTarget, f.Target)
	h.Set(headerVersion, strconv.FormatInt(f.Version, 10))
	for _, hash := range f.Avoid {
		h.Add(headerAvoid, strconv.FormatUint(uint64(hash), 16))
	}
	if f.MayHaveRun {
		h.Set(headerMayHaveRun, "1")
	}
	h.Set(headerDeposit, strconv.Itoa(int(f.Deposit)))
	h.Set(headerRetry, strconv.Itoa(int(f.Retry)))
	encodeSoftware(h, f.Software)
}

// encodeSoftware adds a software version, if it is known. Older builds send none.
func encodeSoftware(h http.Header, software catalog.SoftwareID) {
	if software != 0 {
		h.Set(headerSoftware, strconv.FormatUint(uint64(software), 16))
	}
}

// DecodeHead decodes a Head and removes its headers from h.
func DecodeHead(h http.Header) (*Head, error) {
	defer removeHeaders(h)
	f := &Head{From: h.Get(headerFrom), Host: h.Get(headerHost), Target: h.Get(headerTarget), MayHaveRun: h.Get(headerMayHaveRun) == "1"}
	var d decoder
	f.To = d.uint(headerTo, h.Get(headerTo), 16, 64)
	f.Version = int64(d.uint(headerVersion, h.Get(headerVersion), 10, 63))
	f.Deposit = quota.DepositKind(d.uint(headerDeposit, h.Get(headerDeposit), 10, 8))
	f.Retry = balance.Retry(d.uint(headerRetry, h.Get(headerRetry), 10, 8))
	if text := h.Get(headerSoftware); text != "" {
		f.Software = catalog.SoftwareID(d.uint(headerSoftware, text, 16, 32))
	}
	if len(h[headerAvoid]) > maxAvoid {
		d.fail(headerAvoid, "too many endpoints")
	}
	for _, text := range h[headerAvoid] {
		f.Avoid = append(f.Avoid, uint32(d.uint(headerAvoid, text, 16, 32)))
	}
	if f.Host == "" || f.Target == "" {
		d.fail(headerTarget, "missing")
	}
	if f.Deposit > quota.DepositFull || f.Retry > balance.RetryInTime {
		d.fail(headerRetry, "unknown kind")
	}
	return f, d.err
}

// A decoder keeps the first error.
type decoder struct{ err error }

func (d *decoder) fail(header, problem string) {
	if d.err == nil {
		d.err = errors.Errorf("forward: %s: %s", header, problem)
	}
}

func (d *decoder) uint(header, text string, base, bits int) uint64 {
	v, err := strconv.ParseUint(text, base, bits)
	if err != nil {
		d.fail(header, strconv.Quote(text)+" is no number in range")
	}
	return v
}
