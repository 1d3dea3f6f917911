package soak

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Counts are the numbers of requests by outcome.
type Counts struct {
	Requests   int
	Served     int // status 200, complete
	Truncated  int // status 200, truncated
	Refused    int // rejected with a status that means not executed
	Failed     int // any other status
	Unanswered int // connection closed without a response
	Cancelled  int // cancelled by their callers
}

// Count returns the numbers of requests by outcome.
func (r *Result) Count() Counts {
	var c Counts
	for _, q := range r.Record.Requests {
		c.Requests++
		switch {
		case q.Status == http.StatusOK && q.Complete:
			c.Served++
		case q.Cancelled:
			c.Cancelled++
		case q.Status == http.StatusOK:
			c.Truncated++
		case meansNotExecuted(q.Status):
			c.Refused++
		case q.Status == 0:
			c.Unanswered++
		default:
			c.Failed++
		}
	}
	return c
}

// inContact returns the number of requests to instances in contact; most rules check only these.
func (r *Result) inContact() (n int) {
	for _, q := range r.Record.Requests {
		if r.Record.inContact(q.Instance, q.Sent, q.Done) {
			n++
		}
	}
	return n
}

func (r *Result) deliveries() (n int) {
	for _, deliveries := range r.Record.Deliveries {
		n += len(deliveries)
	}
	return n
}

// Write writes the result as text.
func (r *Result) Write(w io.Writer) {
	c := r.Count()
	fmt.Fprintf(w, "seed %d: %d instances, faults for %v, ready %v after the start\n", r.Seed, r.Instances, r.Duration, r.StartupTime.Round(time.Millisecond))
	fmt.Fprintf(w, "requests %d: served %d, truncated %d, rejected %d, failed %d, unanswered %d, cancelled %d\n",
		c.Requests, c.Served, c.Truncated, c.Refused, c.Failed, c.Unanswered, c.Cancelled)
	fmt.Fprintf(w, "requests to instances in contact %d, deliveries to endpoints %d, faults %d, versions %d, leaving notices %d\n",
		r.inContact(), r.deliveries(), len(r.Record.Faults), len(r.Record.Versions), len(r.Record.Departures))
	for _, d := range r.RecoveryTimes {
		fmt.Fprintf(w, "first instance ready %v after a restart of all\n", d.Round(time.Millisecond))
	}
	for _, kind := range sortedKeys(r.Faults) {
		fmt.Fprintf(w, "  %3d x %s\n", r.Faults[kind], kind)
	}
	for _, f := range r.Record.Footprints {
		fmt.Fprintf(w, "  %s: %d descriptors, %d goroutines, %d MB\n", f.Instance, f.Descriptors, f.Goroutines, f.MemoryMB)
	}
	for _, note := range r.Notes {
		fmt.Fprintf(w, "note: %s\n", note)
	}
	fmt.Fprintf(w, "rules checked: %s\n", strings.Join(Rules(), " "))
	for _, b := range r.Violations {
		fmt.Fprintf(w, "VIOLATED %s: %s\n", b.Rule, b.What)
	}
	if len(r.Violations) == 0 {
		fmt.Fprintln(w, "no rule was violated")
	}
}

// Sizes of the timeline, in pixels.
const (
	lineHeight  = 14
	leftMargin  = 260
	secondWidth = 14
	barsHeight  = 120
)

// WriteTimeline writes an SVG of the served and unserved requests per second and of the faults.
func (r *Result) WriteTimeline(w io.Writer) {
	served, other := r.seconds()
	highest := 1
	for s := range served {
		highest = max(highest, served[s]+other[s])
	}
	faults := slices.Clone(r.Record.Faults)
	slices.SortFunc(faults, func(a, b Fault) int { return a.From.Compare(b.From) })
	width, height := leftMargin+len(served)*secondWidth, barsHeight+lineHeight*(len(faults)+2)
	fmt.Fprintf(w, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="10">`+"\n", width, height)
	fmt.Fprintf(w, `<text x="4" y="12">seed %d: requests per second (at most %d), served dark, others red</text>`+"\n", r.Seed, highest)
	for s := range served {
		x := leftMargin + s*secondWidth
		up, bad := served[s]*(barsHeight-20)/highest, other[s]*(barsHeight-20)/highest
		fmt.Fprintf(w, `<rect x="%d" y="%d" width="%d" height="%d" fill="#456"/>`, x, barsHeight-up, secondWidth-1, up)
		fmt.Fprintf(w, `<rect x="%d" y="%d" width="%d" height="%d" fill="#c33"/>`+"\n", x, barsHeight-up-bad, secondWidth-1, bad)
	}
	for i, f := range faults {
		y := barsHeight + lineHeight*(i+1)
		from, to := f.From.Sub(r.Began).Seconds(), f.To.Sub(r.Began).Seconds()
		fmt.Fprintf(w, `<text x="4" y="%d">%s %s%s</text>`, y, escape(f.Kind), f.Instance, f.Endpoint)
		fmt.Fprintf(w, `<rect x="%.0f" y="%d" width="%.0f" height="8" fill="%s"/>`+"\n",
			leftMargin+from*secondWidth, y-8, max(2, (to-from)*secondWidth), colour(&f))
	}
	fmt.Fprintln(w, "</svg>")
}

func colour(f *Fault) string {
	if f.Planned {
		return "#69c"
	}
	return "#c93"
}

func escape(s string) string {
	return strings.NewReplacer("&", "&amp;", "<", "&lt;", "'", "&#39;").Replace(s)
}

// seconds returns the served and unserved requests per second of the run, without cancelled ones.
func (r *Result) seconds() (served, other []int) {
	last := 0
	for _, q := range r.Record.Requests {
		last = max(last, int(q.Sent.Sub(r.Began).Seconds()))
	}
	served, other = make([]int, last+1), make([]int, last+1)
	for _, q := range r.Record.Requests {
		s := max(0, int(q.Sent.Sub(r.Began).Seconds()))
		if q.Status == http.StatusOK && q.Complete {
			served[s]++
		} else if !q.Cancelled {
			other[s]++
		}
	}
	return served, other
}
