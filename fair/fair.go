// Package fair divides the capacity of an overloaded service among teams.
//
// While a service is congested, a team that uses more than the fair rate has the excess refused. The
// fair rate falls while the service is congested and rises while it is not (core-stateless fair
// queueing: Stoica, Shenker, Zhang 1998), so the capacity needn't be known and what one team leaves
// is available to others. A team's use at more urgent levels counts against its less urgent
// requests.
//
// A team's use is the rate of work that its requests ask for, including refused ones, as counted
// here and reported by other instances. Only the teams with the highest use are tracked.
//
// Times and random numbers are passed in. Shares are not safe for concurrent use.
package fair

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Levels is the number of levels of urgency; 0 is the most urgent.
const Levels = 3

const (
	// decreaseTime and increaseTime are the times in which the fair rate changes by a factor of e,
	// down at a congestion of 2 or more and up at 0. A team at 15 times its usual rate is limited
	// within a second; freed capacity is in use again after a few.
	decreaseTime = 400 * time.Millisecond
	increaseTime = 1200 * time.Millisecond
	// adjustInterval is the least time between changes of the fair rate. One change accounts for
	// at most maxAdjustStep, since the congestion is unknown while there are no requests.
	adjustInterval = 20 * time.Millisecond
	maxAdjustStep  = 100 * time.Millisecond
	// staleAfter is how long a fair rate is valid without requests.
	staleAfter = 2 * time.Second
	// Limiting ends when the fair rate exceeds unlimitFactor times the use of the largest team.
	unlimitFactor = 1.2
	// minTeams is the lowest number of teams assumed for an equal share. Smaller teams can't be
	// the cause of the congestion.
	minTeams = 16
	// minGrantedFraction is the fraction of the recently granted work that remains granted. Without
	// it the rate falls below the capacity, and teams below their share are refused too.
	minGrantedFraction = 0.8
	// minRequests is how many recent requests a team must have to be limited, unless other
	// instances report its use. Fewer may be chance.
	minRequests = 4.0
	// soleUserFraction is the fraction of the total use above which a team is not limited, since
	// nobody else would use what it is refused.
	soleUserFraction = 0.98
	// limitedTimeout is how long after its last refusal a team is reported as limited.
	limitedTimeout = 2 * time.Second
)

// Shares divides the capacity of one service among teams. The zero value is ready to use.
type Shares struct {
	pools [Levels]pool
	peers peers
	uses  []float64 // buffer of collectUses
}

// A pool is the state of one level of urgency.
type pool struct {
	own         sketch
	rate        float64 // the fair rate; zero if teams are not limited
	adjustedAt  time.Time
	congestedAt time.Time // when congestion was last at least minReportCongestion
	limited     []Limited
}

// A Request is one request of a team, with its estimated work in any unit used throughout.
type Request struct {
	Team       uint32
	Level      int
	Work       float64
	Congestion float64 // of the service for this level; congested from 1
	Unlimited  bool    // count the request but never refuse it
	Random     float64 // uniformly distributed from 0 to 1
}

// Above reports whether a team's use at level and more urgent ones is above the fair rate.
func (s *Shares) Above(now time.Time, team uint32, level int) bool {
	p := &s.pools[level]
	if p.rate == 0 || now.Sub(p.adjustedAt) > staleAfter {
		return false
	}
	return s.use(now, level, team)+s.urgentUse(now, level, team) > p.rate && !s.soleUser(now, level, team)
}

// Admit counts a request and reports whether it is to be refused because the team is above the fair
// rate. If so, over is the team's use as a multiple of the fair rate.
func (s *Shares) Admit(now time.Time, r *Request) (over float64, refused bool) {
	p := &s.pools[r.Level]
	c := p.own.add(now, r.Team, r.Work)
	s.adjustRate(now, r.Level, r.Congestion)
	if r.Unlimited || p.rate == 0 {
		return 0, false
	}
	others := s.peers.rate(now, r.Level, r.Team)
	if p.own.recentRequests(now, c) < minRequests && others == 0 {
		return 0, false
	}
	use := p.own.rateOf(now, c) + others
	urgentUse := s.urgentUse(now, r.Level, r.Team)
	if use+urgentUse <= p.rate || s.soleUser(now, r.Level, r.Team) {
		return 0, false
	}
	if r.Random < (p.rate-urgentUse)/use {
		return 0, false
	}
	p.markLimited(now, r.Team)
	return (use + urgentUse) / p.rate, true
}

// RecordGranted counts the work of a request that was not refused.
func (s *Shares) RecordGranted(now time.Time, team uint32, level int, work float64) {
	s.pools[level].own.grant(now, team, work)
}

