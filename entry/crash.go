package entry

// This file detects whether an endpoint that broke off a response has crashed.
//
// A broken connection alone does not tell: the network or the endpoint may have reset it.
// After a crash the machine refuses connections for some seconds, so one connection attempt
// right after the break decides. An endpoint that accepts it is taken to be alive, unless its
// start time turns out to be newer, as when a proxy accepted the connection; one that does
// not answer has lost power or its network, which no request causes. Endpoints that are
// draining or no longer listed are expected to stop.
//
// The endpoint's listing is no substitute for the probe: it expires only after three
// heartbeats, and meanwhile a repeated poison request would crash further endpoints.

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/discovery"
	"ivyridge/poison"
	"ivyridge/upstream"
	"ivyridge/verdict"
)

const (
	// gatherDelay is the time after the detection of a crash in which the other requests at
	// the endpoint are collected. Their connections break at the same moment.
	gatherDelay = 5 * time.Millisecond
	// unseenEndpoints is added to the number of endpoints at which a team has requests in
	// progress, for requests of this moment that are not counted yet.
	unseenEndpoints = 0.5
	// restartTimeout is how long to wait for a restarted endpoint to be listed with its new
	// start time: two heartbeats, and their propagation.
	restartTimeout = 3 * time.Second
	// crashWindow is how long further broken requests at an endpoint count towards the same crash.
	crashWindow = 500 * time.Millisecond
)

// A crashTracker holds the endpoints that recently broke off requests.
type crashTracker struct {
	mu         sync.Mutex
	byEndpoint map[string]*suspectedCrash // by endpoint ID
}

func newCrashTracker() *crashTracker {
	return &crashTracker{byEndpoint: make(map[string]*suspectedCrash)}
}

// A suspectedCrash is an endpoint that broke off requests and may have crashed.
type suspectedCrash struct {
	endpoint        *discovery.Endpoint
	service         string
	placement       *balance.Placement
	at              time.Time     // when the first request broke off
	listedEndpoints int           // of the service, when the first request broke
	resolvedCh      chan struct{} // closed once resolved is set and the requests are recorded

	requests      []poison.Entry // in progress at the endpoint; guarded by crashTracker.mu
	resolved      bool           // the probe has returned
	crashed       bool
	awaitsRestart bool // the probe found no crash; a newer start time may still show one
}

// wait returns when the crash is resolved or ctx is done. It returns at once if e is nil.
func (e *suspectedCrash) wait(ctx context.Context) {
	if e == nil {
		return
	}
	select {
	case <-e.resolvedCh:
	case <-ctx.Done():
	}
}

// trackCrash registers an attempt that ended with err at the tracker. It returns nil unless
// an endpoint broke the response off that was expected to go on running.
func (f *exchange) trackCrash(ctx context.Context, err *verdict.Error) *suspectedCrash {
	if err.Reason != verdict.EndpointCut || ctx.Err() != nil || f.placement == nil {
		return nil
	}
	endpoints := f.entry.State.View().Endpoints(f.service.Name)
	current := findEndpoint(endpoints, f.placement.Endpoint.ID)
	if current == nil || current.Draining || !current.GraceUntil.IsZero() {
		return nil
	}
	return f.entry.crashes.add(f, len(endpoints))
}

