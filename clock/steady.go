package clock

import (
	"sync"
	"sync/atomic"
	"time"
)

// A Steady returns instants as time.Time that also advance while the machine is suspended. Go's
// monotonic clock stops during suspension, so anything timed by it would look too young.
//
// Reading the boot-time clock takes a system call, too expensive to make many times per request. So
// Now reads it only if the wall clock, which advances during suspension, has drifted from the
// monotonic clock. Setting the wall clock causes one additional read and has no other effect.
//
// Instants of a Steady may be compared only with each other. Use Deadline to convert one for the
// runtime's timers. A Steady is safe for concurrent use.
type Steady struct {
	now  func() (monotonic time.Time, wall int64)
	boot func() (time.Duration, bool)

	start      time.Time
	startWall  int64 // Unix nanoseconds
	startBoot  time.Duration
	suspended  atomic.Int64 // nanoseconds since start that the monotonic clock did not count
	wallOffset atomic.Int64 // nanoseconds by which the wall clock was ahead of the monotonic clock when last compared
	mu         sync.Mutex   // held while the boot-time clock is read
}

const (
	// maxWallDrift is the drift from which the boot-time clock is read. Suspensions last longer,
	// and slewing the wall clock takes seconds to reach it.
	maxWallDrift = 10 * time.Millisecond
	// maxReadTime is the time within which two clocks must be read to count as simultaneous.
	maxReadTime = time.Millisecond
	// maxReadAttempts bounds the attempts. A slow last one may underestimate the suspension.
	maxReadAttempts = 3
)

// NewSteady returns a Steady that starts now.
func NewSteady() *Steady { return newSteady(readBoth, readBoot) }

// readBoth returns the current time, and the wall clock in Unix nanoseconds.
func readBoth() (time.Time, int64) {
	t := time.Now()
	return t, t.UnixNano()
}

func newSteady(now func() (time.Time, int64), boot func() (time.Duration, bool)) *Steady {
	s := &Steady{now: now, boot: boot}
	s.start, s.startWall = now()
	s.startBoot, _ = boot()
	return s
}

// Now returns the current instant. It never goes back.
func (s *Steady) Now() time.Time {
	t, wall := s.now()
	if drift := s.wallOffsetAt(t, wall) - s.wallOffset.Load(); drift > int64(maxWallDrift) || drift < -int64(maxWallDrift) {
		s.refresh()
		t, _ = s.now()
	}
	return t.Add(time.Duration(s.suspended.Load()))
}

// wallOffsetAt returns by how many nanoseconds the wall clock has advanced more than the monotonic
// clock from the start to t.
func (s *Steady) wallOffsetAt(t time.Time, wall int64) int64 {
	return wall - s.startWall - int64(t.Sub(s.start))
}

// Refresh reads the boot-time clock. Periodic calls detect suspensions that a simultaneous change
// of the wall clock hides.
func (s *Steady) Refresh() { s.refresh() }

func (s *Steady) refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for attempt := 1; ; attempt++ {
		before, _ := s.now()
		boot, ok := s.boot()
		after, wall := s.now()
		if !ok {
			s.wallOffset.Store(s.wallOffsetAt(after, wall))
			return
		}
		if after.Sub(before) > maxReadTime && attempt < maxReadAttempts {
			continue
		}
		s.record(boot-s.startBoot-after.Sub(s.start), s.wallOffsetAt(after, wall))
		return
	}
}

// record stores the total suspension since the start, which never decreases.
func (s *Steady) record(suspended time.Duration, wallOffset int64) {
	s.wallOffset.Store(wallOffset)
	if suspended-time.Duration(s.suspended.Load()) > maxReadTime {
		s.suspended.Store(int64(suspended))
	}
}

// Deadline converts at, an instant of the clock now, to one that the runtime's timers use.
func Deadline(now func() time.Time, at time.Time) time.Time { return time.Now().Add(at.Sub(now())) }
