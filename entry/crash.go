package entry

// This file detects whether an endpoint that broke off a response has crashed.
//
// A broken connection alone is no proof, so the endpoint is probed: after a crash its machine
// refuses connections for some seconds. An endpoint that accepts the connection counts as alive,
// unless its start time turns out to be newer, as when a proxy accepted. One that does not answer
// has lost power or its network, which no request causes. Waiting for its listing to expire would
// take three heartbeats, in which a repeated poison request would crash further endpoints.

import (
	"context"
	"slices"
	"strconv"
	"strings"
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
	// crashCollectDelay is how long the other requests that a crash has broken off are collected.
	// Their connections break at the same moment.
	crashCollectDelay = 5 * time.Millisecond
	// uncountedEndpoints is added to a team's endpoints for those where its requests are not counted yet.
	uncountedEndpoints = 0.5
	// restartTimeout allows a restarted endpoint two heartbeats to be listed with its new start time.
	restartTimeout = 3 * time.Second
	// crashWindow is how long further broken requests at an endpoint count towards the same crash.
	crashWindow = 500 * time.Millisecond
)

// A crashTracker holds the endpoints that recently broke off requests.
type crashTracker struct {
	mu         sync.Mutex
	byEndpoint map[string]*suspectedCrash
}

func newCrashTracker() *crashTracker {
	return &crashTracker{byEndpoint: make(map[string]*suspectedCrash)}
}

// A suspectedCrash is an endpoint that broke off requests and may have crashed.
type suspectedCrash struct {
	endpoint        *discovery.Endpoint
	service         string
	placement       *balance.Placement
	detectedAt      time.Time     // when the first request broke off
	listedEndpoints int           // of the service, when the first request broke off
	done            chan struct{} // closed once resolved is set and the requests are recorded

	requests      []suspects // in progress at the endpoint; guarded by crashTracker.mu
	resolved      bool       // the probe has returned
	crashed       bool
	awaitsRestart bool // the probe found no crash; a newer start time may still show one
}

// wait returns when the crash is resolved or ctx is done. It returns at once if c is nil.
func (c *suspectedCrash) wait(ctx context.Context) {
	if c == nil {
		return
	}
	select {
	case <-c.done:
	case <-ctx.Done():
	}
}

// trackCrash records an attempt that failed with err. It returns nil unless the connection broke
// and the endpoint is listed and not draining.
func (ex *exchange) trackCrash(ctx context.Context, err *verdict.Error) *suspectedCrash {
	if err.Reason != verdict.EndpointCut || ctx.Err() != nil || ex.placement == nil {
		return nil
	}
	endpoints := ex.proxy.State.View().Endpoints(ex.service.Name)
	current := findEndpoint(endpoints, ex.placement.Endpoint.ID)
	if current == nil || current.Draining || !current.GraceUntil.IsZero() {
		return nil
	}
	return ex.proxy.crashes.add(ex, len(endpoints))
}

// findEndpoint returns the endpoint with the given ID, or nil. Endpoints are ordered by ID.
func findEndpoint(endpoints []*discovery.Endpoint, id string) *discovery.Endpoint {
	i, found := slices.BinarySearchFunc(endpoints, id, func(e *discovery.Endpoint, id string) int { return strings.Compare(e.ID, id) })
	if !found {
		return nil
	}
	return endpoints[i]
}

// suspects are a request that its endpoint broke off and the shared parts of its prompt, unless they
// count as answered.
type suspects struct {
	request     poison.Entry
	parts       []poison.Entry
	answerBegun bool
}

