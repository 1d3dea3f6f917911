package entry

// This file rejects requests that are known to crash endpoints, and throttles teams that
// send many of them; see package poison.

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"ivyridge/poison"
	"ivyridge/verdict"
)

// poisonRequest returns what identifies repetitions of the request. The body must have been read.
func (f *exchange) poisonRequest() poison.Request {
	r := poison.Request{Method: f.call.Method, Host: f.call.Host, Target: f.call.Target, Body: f.call.Body}
	if f.team != nil {
		r.Team = f.team.Name
	}
	return r
}

// requestPoisonID returns the ID that all repetitions of the request share.
func (f *exchange) requestPoisonID() poison.ID {
	if f.poisonID == (poison.ID{}) {
		r := f.poisonRequest()
		f.poisonID = r.ID()
	}
	return f.poisonID
}

// checkPoison returns an error if the request is known to crash endpoints or its team is
// throttled. The former error has no RetryAfter, as a retry is pointless.
func (f *exchange) checkPoison() *verdict.Error {
	if refusal := f.checkTeamThrottle(); refusal != nil {
		return refusal
	}
	r := f.poisonRequest()
	if !f.proxy.Poison.MayContain(&r) {
		f.suspected = false
		return nil
	}
	id := f.requestPoisonID()
	state := f.proxy.Poison.State(id)
	f.suspected = state == poison.Suspected
	if state != poison.Confirmed {
		return nil
	}
	f.proxy.publishPoison(f.proxy.Poison.Seen(f.proxy.Now(), id))
	known, _ := f.proxy.Poison.Entry(id)
	return verdict.Refuse(verdict.CrashesEndpoints, "%d endpoints ended that ran this request, %s", known.CountedStrikes(), id)
}

// A throttled team is admitted at a rate at which at most throttleLossShare of the service's
// endpoints are down if each request crashes one for endpointRecoveryTime.
const (
	throttleLossShare    = 0.1
	endpointRecoveryTime = 3 * time.Second
)

// throttleInterval returns the time between requests of a throttled team at one instance.
func throttleInterval(instances, endpoints int) time.Duration {
	return time.Duration(float64(instances) * float64(endpointRecoveryTime) / max(1, throttleLossShare*float64(endpoints)))
}

// checkTeamThrottle returns an error if the request's team is throttled and has used up its rate.
func (f *exchange) checkTeamThrottle() *verdict.Error {
	e := f.proxy
	if f.team == nil || f.mayHaveRun || !e.Poison.Slowed(e.Now(), f.service.Name, f.team.Name) {
		return nil
	}
	interval := throttleInterval(e.retryBudgets.instanceCount(), len(e.State.View().Endpoints(f.service.Name)))
	wait := e.throttles.acquire(f.service.Name+"/"+f.team.Name, e.Now(), interval)
	if wait <= 0 {
		return nil
	}
	return verdict.Refuse(verdict.TeamLimit, "service %s: requests of the team end endpoints", f.service.Name).WithRetryAfter(wait)
}

// teamThrottles holds when each throttled team may send its next request, by service and team.
type teamThrottles struct {
	mu   sync.Mutex
	next map[string]time.Time
}

// acquire admits a request, or returns how long to wait until the next one is admitted.
func (t *teamThrottles) acquire(key string, now time.Time, interval time.Duration) (wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if next, ok := t.next[key]; ok && now.Before(next) {
		return next.Sub(now)
	}
	if t.next == nil {
		t.next = make(map[string]time.Time)
	}
	t.next[key] = now.Add(interval)
	return 0
}

// clearSuspect clears a suspect that an endpoint has answered and thus does not crash endpoints.
func (f *exchange) clearSuspect() {
	r := f.poisonRequest()
	if !f.proxy.Poison.MayContain(&r) {
		return
	}
	if changed := f.proxy.Poison.Clear(f.requestPoisonID()); len(changed) > 0 {
		f.proxy.logPoison(changed)
		f.proxy.publishPoison(changed)
	}
}

func (e *Proxy) publishPoison(entries []poison.Entry) {
	if e.PublishPoison != nil && len(entries) > 0 {
		e.PublishPoison(entries)
	}
}

// ClearSuspect clears a suspect at an operator's request and tells the other instances. It
// returns false if id is not a suspect.
func (e *Proxy) ClearSuspect(id poison.ID) bool {
	changed := e.Poison.Clear(id)
	if len(changed) == 0 {
		return false
	}
	e.Log.Warn("poison suspect released by an operator", zap.Stringer("same_as", id))
	e.publishPoison(changed)
	return true
}
