package clock

import (
	"testing"
	"time"
)

type fakeMachine struct {
	mono       time.Time // with a monotonic reading
	wallOffset time.Duration
	boot       time.Duration
	bootReads  int
}

func (m *fakeMachine) run(d time.Duration) {
	m.mono = m.mono.Add(d)
	m.boot += d
}

func (m *fakeMachine) suspend(d time.Duration) {
	m.wallOffset += d
	m.boot += d
}

func (m *fakeMachine) now() (time.Time, int64) { return m.mono, m.mono.Add(m.wallOffset).UnixNano() }

func (m *fakeMachine) readBoot() (time.Duration, bool) {
	m.bootReads++
	return m.boot, true
}

func TestNowAdvancesDuringSuspension(t *testing.T) {
	m := &fakeMachine{mono: time.Now(), boot: time.Hour}
	s := newSteady(m.now, m.readBoot)
	start := s.Now()
	m.run(3 * time.Second)
	if got := s.Now().Sub(start); got != 3*time.Second {
		t.Errorf("%s elapsed, want 3 s", got)
	}
	if m.bootReads > 1 {
		t.Errorf("the boot-time clock was read %d times, want once", m.bootReads)
	}
	m.suspend(8 * time.Second)
	m.run(time.Millisecond)
	if got := s.Now().Sub(start); got != 11*time.Second+time.Millisecond {
		t.Errorf("%s elapsed, want 11.001 s", got)
	}
	bootReads := m.bootReads
	for range 100 {
		m.run(10 * time.Millisecond)
		s.Now()
	}
	if m.bootReads != bootReads {
		t.Errorf("the boot-time clock was read %d more times, want none", m.bootReads-bootReads)
	}
}

// Setting the wall clock, with suspensions in between, makes Now neither jump nor go back.
func TestWallClockStepsDoNotAffectNow(t *testing.T) {
	m := &fakeMachine{mono: time.Now(), boot: time.Hour}
	s := newSteady(m.now, m.readBoot)
	start, elapsed := s.Now(), time.Duration(0)
	last := start
	for i, step := range []time.Duration{5 * time.Second, -7 * time.Second, 2 * time.Millisecond, -time.Hour, time.Hour} {
		m.wallOffset += step
		m.run(50 * time.Millisecond)
		elapsed += 50 * time.Millisecond
		if i%2 == 1 {
			m.suspend(time.Second)
			elapsed += time.Second
		}
		now := s.Now()
		if got := now.Sub(start); got != elapsed {
			t.Errorf("step %d: %s elapsed, want %s", i, got, elapsed)
		}
		if now.Before(last) {
			t.Errorf("step %d: Now returned an earlier time than before", i)
		}
		last = now
	}
}

// Refresh detects a suspension during which the wall clock was set back by the same time.
func TestRefreshDetectsHiddenSuspension(t *testing.T) {
	m := &fakeMachine{mono: time.Now(), boot: time.Hour}
	s := newSteady(m.now, m.readBoot)
	start := s.Now()
	m.suspend(4 * time.Second)
	m.wallOffset -= 4 * time.Second
	s.Refresh()
	if got := s.Now().Sub(start); got != 4*time.Second {
		t.Errorf("%s elapsed, want 4 s", got)
	}
}

func TestSystemClock(t *testing.T) {
	s := NewSteady()
	start, realStart := s.Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	s.Refresh()
	if got, want := s.Now().Sub(start), time.Since(realStart); got < 20*time.Millisecond || got > want+50*time.Millisecond {
		t.Errorf("%s elapsed, want 20ms or more, and at most 50ms more than %s", got, want)
	}
	if d := time.Until(Deadline(s.Now, s.Now().Add(time.Second))); d < 900*time.Millisecond || d > time.Second {
		t.Errorf("a deadline in 1 s is %s away, want 0.9 s to 1 s", d)
	}
}

func BenchmarkSteadyNow(b *testing.B) {
	s := NewSteady()
	for b.Loop() {
		s.Now()
	}
}

func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		time.Now()
	}
}
