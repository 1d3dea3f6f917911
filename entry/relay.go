package entry

// This file passes an answer on so that its endpoint does not wait for the caller.
//
// It answers callers that read slowly or not at all. Where one goroutine reads an event
// and writes it, a caller that stops reading stops the reading as well: the endpoint
// cuts the answer off after some seconds, and the request keeps its slot until its time
// is over. Here an answer is read on into memory, within bounds.
//
// As long as the caller reads, the goroutine that reads an event also writes it, as
// before. A write that goes on for longer than a round of the watch (watch.go) shows that
// the caller does not: then a second goroutine takes the reading over, and the first one
// goes on writing what waits. The end of the endpoint's answer frees its slot at once.
// Past the bounds reading stops until the caller takes more, and past CallerStall without
// progress the caller is cut off.
//
// Two goroutines from the start were weighed: an event then costs a switch between them.
// A timer for each write was tried: 2.8 us an event became 3.5 on two processors, since
// setting it wakes a thread that waits for the network. Asking the socket before each
// write whether it would block was refused: it costs a system call an event, and its
// answer does not hold for an event longer than what is free.

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

// Times that callers have.
const (
	// defaultStall is how long a caller may take nothing of what waits for it before it is
	// cut off, where the operator sets no time: longer than a link that is down for a
	// moment takes to come back.
	defaultStall = 8 * time.Second
	// lateStall is the same where the request's time is over, and all that can come of
	// waiting is an answer too late.
	lateStall = time.Second
)

// A relay passes one endpoint's answer on, or a part of one.
type relay struct {
	f     *exchange
	ctx   context.Context
	x     *upstream.Exchange
	head  Answer
	in    pieces
	good  balance.Outcome // of an answer that comes to its end
	flush *http.ResponseController
	freed sync.Once // the endpoint's slot

	// write is the number of the write under way while one goroutine reads and writes;
	// zero between two, takenOver once another one reads. A write ends by being swapped
	// for zero, so that it either ends alone or sees that the reading was taken over.
	write  atomic.Int64
	writes int64 // the last number
	seen   int64 // write, at the watch's last round; the watch's own
	rounds int   // that the watch has looked since the reading was taken over

	mu      sync.Mutex // guards what follows
	changed sync.Cond
	writing bool // a write is under way while another goroutine reads
	beside  bool // another goroutine reads
	ahead   ahead
	lent    []byte // a piece that did not fit; the reader waits until it is written
	ended   bool   // the reader is done
	result  *verdict.Error
	lost    bool // the caller gets no more
	slow    bool // because it took nothing for too long
	over    bool // the writer is done
	stall   stall
	stop    func() bool // the watch on the request's end
}

// relay passes in on, from x.
func (f *exchange) relay(ctx context.Context, x *upstream.Exchange, head Answer, in pieces, good balance.Outcome) *verdict.Error {
	r := &relay{f: f, ctx: ctx, x: x, head: head, in: in, good: good, flush: http.NewResponseController(f.w), ahead: ahead{hold: f.hold}}
	r.changed.L = &r.mu
	f.entry.watch.add(r)
	err := r.run()
	f.entry.watch.remove(r)
	r.leave()
	return err
}

// run reads and writes in turn until the answer ends or a write takes long.
func (r *relay) run() *verdict.Error {
	for {
		piece, err := r.in.next()
		if err != nil {
			return r.end(err)
		}
		r.f.start(r.x)
		r.writes++
		r.write.Store(r.writes)
		err = r.pass(piece, true)
		if !r.write.CompareAndSwap(r.writes, 0) {
			r.wrote()
			return r.drain(err)
		}
		if err != nil {
			return r.callerLost()
		}
	}
}

// pass writes a piece, and sends all that is written where flush is set.
func (r *relay) pass(piece []byte, flush bool) error {
	_, err := r.f.w.Write(piece)
	if err == nil && flush {
		err = r.flush.Flush()
	}
	return err
}

// readBeside reads while the writes go on in another goroutine.
func (r *relay) readBeside() {
	for {
		piece, err := r.in.next()
		if err != nil {
			r.readerEnds(r.end(err))
			return
		}
		if !r.queue(piece) {
			r.readerEnds(nil)
			return
		}
	}
}

// takenOver stands in place of a write's number once another goroutine reads.
const takenOver = -1

// look takes the reading over if the write of the last round is still under way. It is
// called by the watch, at time now.
func (r *relay) look(now time.Time) {
	n := r.write.Load()
	if n > 0 && n == r.seen && r.write.CompareAndSwap(n, takenOver) {
		r.takeOver(now)
	}
	r.seen = n
	if n != takenOver {
		return
	}
	if r.rounds++; r.rounds%stallRounds == 0 {
		r.checkStall(now)
	}
}

// takeOver starts the reading beside a write that goes on, so that the writer has not
// returned to the server.
func (r *relay) takeOver(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.f.entry.Counters.slow.Add("read-beside", 1)
	r.beside, r.writing = true, true
	r.in.renew()
	// From here on progress decides, not the end of the request's time.
	_ = r.flush.SetWriteDeadline(time.Time{})
	r.stall.begin(now, r.taken())
	r.stop = context.AfterFunc(r.ctx, r.timeUp)
	go r.readBeside()
}

