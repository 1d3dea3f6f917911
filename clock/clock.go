// Package clock provides clocks that also advance while the process or its machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// A Clock returns the time since it was created. It is safe for concurrent use.
type Clock interface {
	Now() time.Duration
}

type bootClock struct{ start time.Duration }

// Boot returns a Clock over the system's boot-time clock, which advances during suspension, or
// Monotonic if the system has none.
func Boot() Clock {
	now, ok := readBoot()
	if !ok {
		return Monotonic()
	}
	return bootClock{now}
}

func (b bootClock) Now() time.Duration {
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

type monotonicClock struct{ start time.Time }

// Monotonic returns a Clock over Go's monotonic clock. It follows virtual time in tests.
func Monotonic() Clock { return monotonicClock{time.Now()} }

func (m monotonicClock) Now() time.Duration { return time.Since(m.start) }
