package entry

// This file sends copies of suspects one at a time, and holds suspects back that are probably poison;
// see package poison.

import (
	"context"
	"time"

	"ivyridge/balance"
	"ivyridge/poison"
	"ivyridge/verdict"
)

// trialWaitShare is the share of the latency objective for which a copy of a suspect waits until it may be sent.
const trialWaitShare = 0.25

// beginTrial returns an error if the request is a suspect, or has parts that are, and must not be sent
// now. Otherwise it begins a trial of these suspects. The error is preliminary if beginTrial also returns a
// channel, which is closed when a suspect changes. Another instance's trial covers a forwarded request.
func (ex *exchange) beginTrial(ctx context.Context, id poison.ID, parts []uint64) (refusal *verdict.Error, changed <-chan struct{}) {
	if ex.forwarded != nil {
		return nil, nil
	}
	p := ex.proxy
	c := poison.Copy{Service: ex.service.Name, Instance: p.instanceHash(), ID: id, Parts: parts}
	d := ex.begin(c)
	if d.Admission != poison.Admitted && d.Admission != poison.HeldBack && ctx.Err() == nil && p.Now().Before(ex.trialWaitEnd()) {
		changed = p.Poison.Changed()
		d = ex.begin(c) // the suspect may have changed before
	}
	if d.Admission == poison.Admitted {
		return nil, nil
	}
	if changed == nil {
		p.Counters.poison.Add(trialCounter[d.Admission], 1)
	}
	return verdict.Refuse(verdict.HeldBack, "%s, %s", trialDetail[d.Admission], d.Suspect).WithRetryAfter(d.RetryAfter), changed
}

// begin asks whether a copy may be sent, and reports the trials that it begins.
func (ex *exchange) begin(c poison.Copy) poison.Decision {
	d, updates := ex.proxy.Poison.Begin(ex.proxy.Now(), c)
	ex.proxy.publishPoison(updates)
	ex.trials = d.Trials
	return d
}

var trialDetail = map[poison.Admission]string{
	poison.AwaitTrial: "an endpoint crashed under the same request, of which another copy is running",
	poison.AwaitQuiet: "endpoints crashed under the same request a moment ago",
	poison.HeldBack:   "endpoints crashed under the same request",
}

var trialCounter = map[poison.Admission]string{
	poison.AwaitTrial: "await_trial",
	poison.AwaitQuiet: "await_quiet",
	poison.HeldBack:   "held_back",
}

// trialWaitEnd returns until when the request may wait for a change of the suspect.
func (ex *exchange) trialWaitEnd() time.Time {
	return ex.arrived.Add(time.Duration(trialWaitShare * float64(ex.route.Objective)))
}

// awaitTrial waits until a channel is closed or the request may wait no longer.
func (ex *exchange) awaitTrial(ctx context.Context, ended <-chan struct{}) {
	timer := time.NewTimer(ex.trialWaitEnd().Sub(ex.proxy.Now()))
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// endTrials ends the request's trials.
func (ex *exchange) endTrials() {
	ex.proxy.endTrials(ex.trials)
	ex.trials = nil
}

// endTrialsAfter ends the request's trials once it is known whether its endpoint crashed.
func (ex *exchange) endTrialsAfter(crash *suspectedCrash) {
	trials := ex.trials
	if crash == nil || len(trials) == 0 {
		ex.endTrials()
		return
	}
	go func() {
		<-crash.done
		ex.proxy.endTrials(trials)
	}()
}

func (p *Proxy) endTrials(trials []poison.ID) {
	if len(trials) > 0 {
		p.publishPoison(p.Poison.End(p.Now(), p.instanceHash(), trials))
	}
}

// instanceHash identifies this instance in trials.
func (p *Proxy) instanceHash() uint32 { return balance.EndpointHash(p.Name) }
