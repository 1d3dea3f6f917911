package experiment

// This file computes upper bounds for the performance of any scheduler. They are not
// attainable, since they ignore the split into engines and the deadlines in a surge.

import (
	"math"
	"sort"
	"time"

	"ivyridge/load"
)

// A Bound is an upper bound of the on-time throughput of a scenario.
type Bound struct {
	Surge          int     // requests of the surge
	UnknownLengths int     // like Surge, without knowledge of the response lengths
	Goodput        float64 // tokens per second
}

// Bound computes the bounds for seed. Without a surge, only Goodput is set.
func (s *Scenario) Bound(seed uint64) Bound {
	arrivals := s.Workload.Arrivals(seed)
	b := Bound{Goodput: s.goodputBound(arrivals)}
	if c := s.Set.Class(s.SurgeClass); c != nil {
		b.Surge, b.UnknownLengths = s.surgeBound(arrivals, c.Tier)
	}
	return b
}

// surgeBound returns how many of the surge's requests fit into the capacity that
// higher tiers leave. It takes the cheapest first, or all at their mean cost.
func (s *Scenario) surgeBound(arrivals []load.Arrival, tier int) (cheapestFirst, atMeanCost int) {
	var costs []float64
	var surging *load.Class
	for i := range s.Workload.Classes {
		if s.Workload.Classes[i].Name == s.SurgeClass {
			surging = &s.Workload.Classes[i]
		}
	}
	end := s.To + max(surging.Whole, surging.FirstToken)
	capacity := float64(s.Engines) * (end - s.From).Seconds()
	if surging.Service != "" {
		capacity = float64(s.Services*s.Workers) * (end - s.From).Seconds()
	}
	for i := range arrivals {
		a := &arrivals[i]
		switch {
		case a.At < s.From || a.At >= end:
		case a.Class == surging && a.At < s.To:
			costs = append(costs, s.cost(a))
		case s.Set.Class(a.Class.Name).Tier < tier && a.Class.Model == surging.Model:
			capacity -= s.cost(a)
		}
	}
	sum := 0.0
	for _, c := range costs {
		sum += c
	}
	atMeanCost = min(len(costs), int(capacity/(sum/float64(len(costs)))))
	return countFitting(costs, capacity), atMeanCost
}

// cost returns the seconds of an engine at Capacity, or of a worker, that a request
// takes.
func (s *Scenario) cost(a *load.Arrival) float64 {
	if a.Class.Service != "" {
		return s.Work.Seconds()
	}
	perToken := float64(s.Engines) / s.Capacity()
	return float64(a.Length)*perToken + float64(a.Class.Prompt-a.Class.Shared)/s.Params.PrefillRate
}

// countFitting returns how many of the lowest costs fit into capacity. It sorts costs.
func countFitting(costs []float64, capacity float64) int {
	sort.Float64s(costs)
	for i, c := range costs {
		if capacity -= c; capacity < 0 {
			return i
		}
	}
	return len(costs)
}

// A workItem is a number of tokens to generate before the start of second due.
type workItem struct {
	due    int
	tokens float64
}

// goodputBound simulates earliest-deadline-first scheduling, which is optimal on a
// single server, in steps of one second. Partial responses count.
func (s *Scenario) goodputBound(arrivals []load.Arrival) float64 {
	last := int(math.Ceil((s.Workload.Duration + s.Workload.Drain).Seconds()))
	offered := make([][]workItem, last+1)
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
		offered[at] = append(offered[at], workItem{due, float64(a.Length)})
	}
	done := 0.0
	var open []workItem
	for second := range offered {
		open = append(open, offered[second]...)
		sort.SliceStable(open, func(i, j int) bool { return open[i].due < open[j].due })
		done += serveSecond(open, second, s.Capacity())
		open = withTokensLeft(open)
	}
	return done / s.Workload.Duration.Seconds()
}

// serveSecond serves up to capacity tokens in order of the items, drops items past
// their deadline, and returns the tokens served.
func serveSecond(open []workItem, second int, capacity float64) float64 {
	done := 0.0
	for i := range open {
		p := &open[i]
		if p.due <= second {
			p.tokens = 0
			continue
		}
		n := min(p.tokens, capacity)
		p.tokens -= n
		capacity -= n
		done += n
	}
	return done
}

// withTokensLeft returns the items with tokens left. It reuses the array of open.
func withTokensLeft(open []workItem) []workItem {
	kept := open[:0]
	for _, p := range open {
		if p.tokens > 0 {
			kept = append(kept, p)
		}
	}
	return kept
}
