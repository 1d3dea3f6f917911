package entry

// This file finds out whether an endpoint that broke off a request has ended.
//
// A connection that breaks tells little: it was reset on the way, the endpoint spoiled its
// answer, or its process is gone with all that it had in hand. A process that is gone leaves a
// machine that refuses connections for some seconds, so one connection right after the break
// tells; an endpoint that answers it lives, and one that keeps silent has lost its power or
// its link, which no request brings about. Endpoints that said they leave, or whose entry went,
// end as planned.
//
// Waiting for the endpoint's entry to go was weighed: it stays for three heartbeats, and by
// then a request that is sent once a second has ended three more.

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/belief"
	"ivyridge/poison"
	"ivyridge/upstream"
	"ivyridge/verdict"
)

const (
	// gatherFor is how long after its end was found all requests that an endpoint had in hand
	// are waited for, to be told together; their connections break at the same moment.
	gatherFor = 5 * time.Millisecond
	// unseen is added to the endpoints at which a team has requests in hand here: it may have
	// some that are not seen at this moment.
	unseen = 0.5
	// bornWithin is how long an endpoint may take to say that it was born anew: two of its
	// heartbeats, and the way.
	bornWithin = 3 * time.Second
	// endHolds is how long further broken requests of that endpoint are of the same end.
	endHolds = 500 * time.Millisecond
)

// ends are the endpoints that broke off requests a moment ago.
type ends struct {
	mu   sync.Mutex
	seen map[string]*end // by the endpoint's ID
}

func newEnds() *ends { return &ends{seen: make(map[string]*end)} }

// An end is an endpoint that broke off requests, and what is known of it by now.
type end struct {
	endpoint *belief.Endpoint
	service  string
	placed   *balance.Placement
	at       time.Time
	of       int           // endpoints of the service that are listed
	told     chan struct{} // closed once it is clear, and the requests are in the table

	requests []poison.Entry // with their strikes; guarded by ends.mu
	clear    bool
	ended    bool
	awaits   bool // it listens, and may say yet that it was born anew
}

// await returns when it is clear whether the endpoint ended, or ctx is over. A nil end is.
func (e *end) await(ctx context.Context) {
	if e == nil {
		return
	}
	select {
	case <-e.told:
	case <-ctx.Done():
	}
}

// brokenOff takes up that an attempt ended with err. It returns nil if no endpoint that was
// to stay broke the request off.
func (f *exchange) brokenOff(ctx context.Context, err *verdict.Error) *end {
	if err.Reason != verdict.EndpointCut || ctx.Err() != nil || f.placement == nil {
		return nil
	}
	endpoints := f.entry.Beliefs.View().Endpoints(f.service.Name)
	now := listed(endpoints, f.placement.Endpoint.ID)
	if now == nil || now.Draining || !now.GraceUntil.IsZero() {
		return nil
	}
	return f.entry.ends.join(f, len(endpoints))
}

