package entry

// This file passes an endpoint's answer on.

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/memory"
	"ivyridge/upstream"
	"ivyridge/verdict"
)

// maxBuffered is how long an answer may be to be read whole before it is
// passed on, so that a broken one can be replaced.
const maxBuffered = 64 << 10

// answer judges the head of an answer and passes it on if it is final.
func (f *exchange) answer(ctx context.Context, x *upstream.Exchange) *verdict.Error {
	head := f.entry.Codec.Answer(x.Status, x.Header)
	f.hear(&head)
	switch {
	case head.Misdirected:
		x.Close(false, 0)
		f.placement.Gone()
		f.placement.Done(balance.Unknown)
		f.notSent()
		return verdict.Refuse(verdict.EndpointGone, "%s answered %d", f.placement.Endpoint.ID, x.Status).After(retryAfterShort)
	case head.NotRun:
		_, err := io.Copy(io.Discard, io.LimitReader(x.Body, maxBuffered))
		x.Close(err == nil, head.KeepAlive)
		f.placement.Done(balance.Refused)
		return verdict.Refuse(verdict.EndpointRefused, "%s answered %d", f.placement.Endpoint.ID, x.Status).After(retryAfterShort)
	case !head.Sealed || x.Header.Get("Content-Encoding") != "":
		x.Close(false, 0)
		f.placement.Done(balance.Failed)
		return verdict.Fail(verdict.MayHaveRun, verdict.EndpointError, "%s sent what is no answer of its own (%d)", f.placement.Endpoint.ID, x.Status)
	case f.route.Kind == catalog.Stream && x.Status == http.StatusOK:
		return f.stream(ctx, x, head)
	case f.started:
		// A stream was to go on here; nothing else may follow its events.
		x.Close(false, 0)
		f.placement.Done(balance.Failed)
		return verdict.Fail(verdict.Ran, verdict.EndpointError, "%s answered %d in the middle of a stream", f.placement.Endpoint.ID, x.Status)
	}
	return f.plain(ctx, x, head)
}

// plain passes an answer on that is not a stream. One that fits is read whole first, and
// its endpoint is free before the caller has it.
func (f *exchange) plain(ctx context.Context, x *upstream.Exchange, head Answer) *verdict.Error {
	data, whole, err := f.readFirst(x)
	if err != nil {
		return f.broken(ctx, x, err)
	}
	failed := x.Status >= http.StatusInternalServerError
	if whole && failed && f.route.MayRepeat() && len(f.tried) < f.route.MaxAttempts {
		x.Close(true, head.KeepAlive)
		f.placement.Done(balance.Failed)
		f.askRetry(verdict.Fail(verdict.Ran, verdict.EndpointError, "%s answered %d", f.placement.Endpoint.ID, x.Status))
		if sent, err := f.again(ctx); sent {
			return err
		}
		return f.passOn(x, data)
	}
	outcome := balance.Served
	if failed {
		outcome = balance.Failed
	}
	if !whole {
		return f.relay(ctx, x, head, newChunks(io.MultiReader(bytes.NewReader(data), x.Body)), outcome)
	}
	x.Close(true, head.KeepAlive)
	f.placement.Done(outcome)
	return f.passOn(x, data)
}

// again sends a request that an endpoint has failed to another one, if there is one that may
// have it. Sent is false if no endpoint was sent it: the answer that is there is the best then.
func (f *exchange) again(ctx context.Context) (sent bool, err *verdict.Error) {
	f.mayHaveRun = true
	if err := f.admit(); err != nil {
		return false, err
	}
	before := len(f.tried)
	err = f.attempt(ctx)
	return err == nil || len(f.tried) > before, err
}

// passOn passes the head and the beginning of an answer on.
func (f *exchange) passOn(x *upstream.Exchange, data []byte) *verdict.Error {
	f.start(x)
	if _, err := f.w.Write(data); err != nil {
		return verdict.Fail(verdict.Ran, verdict.CallerGone, "while the answer was passed on")
	}
	return nil
}

// readFirst reads an answer, or as much of it as may be held, and reports whether that is
// all.
func (f *exchange) readFirst(x *upstream.Exchange) (data []byte, whole bool, err error) {
	n := maxBuffered
	if length, err := strconv.Atoi(x.Header.Get("Content-Length")); err == nil && 0 <= length && length < maxBuffered {
		n = length + 1 // for the end to be seen
	}
	if !f.hold.Take(memory.Waiting, int64(n)) {
		return nil, false, nil
	}
	data = make([]byte, 0, n)
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

// broken ends an exchange whose answer broke off.
func (f *exchange) broken(ctx context.Context, x *upstream.Exchange, err error) *verdict.Error {
	x.Close(false, 0)
	f.placement.Done(f.outcome(ctx))
	return verdict.Fail(verdict.MayHaveRun, verdict.EndpointCut, "%s: %s", f.placement.Endpoint.ID, err)
}

// start passes the head of an answer on.
func (f *exchange) start(x *upstream.Exchange) {
	if f.started {
		return
	}
	f.started = true
	f.status = x.Status
	f.first = f.entry.Now().Sub(f.arrived)
	f.entry.Codec.PassOn(f.w.Header(), x.Header)
	if f.leaves() {
		f.w.Header().Set("Connection", "close")
	}
	f.w.WriteHeader(x.Status)
}

// repeats reports whether an event comes at or before the last one that the
// caller has, as from an endpoint that began anew. Ids that are no numbers tell
// nothing.
func repeats(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	m, err := strconv.ParseUint(last, 10, 64)
	return err == nil && n <= m
}

// stream passes a stream on, event by event as they come.
func (f *exchange) stream(ctx context.Context, x *upstream.Exchange, head Answer) *verdict.Error {
	// Only whole events are passed on, perhaps of several endpoints.
	delete(x.Header, "Content-Length")
	err := f.relay(ctx, x, head, f.newStreamPieces(x.Body), balance.Served)
	if err == nil {
		f.start(x) // a stream without an event
	}
	return err
}
