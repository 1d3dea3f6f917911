package experiment

// This file computes what a scheduler that knew every arrival and length
// could at most serve on time. The bounds relax everything but capacity:
// requests may be cut up and run at once on all engines, and within a surge
// only its ends count, not each request's own window. They cannot be reached.

import (
	"math"
	"sort"
	"time"

	"ivyridge/load"
)

// A Bound is the most that could be served on time.
type Bound struct {
	Surge int // requests of the surging class that arrive in the surge
	// Blind is the same for a scheduler that knows no length before the
	// answer ends, and so cannot choose the short ones.
	Blind   int
	Goodput float64 // tokens a second
}

// Bound computes the bounds of a scenario for one seed.
func (s *Scenario) Bound(seed uint64) Bound {
	arrivals := s.Workload.Arrivals(seed)
	b := Bound{Goodput: s.goodputBound(arrivals)}
	if c := s.Set.Class(s.SurgeClass); c != nil {
		b.Surge, b.Blind = s.surgeBound(arrivals, c.Tier)
	}
	return b
}

// surgeBound fills the window in which the surge's requests may run with the
// shortest of them, after the work of the higher tiers that arrives in it,
// and with requests of their mean cost for a scheduler that cannot tell.
func (s *Scenario) surgeBound(arrivals []load.Arrival, tier int) (most, blind int) {
	var costs []float64
	var surging *load.Class
	for i := range s.Workload.Classes {
		if s.Workload.Classes[i].Name == s.SurgeClass {
			surging = &s.Workload.Classes[i]
		}
	}
	end := s.To + max(surging.Whole, surging.FirstToken)
	room := float64(s.Engines) * (end - s.From).Seconds()
	if surging.Service != "" {
		room = float64(s.Services*s.Workers) * (end - s.From).Seconds()
	}
	for i := range arrivals {
		a := &arrivals[i]
		switch {
		case a.At < s.From || a.At >= end:
		case a.Class == surging && a.At < s.To:
			costs = append(costs, s.cost(a))
		case s.Set.Class(a.Class.Name).Tier < tier && a.Class.Model == surging.Model:
			room -= s.cost(a)
		}
	}
	sum := 0.0
	for _, c := range costs {
		sum += c
	}
	blind = min(len(costs), int(room/(sum/float64(len(costs)))))
	return fill(costs, room), blind
}

// cost is what a request takes, in seconds of an engine that is filled to
// the token gap, or of a service's worker.
func (s *Scenario) cost(a *load.Arrival) float64 {
	if a.Class.Service != "" {
		return s.Work.Seconds()
	}
	perToken := float64(s.Engines) / s.Capacity()
	return float64(a.Length)*perToken + float64(a.Class.Prompt-a.Class.Shared)/s.Params.PrefillRate
}

// fill returns how many of the cheapest fit.
func fill(costs []float64, room float64) int {
	sort.Float64s(costs)
	for i, c := range costs {
		if room -= c; room < 0 {
			return i
		}
	}
	return len(costs)
}

// A parcel is offered work, in tokens, and the second by whose end it must
// be done to count.
type parcel struct {
	due    int
	tokens float64
}

// goodputBound serves the offered tokens earliest deadline first on one
// engine as fast as all together, second by second. Parts of answers count,
// so no schedule of whole answers can do better.
func (s *Scenario) goodputBound(arrivals []load.Arrival) float64 {
	last := int(math.Ceil((s.Workload.Duration + s.Workload.Drain).Seconds()))
	offered := make([][]parcel, last+1)
	for i := range arrivals {
		a := &arrivals[i]
		if a.Class.Model == "" {
			continue
		}
		due := last
		if a.Class.Whole > 0 {
			due = min(last, int(math.Ceil((a.At + a.Class.Whole).Seconds())))
		}
		at := int(a.At / time.Second)
		offered[at] = append(offered[at], parcel{due, float64(a.Length)})
	}
	done := 0.0
	var open []parcel
	for second := range offered {
		open = append(open, offered[second]...)
		sort.SliceStable(open, func(i, j int) bool { return open[i].due < open[j].due })
		done += serve(open, second, s.Capacity())
		open = unfinished(open)
	}
	return done / s.Workload.Duration.Seconds()
}

// serve works on parcels in order for a second and returns what it did.
func serve(open []parcel, second int, room float64) float64 {
	done := 0.0
	for i := range open {
		p := &open[i]
		if p.due <= second {
			p.tokens = 0 // too late
			continue
		}
		n := min(p.tokens, room)
		p.tokens -= n
		room -= n
		done += n
	}
	return done
}

func unfinished(open []parcel) []parcel {
	kept := open[:0]
	for _, p := range open {
		if p.tokens > 0 {
			kept = append(kept, p)
		}
	}
	return kept
}
