package entry

// This file logs why suspects are not blocked.

import (
	"sync"

	"go.uber.org/zap"

	"ivyridge/poison"
)

// maxLoggedSuspects bounds the suspects whose evidence is remembered; when it is reached, remembering
// restarts.
const maxLoggedSuspects = 64

// An evidenceLog remembers what was last logged of each suspect, as reports of trials change nothing.
type evidenceLog struct {
	mu     sync.Mutex
	logged map[poison.ID]poison.Evidence
}

// isNew reports whether the evidence against a suspect differs from what was last logged, apart from
// the chance, which changes all the time.
func (l *evidenceLog) isNew(id poison.ID, e poison.Evidence) bool {
	e.Expected = 0
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, ok := l.logged[id]; ok && last == e {
		return false
	}
	if l.logged == nil || len(l.logged) >= maxLoggedSuspects {
		l.logged = make(map[poison.ID]poison.Evidence)
	}
	l.logged[id] = e
	return true
}

// logEvidence logs why a suspect with enough strikes to be blocked is not confirmed.
func (p *Proxy) logEvidence(what string, name zap.Field, suspect *poison.Entry) {
	e, ok := p.Poison.Evidence(p.Now(), suspect.ID)
	if !ok || !p.evidence.isNew(suspect.ID, e) {
		return
	}
	p.Counters.poison.Add("undecided", 1)
	p.Log.Info("poison "+what+" not identified yet", name, zap.String("team", suspect.Team), zap.String("route", suspect.Route),
		zap.Int("strikes", e.Strikes), zap.Int("copies", e.Copies), zap.Int("moments", e.Moments), zap.Int("other_crashes", e.OtherCrashes),
		zap.Float64("expected_by_chance", e.Expected), zap.Bool("held_back", e.HeldBack))
}
