package entry

// This file relays a response so that a slow caller does not keep the endpoint busy.
//
// At first one goroutine reads and writes chunks in turn, which avoids a goroutine switch for each
// event. If the monitor (relay_monitor.go) finds a write blocked, a second goroutine reads on and
// queues chunks in a bounded buffer; checks by the monitor save a timer for each write. The
// endpoint is released when its response ends. A full buffer stops the reading; a caller that
// reads nothing for StallTimeout is disconnected.

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ivyridge/balance"
	"ivyridge/upstream"
	"ivyridge/verdict"
)

// How long a caller may read nothing of its response.
const (
	// defaultStallTimeout applies if the operator sets none. It should exceed short network outages.
	defaultStallTimeout = 8 * time.Second
	// lateStallTimeout applies instead once the request's deadline has passed.
	lateStallTimeout = time.Second
)

// A relay forwards the response of one endpoint, which may be a part of a resumed stream.
type relay struct {
	ex             *exchange
	ctx            context.Context
	x              *upstream.Exchange
	head           ResponseHead
	src            chunkSource
	successOutcome balance.Outcome // recorded if the response is complete
	flush          *http.ResponseController
	releaseOnce    sync.Once // see releaseEndpoint

	// currentWrite is the number of the write in progress, zero between writes, and
	// readerStarted once a second goroutine reads. The writer ends a write by swapping its
	// number for zero, which fails if the second goroutine was started meanwhile.
	currentWrite atomic.Int64
	lastWrite    int64 // number of the latest write
	checkedWrite int64 // currentWrite at the last check; used by the monitor only
	checks       int   // by the monitor since the concurrent reader was started

	mu           sync.Mutex // guards the fields below
	changed      sync.Cond
	writing      bool // a write is in progress while another goroutine reads
	concurrent   bool // another goroutine reads
	buffer       relayBuffer
	direct       []byte // a chunk that the buffer has no room for; the reader waits until it is written
	readerDone   bool   // the reader has returned, with readerResult
	readerResult *verdict.Error
	aborted      bool // nothing more is written to the caller
	stalled      bool // aborted because of a stall
	closed       bool // the handler no longer uses the relay
	stall        stall
	stopDeadline func() bool // unregisters handleDeadline
}

// relay forwards src, the body of x. On success it records successOutcome for the endpoint.
func (ex *exchange) relay(ctx context.Context, x *upstream.Exchange, head ResponseHead, src chunkSource, successOutcome balance.Outcome) *verdict.Error {
	r := &relay{ex: ex, ctx: ctx, x: x, head: head, src: src, successOutcome: successOutcome, flush: http.NewResponseController(ex.w), buffer: relayBuffer{mem: ex.mem}}
	r.changed.L = &r.mu
	ex.proxy.monitor.add(r)
	err := r.run()
	ex.proxy.monitor.remove(r)
	r.close()
	return err
}

// run reads and writes in turn until the response ends or a write takes long.
func (r *relay) run() *verdict.Error {
	for {
		chunk, err := r.src.next()
		if err != nil {
			return r.endRead(err)
		}
		r.ex.sendHead(r.x)
		r.lastWrite++
		r.currentWrite.Store(r.lastWrite)
		err = r.writeChunk(chunk, true)
		if !r.currentWrite.CompareAndSwap(r.lastWrite, 0) {
			r.blockedWriteDone()
			return r.writeQueued(err)
		}
		if err != nil {
			return r.endWrite()
		}
	}
}

func (r *relay) writeChunk(chunk []byte, flush bool) error {
	_, err := r.ex.w.Write(chunk)
	if err == nil && flush {
		err = r.flush.Flush()
	}
	return err
}

// readConcurrently reads and queues chunks while another goroutine writes them.
func (r *relay) readConcurrently() {
	for {
		chunk, err := r.src.next()
		if err != nil {
			r.finishReader(r.endRead(err))
			return
		}
		if !r.enqueue(chunk) {
			r.finishReader(nil)
			return
		}
	}
}

// readerStarted is the value of currentWrite once a second goroutine reads.
const readerStarted = -1

// check starts the concurrent reader if the write that the last check saw is still in progress.
func (r *relay) check(now time.Time) {
	n := r.currentWrite.Load()
	if n > 0 && n == r.checkedWrite && r.currentWrite.CompareAndSwap(n, readerStarted) {
		r.startReader(now)
	}
	r.checkedWrite = n
	if n != readerStarted {
		return
	}
	if r.checks++; r.checks%stallCheckEvery == 0 {
		r.checkStall(now)
	}
}

// startReader starts the concurrent reader. The blocked write keeps the handler from returning.
func (r *relay) startReader(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ex.proxy.Counters.slowCallers.Add("read-beside", 1)
	r.concurrent, r.writing = true, true
	r.src.detach()
	// From here on checkStall decides when the caller is disconnected, not the deadline.
	_ = r.flush.SetWriteDeadline(time.Time{})
	r.stall.reset(now, r.progress())
	r.stopDeadline = context.AfterFunc(r.ctx, r.handleDeadline)
	go r.readConcurrently()
}

