package entry

// This file decides when a caller that takes nothing of its answer is cut off.
//
// Bytes that a write has handed over are no measure alone: the buffer of a connection
// takes more only when a third of it is free, which a caller that reads steadily but
// slowly reaches after many seconds. So what the caller has acknowledged counts too,
// where the connection tells it.

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// stallRounds is in how many rounds of the watch progress is looked at once: a caller is
// cut off half a second late at most, and a thousand cost 2,000 system calls a second.
const stallRounds = 2

// A stall watches the progress of a caller. Its owner serialises access.
type stall struct {
	pieces uint64 // written
	seen   progress
	since  time.Time // there was none
	detail string    // of a caller that was cut off
}

// A progress is what a caller has taken.
type progress struct{ pieces, acked uint64 }

func (s *stall) begin(since time.Time, p progress) { s.since, s.seen = since, p }

// over reports whether nothing was taken for too long, at time now, by a caller for whom
// a write goes on.
func (s *stall) over(now time.Time, p progress, writing bool, allowed time.Duration) bool {
	if p != s.seen || !writing {
		s.begin(now, p)
		return false
	}
	return now.Sub(s.since) > allowed
}

// checkStall cuts the caller off if it takes nothing, at time now.
func (r *relay) checkStall(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over || r.lost {
		return
	}
	allowed := r.f.entry.callerStall()
	if now.After(r.f.ends) {
		allowed = min(allowed, lateStall)
	}
	if r.stall.over(now, r.taken(), r.writing, allowed) {
		r.slow = true
		r.stall.detail = fmt.Sprintf("%d bytes waited, nothing was taken for %s", r.ahead.waiting+len(r.lent),
			now.Sub(r.stall.since).Round(time.Millisecond))
		r.cut()
	}
}

// taken returns the progress so far. R.mu is held.
func (r *relay) taken() progress {
	return progress{pieces: r.stall.pieces, acked: acked(r.f.r.Context())}
}

type connKey struct{}

// ConnContext returns a context of c's requests from which the entry learns what the
// caller has acknowledged. It is for http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return ctx
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return ctx
	}
	return context.WithValue(ctx, connKey{}, raw)
}

// acked returns how many bytes the caller has acknowledged; zero where that is not known.
func acked(ctx context.Context) (n uint64) {
	raw, ok := ctx.Value(connKey{}).(syscall.RawConn)
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
