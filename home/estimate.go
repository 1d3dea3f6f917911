package home

// This file estimates how long requests take and wait, and decides whether
// to admit them. It stands alone because every figure here is learned.

import (
	"math"
	"time"

	"ivyridge/decl"
	"ivyridge/length"
	"ivyridge/queue"
	"ivyridge/verdict"
)

const (
	// keepChance is the part of a request's chance to be on time that
	// waiting may leave for it to be admitted; giveUpChance is the part
	// below which one that waits is refused after all.
	keepChance   = 0.95
	giveUpChance = 0.5

	// servicePlanned percent of a service's target may be used up by a
	// predicted wait, which is no more than a guess.
	servicePlanned = 50

	// The predicted wait is corrected by what waits turned out to be.
	biasKeep = 0.98
	biasMin  = 0.5
	biasMax  = 4.0
	// biasFloor is a wait too short to learn from.
	biasFloor = 50 * time.Millisecond

	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 2 * time.Minute

	// loadWindow is the time constant of a class's arriving work.
	loadWindow = 2 * time.Second

	// drainWindow is the time constant of a class's granted work; a class
	// that has had requests waiting for drainAfter is predicted by it.
	drainWindow = 4 * time.Second
	drainAfter  = 4 * time.Second
	drainMargin = 1.1

	unknownTokens = 200.0                  // before any answer ended
	unknownStart  = 100 * time.Millisecond // before any first token
	minimumCost   = 1e-3                   // slot-seconds
)

// classStats is what a Home learns of a class.
type classStats struct {
	start    float64 // seconds to the first token, or whole time of a service
	bias     float64 // waits as they were over waits as predicted
	load     float64 // slot-seconds a second that were admitted lately
	loadedAt time.Duration
	drain    float64 // slot-seconds a second that were granted lately
	drainAt  time.Duration
	waited   time.Duration // instant since when some have always waited
	started  bool
}

// arrived adds admitted work to the decaying rate.
func (s *classStats) arrived(now time.Duration, cost float64) {
	s.load = s.loadAt(now) + cost/loadWindow.Seconds()
	s.loadedAt = now
}

// drained adds granted work to the decaying rate.
func (s *classStats) drained(now time.Duration, cost float64) {
	s.drain = s.drain*math.Exp(-float64(now-s.drainAt)/float64(drainWindow)) + cost/drainWindow.Seconds()
	s.drainAt = now
}

func (s *classStats) loadAt(now time.Duration) float64 {
	return s.load * math.Exp(-float64(now-s.loadedAt)/float64(loadWindow))
}

// estimate fills r's cost and latest start.
func (h *Home) estimate(r *queue.Request, a *Ask) {
	c := h.specs[r.Class]
	start := h.startOf(r.Class)
	gap := h.meanGap()
	r.Cost = max(start+h.meanTokens(a)*gap, minimumCost)
	latest := time.Duration(math.MaxInt64)
	if c.FirstToken > 0 {
		latest = r.Arrival + c.FirstToken - seconds(start)
	}
	if c.Whole > 0 {
		hold := start + h.giveUpTokens(a, c.Whole.Seconds()-start, gap)*gap
		latest = min(latest, r.Arrival+c.Whole-seconds(hold))
	}
	r.Latest = max(latest, r.Arrival)
}

// giveUpTokens returns the answer length for which time must be left when r
// starts: a start that leaves less has too small a part of its chance.
func (h *Home) giveUpTokens(a *Ask, room, gap float64) float64 {
	d := h.dist(a)
	if d == nil {
		return 0 // nothing is known that speaks against a late start
	}
	return d.Quantile(giveUpChance * d.Within(room/gap))
}

// chance is the part of requests like r that would be on time if they
// started after wait.
func (h *Home) chance(r *queue.Request, a *Ask, wait time.Duration) float64 {
	c := h.specs[r.Class]
	left := wait + h.now - r.Arrival + seconds(h.startOf(r.Class))
	if c.FirstToken > 0 && left > c.FirstToken {
		return 0
	}
	if c.Whole == 0 {
		return 1
	}
	if h.pool.Kind != decl.Model && wait > 0 && left > c.Whole*servicePlanned/100 {
		return 0
	}
	room := (c.Whole - left).Seconds()
	if room < 0 {
		return 0
	}
	d := h.dist(a)
	if d == nil {
		return 1 // nothing is known that speaks against it
	}
	return d.Within(room / h.meanGap())
}

// dist returns the lengths to plan with, or nil if none are known.
func (h *Home) dist(a *Ask) *length.Dist {
	if h.pool.Kind != decl.Model || !h.policy.Lengths {
		return nil
	}
	return h.book.Of(a.Class, a.Team)
}

