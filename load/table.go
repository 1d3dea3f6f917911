package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Files in a report directory.
const (
	ReportFile = "report.json"
	TableFile  = "report.txt"
)

// Save writes a report as JSON, table and plots to dir, which it creates if needed.
func (r *Report) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "report")
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "report")
	}
	var table strings.Builder
	if err := r.WriteTable(&table); err != nil {
		return errors.Wrap(err, "report")
	}
	for name, text := range map[string]string{
		ReportFile:       string(data) + "\n",
		TableFile:        table.String(),
		"attainment.svg": r.plotAttainment(),
		"open.svg":       r.plotOpen(),
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			return errors.Wrap(err, "report")
		}
	}
	return nil
}

// ReadReport reads a ReportFile written by Save.
func ReadReport(file string) (*Report, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "report")
	}
	r := new(Report)
	return r, errors.Wrap(json.Unmarshal(data, r), file)
}

// WriteTable prints the report as text.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\toffered\tserved\ton time\trefused\tfailed\tattainment\tp50 s\tp95 s\tp99 s\trefused within s\t")
	for i := range r.Classes {
		c := &r.Classes[i]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.4f\t%.3f\t%.3f\t%.3f\t%.3f\t\n",
			c.Class, c.Offered, c.Served, c.OnTime, c.Refused, c.Failed, c.Attainment, c.P50, c.P95, c.P99, c.RefusalP99)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "table")
	}
	for i := range r.Classes {
		c := &r.Classes[i]
		writeReasons(w, c.Class, "refused", c.RefusedByReason)
		writeReasons(w, c.Class, "failed", c.FailedByReason)
	}
	_, err := fmt.Fprintf(w, "goodput %.0f tokens/s; %d tokens computed, %d wasted (%.1f%%)\nduplicates %d, lost %d, crossed %d, refused but run %d\n",
		r.GoodputTokens, r.ComputedTokens, r.WastedTokens, 100*float64(r.WastedTokens)/float64(max(1, r.ComputedTokens)),
		r.Duplicates, r.Lost, r.Misdirected, r.RefusedButRun)
	return errors.Wrap(err, "table")
}

func writeReasons(w io.Writer, class, outcome string, reasons map[string]int) {
	names := make([]string, 0, len(reasons))
	for name := range reasons {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(w, "%s %s: %s %d\n", class, outcome, name, reasons[name])
	}
}

// Compare prints the classes that a and b have in common.
func Compare(w io.Writer, a, b *Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tattainment A\tB\tB-A\tserved A\tB\tp95 s A\tB\t")
	for i := range a.Classes {
		ca := &a.Classes[i]
		for j := range b.Classes {
			if cb := &b.Classes[j]; cb.Class == ca.Class {
				fmt.Fprintf(t, "%s\t%.4f\t%.4f\t%+.4f\t%d\t%d\t%.3f\t%.3f\t\n",
					ca.Class, ca.Attainment, cb.Attainment, cb.Attainment-ca.Attainment, ca.Served, cb.Served, ca.P95, cb.P95)
			}
		}
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "compare")
	}
	_, err := fmt.Fprintf(w, "goodput %.0f, %.0f tokens/s (x%.2f); wasted %.1f%%, %.1f%%\n", a.GoodputTokens, b.GoodputTokens,
		b.GoodputTokens/max(1, a.GoodputTokens), a.wastedPercent(), b.wastedPercent())
	return errors.Wrap(err, "compare")
}

// WriteBeforeAfter prints each class's attainment in the span seconds before and
// after second mark, and in each second after it.
func (r *Report) WriteBeforeAfter(w io.Writer, mark, span int) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "class\t%d s before\t%d s after\tdifference\tsecond by second\t\n", span, span)
	for c := range r.Classes {
		before, after := r.attainment(c, mark-span, mark), r.attainment(c, mark, mark+span)
		fmt.Fprintf(t, "%s\t%.4f\t%.4f\t%+.4f\t", r.Classes[c].Class, before, after, after-before)
		for s := mark; s < mark+span; s++ {
			fmt.Fprintf(t, " %.2f", r.attainment(c, s, s+1))
		}
		fmt.Fprintln(t, "\t")
	}
	return errors.Wrap(t.Flush(), "around")
}

// attainment returns the on-time share of arrivals in seconds [from, to), 1 if none.
func (r *Report) attainment(class, from, to int) float64 {
	offered, onTime := 0, 0
	for s := max(0, from); s < min(to, len(r.Series)); s++ {
		offered += r.Series[s].Offered[class]
		onTime += r.Series[s].OnTime[class]
	}
	if offered == 0 {
		return 1
	}
	return float64(onTime) / float64(offered)
}

func (r *Report) wastedPercent() float64 {
	return 100 * float64(r.WastedTokens) / float64(max(1, r.ComputedTokens))
}
