package entry

// This file has requests that end endpoints found, and not run any more; package poison says
// which these are.

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"ivyridge/poison"
	"ivyridge/verdict"
)

// identity returns what makes this request the same when it comes again. Its body has been
// read, and its team is known.
func (f *exchange) identity() poison.Request {
	r := poison.Request{Method: f.call.Method, Host: f.call.Host, Target: f.call.Target, Body: f.call.Body}
	if f.team != nil {
		r.Team = f.team.Name
	}
	return r
}

// sameID returns what names this request whenever it comes.
func (f *exchange) sameID() poison.ID {
	if f.same == (poison.ID{}) {
		r := f.identity()
		f.same = r.ID()
	}
	return f.same
}

// judge returns a refusal if the request is known to end endpoints, or its team to send many
// that do. The former is final: no time to come back is told.
func (f *exchange) judge() *verdict.Error {
	if refusal := f.judgeTeam(); refusal != nil {
		return refusal
	}
	r := f.identity()
	if !f.entry.Poison.Knows(&r) {
		f.suspected = false
		return nil
	}
	id := f.sameID()
	standing := f.entry.Poison.Standing(id)
	f.suspected = standing == poison.Suspected
	if standing != poison.Known {
		return nil
	}
	f.entry.tellPoison(f.entry.Poison.Came(f.entry.Now(), id))
	known, _ := f.entry.Poison.Entry(id)
	return verdict.Refuse(verdict.EndsEndpoints, "%d endpoints ended that ran this request, %s", known.Counted(), id)
}

// slowedLoss is the part of a service's endpoints that a slowed team may cost at any time, and
// slowedAway how long each is away: all instances together let so many of its requests
// through a second.
const (
	slowedLoss = 0.1
	slowedAway = 3 * time.Second
)

// slowedEvery returns the pause between two requests of a slowed team at one of so many
// instances, where the service has so many endpoints.
func slowedEvery(instances, endpoints int) time.Duration {
	return time.Duration(float64(instances) * float64(slowedAway) / max(1, slowedLoss*float64(endpoints)))
}

// judgeTeam returns a refusal if the request's team is slowed, and it is not this one's turn.
func (f *exchange) judgeTeam() *verdict.Error {
	e := f.entry
	if f.team == nil || f.mayHaveRun || !e.Poison.Slowed(e.Now(), f.service.Name, f.team.Name) {
		return nil
	}
	every := slowedEvery(e.budgets.heard(), len(e.Beliefs.View().Endpoints(f.service.Name)))
	wait := e.slowed.turn(f.service.Name+"/"+f.team.Name, e.Now(), every)
	if wait <= 0 {
		return nil
	}
	return verdict.Refuse(verdict.TeamLimit, "service %s: requests of the team end endpoints", f.service.Name).After(wait)
}

// slowed are the turns of slowed teams, by service and team.
type slowed struct {
	mu   sync.Mutex
	next map[string]time.Time
}

// turn takes the next turn, or returns how long it is until then.
func (s *slowed) turn(name string, now time.Time, every time.Duration) (wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next, ok := s.next[name]; ok && now.Before(next) {
		return next.Sub(now)
	}
	if s.next == nil {
		s.next = make(map[string]time.Time)
	}
	s.next[name] = now.Add(every)
	return 0
}

// answered takes up that an endpoint answered the request: it ends none.
func (f *exchange) answered() {
	r := f.identity()
	if !f.entry.Poison.Knows(&r) {
		return
	}
	if told := f.entry.Poison.Answered(f.sameID()); len(told) > 0 {
		f.entry.notePoison(told)
		f.entry.tellPoison(told)
	}
}

func (e *Entry) tellPoison(entries []poison.Entry) {
	if e.TellPoison != nil && len(entries) > 0 {
		e.TellPoison(entries)
	}
}

// Release lets a request go that is a suspect, and tells the others. It returns false if it is
// none.
func (e *Entry) Release(id poison.ID) bool {
	told := e.Poison.Answered(id)
	if len(told) == 0 {
		return false
	}
	e.Log.Warn("suspect released by an operator", zap.Stringer("same_as", id))
	e.tellPoison(told)
	return true
}
