package balance

// This file keeps what endpoints name as the rate of requests that they take from all instances
// together, and the permits that this instance holds to send to them.
//
// An endpoint with a limit is a choice while a permit for it is in hand or may be asked for. The
// choice alone gives none: Admit then returns PermitWanted, the caller has the instance that
// divides the limit asked, tells the answer and chooses anew; without a permit the endpoint is no choice
// until it may be asked for again. So no request waits for a permit that isn't there, nothing is counted at an
// endpoint that doesn't get the request, and MaySend finds the permit with the placement.
//
// Weighed: parts of the rate for each data centre or instance, which at 1.2 a second and 390
// instances are no request and idle where nobody asks; parts that follow demand, which are held by those
// who had it a moment before; and a scheduler that asks for those it chooses for, which keeps all
// that it chooses for waiting.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ivyridge/belief"
	"ivyridge/fair"
	"ivyridge/limit"
)

const (
	// PermitFor is how long a permit holds after it was asked for: a connection may have to be
	// opened first. One that lapses is lost.
	PermitFor = 500 * time.Millisecond
	// permitAsked is how long a permit that was asked for may take. Meanwhile nobody else asks.
	permitAsked = 100 * time.Millisecond
	// logLimits is the least pause between two lines on an endpoint's limit.
	logLimits = time.Second
)

// A limited is what is known of the limit of an endpoint's process.
type limited struct {
	word    limit.Word
	opens   [limit.Levels]time.Time // no permit is to be asked for before, by requests of an urgency and less urgent ones
	asked   time.Time               // one is asked for, until then at the latest
	permits []time.Time             // in hand, by when they lapse
	divider string                  // the address of the instance that answered last
	logged  time.Time
}

// short reports whether the endpoint names a limit and no permit for it is in hand.
func (l *limited) short(now time.Time) bool {
	if l == nil || !l.word.Named {
		return false
	}
	l.permits = slices.DeleteFunc(l.permits, func(until time.Time) bool { return now.After(until) })
	return len(l.permits) == 0
}

// limits reports whether the endpoint names a limit.
func (l *load) limits() bool { return l.limited != nil && l.limited.word.Named }

// room returns when a permit may be in hand, or asked for, for a request of an urgency. One that is
// more urgent than those that were denied may ask before they do: the divider keeps permits for it.
func (l *limited) room(urgency int, now time.Time) time.Time {
	if !l.short(now) {
		return now
	}
	room := latest(now, l.asked)
	for _, opens := range l.opens[:urgency+1] {
		room = latest(room, opens)
	}
	return room
}

// closed reports whether no request of an urgency may go there now, and no permit may be asked for.
func (l *limited) closed(urgency int, now time.Time) bool {
	return l.short(now) && l.room(urgency, now).After(now)
}

// take takes a permit out, and returns until when it holds.
func (l *limited) take(now time.Time) (until time.Time) {
	if l == nil || !l.word.Named || l.short(now) {
		return time.Time{}
	}
	until = l.permits[0]
	l.permits = l.permits[1:]
	return until
}

// limitedAt returns what is known of a load's limit, for something to be added. The caller holds
// b.mu.
func (b *Balancer) limitedAt(l *load) *limited {
	if l.limited == nil {
		l.limited = new(limited)
	}
	b.limits[l.hash] = l
	return l.limited
}

// inherit has a load go on with the limit that was named under its endpoint's ID, where the birth of
// the process came to be known only now. The caller holds b.mu.
func (l *load) inherit(before *load, id string) {
	if before == nil || before == l || before.limited == nil || l.limited != nil {
		return
	}
	same := before.id == id || l.id == id // one of the two is told without a birth
	if same || before.limited.word.At.After(l.known.Add(-birthKnown)) {
		l.limited = before.limited
	}
}

// Limits says that the endpoint's answer names a limit, in requests a second. It reports whether
// that is news worth a log line.
func (p *Placement) Limits(rate float64) (news bool) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	l := b.limitedAt(p.load)
	if !l.word.Name(rate, now) {
		return false
	}
	return p.limitNews(l, now)
}

// Unlimited says that the endpoint's own answer names no limit. It reports whether that is news
// worth a log line.
func (p *Placement) Unlimited() (news bool) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	l := p.load.limited
	if l == nil || !l.word.Lift(p.began) {
		return false
	}
	return p.limitNews(l, b.now())
}

// limitNews has others told that what is known of a limit has changed, and reports whether it is
// to be logged.
func (p *Placement) limitNews(l *limited, now time.Time) bool {
	p.balancer.change(p.load)
	if now.Sub(l.logged) < logLimits {
		return false
	}
	l.logged = now
	return true
}