// idleAfter is how long a service must have no requests before its Shares may be dropped.
const idleAfter = time.Minute

// Idle reports whether the Shares may be dropped for lack of recent requests.
func (s *Shares) Idle(now time.Time) bool {
	for level := range s.pools {
		if now.Sub(s.pools[level].adjustedAt) < idleAfter {
			return false
		}
	}
	return true
}

// urgentUse returns a team's use at levels more urgent than level, each limited to the fair rate.
func (s *Shares) urgentUse(now time.Time, level int, team uint32) float64 {
	sum := 0.0
	for u := range level {
		p := &s.pools[u]
		use := s.use(now, u, team)
		if p.rate > 0 {
			use = min(use, p.rate)
		}
		sum += use
	}
	return sum
}

// use returns a team's use at level, as counted here and reported by other instances.
func (s *Shares) use(now time.Time, level int, team uint32) float64 {
	p := &s.pools[level]
	use := s.peers.rate(now, level, team)
	if c := p.own.find(team); c != nil {
		use += p.own.rateOf(now, c)
	}
	return use
}

// soleUser reports whether a team has nearly all use at level and more urgent ones.
func (s *Shares) soleUser(now time.Time, level int, team uint32) bool {
	sum := 0.0
	for l := range level + 1 {
		sum += s.use(now, l, team)
	}
	return sum > soleUserFraction*s.total(now, level)
}

// total returns the use of all teams at level and more urgent ones.
func (s *Shares) total(now time.Time, level int) float64 {
	sum := 0.0
	for l := range level + 1 {
		sum += s.pools[l].own.total(now) + s.peers.total(now, l)
	}
	return sum
}

func (s *Shares) adjustRate(now time.Time, level int, congestion float64) {
	p := &s.pools[level]
	if congestion >= minReportCongestion {
		p.congestedAt = now
	}
	elapsed := now.Sub(p.adjustedAt)
	if elapsed < adjustInterval {
		return
	}
	p.adjustedAt = now
	if elapsed > staleAfter {
		p.rate = 0
	}
	if p.rate == 0 && congestion <= 1 {
		return
	}
	elapsed = min(elapsed, maxAdjustStep)
	largest := s.collectUses(now, level)
	if congestion > 1 {
		if p.rate == 0 {
			p.rate = largest
		}
		p.rate *= math.Exp(-min(congestion-1, 1) * float64(elapsed) / float64(decreaseTime))
		p.rate = max(p.rate, s.minRate(now, level))
		return
	}
	p.rate *= math.Exp((1 - congestion) * float64(elapsed) / float64(increaseTime))
	if p.rate > unlimitFactor*largest {
		p.rate = 0
	}
}

// collectUses fills s.uses with the use of each tracked team at level and more urgent ones, and
// returns the largest.
func (s *Shares) collectUses(now time.Time, level int) (largest float64) {
	p := &s.pools[level]
	s.uses = s.uses[:0]
	for i := range p.own.counters {
		team := p.own.counters[i].team
		s.uses = append(s.uses, s.use(now, level, team)+s.urgentUse(now, level, team))
	}
	for _, team := range s.peers.teams(now, level) {
		if p.own.find(team) == nil {
			s.uses = append(s.uses, s.use(now, level, team)+s.urgentUse(now, level, team))
		}
	}
	for _, use := range s.uses {
		largest = max(largest, use)
	}
	return largest
}

// minRate returns the lowest permitted fair rate of level: an equal share of the total use, or the
// rate that leaves minGrantedFraction of the recently granted work. It requires collectUses.
func (s *Shares) minRate(now time.Time, level int) float64 {
	total := s.total(now, level)
	asked, granted := 0.0, 0.0
	for l := range level + 1 {
		asked += s.pools[l].own.total(now)
		granted += s.pools[l].own.grantedRate(now)
	}
	equalShare := total / float64(max(len(s.uses), minTeams))
	if asked == 0 {
		return equalShare
	}
	return max(equalShare, s.cutoff(total, minGrantedFraction*total*granted/asked))
}

// cutoff returns the rate to which the largest of s.uses must be limited to bring total to bound.
func (s *Shares) cutoff(total, bound float64) float64 {
	slices.SortFunc(s.uses, func(a, b float64) int { return cmp.Compare(b, a) })
	excess := total - bound
	if excess <= 0 {
		return 0 // more is granted than asked for
	}
	reduction := 0.0 // of the total, if the uses before the i-th are limited to it
	for i, use := range s.uses {
		if i > 0 {
			reduction += float64(i) * (s.uses[i-1] - use)
		}
		if reduction >= excess {
			return use + (reduction-excess)/float64(i)
		}
	}
	return 0
}
