// Package length estimates the lengths of responses.
//
// The length of a response is unknown until it ends, so estimates use the distribution of earlier
// ones. Distributions keeps a Dist for each request class and for each team in a class, and uses
// the latter once it has enough observations.
package length

import "math"

const (
	numBuckets     = 88
	growth         = 1.12
	decayEvery     = 256 // number of observations after which all counts are halved
	minTeamSamples = 24  // observations from which a team's own Dist is used
	maxTeams       = 4096
)

var invLogGrowth = 1 / math.Log(growth)

// A Dist is a decaying histogram of lengths in tokens with geometric buckets. The zero value is
// empty. A Dist is not safe for concurrent use.
type Dist struct {
	counts [numBuckets]float32
	total  float32
	sum    float64
	seen   int
}

func bucketOf(n float64) int {
	if n <= 1 {
		return 0
	}
	return min(numBuckets-1, int(math.Log(n)*invLogGrowth)+1)
}

// upper returns the largest length in bucket b.
func upper(b int) float64 { return math.Pow(growth, float64(b)) }

func lower(b int) float64 {
	if b == 0 {
		return 0
	}
	return upper(b - 1)
}

// Observe records a response of n tokens.
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

// Seen returns the number of observations, including decayed ones.
func (d *Dist) Seen() int { return d.seen }

// Mean returns the mean length in tokens, or zero without observations.
func (d *Dist) Mean() float64 {
	if d.total == 0 {
		return 0
	}
	return d.sum / float64(d.total)
}

// Quantile returns the length in tokens that a fraction q, from 0 to 1, of the responses does not
// exceed, interpolated within its bucket. It returns zero without observations.
func (d *Dist) Quantile(q float64) float64 {
	target := float32(q) * d.total
	var sum float32
	for b, c := range d.counts {
		if c > 0 && sum+c >= target {
			fraction := float64((target - sum) / c)
			return lower(b) + fraction*(upper(b)-lower(b))
		}
		sum += c
	}
	return 0
}

// Within returns the fraction of responses of at most n tokens, or one without observations.
func (d *Dist) Within(n float64) float64 {
	if d.total == 0 {
		return 1
	}
	if n <= 0 {
		return 0
	}
	bucket := bucketOf(n)
	var sum float32
	for _, c := range d.counts[:bucket] {
		sum += c
	}
	fraction := (n - lower(bucket)) / (upper(bucket) - lower(bucket))
	return (float64(sum) + min(1, fraction)*float64(d.counts[bucket])) / float64(d.total)
}

// Distributions are the distributions of a group of endpoints. They are not safe for concurrent
// use.
type Distributions struct {
	classes map[string]*Dist
	teams   map[teamKey]*Dist
}

type teamKey struct{ class, team string }

// NewDistributions returns empty Distributions.
func NewDistributions() *Distributions {
	return &Distributions{classes: make(map[string]*Dist), teams: make(map[teamKey]*Dist)}
}

// Observe records a response of n tokens. The number of teams with their own distribution is
// bounded; further teams count for their class only.
func (ds *Distributions) Observe(class, team string, n int) {
	d := ds.classes[class]
	if d == nil {
		d = new(Dist)
		ds.classes[class] = d
	}
	d.Observe(n)
	k := teamKey{class, team}
	teamDist := ds.teams[k]
	if teamDist == nil && len(ds.teams) < maxTeams {
		teamDist = new(Dist)
		ds.teams[k] = teamDist
	}
	if teamDist != nil {
		teamDist.Observe(n)
	}
}

// Class returns the distribution of all teams in class, or nil without observations.
func (ds *Distributions) Class(class string) *Dist { return ds.classes[class] }

// Dist returns the distribution to use for a request of class and team, or nil if nothing was
// observed for class.
func (ds *Distributions) Dist(class, team string) *Dist {
	if teamDist := ds.teams[teamKey{class, team}]; teamDist != nil && teamDist.seen >= minTeamSamples {
		return teamDist
	}
	return ds.classes[class]
}
