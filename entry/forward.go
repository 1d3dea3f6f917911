package entry

// This file has another instance run a request whose endpoints are out of reach of this one.

import (
	"context"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/forward"
	"ivyridge/upstream"
	"ivyridge/verdict"
)

const (
	// maxForwards bounds the instances that a request is forwarded to in one attempt.
	maxForwards = 3
	// refusalsBeforeForward is how many endpoints must refuse a request's connection before it is
	// forwarded although others seem to be within reach.
	refusalsBeforeForward = 2
)

// Peers are the other instances.
type Peers interface {
	// Candidates returns the instances that may handle a request that is bound to the regions of
	// residency. It must be safe for concurrent use.
	Candidates(residency catalog.Residency) []forward.Peer
}

// Outcomes of forwarding, as counted.
const (
	forwardAnswered = "answered" // the other instance answered or refused the request
	forwardUnable   = "unable"   // it could not take the request, which did not run
	forwardLost     = "lost"     // the connection to it broke
	forwardReceived = "received" // a request of another instance was handled
)

// forward has another instance run the request. It reports false if none took it; then no endpoint
// has received it. A request that was forwarded already is not forwarded again.
func (ex *exchange) forward(ctx context.Context) (taken bool, err *verdict.Error) {
	if ex.proxy.Peers == nil || ex.forwarded != nil {
		return false, nil
	}
	candidates := ex.forwardCandidates(ex.proxy.Peers.Candidates(catalog.ResidencyOf(ex.route, ex.team)))
	var tried []uint64
	for range maxForwards {
		peer := ex.proxy.selector.Acquire(ex.proxy.Now(), ex.service.Name, candidates, tried)
		if peer == nil || ctx.Err() != nil {
			return false, nil
		}
		taken, err := ex.forwardTo(ctx, peer)
		ex.proxy.selector.Release(peer)
		if taken {
			return true, err
		}
		tried = append(tried, peer.ID)
	}
	return false, nil
}

// forwardTo forwards the request to one instance. It reports false if that instance did not take it.
func (ex *exchange) forwardTo(ctx context.Context, peer *forward.Peer) (taken bool, err *verdict.Error) {
	p := ex.proxy
	ex.placement, ex.scheduler, ex.forwardedTo, ex.placedAt = nil, "", peer.Address, p.Now()
	x, doErr := p.PeerPool.Do(ctx, ex.forwardRequest(peer), func(http.Header) bool { return false })
	if doErr != nil {
		return ex.forwardFailed(ctx, peer, verdict.Of(doErr))
	}
	result, ok := forward.DecodeResult(x.Header)
	if !ok {
		x.Close(false, 0)
		return ex.forwardFailed(ctx, peer, verdict.Fail(verdict.MayHaveRun, verdict.EntryLost, "%s answered %d, not as an instance", peer.Address, x.Status))
	}
	ex.sentByPeer(result.SentTo)
	ex.peerSoftware = result.Software
	if result.Err == nil {
		p.Counters.forwarded(forwardAnswered)
		p.selector.RecordAble(peer, ex.service.Name)
		ex.retryGranted()
		return true, ex.handleForwardedResponse(ctx, x)
	}
	x.Close(x.Discard(maxBuffered, errorBodyTimeout), 0)
	if isUnable(result.Err) {
		p.Counters.forwarded(forwardUnable)
		p.selector.RecordUnable(p.Now(), peer, ex.service.Name)
		p.Log.Info("another instance could not take a request", zap.String("request", ex.call.ID), zap.String("address", peer.Address),
			zap.String("service", ex.service.Name), zap.String("reason", string(result.Err.Reason)), zap.String("detail", result.Err.Detail))
		return false, nil
	}
	p.Counters.forwarded(forwardAnswered)
	if len(result.SentTo) > 0 {
		ex.retryGranted()
		return true, result.Err
	}
	return true, ex.unsentError(result.Err)
}

// unsentError returns the error of a forwarded request that the other instance sent to no endpoint. An
// older build answers a retry that it can't pay for with the error of the attempt before, after which
// the request would be forwarded again.
func (ex *exchange) unsentError(err *verdict.Error) *verdict.Error {
	if ex.retry.cause != nil && (err.Verdict != verdict.NotRun || err.Reason == verdict.EndpointRefused) {
		return verdict.Refuse(verdict.RetryBudget, "%s: %s", ex.forwardedTo, err.Detail)
	}
	return err
}

