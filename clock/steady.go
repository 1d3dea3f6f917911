package clock

import (
	"sync"
	"sync/atomic"
	"time"
)

// A Steady tells instants as time.Time that also pass while the machine is suspended, at
// hardly more than the cost of time.Now: Go's monotonic clock stands still then, and what is
// reckoned by it looks as young as before.
//
// The boot-time clock costs a system call, which each request would pay many times. The time
// of day goes on during a suspension as well, and is read with the monotonic clock at once. So
// the boot-time clock is asked when the two have moved apart, and now and then by Refresh. A time of
// day that was set brings one question more and no other change.
//
// Instants of a Steady are to be compared with its own only. A deadline for the runtime's timers
// is made by Deadline.
type Steady struct {
	now  func() (monotonic time.Time, day int64)
	boot func() (time.Duration, bool)

	start     time.Time
	startDay  int64 // Unix nanoseconds
	startBoot time.Duration
	slept     atomic.Int64 // nanoseconds since start that the monotonic clock did not count
	apart     atomic.Int64 // by how much the time of day went ahead of the monotonic clock, as last seen
	mu        sync.Mutex   // held by whoever asks the boot-time clock
}

const (
	// apartMost is how far the time of day and the monotonic clock move apart before the
	// boot-time clock is asked: a suspension lasts longer, and a clock that is slewed takes
	// seconds for that.
	apartMost = 10 * time.Millisecond
	// readWithin is how long two readings of clocks may take to count as made at once.
	readWithin = time.Millisecond
	// readTries is how often that is tried; the last one counts in any case, and rather
	// understates the time slept.
	readTries = 3
)

// NewSteady returns a Steady that starts now.
func NewSteady() *Steady { return newSteady(readBoth, readBoot) }

// readBoth returns the present instant, and the time of day in Unix nanoseconds.
func readBoth() (time.Time, int64) {
	t := time.Now()
	return t, t.UnixNano()
}

func newSteady(now func() (time.Time, int64), boot func() (time.Duration, bool)) *Steady {
	s := &Steady{now: now, boot: boot}
	s.start, s.startDay = now()
	s.startBoot, _ = boot()
	return s
}

// Now returns the present instant.
func (s *Steady) Now() time.Time {
	t, day := s.now()
	if moved := s.apartAt(t, day) - s.apart.Load(); moved > int64(apartMost) || moved < -int64(apartMost) {
		s.refresh()
		t, _ = s.now()
	}
	return t.Add(time.Duration(s.slept.Load()))
}

// apartAt returns by how much, in nanoseconds, the time of day went ahead of the monotonic
// clock until t.
func (s *Steady) apartAt(t time.Time, day int64) int64 {
	return day - s.startDay - int64(t.Sub(s.start))
}

// Refresh asks the boot-time clock.
func (s *Steady) Refresh() { s.refresh() }

func (s *Steady) refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for try := 1; ; try++ {
		before, _ := s.now()
		boot, ok := s.boot()
		after, day := s.now()
		if !ok {
			s.apart.Store(s.apartAt(after, day))
			return
		}
		if after.Sub(before) > readWithin && try < readTries {
			continue
		}
		s.take(boot-s.startBoot-after.Sub(s.start), s.apartAt(after, day))
		return
	}
}

// take takes up how long the machine has slept since the start. It never gets less.
func (s *Steady) take(slept time.Duration, apart int64) {
	s.apart.Store(apart)
	if slept-time.Duration(s.slept.Load()) > readWithin {
		s.slept.Store(int64(slept))
	}
}

// Deadline returns an instant that was told by a clock now as the runtime's timers reckon it.
func Deadline(now func() time.Time, at time.Time) time.Time { return time.Now().Add(at.Sub(now())) }