// suspects returns the suspects of a request, with one strike each.
func (ex *exchange) suspects(listedEndpoints int) suspects {
	r := ex.poisonRequest()
	strike := poison.Strike{Endpoint: balance.EndpointHash(ex.placement.Endpoint.ID), CrashedAt: ex.proxy.Now(), SentAt: ex.placedAt, ListedEndpoints: listedEndpoints}
	out := suspects{answerBegun: ex.answerBegun, request: poison.Entry{
		ID: ex.requestPoisonID(), Outline: r.Outline(), Service: ex.service.Name, Route: ex.route.Name, Team: r.Team, Strikes: []poison.Strike{strike},
	}}
	if ex.partsCleared {
		return out
	}
	for _, part := range ex.call.Generation.sharedParts() {
		out.parts = append(out.parts, poison.Entry{
			ID: poison.PartID(ex.service.Name, part.ID), Service: ex.service.Name, Route: ex.route.Name, Strikes: []poison.Strike{strike},
		})
	}
	return out
}

// add records a request that its endpoint broke off, and starts a probe for the first one.
func (t *crashTracker) add(ex *exchange, listedEndpoints int) *suspectedCrash {
	found := ex.suspects(listedEndpoints)
	t.mu.Lock()
	defer t.mu.Unlock()
	crash := t.byEndpoint[ex.placement.Endpoint.ID]
	sentAfter := crash != nil && ex.placedAt.After(crash.detectedAt)
	switch {
	case crash == nil || crash.awaitsRestart && sentAfter:
		crash = &suspectedCrash{endpoint: ex.placement.Endpoint, service: ex.service.Name, placement: ex.placement, detectedAt: found.request.Strikes[0].CrashedAt, listedEndpoints: listedEndpoints, done: make(chan struct{})}
		if !sentAfter {
			t.byEndpoint[crash.endpoint.ID] = crash
		}
		go ex.proxy.probeEndpoint(crash, !sentAfter)
	case crash.resolved && crash.crashed && sentAfter:
		return nil // no process was there to run it
	case crash.resolved && crash.crashed:
		ex.proxy.recordStrikes(crash, []suspects{found}) // its connection broke later than the others
		return crash
	}
	crash.requests = append(crash.requests, found)
	return crash
}

// probeEndpoint determines whether an endpoint has crashed. If mayRestart is set, a later start
// time counts as a crash too, since a proxy may accept connections in the endpoint's place.
func (p *Proxy) probeEndpoint(crash *suspectedCrash, mayRestart bool) {
	result := p.Pool.Probe(context.Background(), crash.endpoint.Incarnation(), crash.endpoint.Address, 0)
	crashed := result == upstream.ProbeRefused || p.restartedSince(crash)
	if crashed {
		crash.placement.RecordUnreachable(true)
		time.Sleep(crashCollectDelay)
	}
	mayRestart = mayRestart && crash.endpoint.Born != 0
	p.resolveCrash(crash, crashed, mayRestart)
	close(crash.done)
	if !crashed && mayRestart {
		p.awaitRestart(crash)
	}
}

func (p *Proxy) resolveCrash(crash *suspectedCrash, crashed, mayRestart bool) {
	p.crashes.mu.Lock()
	defer p.crashes.mu.Unlock()
	crash.resolved, crash.crashed, crash.awaitsRestart = true, crashed, mayRestart && !crashed
	switch {
	case crashed:
		p.crashes.byEndpoint[crash.endpoint.ID] = crash
		time.AfterFunc(crashWindow, func() { p.crashes.remove(crash) })
		p.reportCrash(crash)
	case !mayRestart && p.crashes.byEndpoint[crash.endpoint.ID] == crash:
		delete(p.crashes.byEndpoint, crash.endpoint.ID)
	}
}

// awaitRestart waits for a newer start time, which reveals a crash that the probe missed.
func (p *Proxy) awaitRestart(crash *suspectedCrash) {
	defer p.crashes.remove(crash)
	timer := time.NewTimer(restartTimeout)
	defer timer.Stop()
	for {
		changed := p.State.Changed()
		if p.restartedSince(crash) {
			p.crashes.mu.Lock()
			defer p.crashes.mu.Unlock()
			p.reportCrash(crash)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		}
	}
}

// restartedSince reports whether the endpoint is listed with a newer start time by now.
func (p *Proxy) restartedSince(crash *suspectedCrash) bool {
	current := findEndpoint(p.State.View().Endpoints(crash.service), crash.endpoint.ID)
	return current != nil && crash.endpoint.Born != 0 && current.Born > crash.endpoint.Born
}