// listed returns the endpoint with an ID, or nil.
func listed(endpoints []*belief.Endpoint, id string) *belief.Endpoint {
	for _, e := range endpoints {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// join adds a request to those that its endpoint broke off, and has the first one of them
// start looking.
func (s *ends) join(f *exchange, of int) *end {
	r := f.identity()
	suspect := poison.Entry{
		ID: f.sameID(), Outline: r.Outline(), Service: f.service.Name, Route: f.route.Name, Team: r.Team,
		Strikes: []poison.Strike{{Endpoint: balance.EndpointHash(f.placement.Endpoint.ID), At: f.entry.Now(), Began: f.placed, Of: of}},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.seen[f.placement.Endpoint.ID]
	after := e != nil && f.placed.After(e.at) // it was sent there later
	switch {
	case e == nil || e.awaits && after:
		e = &end{endpoint: f.placement.Endpoint, service: f.service.Name, placed: f.placement, at: suspect.Strikes[0].At, of: of, told: make(chan struct{})}
		if !after {
			s.seen[e.endpoint.ID] = e
		}
		go f.entry.look(e, !after)
	case e.clear && e.ended && after:
		return nil // it met nobody
	case e.clear && e.ended:
		f.entry.strike(e, []poison.Entry{suspect}) // its break was noticed late
		return e
	}
	e.requests = append(e.requests, suspect)
	return e
}

// look finds out whether an endpoint has ended, and puts the requests that it had in hand into
// the table if so. Where a proxy answers for it, only its next birth tells; awaited is set for
// the first requests that broke off, since those that follow may have met the proxy alone.
func (e *Entry) look(seen *end, awaited bool) {
	presence := e.Pool.Probe(context.Background(), seen.endpoint.Incarnation(), seen.endpoint.Address)
	ended := presence == upstream.Refused || e.bornSince(seen)
	if ended {
		seen.placed.Unreachable()
		time.Sleep(gatherFor)
	}
	awaited = awaited && seen.endpoint.Born != 0
	e.settle(seen, ended, awaited)
	close(seen.told)
	if !ended && awaited {
		e.awaitBirth(seen)
	}
}

// settle takes up whether an endpoint has ended.
func (e *Entry) settle(seen *end, ended, awaited bool) {
	e.ends.mu.Lock()
	defer e.ends.mu.Unlock()
	seen.clear, seen.ended, seen.awaits = true, ended, awaited && !ended
	switch {
	case ended:
		e.ends.seen[seen.endpoint.ID] = seen
		time.AfterFunc(endHolds, func() { e.ends.forget(seen) })
		e.noteEnd(seen)
	case !awaited && e.ends.seen[seen.endpoint.ID] == seen:
		delete(e.ends.seen, seen.endpoint.ID)
	}
}

// awaitBirth takes up late that an endpoint has ended: it was back when it was looked for, or out of
// reach, and says within some seconds that it was born anew.
func (e *Entry) awaitBirth(seen *end) {
	defer e.ends.forget(seen)
	timer := time.NewTimer(bornWithin)
	defer timer.Stop()
	for {
		changed := e.Beliefs.Changed()
		if e.bornSince(seen) {
			e.ends.mu.Lock()
			defer e.ends.mu.Unlock()
			e.noteEnd(seen)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		}
	}
}

// bornSince reports whether the endpoint is listed with a later birth than when it was chosen.
func (e *Entry) bornSince(seen *end) bool {
	now := listed(e.Beliefs.View().Endpoints(seen.service), seen.endpoint.ID)
	return now != nil && seen.endpoint.Born != 0 && now.Born > seen.endpoint.Born
}

// noteEnd logs and counts the end of an endpoint, and puts the requests that it had in hand
// into the table. The caller holds e.ends.mu.
func (e *Entry) noteEnd(seen *end) {
	requests := seen.requests
	seen.requests = nil
	e.Counters.poison.Add("ended", 1)
	e.Log.Warn("endpoint ended", zap.String("endpoint", seen.endpoint.ID), zap.String("address", seen.endpoint.Address),
		zap.String("service", seen.service), zap.Int("in_hand", len(requests)), zap.Duration("after", e.Now().Sub(seen.at)))
	e.strike(seen, requests)
}

// forget drops an end.
func (s *ends) forget(e *end) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen[e.endpoint.ID] == e {
		delete(s.seen, e.endpoint.ID)
	}
}

// strike puts requests that an endpoint had in hand into the table, and tells the others.
func (e *Entry) strike(seen *end, requests []poison.Entry) {
	if len(requests) == 0 {
		return
	}
	spread := e.timed.spread(seen.service, seen.endpoint.ID)
	there := max(1, seen.of-e.Poison.Away(e.Now(), seen.service))
	for i := range requests {
		// Others run as much: each instance has a part of a team's requests.
		has := (float64(spread[requests[i].Team]) + unseen) * float64(e.budgets.heard())
		requests[i].Strikes[0].Spread = min(1, has/float64(there))
		requests[i].Strikes[0].At = seen.at
		requests[i].Strikes[0].Among = len(requests)
	}
	e.Counters.poison.Add("suspected", int64(len(requests)))
	told := e.Poison.Ended(e.Now(), requests)
	e.notePoison(told)
	e.tellPoison(told)
}

// HearPoison takes up what other instances told of suspects that was new.
func (e *Entry) HearPoison(entries []poison.Entry) { e.notePoison(entries) }

// notePoison logs and counts what has become of suspects here.
func (e *Entry) notePoison(entries []poison.Entry) {
	for i := range entries {
		s := &entries[i]
		switch {
		case s.Known:
			e.Counters.poison.Add("known", 1)
			e.Log.Warn("request ends endpoints", zap.Stringer("same_as", s.ID), zap.String("team", s.Team), zap.String("route", s.Route),
				zap.Int("strikes", s.Counted()), zap.Uint32s("endpoints", s.Endpoints()))
		case s.Cleared():
			e.Counters.poison.Add("cleared", 1)
			e.Log.Info("suspect cleared", zap.Stringer("same_as", s.ID), zap.String("team", s.Team), zap.String("route", s.Route))
		}
	}
}
