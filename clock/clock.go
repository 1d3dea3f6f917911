// Package clock tells instants that also pass while a process or its machine
// is stopped.
//
// An instant is the time since the clock was made. Boot reads the system's
// boot-time clock, which goes on while the machine is suspended; Monotonic
// reads Go's, and follows virtual time in tests.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// A Clock tells the present instant. It is safe for concurrent use.
type Clock interface {
	Now() time.Duration
}

type boot struct{ start time.Duration }

// Boot returns a clock over the boot-time clock, or Monotonic where the
// system has none.
func Boot() Clock {
	now, ok := readBoot()
	if !ok {
		return Monotonic()
	}
	return boot{now}
}

// Now returns the time since Boot was called, suspension included.
func (b boot) Now() time.Duration {
	now, _ := readBoot()
	return now - b.start
}

func readBoot() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}

type monotonic struct{ start time.Time }

// Monotonic returns a clock over Go's monotonic time.
func Monotonic() Clock { return monotonic{time.Now()} }

// Now returns the time since Monotonic was called.
func (m monotonic) Now() time.Duration { return time.Since(m.start) }
