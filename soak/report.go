package soak

// This file writes what a soak found: a table, and a timeline as SVG.

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Counts are the ends of a soak's requests.
type Counts struct {
	Requests   int
	Served     int // a whole success
	Broken     int // a success that was cut
	Refused    int // truly not run
	Failed     int // any other answer
	Unanswered int // the connection closed without one
	Left       int // by their callers
}

// Count returns how the requests ended.
func (r *Result) Count() Counts {
	var c Counts
	for _, q := range r.Books.Requests {
		c.Requests++
		switch {
		case q.Status == http.StatusOK && q.Whole:
			c.Served++
		case q.Left:
			c.Left++
		case q.Status == http.StatusOK:
			c.Broken++
		case promises(q.Status):
			c.Refused++
		case q.Status == 0:
			c.Unanswered++
		default:
			c.Failed++
		}
	}
	return c
}

// inTouch returns how many requests were sent to instances in touch: those that
// most checks look at.
func (r *Result) inTouch() (n int) {
	for _, q := range r.Books.Requests {
		if r.Books.inTouch(q.Instance, q.Sent, q.Done) {
			n++
		}
	}
	return n
}

func (r *Result) runs() (n int) {
	for _, runs := range r.Books.Runs {
		n += len(runs)
	}
	return n
}

// Write writes the result as text.
func (r *Result) Write(w io.Writer) {
	c := r.Count()
	fmt.Fprintf(w, "seed %d: %d instances, faults for %v, ready %v after the start\n", r.Seed, r.Instances, r.For, r.Serving.Round(time.Millisecond))
	fmt.Fprintf(w, "requests %d: served %d, broken off %d, refused %d, failed %d, without an answer %d, left by their callers %d\n",
		c.Requests, c.Served, c.Broken, c.Refused, c.Failed, c.Unanswered, c.Left)
	fmt.Fprintf(w, "from instances in touch %d, runs at endpoints %d, troubles %d, versions %d, endpoints that left %d\n",
		r.inTouch(), r.runs(), len(r.Books.Troubles), len(r.Books.Versions), len(r.Books.Departures))
	for _, d := range r.Returns {
		fmt.Fprintf(w, "after a loss of all, ready again in %v\n", d.Round(time.Millisecond))
	}
	for _, kind := range sortedKeys(r.Faults) {
		fmt.Fprintf(w, "  %3d x %s\n", r.Faults[kind], kind)
	}
	for _, f := range r.Books.Footprints {
		fmt.Fprintf(w, "  %s: %d descriptors, %d goroutines, %d MB\n", f.Instance, f.Descriptors, f.Goroutines, f.MemoryMB)
	}
	for _, note := range r.Notes {
		fmt.Fprintf(w, "note: %s\n", note)
	}
	fmt.Fprintf(w, "promises checked: %s\n", strings.Join(Rules(), " "))
	for _, b := range r.Breaches {
		fmt.Fprintf(w, "BROKEN %s: %s\n", b.Rule, b.What)
	}
	if len(r.Breaches) == 0 {
		fmt.Fprintln(w, "no promise was broken")
	}
}

// Sizes of the timeline, in pixels.
const (
	lineHeight  = 14
	leftMargin  = 260
	secondWidth = 14
	barsHeight  = 120
)

// WriteTimeline writes an SVG of the seconds: requests served and not, and the
// troubles beneath them.
func (r *Result) WriteTimeline(w io.Writer) {
	served, other := r.seconds()
	most := 1
	for s := range served {
		most = max(most, served[s]+other[s])
	}
	troubles := slices.Clone(r.Books.Troubles)
	slices.SortFunc(troubles, func(a, b Trouble) int { return a.From.Compare(b.From) })
	width, height := leftMargin+len(served)*secondWidth, barsHeight+lineHeight*(len(troubles)+2)
	fmt.Fprintf(w, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="10">`+"\n", width, height)
	fmt.Fprintf(w, `<text x="4" y="12">seed %d: requests a second (at most %d), served dark, not served red</text>`+"\n", r.Seed, most)
	for s := range served {
		x := leftMargin + s*secondWidth
		up, bad := served[s]*(barsHeight-20)/most, other[s]*(barsHeight-20)/most
		fmt.Fprintf(w, `<rect x="%d" y="%d" width="%d" height="%d" fill="#456"/>`, x, barsHeight-up, secondWidth-1, up)
		fmt.Fprintf(w, `<rect x="%d" y="%d" width="%d" height="%d" fill="#c33"/>`+"\n", x, barsHeight-up-bad, secondWidth-1, bad)
	}
	for i, t := range troubles {
		y := barsHeight + lineHeight*(i+1)
		from, to := t.From.Sub(r.Began).Seconds(), t.To.Sub(r.Began).Seconds()
		fmt.Fprintf(w, `<text x="4" y="%d">%s %s%s</text>`, y, escape(t.Kind), t.Instance, t.Endpoint)
		fmt.Fprintf(w, `<rect x="%.0f" y="%d" width="%.0f" height="8" fill="%s"/>`+"\n",
			leftMargin+from*secondWidth, y-8, max(2, (to-from)*secondWidth), colour(&t))
	}
	fmt.Fprintln(w, "</svg>")
}

func colour(t *Trouble) string {
	if t.Planned {
		return "#69c"
	}
	return "#c93"
}

func escape(s string) string {
	return strings.NewReplacer("&", "&amp;", "<", "&lt;", "'", "&#39;").Replace(s)
}

// seconds returns how many requests of each second were served, and how many
// not.
func (r *Result) seconds() (served, other []int) {
	last := 0
	for _, q := range r.Books.Requests {
		last = max(last, int(q.Sent.Sub(r.Began).Seconds()))
	}
	served, other = make([]int, last+1), make([]int, last+1)
	for _, q := range r.Books.Requests {
		s := max(0, int(q.Sent.Sub(r.Began).Seconds()))
		if q.Status == http.StatusOK && q.Whole {
			served[s]++
		} else if !q.Left {
			other[s]++
		}
	}
	return served, other
}