// Limit returns the rate that the endpoint names, in requests a second, the time since it did, and
// the address of the instance that divided it last; ok is false if it names none.
func (p *Placement) Limit() (rate float64, age time.Duration, divider string, ok bool) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	l := p.load.limited
	if l == nil || !l.word.Named {
		return 0, 0, "", false
	}
	return l.word.Rate, b.now().Sub(l.word.At), l.divider, true
}

// permitted reports whether the request may leave for an endpoint that may name a limit, and
// uses its permit up.
func (p *Placement) permitted(now time.Time) bool {
	l := p.load.limited
	if l == nil || !l.word.Named {
		return true
	}
	until := p.permit
	p.permit = time.Time{}
	if until.IsZero() {
		until = l.take(now) // the limit was named since the endpoint was chosen
	}
	return !until.IsZero() && !now.After(until)
}

// keepPermit gives a permit that wasn't used to others.
func (p *Placement) keepPermit() {
	if !p.permit.IsZero() && p.load.limited != nil {
		p.load.limited.permits = append(p.load.limited.permits, p.permit)
		p.permit = time.Time{}
	}
}

// urgency returns how urgent a request is among those that ask for permits: by its level, and the
// teams first that use no more than their share. The caller holds b.mu.
func (b *Balancer) urgency(d *Demand, now time.Time) int {
	urgency := 2 * d.level()
	if len(b.limits) > 0 && b.sharesOf(d.Service.Name).Above(now, d.Team, d.level()) {
		urgency++
	}
	return urgency
}

// wanted returns a refusal that asks for a permit, if an endpoint is good for a request but for
// that. The caller holds b.mu.
func (b *Balancer) wanted(best *Placement, d *Demand, now time.Time) *Refusal {
	if !best.load.limited.short(now) {
		return nil
	}
	return &Refusal{Cause: PermitWanted, Limited: best.Endpoint, Urgency: b.urgency(d, now)}
}

// WantPermit takes up that a permit for an endpoint is about to be asked for, by a request of an urgency, and returns what is
// known of its limit. Ok is false if none is needed, or another request asks already.
func (b *Balancer) WantPermit(e *belief.Endpoint, urgency int) (endpoint uint32, word limit.Word, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	l := b.load(e.Incarnation())
	if !l.limited.short(now) || l.limited.closed(urgency, now) {
		return 0, limit.Word{}, false
	}
	l.limited.asked = now.Add(permitAsked)
	b.closedUntil = latest(b.closedUntil, l.limited.asked)
	return l.hash, l.limited.word, true
}

// TakePermit takes up the answer of the instance with an address to an ask for a permit that was
// sent at an instant, for a request of an urgency.
func (b *Balancer) TakePermit(endpoint uint32, urgency int, a limit.Answer, divider string, asked time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.byHash[endpoint]
	if l == nil || l.limited == nil {
		return
	}
	lim := l.limited
	lim.word.Merge(a.Word)
	lim.asked = time.Time{}
	lim.divider = divider
	if a.Granted {
		lim.permits = append(lim.permits, asked.Add(PermitFor))
		return
	}
	opens := b.now().Add(a.Wait)
	lim.opens[urgency] = opens
	b.closedUntil = latest(b.closedUntil, opens)
}

// Word returns what is known of an endpoint's limit.
func (b *Balancer) Word(endpoint uint32) limit.Word {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.byHash[endpoint]; l != nil && l.limited != nil {
		return l.limited.word
	}
	return limit.Word{}
}

// A ToldLimit is what an instance tells of an endpoint's limit. The zero value: nothing.
type ToldLimit struct {
	Known bool
	Named bool
	Rate  float64       // requests a second, if it is named
	Age   time.Duration // since the endpoint said so
}

// Word returns what it says, as of now.
func (t *ToldLimit) Word(now time.Time) limit.Word {
	if !t.Known {
		return limit.Word{}
	}
	return limit.Told(t.Named, t.Rate, t.Age, now)
}

// toldLimit returns what is to be told of the endpoint's limit.
func (l *load) toldLimit(now time.Time) ToldLimit {
	if l.limited == nil || !l.limited.word.Matters(now) {
		return ToldLimit{}
	}
	w := &l.limited.word
	return ToldLimit{Known: true, Named: w.Named, Rate: w.Rate, Age: max(0, now.Sub(w.At))}
}

// mergeLimit takes up what another instance tells. The caller holds b.mu.
func (b *Balancer) mergeLimit(l *load, t *ToldLimit, now time.Time) {
	if !t.Known || l.limited == nil && !t.Named {
		return
	}
	b.limitedAt(l).word.Merge(t.Word(now))
}

// closedNow returns the hashes of endpoints for which no permit may be asked for now, for a request
// of an urgency. The caller holds b.mu.
func (b *Balancer) closedNow(urgency int, now time.Time) (out []uint32) {
	if !now.Before(b.closedUntil) {
		return nil
	}
	for hash, l := range b.limits {
		if l.limited.closed(urgency, now) {
			out = append(out, hash)
		}
	}
	return out
}

