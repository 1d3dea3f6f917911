package instance

// This file detects suspension of the machine, which stops timers but not the instance's clock.

import (
	"time"

	"go.uber.org/zap"
)

// minSuspend is the shortest suspension reported. A delay of the process between its readings of the
// two clocks looks like a shorter one.
const minSuspend = 250 * time.Millisecond

// A suspendDetector compares a clock that runs during suspension with one that does not.
type suspendDetector struct {
	monotonic    time.Time // last reading
	suspendAware time.Time // last reading of the instance's clock
}

func newSuspendDetector(now func() time.Time) *suspendDetector {
	return &suspendDetector{monotonic: time.Now(), suspendAware: now()}
}

// check returns how long the machine was suspended since the last call. now is the instance's time.
func (s *suspendDetector) check(now time.Time) time.Duration {
	monotonic := time.Now()
	suspended := now.Sub(s.suspendAware) - monotonic.Sub(s.monotonic)
	s.monotonic, s.suspendAware = monotonic, now
	if suspended < minSuspend {
		return 0
	}
	return suspended
}

// handleResume handles the end of a suspension of length d; 0 means there was none.
func (i *Instance) handleResume(d time.Duration) {
	if d == 0 {
		return
	}
	i.entry.HandleResume()
	age, _ := i.discovery.Age()
	i.log.Warn("machine was suspended", zap.Duration("for", d), zap.Duration("belief_age", age), zap.Int("in_hand", i.entry.Open()), zap.Bool("ready", i.entry.Ready()))
}