// findEndpoint returns the endpoint with an ID, or nil.
func findEndpoint(endpoints []*discovery.Endpoint, id string) *discovery.Endpoint {
	for _, e := range endpoints {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// add adds a request to those that its endpoint broke off. For the first one it starts a probe.
func (s *crashTracker) add(f *exchange, listedEndpoints int) *suspectedCrash {
	r := f.poisonRequest()
	suspect := poison.Entry{
		ID: f.requestPoisonID(), Outline: r.Outline(), Service: f.service.Name, Route: f.route.Name, Team: r.Team,
		Strikes: []poison.Strike{{Endpoint: balance.EndpointHash(f.placement.Endpoint.ID), CrashedAt: f.entry.Now(), SentAt: f.placedAt, ListedEndpoints: listedEndpoints}},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	crash := s.byEndpoint[f.placement.Endpoint.ID]
	sentAfter := crash != nil && f.placedAt.After(crash.at) // it was sent after the crash
	switch {
	case crash == nil || crash.awaitsRestart && sentAfter:
		crash = &suspectedCrash{endpoint: f.placement.Endpoint, service: f.service.Name, placement: f.placement, at: suspect.Strikes[0].CrashedAt, listedEndpoints: listedEndpoints, resolvedCh: make(chan struct{})}
		if !sentAfter {
			s.byEndpoint[crash.endpoint.ID] = crash
		}
		go f.entry.probeEndpoint(crash, !sentAfter)
	case crash.resolved && crash.crashed && sentAfter:
		return nil // no process was there to run it
	case crash.resolved && crash.crashed:
		f.entry.recordStrikes(crash, []poison.Entry{suspect}) // its connection broke later than the others
		return crash
	}
	crash.requests = append(crash.requests, suspect)
	return crash
}

// probeEndpoint determines whether an endpoint has crashed and records its requests if so. If
// a proxy accepts connections in its place, only a later start time shows; mayRestart is set if
// that counts, which it does not for requests that may have reached the proxy alone.
func (e *Proxy) probeEndpoint(crash *suspectedCrash, mayRestart bool) {
	presence := e.Pool.Probe(context.Background(), crash.endpoint.Incarnation(), crash.endpoint.Address)
	crashed := presence == upstream.ProbeRefused || e.restartedSince(crash)
	if crashed {
		crash.placement.RecordUnreachable()
		time.Sleep(gatherDelay)
	}
	mayRestart = mayRestart && crash.endpoint.Born != 0
	e.resolveCrash(crash, crashed, mayRestart)
	close(crash.resolvedCh)
	if !crashed && mayRestart {
		e.awaitRestart(crash)
	}
}

// resolveCrash records whether an endpoint has crashed.
func (e *Proxy) resolveCrash(crash *suspectedCrash, crashed, mayRestart bool) {
	e.crashes.mu.Lock()
	defer e.crashes.mu.Unlock()
	crash.resolved, crash.crashed, crash.awaitsRestart = true, crashed, mayRestart && !crashed
	switch {
	case crashed:
		e.crashes.byEndpoint[crash.endpoint.ID] = crash
		time.AfterFunc(crashWindow, func() { e.crashes.remove(crash) })
		e.reportCrash(crash)
	case !mayRestart && e.crashes.byEndpoint[crash.endpoint.ID] == crash:
		delete(e.crashes.byEndpoint, crash.endpoint.ID)
	}
}

// awaitRestart handles a crash that the probe missed, because the endpoint had restarted by
// then or was unreachable, and waits for its new start time.
func (e *Proxy) awaitRestart(crash *suspectedCrash) {
	defer e.crashes.remove(crash)
	timer := time.NewTimer(restartTimeout)
	defer timer.Stop()
	for {
		changed := e.State.Changed()
		if e.restartedSince(crash) {
			e.crashes.mu.Lock()
			defer e.crashes.mu.Unlock()
			e.reportCrash(crash)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		}
	}
}

// restartedSince reports whether the endpoint is listed with a later start time than when it
// was chosen.
func (e *Proxy) restartedSince(crash *suspectedCrash) bool {
	current := findEndpoint(e.State.View().Endpoints(crash.service), crash.endpoint.ID)
	return current != nil && crash.endpoint.Born != 0 && current.Born > crash.endpoint.Born
}

// reportCrash logs and counts a crash, and records strikes against the requests that were in
// progress there. The caller holds e.crashes.mu.
func (e *Proxy) reportCrash(crash *suspectedCrash) {
	requests := crash.requests
	crash.requests = nil
	e.Counters.poison.Add("ended", 1)
	e.Log.Warn("endpoint crashed", zap.String("endpoint", crash.endpoint.ID), zap.String("address", crash.endpoint.Address),
		zap.String("service", crash.service), zap.Int("in_hand", len(requests)), zap.Duration("after", e.Now().Sub(crash.at)))
	e.recordStrikes(crash, requests)
}

// remove removes a crash, unless a newer one has replaced it.
func (s *crashTracker) remove(crash *suspectedCrash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byEndpoint[crash.endpoint.ID] == crash {
		delete(s.byEndpoint, crash.endpoint.ID)
	}
}

// recordStrikes adds requests to the poison table and sends what changed to the other instances.
func (e *Proxy) recordStrikes(crash *suspectedCrash, requests []poison.Entry) {
	if len(requests) == 0 {
		return
	}
	byTeam := e.inFlight.endpointsByTeam(crash.service, crash.endpoint.ID)
	running := max(1, crash.listedEndpoints-e.Poison.DownEndpoints(e.Now(), crash.service))
	for i := range requests {
		// Assumes that the other instances run as many of the team's requests.
		teamEndpoints := (float64(byTeam[requests[i].Team]) + unseenEndpoints) * float64(e.retryBudgets.instanceCount())
		requests[i].Strikes[0].TeamSpread = min(1, teamEndpoints/float64(running))
		requests[i].Strikes[0].CrashedAt = crash.at
		requests[i].Strikes[0].InFlight = len(requests)
	}
	e.Counters.poison.Add("suspected", int64(len(requests)))
	changed := e.Poison.EndpointCrashed(e.Now(), requests)
	e.logPoison(changed)
	e.publishPoison(changed)
}

// LogPoisonUpdate must be called with poison entries received from other instances that changed
// the table. It logs and counts them.
func (e *Proxy) LogPoisonUpdate(entries []poison.Entry) { e.logPoison(entries) }

// logPoison logs and counts suspects that were confirmed or cleared.
func (e *Proxy) logPoison(entries []poison.Entry) {
	for i := range entries {
		s := &entries[i]
		switch {
		case s.Confirmed:
			e.Counters.poison.Add("known", 1)
			e.Log.Warn("poison request identified", zap.Stringer("same_as", s.ID), zap.String("team", s.Team), zap.String("route", s.Route),
				zap.Int("strikes", s.CountedStrikes()), zap.Uint32s("endpoints", s.Endpoints()))
		case s.Cleared():
			e.Counters.poison.Add("cleared", 1)
			e.Log.Info("poison request suspect cleared", zap.Stringer("same_as", s.ID), zap.String("team", s.Team), zap.String("route", s.Route))
		}
	}
}
