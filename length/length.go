// Package length learns how long answers are.
//
// The length of an answer is unknown until it ends, so decisions use the
// distribution of earlier ones. A Dist is a histogram with geometric buckets
// whose older counts decay; Quantile is what decisions act on. A Book keeps
// one Dist a class and one a class and team, and answers from the narrower
// one as soon as it has seen enough.
package length

import "math"

const (
	buckets    = 88
	growth     = 1.12
	decayEvery = 256 // observations after which all counts are halved
	enough     = 24  // observations from which a team's own Dist is used
	maxTeams   = 4096
)

var invLogGrowth = 1 / math.Log(growth)

// A Dist is a decaying distribution of lengths in tokens. The zero value is
// empty. A Dist is not safe for concurrent use.
type Dist struct {
	counts [buckets]float32
	total  float32
	sum    float64
	seen   int
}

func bucketOf(n float64) int {
	if n <= 1 {
		return 0
	}
	return min(buckets-1, int(math.Log(n)*invLogGrowth)+1)
}

// upper returns the largest length of bucket b.
func upper(b int) float64 { return math.Pow(growth, float64(b)) }

// lower returns where bucket b begins.
func lower(b int) float64 {
	if b == 0 {
		return 0
	}
	return upper(b - 1)
}

// Observe adds an answer of n tokens.
func (d *Dist) Observe(n int) {
	d.counts[bucketOf(float64(n))]++
	d.total++
	d.sum += float64(n)
	d.seen++
	if d.seen%decayEvery == 0 {
		d.halve()
	}
}

func (d *Dist) halve() {
	for i := range d.counts {
		d.counts[i] /= 2
	}
	d.total /= 2
	d.sum /= 2
}

// Seen returns the number of observations.
func (d *Dist) Seen() int { return d.seen }

// Mean returns the mean length, or zero if nothing was observed.
func (d *Dist) Mean() float64 {
	if d.total == 0 {
		return 0
	}
	return d.sum / float64(d.total)
}

// Quantile returns a length that a part q of the answers does not exceed,
// interpolated within its bucket. It is zero if nothing was observed.
func (d *Dist) Quantile(q float64) float64 {
	want := float32(q) * d.total
	var acc float32
	for b, c := range d.counts {
		if c > 0 && acc+c >= want {
			part := float64((want - acc) / c)
			return lower(b) + part*(upper(b)-lower(b))
		}
		acc += c
	}
	return 0
}

// Within returns the part of the answers that are at most n tokens long. It
// is one if nothing was observed.
func (d *Dist) Within(n float64) float64 {
	if d.total == 0 {
		return 1
	}
	if n <= 0 {
		return 0
	}
	at := bucketOf(n)
	var acc float32
	for _, c := range d.counts[:at] {
		acc += c
	}
	part := (n - lower(at)) / (upper(at) - lower(at))
	return (float64(acc) + min(1, part)*float64(d.counts[at])) / float64(d.total)
}

// A Book holds the distributions of one cell.
type Book struct {
	classes map[string]*Dist
	teams   map[teamKey]*Dist
}

type teamKey struct{ class, team string }

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{classes: make(map[string]*Dist), teams: make(map[teamKey]*Dist)}
}

// Observe adds an answer of n tokens. Teams beyond a fixed number share
// their class's distribution, so that memory is bounded.
func (b *Book) Observe(class, team string, n int) {
	d := b.classes[class]
	if d == nil {
		d = new(Dist)
		b.classes[class] = d
	}
	d.Observe(n)
	k := teamKey{class, team}
	t := b.teams[k]
	if t == nil && len(b.teams) < maxTeams {
		t = new(Dist)
		b.teams[k] = t
	}
	if t != nil {
		t.Observe(n)
	}
}

// Class returns the distribution of a whole class, or nil.
func (b *Book) Class(class string) *Dist { return b.classes[class] }

// Of returns the distribution to use for a request, or nil if nothing like
// it was observed.
func (b *Book) Of(class, team string) *Dist {
	if t := b.teams[teamKey{class, team}]; t != nil && t.seen >= enough {
		return t
	}
	return b.classes[class]
}