// reportCrash logs a crash and records strikes against its requests. The caller holds
// p.crashes.mu.
func (p *Proxy) reportCrash(crash *suspectedCrash) {
	requests := crash.requests
	crash.requests = nil
	p.Counters.poison.Add("ended", 1)
	p.Log.Warn("endpoint crashed", zap.String("endpoint", crash.endpoint.ID), zap.String("address", crash.endpoint.Address),
		zap.String("service", crash.service), zap.Int("in_hand", len(requests)), zap.Duration("after", p.Now().Sub(crash.detectedAt)))
	p.recordStrikes(crash, requests)
}

// remove removes a crash, unless a newer one has replaced it.
func (t *crashTracker) remove(crash *suspectedCrash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byEndpoint[crash.endpoint.ID] == crash {
		delete(t.byEndpoint, crash.endpoint.ID)
	}
}

// recordStrikes adds requests to the poison table and sends what changed to the other instances.
func (p *Proxy) recordStrikes(crash *suspectedCrash, requests []suspects) {
	if len(requests) == 0 {
		return
	}
	byTeam := p.inFlight.endpointsByTeam(crash.service, crash.endpoint.ID)
	running := max(1, crash.listedEndpoints-p.Poison.DownEndpoints(p.Now(), crash.service))
	var entries []poison.Entry
	unanswered := 0
	copies := countCopies(requests)
	for _, found := range requests {
		if len(found.parts) > 0 {
			unanswered++
		}
		// Assumes that each other instance runs the team's requests at as many endpoints.
		teamEndpoints := (float64(byTeam[found.request.Team]) + uncountedEndpoints) * float64(p.retryBudgets.instanceCount())
		found.request.Strikes[0].TeamSpread = min(1, teamEndpoints/float64(running))
		found.request.Strikes[0].Senders = []poison.Sender{{Instance: p.instanceHash(), Copies: copies[found.request.ID]}}
		entries = append(append(entries, found.request), found.parts...)
	}
	for i := range entries {
		entries[i].Strikes[0].CrashedAt = crash.detectedAt
		entries[i].Strikes[0].InFlight = len(requests)
	}
	p.Counters.poison.Add("suspected", int64(len(requests)))
	p.Poison.RecordCut(crash.service, unanswered)
	changed := p.Poison.EndpointCrashed(p.Now(), entries)
	p.logPoison(changed)
	p.publishPoison(changed)
}

// countCopies counts how often each request, its answer not begun, is among requests.
func countCopies(requests []suspects) map[poison.ID]int {
	copies := make(map[poison.ID]int)
	for _, r := range requests {
		if !r.answerBegun {
			copies[r.request.ID]++
		}
	}
	return copies
}

// LogPoisonUpdate logs and counts entries from other instances that changed the poison table.
func (p *Proxy) LogPoisonUpdate(entries []poison.Entry) { p.logPoison(entries) }

// logPoison logs and counts suspects that were confirmed or cleared.
func (p *Proxy) logPoison(entries []poison.Entry) {
	for i := range entries {
		suspect := &entries[i]
		what, name := "request", zap.Stringer("same_as", suspect.ID)
		if part, ok := suspect.Part(); ok {
			what, name = "prompt part", zap.String("part", strconv.FormatUint(part, 16))
		}
		switch {
		case len(suspect.Strikes) == 0: // a report of trials
		case suspect.Confirmed:
			p.Counters.poison.Add("known", 1)
			p.Log.Warn("poison "+what+" identified", name, zap.String("team", suspect.Team), zap.String("route", suspect.Route),
				zap.Int("strikes", suspect.CountedStrikes()), zap.Uint32s("endpoints", suspect.Endpoints()))
		case suspect.Cleared():
			p.Counters.poison.Add("cleared", 1)
			p.Log.Info("poison suspect cleared", name, zap.String("team", suspect.Team), zap.String("route", suspect.Route))
		default:
			p.logEvidence(what, name, suspect)
		}
	}
}