// meanTokens returns the mean length of answers like a's, at most the
// caller's own limit. A service's answer counts no tokens.
func (h *Home) meanTokens(a *Ask) float64 {
	if h.pool.Kind != decl.Model {
		return 0
	}
	n := unknownTokens
	if d := h.dist(a); d != nil {
		n = d.Mean()
	}
	if a.MaxTokens > 0 {
		n = min(n, float64(a.MaxTokens))
	}
	return n
}

func (h *Home) startOf(class int) float64 {
	if s := &h.stats[class]; s.started {
		return s.start
	}
	return unknownStart.Seconds()
}

// admit returns why r is refused, or nil.
func (h *Home) admit(r *queue.Request, a *Ask) *verdict.Error {
	if h.slots(false) == 0 {
		return verdict.Refuse(verdict.NoEndpoint, "no endpoint of pool %q takes work", h.pool.Name).After(time.Second)
	}
	if t := h.set.Team(a.Team); t != nil && t.MaxWaiting > 0 && h.q.TeamLen(r.Class, a.Team) >= t.MaxWaiting {
		return verdict.Refuse(verdict.TeamLimit, "team %q has %d requests waiting", a.Team, t.MaxWaiting).After(h.clearIn(r))
	}
	if !h.policy.Admit {
		return nil
	}
	if h.q.Len() == 0 && h.placeable(r) {
		return nil // it can start now
	}
	wait := h.wait(r)
	now := h.chance(r, a, 0)
	if now > 0 && h.chance(r, a, wait) >= keepChance*now {
		return nil
	}
	e := verdict.Refuse(verdict.Overloaded, "class %q would wait %s", a.Class, wait.Round(time.Millisecond))
	return e.After(clampRetry(wait))
}

func clampRetry(d time.Duration) time.Duration {
	return max(minRetryAfter, min(d, maxRetryAfter))
}

// wait predicts how long r waits for a slot: the work ahead of it over what
// the cell serves of it. Higher tiers that keep arriving leave less.
func (h *Home) wait(r *queue.Request) time.Duration {
	total, own := h.q.Ahead(r)
	slots := h.slots(h.specs[r.Class].Tier > 0)
	left := 1.0
	for i, c := range h.specs {
		switch {
		case i == r.Class:
		case c.Tier < h.specs[r.Class].Tier:
			left -= h.stats[i].loadAt(h.now) / slots
		case c.Tier > h.specs[r.Class].Tier && h.policy.Shares && h.q.ClassLen(i) > 0:
			left -= shareOf(c)
		}
	}
	share := max(shareOf(h.specs[r.Class]), defaultShare)
	byTurn := total / (slots * max(left, share))
	byShare := own / (slots * share)
	model := min(byTurn, byShare) * h.biasOf(r.Class)
	s := &h.stats[r.Class]
	if !h.policy.Drain || h.q.ClassLen(r.Class) == 0 || h.now-s.waited < drainAfter || s.drain == 0 {
		return seconds(model)
	}
	// What the class was granted lately says more than a model of it.
	return seconds(drainMargin * own / s.drain)
}

func (h *Home) biasOf(class int) float64 {
	if s := &h.stats[class]; h.policy.Bias && s.bias > 0 {
		return s.bias
	}
	return 1
}

// learnWait corrects the prediction by what a wait turned out to be.
func (h *Home) learnWait(r *queue.Request) {
	s := &h.stats[r.Class]
	if r.Predicted < biasFloor {
		return
	}
	if s.bias == 0 {
		s.bias = 1
	}
	was := float64(h.now-r.Pushed) / float64(r.Predicted) * s.bias
	s.bias = biasKeep*s.bias + (1-biasKeep)*max(biasMin, min(was, biasMax))
}

// clearIn predicts when a request like r would be admitted.
func (h *Home) clearIn(r *queue.Request) time.Duration {
	return clampRetry(h.wait(r) / 2)
}

// learn updates the estimates from a run that ended.
func (h *Home) learn(r *run, rel *Release) {
	s := &h.stats[r.class]
	c := h.specs[r.class]
	if rel.Failed {
		r.at.failed()
		return
	}
	r.at.recovered()
	if rel.Busy {
		r.at.refused(h.now)
	}
	if !rel.Whole {
		return
	}
	if h.pool.Kind == decl.Service {
		h.adjustService(r.at, rel.Held)
	}
	h.learnStart(s, rel)
	if rel.Tokens > 0 {
		h.book.Observe(c.Name, rel.Team, rel.Tokens)
	}
}

func (h *Home) learnStart(s *classStats, rel *Release) {
	const keep = 0.95
	start := rel.FirstToken.Seconds()
	if h.pool.Kind != "model" {
		start = rel.Held.Seconds()
	}
	if start <= 0 {
		return
	}
	if !s.started {
		s.start, s.started = start, true
		return
	}
	s.start = keep*s.start + (1-keep)*start
}

func seconds(s float64) time.Duration {
	const most = float64(math.MaxInt64 / 4)
	return time.Duration(min(s*float64(time.Second), most))
}
