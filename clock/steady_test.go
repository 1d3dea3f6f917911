package clock

import (
	"testing"
	"time"
)

// A machine is one whose clocks a test moves.
type machine struct {
	at    time.Time // with a monotonic reading
	wall  time.Duration
	boot  time.Duration
	asked int
}

func (m *machine) run(d time.Duration) {
	m.at = m.at.Add(d)
	m.boot += d
}

func (m *machine) sleep(d time.Duration) {
	m.wall += d
	m.boot += d
}

func (m *machine) now() (time.Time, int64) { return m.at, m.at.Add(m.wall).UnixNano() }

func (m *machine) readBoot() (time.Duration, bool) {
	m.asked++
	return m.boot, true
}

func TestInstantsPassDuringASuspension(t *testing.T) {
	m := &machine{at: time.Now(), boot: time.Hour}
	s := newSteady(m.now, m.readBoot)
	start := s.Now()
	m.run(3 * time.Second)
	if got := s.Now().Sub(start); got != 3*time.Second {
		t.Errorf("%s have passed, want 3 s", got)
	}
	if m.asked > 1 {
		t.Errorf("the boot-time clock was asked %d times though nothing happened", m.asked)
	}
	m.sleep(8 * time.Second)
	m.run(time.Millisecond)
	if got := s.Now().Sub(start); got != 11*time.Second+time.Millisecond {
		t.Errorf("%s have passed, want 11.001 s", got)
	}
	asked := m.asked
	for range 100 {
		m.run(10 * time.Millisecond)
		s.Now()
	}
	if m.asked != asked {
		t.Errorf("the boot-time clock was asked %d times more", m.asked-asked)
	}
}

// The time of day is set, forward and back, beside sleeps: instants neither jump nor go back.
func TestTimeOfDayIsSet(t *testing.T) {
	m := &machine{at: time.Now(), boot: time.Hour}
	s := newSteady(m.now, m.readBoot)
	start, want := s.Now(), time.Duration(0)
	last := start
	for i, step := range []time.Duration{5 * time.Second, -7 * time.Second, 2 * time.Millisecond, -time.Hour, time.Hour} {
		m.wall += step
		m.run(50 * time.Millisecond)
		want += 50 * time.Millisecond
		if i%2 == 1 {
			m.sleep(time.Second)
			want += time.Second
		}
		now := s.Now()
		if got := now.Sub(start); got != want {
			t.Errorf("step %d: %s have passed, want %s", i, got, want)
		}
		if now.Before(last) {
			t.Errorf("step %d: the instant went back", i)
		}
		last = now
	}
}

// A sleep that the time of day hides, set back by as much at once, is found by Refresh.
func TestHiddenSleepIsFoundByRefresh(t *testing.T) {
	m := &machine{at: time.Now(), boot: time.Hour}
	s := newSteady(m.now, m.readBoot)
	start := s.Now()
	m.sleep(4 * time.Second)
	m.wall -= 4 * time.Second
	s.Refresh()
	if got := s.Now().Sub(start); got != 4*time.Second {
		t.Errorf("%s have passed, want 4 s", got)
	}
}

func TestRealClock(t *testing.T) {
	s := NewSteady()
	start, real := s.Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	s.Refresh()
	if got, want := s.Now().Sub(start), time.Since(real); got < 20*time.Millisecond || got > want+50*time.Millisecond {
		t.Errorf("%s have passed, want %s", got, want)
	}
	if d := time.Until(Deadline(s.Now, s.Now().Add(time.Second))); d < 900*time.Millisecond || d > time.Second {
		t.Errorf("a deadline in 1 s is in %s", d)
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
