package poison

// This file reports why a suspect is not blocked.

import "time"

// Evidence is what decides whether a suspect is blocked.
type Evidence struct {
	Strikes      int     // that are not cleared
	Copies       int     // that were lost in these strikes
	Moments      int     // different moments of these strikes
	OtherCrashes int     // of the service that no suspect explains
	Expected     float64 // number of requests expected to have these strikes by chance
	HeldBack     bool
}

// Evidence returns the evidence against a suspect that has enough strikes to be blocked, but is not
// confirmed. It returns false for any other ID.
func (t *Table) Evidence(now time.Time, id ID) (out Evidence, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.suspects[id]
	if e == nil || e.Confirmed || e.lostCopies() < minStrikes {
		return out, false
	}
	ev := t.evidence(e, t.crashes(), t.rivals(e))
	out = Evidence{Strikes: e.liveStrikes(), Copies: e.lostCopies(), Moments: len(ev.moments), OtherCrashes: len(ev.others), HeldBack: ev.holds(now)}
	if len(ev.moments) > 0 {
		out.Expected = ev.expected(now, ev.moments, assumedCrashInterval)
	}
	return out, true
}