// forwardFailed handles an exchange with another instance that broke off with err.
func (ex *exchange) forwardFailed(ctx context.Context, peer *forward.Peer, err *verdict.Error) (taken bool, _ *verdict.Error) {
	if ctx.Err() != nil {
		return true, err
	}
	ex.proxy.Counters.forwarded(forwardLost)
	ex.proxy.selector.RecordUnreachable(ex.proxy.Now(), peer)
	ex.proxy.Log.Warn("connection to another instance broke", zap.String("request", ex.call.ID), zap.String("address", peer.Address),
		zap.Stringer("verdict", err.Verdict), zap.String("detail", err.Detail))
	if err.Verdict == verdict.NotRun {
		return false, nil
	}
	ex.tried = append(ex.tried, peer.Address) // it may have sent the request to an endpoint
	ex.retryGranted()
	return true, verdict.Fail(err.Verdict, verdict.EntryLost, "%s", err.Detail)
}

// isUnable reports whether another instance refused a request for a cause of its own, so that a
// further one may run it. All other refusals are final.
func isUnable(err *verdict.Error) bool {
	if err.Verdict != verdict.NotRun {
		return false
	}
	switch err.Reason {
	case verdict.EndpointsOutOfReach, verdict.NoEndpoint, verdict.NoConfiguration, verdict.StaleState, verdict.WrongInstance,
		verdict.BadRequest, verdict.Leaving, verdict.Overloaded, verdict.MemoryFull, verdict.BodyCut, verdict.BodySlow, verdict.EntryLost:
		return true
	}
	return false
}

// sentByPeer records the endpoints that another instance sent the request to.
func (ex *exchange) sentByPeer(ids []string) {
	endpoints := ex.currentEndpoints()
	for _, id := range ids {
		ex.tried = append(ex.tried, id)
		if e := findEndpoint(endpoints, id); e != nil {
			ex.avoid = append(ex.avoid, balance.EndpointHash(e.Incarnation()))
		}
	}
}

func (ex *exchange) forwardRequest(peer *forward.Peer) *upstream.Request {
	h := ex.proxy.Codec.EncodeForwarded(ex.r.Header, ex.deadline.Sub(ex.proxy.Now()), ex.call.LastEventID)
	head := forward.Head{
		To: peer.ID, From: ex.proxy.Name, Host: ex.call.Host, Target: ex.call.Target, Version: ex.version,
		Avoid: ex.avoid, MayHaveRun: ex.mayHaveRun, Deposit: ex.attemptDeposit(), Retry: ex.retry.kind, Software: ex.stream.software,
	}
	head.Encode(h)
	return &upstream.Request{Endpoint: strconv.FormatUint(peer.ID, 16), Address: peer.Address, Method: ex.call.Method, Host: peer.Address, Target: forward.Path, Header: h, Body: ex.call.Body, Reserve: ex.reserveHead}
}

// handleForwardedResponse relays an endpoint's response that another instance relays.
func (ex *exchange) handleForwardedResponse(ctx context.Context, x *upstream.Exchange) *verdict.Error {
	switch {
	case ex.route.Kind == catalog.Stream && x.Status == http.StatusOK:
		return ex.forwardStream(ctx, x, ResponseHead{})
	case ex.headSent:
		x.Close(false, 0)
		return verdict.Fail(verdict.Ran, verdict.EndpointError, "%s answered %d in the middle of a stream", ex.forwardedTo, x.Status)
	}
	return ex.forwardPlain(ctx, x, ResponseHead{})
}

// endPlacement ends the placement of the current attempt; a forwarded request has none.
func (ex *exchange) endPlacement(o balance.Outcome) {
	if ex.placement != nil {
		ex.placement.Done(o)
	}
}

// source names the sender of the current response.
func (ex *exchange) source() string {
	if ex.placement != nil {
		return ex.placement.Endpoint.ID
	}
	return ex.forwardedTo
}
