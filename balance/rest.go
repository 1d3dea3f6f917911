package balance

// This file keeps what endpoints say of themselves in their answers: that they want nothing more
// from this instance for a while, and that they leave the fleet.
//
// Rest is a promise of the sender. An account of failures doesn't keep it: an endpoint that has
// turned requests away is idle, still holds parts of prompts, and so is the cheapest choice
// again. So an endpoint that rests is no choice at all, also as a last resort, and MaySend asks
// once more right before a request leaves, whoever chose the endpoint and however long ago.
//
// What was said is kept by the ID and holds for the process that said it. A process that starts
// anew under the ID has asked for nothing; but its first answers may come before its birth is
// known, so that what was asked just before holds for it too.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"ivyridge/belief"
)

const (
	// restSpread is the part of a rest by which it is stretched at random, up to restSpreadMost:
	// the rests that many instances were asked for at once do not end at once.
	restSpread     = 0.1
	restSpreadMost = 300 * time.Millisecond
	// trialFor is how long the first request after a rest goes alone, if it is not answered
	// before: most heads of answers come sooner. An endpoint that is still overrun then turns away
	// one request of each instance, not all that have waited for it.
	trialFor = 200 * time.Millisecond
	// restOver is how long after its end a rest may still be on trial: an endpoint that got no
	// request since then is like any other.
	restOver = time.Second
	// probeAfter is when one request goes to an endpoint that asked for a longer rest. The platform
	// bears two; without any, an endpoint that asked for 3,000 s in place of 3 would not even be
	// seen to answer.
	probeAfter = 30 * time.Second
	// birthKnown is how long after the start of a process its birth may come to be known: two
	// heartbeats of an endpoint, and the way.
	birthKnown = 3 * time.Second
	// leavingKept is how long it is remembered that a process said it leaves after it was last
	// listed: while the list comes and goes with the platform, it must not return.
	leavingKept = 10 * time.Minute
	// leavingTold is how long another instance's word that an endpoint leaves holds: it is repeated
	// as long as that instance lives, and the list follows.
	leavingTold = 5 * time.Second
)

// A said is what an endpoint has said of itself in answers to this instance.
type said struct {
	incarnation string    // of the process
	id          string    // of the endpoint
	asked       time.Time // for rest, the last time; zero: never
	until       time.Time // nothing is sent to it before
	probed      bool      // the request that goes to a long rest has gone
	trial       time.Time // a request is on its way alone until then
	leaves      bool
	seen        time.Time // listed, or saying so
}

// rests reports whether the endpoint is to get nothing now.
func (s *said) rests(now time.Time) bool { return s.room(now).After(now) }

