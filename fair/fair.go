// Package fair divides what is scarce at a service among teams.
//
// While a service has room, a team may use as much as it wants. Once it is short, a team
// that uses more than the fair rate has the excess refused; one below it is left alone. The
// fair rate is found by feedback (core-stateless fair queueing: Stoica, Shenker, Zhang
// 1998): it is lowered while the service is short and raised while it is not, so that
// nobody needs to know what the service can bear, and what one team does not use is left
// to the others. Requests are told apart by their level of urgency; what a team uses at
// more urgent levels counts before its less urgent requests.
//
// What a team uses is the rate of work that its requests ask for, refused ones among them,
// as far as this instance chose for them and other instances say. Only the teams that use
// most are counted by name. All is forgotten within seconds, and what is not known counts
// as not used.
//
// Shares are pure: time and chance are handed in. They are not safe for concurrent use.
package fair

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Levels is how many levels of urgency are told apart; 0 is the most urgent.
const Levels = 3

const (
	// lowerOver and raiseOver are the times in which the fair rate falls and rises by a
	// factor of e, where the congestion is twice the bound and none. A team at 15 times its
	// usual rate is brought down within a second; what is freed is found again in a few.
	lowerOver = 400 * time.Millisecond
	raiseOver = 1200 * time.Millisecond
	// steerEvery is the pause between changes of the fair rate, and steerMost the longest
	// time that one of them counts for: after a pause nothing is known of the time between.
	steerEvery = 20 * time.Millisecond
	steerMost  = 100 * time.Millisecond
	// staleAfter is how long a fair rate holds that no request has moved.
	staleAfter = 2 * time.Second
	// freeAt is the fair rate, as a multiple of what the largest team uses, from which
	// nobody is limited any more.
	freeAt = 1.2
	// fewestTeams is how many teams are assumed at least for the lowest fair rate, an equal
	// share of what is asked for: teams below that can't be what makes the service short.
	fewestTeams = 16
	// lowestPart is the part of the work granted of late that teams keep in any case: without
	// it the fair rate falls below what the service bears before its congestion is over, and
	// teams below their share are refused in turns (0.91 of their requests were served, with
	// it 0.99, beside 23,000 small teams).
	lowestPart = 0.8
	// leastSeen is how many recent requests of a team must have been seen here to
	// limit it, unless others say that it uses much: fewer may be chance.
	leastSeen = 4.0
	// alone is the part of all use from which a team is by itself: what it is refused nobody
	// else would have.
	alone = 0.98
	// limitedFor is how long after its last refusal a team counts as limited.
	limitedFor = 2 * time.Second
)

// Shares are those of one service.
type Shares struct {
	pools [Levels]pool
	told  told
	uses  []float64 // reused by survey
}

// A pool is what requests of one level of urgency compete for.
type pool struct {
	own     sketch
	rate    float64 // the fair rate; zero: nobody is limited
	steered time.Time
	short   time.Time // the congestion was last near the bound
	limited []Limited
}

// A Request asks for work.
type Request struct {
	Team       uint32
	Level      int
	Work       float64
	Congestion float64 // of the service for this level; from 1 on it is short
	Fixed      bool    // it is counted, and never refused
	Chance     float64 // drawn from 0 to 1
}

// Above reports whether a team uses more than the fair rate of a level, while there is one.
func (s *Shares) Above(now time.Time, team uint32, level int) bool {
	p := &s.pools[level]
	if p.rate == 0 || now.Sub(p.steered) > staleAfter {
		return false
	}
	return s.use(now, level, team)+s.urgent(now, level, team) > p.rate && !s.alone(now, level, team)
}

// Offer counts a request, and reports whether it is refused for its team's share. Over is
// then the use of the team as a multiple of the fair rate.
func (s *Shares) Offer(now time.Time, r *Request) (over float64, refused bool) {
	p := &s.pools[r.Level]
	c := p.own.add(now, r.Team, r.Work)
	s.steer(now, r.Level, r.Congestion)
	if r.Fixed || p.rate == 0 {
		return 0, false
	}
	others := s.told.rate(now, r.Level, r.Team)
	if p.own.seen(now, c) < leastSeen && others == 0 {
		return 0, false
	}
	use := p.own.rateOf(now, c) + others
	urgent := s.urgent(now, r.Level, r.Team)
	if use+urgent <= p.rate || s.alone(now, r.Level, r.Team) {
		return 0, false
	}
	if r.Chance < (p.rate-urgent)/use {
		return 0, false
	}
	p.limit(now, r.Team)
	return (use + urgent) / p.rate, true
}

