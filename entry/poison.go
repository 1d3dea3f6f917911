package entry

// This file rejects requests that are known to crash endpoints, and throttles teams that
// send many of them; see package poison.

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"ivyridge/poison"
	"ivyridge/verdict"
)

// poisonRequest returns what identifies repetitions of the request. The body must have been read.
func (ex *exchange) poisonRequest() poison.Request {
	r := poison.Request{Method: ex.call.Method, Host: ex.call.Host, Target: ex.call.Target, Body: ex.call.Body}
	if ex.team != nil {
		r.Team = ex.team.Name
	}
	return r
}

// requestPoisonID returns the ID that all repetitions of the request share.
func (ex *exchange) requestPoisonID() poison.ID {
	if ex.poisonID == (poison.ID{}) {
		r := ex.poisonRequest()
		ex.poisonID = r.ID()
	}
	return ex.poisonID
}

// checkPoison returns an error if the request is known to crash endpoints, its team is throttled or it
// is a suspect that must not be sent now. The first error has no RetryAfter, as a retry is pointless.
func (ex *exchange) checkPoison(ctx context.Context) *verdict.Error {
	for {
		refusal, trialEnded := ex.checkPoisonNow(ctx)
		if trialEnded == nil {
			return refusal
		}
		ex.awaitTrial(ctx, trialEnded)
	}
}

// checkPoisonNow is checkPoison without waiting. Its error is preliminary if it also returns a channel,
// which is closed when the suspect's state changes.
func (ex *exchange) checkPoisonNow(ctx context.Context) (refusal *verdict.Error, trialEnded <-chan struct{}) {
	parts := ex.sharedPartIDs()
	if refusal := ex.checkPoisonParts(parts); refusal != nil {
		return refusal, nil
	}
	if refusal := ex.checkTeamThrottle(); refusal != nil {
		return refusal, nil
	}
	r := ex.poisonRequest()
	if !ex.proxy.Poison.MayContain(&r) {
		ex.suspected = ex.proxy.Poison.SuspectedPart(ex.service.Name, parts)
		return ex.beginTrial(ctx, poison.ID{}, parts)
	}
	id := ex.requestPoisonID()
	state := ex.proxy.Poison.State(id)
	ex.suspected = state == poison.Suspected || ex.proxy.Poison.SuspectedPart(ex.service.Name, parts)
	if state != poison.Confirmed {
		return ex.beginTrial(ctx, id, parts)
	}
	ex.proxy.publishPoison(ex.proxy.Poison.Seen(ex.proxy.Now(), id))
	suspect, _ := ex.proxy.Poison.Entry(id)
	return verdict.Refuse(verdict.CrashesEndpoints, "%d endpoints ended that ran this request, %s", suspect.CountedStrikes(), id), nil
}

// sharedPartIDs returns the IDs of the prompt parts that other requests may have too.
func (ex *exchange) sharedPartIDs() (ids []uint64) {
	for _, p := range ex.call.Generation.sharedParts() {
		ids = append(ids, p.ID)
	}
	return ids
}

// checkPoisonParts returns an error if a part of the prompt is known to crash endpoints.
func (ex *exchange) checkPoisonParts(parts []uint64) *verdict.Error {
	suspect, blocked := ex.proxy.Poison.BlockedPart(ex.service.Name, parts)
	if !blocked {
		return nil
	}
	ex.proxy.publishPoison(ex.proxy.Poison.Seen(ex.proxy.Now(), suspect.ID))
	part, _ := suspect.Part()
	return verdict.Refuse(verdict.CrashesEndpoints, "%d endpoints ended that ran requests with prompt part %x", suspect.CountedStrikes(), part)
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
func (ex *exchange) checkTeamThrottle() *verdict.Error {
	p := ex.proxy
	if ex.team == nil || ex.mayHaveRun || !p.Poison.Slowed(p.Now(), ex.service.Name, ex.team.Name) {
		return nil
	}
	interval := throttleInterval(p.retryBudgets.instanceCount(), len(p.State.View().Endpoints(ex.service.Name)))
	wait := p.throttles.acquire(ex.service.Name+"/"+ex.team.Name, p.Now(), interval)
	if wait <= 0 {
		return nil
	}
	return verdict.Refuse(verdict.TeamLimit, "service %s: requests of the team end endpoints", ex.service.Name).WithRetryAfter(wait)
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
func (ex *exchange) clearSuspect() {
	ex.clearParts()
	r := ex.poisonRequest()
	if !ex.proxy.Poison.MayContain(&r) {
		return
	}
	if changed := ex.proxy.Poison.Clear(ex.requestPoisonID()); len(changed) > 0 {
		ex.proxy.logPoison(changed)
		ex.proxy.publishPoison(changed)
	}
}

// clearParts clears the parts of a prompt that an endpoint has answered successfully, in full or for
// poison.AnswerSettleTime. Only the first call has an effect.
func (ex *exchange) clearParts() {
	if ex.partsCleared || ex.status != http.StatusOK || ex.call.Generation == nil {
		return
	}
	ex.partsCleared = true
	if changed := ex.proxy.Poison.PartsAnswered(ex.service.Name, ex.sharedPartIDs()); len(changed) > 0 {
		ex.proxy.logPoison(changed)
		ex.proxy.publishPoison(changed)
	}
}

func (p *Proxy) publishPoison(entries []poison.Entry) {
	if p.PublishPoison != nil && len(entries) > 0 {
		p.PublishPoison(entries)
	}
}

// MaintainSuspects removes expired suspects and confirms those that are known to be poison by now. It
// must be called regularly.
func (p *Proxy) MaintainSuspects(now time.Time) {
	changed := p.Poison.Maintain(now)
	p.logPoison(changed)
	p.publishPoison(changed)
}

// ClearSuspect clears a suspect at an operator's request and tells the other instances. It
// returns false if id is not a suspect.
func (p *Proxy) ClearSuspect(id poison.ID) bool {
	changed := p.Poison.Clear(id)
	if len(changed) == 0 {
		return false
	}
	p.Log.Warn("poison suspect released by an operator", zap.Stringer("same_as", id))
	p.publishPoison(changed)
	return true
}