// queue has a piece wait for the writer. It returns false if the caller is lost.
func (r *relay) queue(piece []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.lost {
		if r.ahead.add(piece) {
			r.changed.Broadcast()
			return true
		}
		if r.ahead.empty() && r.lent == nil {
			return r.lend(piece)
		}
		r.changed.Wait()
	}
	return false
}

// lend has the writer pass on the reader's own piece, for which nothing could be taken.
// R.mu is held.
func (r *relay) lend(piece []byte) bool {
	r.lent = piece
	r.changed.Broadcast()
	for r.lent != nil && !r.lost {
		r.changed.Wait()
	}
	return !r.lost
}

// drain writes what the reader leaves, until it has ended. Err is that of the write
// during which the reader began.
func (r *relay) drain(err error) *verdict.Error {
	for err == nil {
		piece, last := r.next()
		if piece == nil {
			return r.drained()
		}
		err = r.pass(piece, last)
		r.passed(piece)
	}
	lost := r.callerLost()
	r.awaitReader()
	return lost // whatever the reader met: nobody is there for whom the answer could go on
}

// drained returns how an answer ends of which nothing waits any more. The reader drops the
// piece it has just read if the caller is lost by then, so that the answer is not whole.
func (r *relay) drained() *verdict.Error {
	r.mu.Lock()
	lost, result := r.lost, r.result
	r.mu.Unlock()
	if lost {
		return r.callerLost()
	}
	return result
}

// next waits for a piece, and reports whether it is the last that waits now. It returns
// nil when all has been read and written.
func (r *relay) next() (piece []byte, last bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		switch {
		case !r.ahead.empty():
			piece = r.ahead.first()
		case r.lent != nil:
			piece = r.lent
		case r.ended:
			return nil, true
		}
		if piece != nil {
			r.writing = true
			return piece, r.ahead.waiting <= len(piece)
		}
		r.changed.Wait()
	}
}

// passed lets go of a piece that was written, or that never will be.
func (r *relay) passed(piece []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = false
	r.stall.pieces++
	if r.lent != nil && &r.lent[0] == &piece[0] {
		r.lent = nil
	} else {
		r.ahead.remove()
	}
	r.changed.Broadcast()
}

// wrote ends the write during which the reading was taken over.
func (r *relay) wrote() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = false
	r.stall.pieces++
}

// readerEnds tells the writer that there is no more.
func (r *relay) readerEnds(result *verdict.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.result = true, result
	r.changed.Broadcast()
}

func (r *relay) awaitReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.ended {
		r.changed.Wait()
	}
}

// free ends the exchange with the endpoint. The first call decides how.
func (r *relay) free(whole bool, o balance.Outcome) {
	r.freed.Do(func() {
		r.x.Close(whole, r.head.KeepAlive)
		r.f.placement.Done(o)
	})
}

// end frees the endpoint after the last piece, or after err in place of one.
func (r *relay) end(err error) *verdict.Error {
	switch err {
	case io.EOF:
		r.free(true, r.good)
		return nil
	case errNoRoom:
		r.free(false, balance.Unknown)
		return verdict.Fail(verdict.MayHaveRun, verdict.AnswerNoMemory, "%s: %s", r.f.placement.Endpoint.ID, err)
	default:
		r.free(false, r.f.outcome(r.ctx))
	}
	return verdict.Fail(verdict.MayHaveRun, verdict.EndpointCut, "%s: %s", r.f.placement.Endpoint.ID, err)
}

// callerLost frees the endpoint of a caller to whom nothing can be written any more, and
// returns why.
func (r *relay) callerLost() *verdict.Error {
	r.free(false, balance.Unknown)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = true
	r.changed.Broadcast()
	if r.slow {
		return verdict.Fail(verdict.Ran, verdict.CallerSlow, "%s", r.stall.detail)
	}
	return verdict.Fail(verdict.Ran, verdict.CallerGone, "while the answer was passed on")
}

// timeUp ends a relay whose caller has left or whose request's time is over. What an
// endpoint has answered whole is delivered late, as long as the caller takes it.
func (r *relay) timeUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	whole := r.ended && r.result == nil
	gone := r.f.r.Context().Err() != nil
	if r.over || whole && !gone {
		return
	}
	r.free(false, r.f.outcome(r.ctx))
	r.cut()
}

// cut has the write under way fail. R.mu is held.
func (r *relay) cut() {
	r.lost = true
	r.changed.Broadcast()
	_ = r.flush.SetWriteDeadline(time.Now())
}

// leave ends the relay: nothing of it touches the caller's writer afterwards.
func (r *relay) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over = true
	r.f.ahead = max(r.f.ahead, r.ahead.most)
	r.ahead.clear()
	if r.beside {
		r.stop()
		if !r.lost {
			r.f.setWriteEnd(r.f.entry.Now())
		}
	}
}
