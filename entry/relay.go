package entry

// This file relays a response so that a slow caller does not keep the endpoint busy.
//
// At first one goroutine reads a chunk and writes it to the caller, in turn. If a write
// takes longer than a check of the monitor (relay_monitor.go), a second goroutine takes
// over the reading and queues chunks in a bounded buffer, while the first one goes on
// writing. The endpoint's slot is freed when its response ends. When the buffer is full,
// reading stops until the caller reads more; a caller that reads nothing for StallTimeout is
// disconnected.
//
// Reading and writing in turn avoids a goroutine switch for each event, and checking from
// the monitor avoids a timer or a system call for each write.

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

// How long a caller may read nothing of the data that waits for it.
const (
	// defaultStallTimeout applies if the operator sets no StallTimeout. It should exceed
	// short outages of the caller's link.
	defaultStallTimeout = 8 * time.Second
	// lateStallTimeout applies instead once the request's deadline has passed.
	lateStallTimeout = time.Second
)

// A relay forwards the response of one endpoint to the caller. Of a resumed stream it
// forwards the part that this endpoint sends.
type relay struct {
	f              *exchange
	ctx            context.Context
	x              *upstream.Exchange
	head           ResponseHead
	src            chunkSource
	successOutcome balance.Outcome // recorded if the response is complete
	flush          *http.ResponseController
	releaseOnce    sync.Once // see releaseEndpoint

	// currentWrite is the number of the write in progress while one goroutine reads and
	// writes; zero between writes; readerSplit once a second goroutine reads. The writer
	// ends a write by swapping its number for zero, which fails if the reading was taken
	// over during the write.
	currentWrite atomic.Int64
	lastWrite    int64 // number of the latest write
	checkedWrite int64 // currentWrite at the last check; used by the monitor only
	checks       int   // by the monitor since the reader was split

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
func (f *exchange) relay(ctx context.Context, x *upstream.Exchange, head ResponseHead, src chunkSource, successOutcome balance.Outcome) *verdict.Error {
	r := &relay{f: f, ctx: ctx, x: x, head: head, src: src, successOutcome: successOutcome, flush: http.NewResponseController(f.w), buffer: relayBuffer{mem: f.mem}}
	r.changed.L = &r.mu
	f.entry.monitor.add(r)
	err := r.run()
	f.entry.monitor.remove(r)
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
		r.f.sendHead(r.x)
		r.lastWrite++
		r.currentWrite.Store(r.lastWrite)
		err = r.writeChunk(chunk, true)
		if !r.currentWrite.CompareAndSwap(r.lastWrite, 0) {
			r.splitWriteDone()
			return r.writeQueued(err)
		}
		if err != nil {
			return r.abandon()
		}
	}
}

// writeChunk writes a chunk to the caller, and flushes if flush is set.
func (r *relay) writeChunk(chunk []byte, flush bool) error {
	_, err := r.f.w.Write(chunk)
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

// readerSplit is the value of currentWrite once a second goroutine reads.
const readerSplit = -1

// check splits off the reader if the write seen by the last check is still in progress.
// The monitor calls it at time now.
func (r *relay) check(now time.Time) {
	n := r.currentWrite.Load()
	if n > 0 && n == r.checkedWrite && r.currentWrite.CompareAndSwap(n, readerSplit) {
		r.splitReader(now)
	}
	r.checkedWrite = n
	if n != readerSplit {
		return
	}
	if r.checks++; r.checks%stallCheckEvery == 0 {
		r.checkStall(now)
	}
}

// splitReader starts the concurrent reader. The write in progress is still blocked, so the
// handler cannot return meanwhile.
func (r *relay) splitReader(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.f.entry.Counters.slowCallers.Add("read-beside", 1)
	r.concurrent, r.writing = true, true
	r.src.detach()
	// From here on checkStall decides when the caller is disconnected, not the deadline.
	_ = r.flush.SetWriteDeadline(time.Time{})
	r.stall.reset(now, r.progress())
	r.stopDeadline = context.AfterFunc(r.ctx, r.handleDeadline)
	go r.readConcurrently()
}

// enqueue queues a chunk for the writer, and waits while there is no room. It returns false
// if the relay is aborted.
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

// enqueueDirect has the writer send the reader's own chunk, without a copy, and waits
// until that is done. It is for chunks that do not fit into an empty buffer. The caller
// holds r.mu.
func (r *relay) enqueueDirect(chunk []byte) bool {
	r.direct = chunk
	r.changed.Broadcast()
	for r.direct != nil && !r.aborted {
		r.changed.Wait()
	}
	return !r.aborted
}

// writeQueued writes queued chunks until the reader has returned. Err is the result of the
// write during which the reader was split off.
func (r *relay) writeQueued(err error) *verdict.Error {
	for err == nil {
		chunk, last := r.next()
		if chunk == nil {
			return r.finalResult()
		}
		err = r.writeChunk(chunk, last)
		r.chunkWritten(chunk)
	}
	reason := r.abandon()
	r.awaitReader()
	return reason // takes precedence over the reader's error, as a retry would have no caller
}

// finalResult returns the result once the queue is empty. If the relay was aborted, the
// reader may have dropped a chunk, so that the response is incomplete.
func (r *relay) finalResult() *verdict.Error {
	r.mu.Lock()
	aborted, result := r.aborted, r.readerResult
	r.mu.Unlock()
	if aborted {
		return r.abandon()
	}
	return result
}

// next waits for a chunk, and reports whether no further one is queued. It returns nil
// once the reader has returned and all chunks are written.
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

// splitWriteDone records the end of the write during which the reader was split off.
func (r *relay) splitWriteDone() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = false
	r.stall.chunks++
}

// finishReader passes the reader's result to the writer.
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

// releaseEndpoint closes the exchange with the endpoint and records the outcome. Only the
// first call has an effect.
func (r *relay) releaseEndpoint(complete bool, o balance.Outcome) {
	r.releaseOnce.Do(func() {
		r.x.Close(complete, r.head.KeepAlive)
		r.f.placement.Done(o)
	})
}

// endRead releases the endpoint at the end of its response, err being what the read returned.
func (r *relay) endRead(err error) *verdict.Error {
	switch err {
	case io.EOF:
		r.releaseEndpoint(true, r.successOutcome)
		return nil
	case errEventMemory:
		r.releaseEndpoint(false, balance.Unknown)
		return verdict.Fail(verdict.MayHaveRun, verdict.ResponseNoMemory, "%s: %s", r.f.placement.Endpoint.ID, err)
	default:
		r.releaseEndpoint(false, r.f.outcome(r.ctx))
	}
	return verdict.Fail(verdict.MayHaveRun, verdict.EndpointCut, "%s: %s", r.f.placement.Endpoint.ID, err)
}

// abandon releases the endpoint when nothing more can be written to the caller, and
// returns the reason.
func (r *relay) abandon() *verdict.Error {
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
	disconnected := r.f.r.Context().Err() != nil
	if r.closed || complete && !disconnected {
		return
	}
	r.releaseEndpoint(false, r.f.outcome(r.ctx))
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
	r.f.peakBuffered = max(r.f.peakBuffered, r.buffer.peak)
	r.buffer.clear()
	if r.concurrent {
		r.stopDeadline()
		if !r.aborted {
			r.f.setWriteDeadline(r.f.entry.Now())
		}
	}
}