// Grant counts the work of a request that was not refused.
func (s *Shares) Grant(now time.Time, team uint32, level int, work float64) {
	s.pools[level].own.grant(now, team, work)
}

// idleAfter is how long a service is not asked for until its shares may be dropped.
const idleAfter = time.Minute

// Idle reports whether nothing has been asked for of late.
func (s *Shares) Idle(now time.Time) bool {
	for level := range s.pools {
		if now.Sub(s.pools[level].steered) < idleAfter {
			return false
		}
	}
	return true
}

// urgent returns what a team may use at more urgent levels.
func (s *Shares) urgent(now time.Time, level int, team uint32) float64 {
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

// use returns what a team uses at a level.
func (s *Shares) use(now time.Time, level int, team uint32) float64 {
	p := &s.pools[level]
	use := s.told.rate(now, level, team)
	if c := p.own.find(team); c != nil {
		use += p.own.rateOf(now, c)
	}
	return use
}

// alone reports whether hardly any other team asks for anything at a level or more
// urgent ones.
func (s *Shares) alone(now time.Time, level int, team uint32) bool {
	sum := 0.0
	for l := range level + 1 {
		sum += s.use(now, l, team)
	}
	return sum > alone*s.total(now, level)
}

// total returns what all teams use at a level and more urgent ones.
func (s *Shares) total(now time.Time, level int) float64 {
	sum := 0.0
	for l := range level + 1 {
		sum += s.pools[l].own.total(now) + s.told.total(now, l)
	}
	return sum
}

// steer moves the fair rate of a level, if a pause has passed since it last did.
func (s *Shares) steer(now time.Time, level int, congestion float64) {
	p := &s.pools[level]
	if congestion >= nearShort {
		p.short = now
	}
	passed := now.Sub(p.steered)
	if passed < steerEvery {
		return
	}
	p.steered = now
	if passed > staleAfter {
		p.rate = 0
	}
	if p.rate == 0 && congestion <= 1 {
		return
	}
	passed = min(passed, steerMost)
	largest := s.survey(now, level)
	if congestion > 1 {
		if p.rate == 0 {
			p.rate = largest
		}
		p.rate *= math.Exp(-min(congestion-1, 1) * float64(passed) / float64(lowerOver))
		p.rate = max(p.rate, s.lowest(now, level))
		return
	}
	p.rate *= math.Exp((1 - congestion) * float64(passed) / float64(raiseOver))
	if p.rate > freeAt*largest {
		p.rate = 0
	}
}

// survey collects what each known team uses at a level and more urgent ones in s.uses, and
// returns the most of it.
func (s *Shares) survey(now time.Time, level int) (most float64) {
	p := &s.pools[level]
	s.uses = s.uses[:0]
	for i := range p.own.counters {
		team := p.own.counters[i].team
		s.uses = append(s.uses, s.use(now, level, team)+s.urgent(now, level, team))
	}
	for _, team := range s.told.teams(now, level) {
		if p.own.find(team) == nil {
			s.uses = append(s.uses, s.use(now, level, team)+s.urgent(now, level, team))
		}
	}
	for _, use := range s.uses {
		most = max(most, use)
	}
	return most
}

// lowest returns the least fair rate that is sensible at a level, after survey: an equal
// share of what is asked for, or the one at which teams have lowestPart of what was granted
// of late.
func (s *Shares) lowest(now time.Time, level int) float64 {
	total := s.total(now, level)
	asked, granted := 0.0, 0.0
	for l := range level + 1 {
		asked += s.pools[l].own.total(now)
		granted += s.pools[l].own.grantedRate(now)
	}
	equal := total / float64(max(len(s.uses), fewestTeams))
	if asked == 0 {
		return equal
	}
	return max(equal, s.level(total, lowestPart*total*granted/asked))
}

// level returns the rate to which the largest uses are to be cut down for the total to fall
// to a bound.
func (s *Shares) level(total, bound float64) float64 {
	slices.SortFunc(s.uses, func(a, b float64) int { return cmp.Compare(b, a) })
	excess := total - bound
	if excess <= 0 {
		return 0 // more is granted than is asked for: nothing is to be cut
	}
	cut := 0.0 // what is cut off if the uses before the i-th are brought down to it
	for i, use := range s.uses {
		if i > 0 {
			cut += float64(i) * (s.uses[i-1] - use)
		}
		if cut >= excess {
			return use + (cut-excess)/float64(i)
		}
	}
	return 0
}
