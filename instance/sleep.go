package instance

// This file notices that the machine was suspended. The clock by which the instance decides
// goes on then, so that all ages are right as soon as it goes on; the runtime's timers do not.

import (
	"time"

	"go.uber.org/zap"
)

// sleptLeast is the least time that counts as a sleep: clocks are read one after the other, and
// a process may be held up between.
const sleptLeast = 250 * time.Millisecond

// A sleepWatch compares a clock that goes on during a sleep with one that does not.
type sleepWatch struct {
	awake time.Time // by the monotonic clock
	all   time.Time // by the instance's
}

func newSleepWatch(now func() time.Time) *sleepWatch {
	return &sleepWatch{awake: time.Now(), all: now()}
}

// look returns for how long the machine slept since the last look, at time now.
func (s *sleepWatch) look(now time.Time) time.Duration {
	awake := time.Now()
	slept := now.Sub(s.all) - awake.Sub(s.awake)
	s.awake, s.all = awake, now
	if slept < sleptLeast {
		return 0
	}
	return slept
}

// slept takes up that the machine slept for so long; zero: it did not.
func (i *Instance) slept(d time.Duration) {
	if d == 0 {
		return
	}
	i.entry.Woke()
	age, _ := i.beliefs.Age()
	i.log.Warn("machine slept", zap.Duration("for", d), zap.Duration("belief_age", age), zap.Int("in_hand", i.entry.Open()), zap.Bool("ready", i.entry.Ready()))
}
