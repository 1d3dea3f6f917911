package home

// This file estimates how long requests take and wait, and decides whether
// to admit them. It stands alone because every figure here is learned.

import (
	"math"
	"time"

	"ivyridge/queue"
	"ivyridge/verdict"
)

const (
	// startQuantile is the part of answers that an admitted request is
	// planned to cover; expireQuantile is used once it waits, when giving
	// up costs more than a late answer would.
	startQuantile  = 0.8
	expireQuantile = 0.5

	// lateGoal is the part of admitted requests that may be late; margins
	// grow and shrink until it is met.
	lateGoal   = 0.02
	marginStep = 0.04 // of the target, for a late answer
	marginMax  = 0.5  // of the target

	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 2 * time.Minute

	// loadWindow is the time constant of a class's arriving work.
	loadWindow = 2 * time.Second

	unknownTokens = 200.0                  // before any answer ended
	unknownStart  = 100 * time.Millisecond // before any first token
	minimumCost   = 1e-3                   // slot-seconds
)

// classStats is what a Home learns of a class.
type classStats struct {
	start    float64 // seconds to the first token, or whole time of a service
	margin   float64 // seconds kept free before a latest start
	load     float64 // slot-seconds a second that were admitted lately
	loadedAt time.Duration
	started  bool
}

// arrived adds admitted work to the decaying rate.
func (s *classStats) arrived(now time.Duration, cost float64) {
	s.load = s.loadAt(now) + cost/loadWindow.Seconds()
	s.loadedAt = now
}

func (s *classStats) loadAt(now time.Duration) float64 {
	return s.load * math.Exp(-float64(now-s.loadedAt)/float64(loadWindow))
}

// estimate fills r's cost and latest start.
func (h *Home) estimate(r *queue.Request, a *Ask) {
	c := h.specs[r.Class]
	start := h.startOf(r.Class)
	gap := h.meanGap()
	r.Cost = max(start+h.tokens(a, -1)*gap, minimumCost)
	latest := time.Duration(math.MaxInt64)
	if c.FirstToken > 0 {
		latest = r.Arrival + c.FirstToken - seconds(start)
	}
	if c.Whole > 0 {
		hold := start + h.tokens(a, expireQuantile)*gap
		latest = min(latest, r.Arrival+c.Whole-seconds(hold))
	}
	r.Latest = max(latest, r.Arrival)
}

// safeStart is the latest start at which r is still on time with the longer
// answer that admission plans for.
func (h *Home) safeStart(r *queue.Request, a *Ask) time.Duration {
	c := h.specs[r.Class]
	if c.Whole == 0 {
		return r.Latest
	}
	hold := h.startOf(r.Class) + h.tokens(a, startQuantile)*h.meanGap()
	return min(r.Latest, r.Arrival+c.Whole-seconds(hold))
}

// tokens returns the length to plan with: quantile q, or the mean if q is
// negative. The caller's own limit caps it.
func (h *Home) tokens(a *Ask, q float64) float64 {
	if h.pool.Kind != "model" {
		return 0
	}
	n := unknownTokens
	if d := h.book.Of(a.Class, a.Team); d != nil && h.policy.Lengths {
		if q < 0 {
			n = d.Mean()
		} else {
			n = d.Quantile(q)
		}
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
	if h.slots() == 0 {
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
	late := h.now + h.wait(r) + h.margin(r.Class) - h.safeStart(r, a)
	if late <= 0 {
		return nil
	}
	e := verdict.Refuse(verdict.Overloaded, "class %q would be %s late", a.Class, late.Round(time.Millisecond))
	return e.After(clampRetry(late))
}

func clampRetry(d time.Duration) time.Duration {
	return max(minRetryAfter, min(d, maxRetryAfter))
}

func (h *Home) margin(class int) time.Duration {
	if !h.policy.Margin {
		return 0
	}
	return seconds(h.stats[class].margin)
}

// wait predicts how long r waits for a slot: the work ahead of it over what
// the cell serves of it. Higher tiers that keep arriving leave less.
func (h *Home) wait(r *queue.Request) time.Duration {
	total, own := h.q.Ahead(r)
	slots := h.slots()
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
	return seconds(min(byTurn, byShare))
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
	if !rel.Whole {
		return
	}
	h.learnStart(s, rel)
	if rel.Tokens > 0 {
		h.book.Observe(c.Name, rel.Team, rel.Tokens)
	}
	target := c.Target().Seconds()
	if c.FinishLate {
		return // a late one was accepted to be finished
	}
	if rel.Late {
		s.margin += marginStep * target * (1 - lateGoal)
	} else {
		s.margin -= marginStep * target * lateGoal
	}
	s.margin = max(0, min(s.margin, marginMax*target))
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