// forgetLimits drops loads that aren't there any more. The caller holds b.mu.
func (b *Balancer) forgetLimits() {
	for hash, l := range b.limits {
		if b.byHash[hash] != l {
			delete(b.limits, hash)
		}
	}
}

// backMost bounds the time within which those who were refused are told to come back, beside the first
// wait: a caller waits for a third of its time at most.
const backMost = 4 * time.Second

// allLimited returns the refusal of a request for which no endpoint has a permit. It is told to come
// back within the time in which the limits bear what was refused of late. The caller holds b.mu.
func (b *Balancer) allLimited(d *Demand, loads []*load, wait time.Duration, now time.Time) *Refusal {
	b.offerLimited(d, loads, now)
	rate := 0.0
	for _, l := range loads {
		if l.limited != nil && l.limited.word.Named {
			rate += l.limited.word.Rate / float64(b.instances)
		}
	}
	f := b.figures(d.Service.Name)
	f.unpermitted.add(now)
	spread := time.Duration(f.unpermitted.n / max(rate, 1e-3) * float64(time.Second))
	spread = min(max(spread, retryAfterSpread), backMost)
	return &Refusal{Cause: EndpointsLimited, Wait: wait, RetryAfter: wait + time.Duration(rand.Float64()*float64(spread))}
}

// offerLimited counts a request for which there is no permit among what its team asks for. The caller
// holds b.mu.
func (b *Balancer) offerLimited(d *Demand, loads []*load, now time.Time) {
	if d.Offered {
		return
	}
	f := b.figures(d.Service.Name)
	f.permits.count(now, false)
	atAny := &Placement{Pace: Pace{ReadTime: loads[0].readTime, StepTime: loads[0].stepTime}}
	r := fair.Request{Team: d.Team, Level: d.level(), Work: work(d, atAny), Congestion: f.limitCongestion(now), Fixed: true}
	b.sharesOf(d.Service.Name).Offer(now, &r)
}

const (
	// unpermittedAt is the part of requests that find no permit at first from which teams' shares
	// bind. Below it most find one, and others after a short wait.
	unpermittedAt = 0.3
	// unpermittedOver is the time over which they are counted, and unpermittedPrior how many are taken to
	// have found one before: a denial or two say nothing.
	unpermittedOver  = 2 * time.Second
	unpermittedPrior = 3.0
)

// limitCongestion returns how short a service is for want of permits; from 1 on shares bind.
func (f *figures) limitCongestion(now time.Time) float64 {
	return f.permits.denied(now) / unpermittedAt
}

// A permitCount counts requests that found a permit, and those that found none at first, fading.
type permitCount struct {
	all, none float64
	at        time.Time
}

// count takes up one request.
func (c *permitCount) count(now time.Time, found bool) {
	keep := math.Exp(-now.Sub(c.at).Seconds() / unpermittedOver.Seconds())
	c.all, c.none, c.at = c.all*keep+1, c.none*keep, now
	if !found {
		c.none++
	}
}

// denied returns the part that found none.
func (c *permitCount) denied(now time.Time) float64 {
	keep := math.Exp(-now.Sub(c.at).Seconds() / unpermittedOver.Seconds())
	return c.none * keep / (c.all*keep + unpermittedPrior)
}

// A fading is a count of the last second's events.
type fading struct {
	n  float64
	at time.Time
}

// add counts one event.
func (f *fading) add(now time.Time) {
	f.n = f.n*max(0, 1-now.Sub(f.at).Seconds()) + 1
	f.at = now
}

// A Limit is an endpoint that names a limit, as operators see it.
type Limit struct {
	Endpoint   string // its ID
	Hash       uint32 // of its incarnation
	DataCentre string
	Rate       float64       // requests a second from all instances together
	Age        time.Duration // since an answer said so
	Divider    string        // the address of the instance that divided it last; empty: none was asked
	Closed     time.Duration // until a permit may be asked for
	Permits    int           // in hand
}

// Limits returns the endpoints that name a limit, the lowest first.
func (b *Balancer) Limits() []Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var out []Limit
	for _, l := range b.limits {
		if w := &l.limited.word; w.Named {
			short := l.limited.short(now)
			lim := Limit{Endpoint: l.endpoint, Hash: l.hash, DataCentre: l.dataCentre, Rate: w.Rate, Age: now.Sub(w.At), Divider: l.limited.divider, Permits: len(l.limited.permits)}
			if short {
				lim.Closed = l.limited.room(limit.Levels-1, now).Sub(now)
			}
			out = append(out, lim)
		}
	}
	slices.SortFunc(out, func(x, y Limit) int {
		return cmp.Or(cmp.Compare(x.Rate, y.Rate), cmp.Compare(x.Endpoint, y.Endpoint))
	})
	return out
}