// enqueue queues a chunk, and waits while there is no room. It returns false if the relay is
// aborted.
func (r *relay) enqueue(chunk []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.aborted {
		if r.buffer.add(chunk) {
			r.changed.Broadcast()
			return true
		}
		if r.buffer.empty() && r.direct == nil {
			return r.enqueueDirect(chunk)
		}
		r.changed.Wait()
	}
	return false
}

// enqueueDirect passes a chunk that does not fit into the empty buffer to the writer without a
// copy, and waits until it is written. The caller holds r.mu.
func (r *relay) enqueueDirect(chunk []byte) bool {
	r.direct = chunk
	r.changed.Broadcast()
	for r.direct != nil && !r.aborted {
		r.changed.Wait()
	}
	return !r.aborted
}

// writeQueued writes queued chunks until the reader has returned; err is the result of the write
// during which the reader was started.
func (r *relay) writeQueued(err error) *verdict.Error {
	for err == nil {
		chunk, last := r.next()
		if chunk == nil {
			return r.finalResult()
		}
		err = r.writeChunk(chunk, last)
		r.chunkWritten(chunk)
	}
	reason := r.endWrite()
	r.awaitReader()
	return reason // takes precedence over the reader's error, as a retry would have no caller
}

// finalResult returns the result once the queue is empty. After an abort the response counts as
// incomplete, since the reader may have dropped a chunk.
func (r *relay) finalResult() *verdict.Error {
	r.mu.Lock()
	aborted, result := r.aborted, r.readerResult
	r.mu.Unlock()
	if aborted {
		return r.endWrite()
	}
	return result
}

// next waits for a chunk, and reports whether it is the last in the queue. It returns nil once the
// reader has returned and all chunks are written.
func (r *relay) next() (chunk []byte, last bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		switch {
		case !r.buffer.empty():
			chunk = r.buffer.first()
		case r.direct != nil:
			chunk = r.direct
		case r.readerDone:
			return nil, true
		}
		if chunk != nil {
			r.writing = true
			return chunk, r.buffer.size <= len(chunk)
		}
		r.changed.Wait()
	}
}

// chunkWritten releases a chunk after its write, also after a failed one.
func (r *relay) chunkWritten(chunk []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = false
	r.stall.chunks++
	if r.direct != nil && &r.direct[0] == &chunk[0] {
		r.direct = nil
	} else {
		r.buffer.removeFirst()
	}
	r.changed.Broadcast()
}

// blockedWriteDone records the end of the write during which the reader was started.
func (r *relay) blockedWriteDone() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = false
	r.stall.chunks++
}

func (r *relay) finishReader(result *verdict.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readerDone, r.readerResult = true, result
	r.changed.Broadcast()
}

func (r *relay) awaitReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.readerDone {
		r.changed.Wait()
	}
}

// releaseEndpoint closes the exchange and records its outcome. Only the first call has an effect.
func (r *relay) releaseEndpoint(complete bool, o balance.Outcome) {
	r.releaseOnce.Do(func() {
		r.x.Close(complete, r.head.KeepAlive)
		r.ex.endPlacement(o)
	})
}

// endRead releases the endpoint after a read failed with err, which is io.EOF at the end.
func (r *relay) endRead(err error) *verdict.Error {
	switch err {
	case io.EOF:
		r.releaseEndpoint(true, r.successOutcome)
		return nil
	case errEventMemory:
		r.releaseEndpoint(false, balance.Unknown)
		return verdict.Fail(verdict.MayHaveRun, verdict.ResponseNoMemory, "%s: %s", r.ex.source(), err)
	default:
		r.releaseEndpoint(false, r.ex.outcome(r.ctx))
	}
	return verdict.Fail(verdict.MayHaveRun, verdict.EndpointCut, "%s: %s", r.ex.source(), err)
}

// endWrite releases the endpoint after a write to the caller failed, and returns the error.
func (r *relay) endWrite() *verdict.Error {
	r.releaseEndpoint(false, balance.Unknown)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.aborted = true
	r.changed.Broadcast()
	if r.stalled {
		return verdict.Fail(verdict.Ran, verdict.CallerSlow, "%s", r.stall.detail)
	}
	return verdict.Fail(verdict.Ran, verdict.CallerGone, "while the answer was passed on")
}

// handleDeadline aborts the relay when the caller has disconnected or the deadline has
// passed. A response that was read completely before the deadline is still delivered.
func (r *relay) handleDeadline() {
	r.mu.Lock()
	defer r.mu.Unlock()
	complete := r.readerDone && r.readerResult == nil
	disconnected := r.ex.r.Context().Err() != nil
	if r.closed || complete && !disconnected {
		return
	}
	r.releaseEndpoint(false, r.ex.outcome(r.ctx))
	r.abortWrite()
}

// abortWrite aborts the relay and makes the write in progress fail. The caller holds r.mu.
func (r *relay) abortWrite() {
	r.aborted = true
	r.changed.Broadcast()
	_ = r.flush.SetWriteDeadline(time.Now())
}

// close ends the relay. Afterwards it does not use the caller's ResponseWriter.
func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.ex.peakBuffered = max(r.ex.peakBuffered, r.buffer.peak)
	r.buffer.clear()
	if r.concurrent {
		r.stopDeadline()
		if !r.aborted {
			r.ex.setWriteDeadline(r.ex.proxy.Now())
		}
	}
}
