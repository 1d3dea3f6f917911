package entry

// This file decides when a caller that does not read its response is disconnected. Besides writes,
// bytes that the peer acknowledged (TCP_INFO) count as progress: the kernel reports a socket as
// writable only when a third of its send buffer is free, which takes slow readers many seconds.

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// stallCheckEvery is the number of monitor checks per stall check, which costs a system call.
const stallCheckEvery = 2

// A stall detects a caller that has stopped reading its response. Access must be serialised.
type stall struct {
	chunks uint64 // written
	last   progress
	since  time.Time // start of the time without progress
	detail string    // error detail, once the caller is disconnected
}

// progress measures how much a caller has received.
type progress struct{ chunks, acked uint64 }

func (s *stall) reset(since time.Time, p progress) { s.since, s.last = since, p }

// exceeded reports whether there was no progress for longer than allowed, up to now, while a
// write was in progress.
func (s *stall) exceeded(now time.Time, p progress, writing bool, allowed time.Duration) bool {
	if p != s.last || !writing {
		s.reset(now, p)
		return false
	}
	return now.Sub(s.since) > allowed
}

// checkStall aborts the relay if the caller has stalled, at time now.
func (r *relay) checkStall(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.aborted {
		return
	}
	allowed := r.ex.proxy.StallTimeout()
	if now.After(r.ex.deadline) {
		allowed = min(allowed, lateStallTimeout)
	}
	if r.stall.exceeded(now, r.progress(), r.writing, allowed) {
		r.stalled = true
		r.stall.detail = fmt.Sprintf("%d bytes waited, nothing was taken for %s", r.buffer.size+len(r.direct),
			now.Sub(r.stall.since).Round(time.Millisecond))
		r.abortWrite()
	}
}

// progress returns the progress so far. The caller holds r.mu.
func (r *relay) progress() progress {
	return progress{chunks: r.stall.chunks, acked: acked(r.ex.r.Context())}
}

// acked returns how many bytes the peer has acknowledged on its connection; zero if unknown.
func acked(ctx context.Context) (n uint64) {
	raw, ok := ctx.Value(rawConnKey{}).(syscall.RawConn)
	if !ok {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = info.Bytes_acked
		}
	})
	return n
}