// room returns when the endpoint may get a request next, as far as its rest goes.
func (s *said) room(now time.Time) time.Time {
	switch {
	case s.asked.IsZero():
		return now
	case !now.Before(s.until):
		return latest(now, s.trial)
	case s.probed:
		return s.until
	}
	return earliest(s.until, latest(now, s.asked.Add(probeAfter)))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// send takes up that a request is about to leave for the endpoint, and reports whether it may.
func (s *said) send(now time.Time) bool {
	switch {
	case s.leaves || s.rests(now):
		return false
	case s.asked.IsZero():
	case now.Before(s.until):
		s.probed = true
	case now.Before(s.until.Add(restOver)):
		s.trial = now.Add(trialFor)
	}
	return true
}

// rest takes up that the endpoint asks for rest from now on. Of several that it asked for, the
// one that ends last holds.
func (s *said) rest(d time.Duration, now time.Time) {
	spread := min(time.Duration(restSpread*float64(d)), restSpreadMost)
	until := now.Add(d + time.Duration(rand.Float64()*float64(spread)))
	if !now.Before(s.until) {
		s.asked, s.until, s.probed = now, until, false
		return
	}
	s.until = latest(s.until, until)
}

// over reports whether nothing of it matters any more.
func (s *said) over(now time.Time) bool {
	if s.leaves {
		return now.Sub(s.seen) > leavingKept
	}
	return !now.Before(s.until.Add(restOver))
}

// carried returns what holds for a load's process of what was said under its ID, or nil.
func (s *said) carried(l *load, id string) *said {
	switch {
	case s.incarnation == l.id:
		return s
	case s.incarnation == id || l.id == id:
		// One of the two is told without a birth: they may be the same.
		s.incarnation = l.id
		return s
	case s.asked.After(l.known.Add(-birthKnown)):
		next := *s
		next.incarnation, next.leaves = l.id, false
		return &next
	}
	return nil
}

// hear gives a load what was said of its endpoint. The caller holds b.mu.
func (b *Balancer) hear(l *load, e *belief.Endpoint) {
	l.inherit(b.byID[e.ID], e.ID)
	b.byID[e.ID], l.endpoint, l.dataCentre = l, e.ID, e.DataCentre
	if l.limited != nil {
		b.limits[l.hash] = l
	}
	l.said = nil
	s := b.said[e.ID]
	if s == nil {
		return
	}
	if l.said = s.carried(l, e.ID); l.said != nil {
		b.said[e.ID] = l.said
	}
}

// saidBy returns what the placement's endpoint has said, for something to be added. The caller
// holds b.mu.
func (p *Placement) saidBy(now time.Time) *said {
	b, l, id := p.balancer, p.load, p.Endpoint.ID
	if l.said == nil || l.said.over(now) {
		l.said = &said{incarnation: l.id, id: id}
	}
	l.said.seen = now
	if current := b.byID[id]; current == nil || current == l {
		b.said[id] = l.said
	}
	b.change(l)
	return l.said
}

// Rests says that the endpoint has asked this instance for rest. It reports whether that is
// news: it had not asked for any that still lasts.
func (p *Placement) Rests(d time.Duration) (news bool) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	s := p.saidBy(now)
	news = !now.Before(s.until)
	s.rest(d, now)
	b.restsUntil = latest(b.restsUntil, s.until)
	if current := b.byID[p.Endpoint.ID]; current != nil && current != p.load {
		// Another birth has come to be known since the request was placed.
		if next := s.carried(current, p.Endpoint.ID); next != nil {
			current.said, b.said[p.Endpoint.ID] = next, next
			b.change(current)
		}
	}
	return news
}

// Leaves says that the endpoint has said it leaves: it gets nothing new from now on. It
// reports whether that is news.
func (p *Placement) Leaves() (news bool) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.load.said != nil && p.load.said.leaves {
		p.load.said.seen = b.now()
		return false
	}
	p.saidBy(b.now()).leaves = true
	return true
}

// MaySend reports whether the request may leave for the endpoint now. It is asked at the last
// moment: since the endpoint was chosen, it may have asked for rest or named a limit.
func (p *Placement) MaySend() bool {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	return p.permitted(now) && (p.load.said == nil || p.load.said.send(now))
}

// tried takes up that the endpoint answers a request without asking for rest: it need not go
// on alone.
func (s *said) tried(now time.Time) {
	if !now.Before(s.until) {
		s.asked, s.trial = time.Time{}, time.Time{}
	}
}

// leaves reports whether the endpoint said that it leaves, to this instance or of late to
// another one.
func (l *load) leaves(now time.Time) bool {
	return l.said != nil && l.said.leaves || now.Before(l.leavesTold)
}

// rest returns how much longer the endpoint wants nothing from this instance.
func (l *load) rest(now time.Time) time.Duration {
	if l.said == nil {
		return 0
	}
	return max(0, l.said.until.Sub(now))
}

// keeps reports whether the load has to be kept though its endpoint is not listed: it may be
// listed again.
func (l *load) keeps(now time.Time) bool { return l.said != nil && !l.said.over(now) }

