package entry

// This file handles requests that other instances forward.

import (
	"net/http"
	"net/url"
	"strconv"

	"ivyridge/balance"
	"ivyridge/forward"
	"ivyridge/verdict"
)

// maxForwardedShare is the share of Limits.MaxRunning available to requests of other instances.
const maxForwardedShare = 0.5

func (p *Proxy) atForwardedLimit() bool {
	limit := p.limits.Load().MaxRunning
	return limit > 0 && float64(p.forwarded.Load()) > maxForwardedShare*float64(limit)
}

// ServeForwarded handles a request that another instance forwards to the process with the given ID.
func (p *Proxy) ServeForwarded(w http.ResponseWriter, r *http.Request, id uint64) {
	p.forwarded.Add(1)
	defer p.forwarded.Add(-1)
	head, err := forward.DecodeHead(r.Header)
	if err == nil && head.To != id {
		p.rejectForwarded(w, r, verdict.Refuse(verdict.WrongInstance, "meant for another process"))
		return
	}
	var target *url.URL
	if err == nil {
		target, err = url.ParseRequestURI(head.Target)
	}
	if err != nil {
		p.rejectForwarded(w, r, verdict.Refuse(verdict.BadRequest, "%s", err))
		return
	}
	p.Counters.forwarded(forwardReceived)
	r.Host, r.RequestURI, r.URL = head.Host, head.Target, target
	p.handle(w, r, head)
}

// rejectForwarded rejects a request whose head can't be used.
func (p *Proxy) rejectForwarded(w http.ResponseWriter, r *http.Request, err *verdict.Error) {
	ex := &exchange{proxy: p, w: w, r: r, call: new(Call), arrived: p.Now(), forwarded: new(forward.Head)}
	ex.refuse(err)
	ex.logRequest()
	ex.linger()
}

// initRetries sets what the request deposits into the retry budgets. The instance that received it
// from the caller has deposited its own part.
func (ex *exchange) initRetries() {
	head := ex.forwarded
	if head == nil {
		ex.deposit = ex.proxy.retryBudgets.deposit(ex.service.Name)
		return
	}
	ex.deposit = head.Deposit
	for _, hash := range head.Avoid {
		ex.tried = append(ex.tried, strconv.FormatUint(uint64(hash), 16))
		ex.avoid = append(ex.avoid, hash)
	}
	if head.Retry == balance.NoRetry {
		return
	}
	cause := verdict.Refuse(verdict.EndpointRefused, "an earlier attempt of %s", head.From)
	if head.MayHaveRun {
		cause = verdict.Fail(verdict.MayHaveRun, verdict.EndpointCut, "an earlier attempt of %s", head.From)
	}
	ex.retry = retryState{cause: cause, budget: budgetFleet, kind: head.Retry, inherited: true}
}

// encodeResult tells the instance that forwarded the request its outcome; err is nil for an
// endpoint's response.
func (ex *exchange) encodeResult(err *verdict.Error) {
	if ex.forwarded == nil {
		return
	}
	result := forward.Result{Version: ex.version, SentTo: ex.tried[min(len(ex.tried), len(ex.forwarded.Avoid)):], Err: err}
	if err == nil {
		result.Software = ex.servingSoftware()
	}
	result.Encode(ex.w.Header())
}
