package entry

// This file handles an endpoint's response.

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/memory"
	"ivyridge/upstream"
	"ivyridge/verdict"
)

// maxBuffered is the size in bytes below which a response that is not a stream is read completely
// before it is forwarded, so that the request can be retried if the response fails.
const maxBuffered = 64 << 10

// errorBodyTimeout is how long the body of a response that is not forwarded may take to arrive. After
// that its connection is closed.
const errorBodyTimeout = 50 * time.Millisecond

// handleResponse forwards a response, or returns an error if it is not final.
func (ex *exchange) handleResponse(ctx context.Context, x *upstream.Exchange) *verdict.Error {
	head := ex.proxy.Codec.DecodeResponse(x.Status, x.Header)
	ex.applyFeedback(&head)
	switch {
	case head.Misdirected:
		x.Close(false, 0)
		ex.placement.RecordReplaced()
		ex.placement.Done(balance.Unknown)
		ex.unmarkSent()
		return verdict.Refuse(verdict.EndpointGone, "%s answered %d", ex.placement.Endpoint.ID, x.Status).WithRetryAfter(retryAfterShort)
	case head.NotRun:
		x.Close(x.Discard(maxBuffered, errorBodyTimeout), head.KeepAlive)
		ex.placement.Done(balance.Refused)
		return verdict.Refuse(verdict.EndpointRefused, "%s answered %d", ex.placement.Endpoint.ID, x.Status).WithRetryAfter(retryAfterShort)
	case !head.Sealed || len(x.Header["Content-Encoding"]) > 0:
		x.Close(false, 0)
		ex.placement.Done(balance.Failed)
		return verdict.Fail(verdict.MayHaveRun, verdict.EndpointError, "%s sent what is no answer of its own (%d)", ex.placement.Endpoint.ID, x.Status)
	case ex.route.Kind == catalog.Stream && x.Status == http.StatusOK:
		return ex.forwardStream(ctx, x, head)
	case ex.headSent:
		// The stream begun by an earlier endpoint cannot continue with this response.
		x.Close(false, 0)
		ex.placement.Done(balance.Failed)
		return verdict.Fail(verdict.Ran, verdict.EndpointError, "%s answered %d in the middle of a stream", ex.placement.Endpoint.ID, x.Status)
	}
	return ex.forwardPlain(ctx, x, head)
}

// forwardPlain forwards a response that is not a stream.
func (ex *exchange) forwardPlain(ctx context.Context, x *upstream.Exchange, head ResponseHead) *verdict.Error {
	data, complete, err := ex.readPrefix(x)
	if err != nil {
		return ex.responseBroken(ctx, x, err)
	}
	failed := x.Status >= http.StatusInternalServerError
	if complete && failed && ex.placement != nil && ex.route.Retryable() && len(ex.tried) < ex.route.MaxAttempts {
		x.Close(true, head.KeepAlive)
		ex.placement.Done(balance.Failed)
		ex.reserveRetry(verdict.Fail(verdict.Ran, verdict.EndpointError, "%s answered %d", ex.placement.Endpoint.ID, x.Status))
		if sent, err := ex.retryFailedResponse(ctx); sent {
			return err
		}
		return ex.writeResponse(x, data)
	}
	outcome := balance.Served
	if failed {
		outcome = balance.Failed
	}
	if !complete {
		return ex.relay(ctx, x, head, newBodySource(io.MultiReader(bytes.NewReader(data), x.Body)), outcome)
	}
	x.Close(true, head.KeepAlive)
	ex.endPlacement(outcome)
	return ex.writeResponse(x, data)
}

// retryFailedResponse retries a request after a server error. If it returns false, nothing was
// sent, and the caller should get the error response.
func (ex *exchange) retryFailedResponse(ctx context.Context) (sent bool, err *verdict.Error) {
	ex.mayHaveRun = true
	if err := ex.admit(); err != nil {
		return false, err
	}
	sentBefore := len(ex.tried)
	err = ex.attempt(ctx)
	return err == nil || len(ex.tried) > sentBefore, err
}

func (ex *exchange) writeResponse(x *upstream.Exchange, data []byte) *verdict.Error {
	ex.sendHead(x)
	if _, err := ex.w.Write(data); err != nil {
		return verdict.Fail(verdict.Ran, verdict.CallerGone, "while the answer was passed on")
	}
	return nil
}

// readPrefix reads up to maxBuffered bytes of the body, and reports whether that is all of it. It
// reads nothing if there is no memory.
func (ex *exchange) readPrefix(x *upstream.Exchange) (data []byte, complete bool, err error) {
	size := maxBuffered
	if length, err := strconv.Atoi(x.Header.Get("Content-Length")); err == nil && 0 <= length && length < maxBuffered {
		size = length + 1 // one more byte, to read up to EOF
	}
	if !ex.mem.Grow(memory.Buffered, int64(size)) {
		return nil, false, nil
	}
	data = make([]byte, 0, size)
	for len(data) < cap(data) {
		n, err := x.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return data, false, nil
}

// responseBroken ends an exchange whose body could not be read.
func (ex *exchange) responseBroken(ctx context.Context, x *upstream.Exchange, err error) *verdict.Error {
	x.Close(false, 0)
	ex.endPlacement(ex.outcome(ctx))
	return verdict.Fail(verdict.MayHaveRun, verdict.EndpointCut, "%s: %s", ex.source(), err)
}

// sendHead sends the head of the response to the caller, once.
func (ex *exchange) sendHead(x *upstream.Exchange) {
	if ex.headSent {
		return
	}
	ex.headSent = true
	ex.status = x.Status
	if ex.route.Kind == catalog.Stream && x.Status == http.StatusOK {
		ex.noteFirstEvent()
	}
	ex.firstByteAfter = ex.proxy.Now().Sub(ex.arrived)
	ex.proxy.Codec.CopyResponseHeaders(ex.w.Header(), x.Header)
	ex.encodeResult(nil)
	if ex.leaving() {
		ex.w.Header().Set("Connection", "close")
	}
	ex.w.WriteHeader(x.Status)
}

// alreadySent reports whether the caller has the event already, as when an endpoint restarts a
// stream instead of resuming it. It returns false for IDs that are not numbers.
func alreadySent(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	m, err := strconv.ParseUint(last, 10, 64)
	return err == nil && n <= m
}

func (ex *exchange) forwardStream(ctx context.Context, x *upstream.Exchange, head ResponseHead) *verdict.Error {
	if !ex.checkSoftware() {
		x.Close(false, 0)
		ex.endPlacement(balance.Unknown)
		return verdict.Fail(verdict.MayHaveRun, verdict.EndpointError, "%s may run another software version than the one that began the stream", ex.source())
	}
	// The stream may be made of complete events from several endpoints.
	delete(x.Header, "Content-Length")
	err := ex.relay(ctx, x, head, ex.newEventSource(x.Body), balance.Served)
	if err == nil {
		ex.sendHead(x) // a stream without events
	}
	return err
}
