package experiment

// This file runs scenarios with several seeds and prints statistics.

import (
	"fmt"
	"io"
	"runtime"
	"sort"
	"sync"
	"text/tabwriter"

	"ivyridge/home"
)

// A Row holds the statistics over seeds of a scenario under one policy.
type Row struct {
	Scenario, Policy string
	Classes          []ClassRow
	Goodput          Stat // fraction of Bound.Goodput
	Tokens           Stat // goodput in tokens per second
	Wasted           Stat // fraction of the computed tokens
	Surge            Stat // on-time requests of the surge, as a fraction of Bound.Surge
	UnknownLengths   Stat // like Surge, but as a fraction of Bound.UnknownLengths
	Others           Stat // attainment of the tier-0 requests of teams that no burst names
	RecoveryTime     Stat // seconds
	Gaps             Stat
	Unfinished       Stat
}

// A ClassRow holds the statistics of one class.
type ClassRow struct {
	Class      string
	Attainment Stat
}

// A Stat summarizes a sample. Median is the lower of two middle values.
type Stat struct{ Median, Min, Max float64 }

// newStat sorts xs, which must not be empty.
func newStat(xs []float64) Stat {
	sort.Float64s(xs)
	return Stat{xs[(len(xs)-1)/2], xs[0], xs[len(xs)-1]}
}

// Measure runs a scenario with the seeds 1 to n on up to half of the CPUs. The Row
// gets name as its policy.
func Measure(s *Scenario, name string, p home.Policy, n int) Row {
	results := make([]*Result, n)
	bounds := make([]Bound, n)
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, runtime.NumCPU()/2))
	for i := range n {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			seed := uint64(i + 1)
			results[i], bounds[i] = s.Run(p, seed), s.Bound(seed)
		}()
	}
	wg.Wait()
	return s.row(name, results, bounds)
}

func (s *Scenario) row(name string, results []*Result, bounds []Bound) Row {
	stat := func(f func(i int) float64) Stat {
		xs := make([]float64, len(results))
		for i := range results {
			xs[i] = f(i)
		}
		return newStat(xs)
	}
	row := Row{Scenario: s.Name, Policy: name}
	for c := range results[0].Classes {
		row.Classes = append(row.Classes, ClassRow{results[0].Classes[c].Class, stat(func(i int) float64 { return results[i].Classes[c].Attainment })})
	}
	row.Goodput = stat(func(i int) float64 { return results[i].Goodput / bounds[i].Goodput })
	row.Tokens = stat(func(i int) float64 { return results[i].Goodput })
	row.Wasted = stat(func(i int) float64 { return results[i].Wasted() })
	row.RecoveryTime = stat(func(i int) float64 { return results[i].RecoveryTime.Seconds() })
	row.Gaps = stat(func(i int) float64 { return results[i].Gaps })
	row.Unfinished = stat(func(i int) float64 { return float64(results[i].unfinishedRequests()) })
	row.Others = stat(func(i int) float64 { return s.otherTeamsAttainment(results[i]) })
	row.Surge, row.UnknownLengths = Stat{1, 1, 1}, Stat{1, 1, 1}
	if s.SurgeClass != "" {
		onTime := func(i int) float64 { return float64(results[i].Class(s.SurgeClass).SurgeOnTime) }
		row.Surge = stat(func(i int) float64 { return onTime(i) / float64(max(1, bounds[i].Surge)) })
		row.UnknownLengths = stat(func(i int) float64 { return onTime(i) / float64(max(1, bounds[i].UnknownLengths)) })
	}
	return row
}

func (r *Result) unfinishedRequests() int {
	n := 0
	for i := range r.Classes {
		n += r.Classes[i].Unfinished
	}
	return n
}

func (s *Scenario) otherTeamsAttainment(r *Result) float64 {
	burstTeams := make(map[string]bool)
	for _, b := range s.Workload.Bursts {
		burstTeams[b.Team] = true
	}
	offered, onTime := 0, 0
	for i := range r.Classes {
		c := &r.Classes[i]
		if s.Set.Class(c.Class).Tier > 0 {
			continue
		}
		for name, t := range c.Teams {
			if !burstTeams[name] {
				offered += t.Offered
				onTime += t.OnTime
			}
		}
	}
	return float64(onTime) / float64(max(1, offered))
}

// Write prints rows as a table.
func Write(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scenario\tpolicy\tattainment by class\tsurge/bound\tsurge/blind\tgoodput/bound\ttokens/s\twasted\tgaps met\tothers\tnormal s\tunfinished")
	for i := range rows {
		r := &rows[i]
		fmt.Fprintf(t, "%s\t%s\t", r.Scenario, r.Policy)
		for _, c := range r.Classes {
			fmt.Fprintf(t, "%s %s  ", c.Class, c.Attainment)
		}
		fmt.Fprintf(t, "\t%s\t%s\t%s\t%.0f\t%s\t%s\t%s\t%.0f\t%.0f\n", r.Surge, r.UnknownLengths, r.Goodput, r.Tokens.Median, r.Wasted, r.Gaps, r.Others, r.RecoveryTime.Median, r.Unfinished.Median)
	}
	return t.Flush()
}

// String returns the median, and the range unless it is below the precision.
func (s Stat) String() string {
	if s.Max-s.Min < 0.0005 {
		return fmt.Sprintf("%.3f", s.Median)
	}
	return fmt.Sprintf("%.3f [%.3f-%.3f]", s.Median, s.Min, s.Max)
}