// forgetSaid drops what doesn't matter any more. The caller holds b.mu.
func (b *Balancer) forgetSaid(known func(incarnation string) bool, now time.Time) {
	for id, s := range b.said {
		if known(s.incarnation) {
			s.seen = now
		}
		if !s.over(now) {
			continue
		}
		delete(b.said, id)
		if l := b.byID[id]; l != nil && l.said == s {
			l.said = nil
		}
	}
}

// allClosed returns the refusal of a request that would be placed if endpoints did not rest, or
// had permits left, or nil if there are none. The caller holds b.mu.
func (b *Balancer) allClosed(endpoints []*belief.Endpoint, d *Demand, now time.Time) *Refusal {
	var first time.Time
	var limited bool // the first one is free once there is a permit
	r := b.workingSet(d.Service.Name, endpoints)
	loads := r.loads
	urgency := b.urgency(d, now)
	for i, l := range loads {
		e := r.endpoints[i]
		if l.said == nil && !l.limited.short(now) || b.excluded(e, l, d, now) || l.avoided(e, now, true) {
			continue
		}
		rests, opens := now, l.limited.room(urgency, now)
		if l.said != nil {
			rests = l.said.room(now)
		}
		if room := latest(rests, opens); first.IsZero() || room.Before(first) {
			first, limited = room, l.limited.short(now) && !opens.Before(rests)
		}
	}
	if first.IsZero() {
		return nil
	}
	wait := first.Sub(now)
	if limited {
		return b.allLimited(d, loads, wait, now)
	}
	return &Refusal{Cause: EndpointsRest, Wait: wait, RetryAfter: wait + time.Duration(rand.Float64()*float64(retryAfterSpread))}
}

// excluded reports whether an endpoint may not take the request whatever it costs.
func (b *Balancer) excluded(e *belief.Endpoint, l *load, d *Demand, now time.Time) bool {
	return e.Closed() || l.leaves(now) || slices.Contains(d.Avoid, l.hash) || !b.mayServe(e, d)
}

// askedLately is how long an endpoint's wish for rest may take to reach those who choose
// endpoints with this instance's reports.
const askedLately = reportMost

// Resting returns the hashes of endpoints that have asked this instance for rest so lately that
// its reports may not have told it yet, those that asked last if there are many, and of those for
// which it can't have a permit for a request now.
func (b *Balancer) Resting(d *Demand) []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	closed := b.closedNow(b.urgency(d, now), now)
	if !now.Before(b.restsUntil) {
		return closed[:min(len(closed), mostUnreachable)]
	}
	var lately []*said
	for _, s := range b.said {
		if now.Before(s.until) && now.Sub(s.asked) < askedLately {
			lately = append(lately, s)
		}
	}
	slices.SortFunc(lately, func(x, y *said) int { return cmp.Compare(y.asked.UnixNano(), x.asked.UnixNano()) })
	var out []uint32
	for _, s := range lately[:min(len(lately), mostUnreachable)] {
		out = append(out, EndpointHash(s.incarnation))
	}
	out = append(out, closed...)
	return out[:min(len(out), mostUnreachable)]
}

// An Absence is an endpoint that gets nothing from this instance, by its own word.
type Absence struct {
	Endpoint string        // its ID
	Rest     time.Duration // how much longer it wants nothing from this instance
	Leaves   bool
}

// Absences returns the endpoints that rest or leave by what they said, the longest rest first.
func (b *Balancer) Absences() []Absence {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	out := make([]Absence, 0, len(b.said))
	for id, s := range b.said {
		if s.leaves || now.Before(s.until) {
			out = append(out, Absence{Endpoint: id, Rest: max(0, s.until.Sub(now)), Leaves: s.leaves})
		}
	}
	slices.SortFunc(out, func(x, y Absence) int {
		return cmp.Or(cmp.Compare(y.Rest, x.Rest), cmp.Compare(x.Endpoint, y.Endpoint))
	})
	return out
}
