package poison

// This file finds a team whose requests end endpoints, one unlike the other.
//
// Each of them is new, and is never sent again: no request is ever known. But one of them is in
// hand at each of these ends, each time for the first time. A team that has requests in hand at
// a twentieth of the endpoints is there by chance at a twentieth of the ends; at eight of eight
// in half a minute that is no chance. The team is slowed, not stopped: most of its requests may
// be harmless.
//
// Counting the ends at which a team has any request in hand was weighed: the largest teams have
// one nearly everywhere. Whose request was sent last before an end was tried, beside the team's
// part of all that was in hand at ends: on endpoints that run little, only what ends them is in
// hand, and the team's part then looks like all there is. Counting ends of one moment once was
// tried: at 20 such requests a second all 24 endpoints were away before four moments had passed.

import (
	"math"
	"time"
)

const (
	// teamEndsOver is over how long ends count for a team.
	teamEndsOver = 30 * time.Second
	// teamSlowedFor is for how long a team stays slowed after the last of them. If it goes on it
	// is slowed again after a few more.
	teamSlowedFor = 10 * time.Second
	// teamEndsLeast is how many ends it takes at least: more than requests of one team that
	// come again and again, each of which will be known, make in their first second.
	teamEndsLeast = 8
	// teamChanceMost is the chance from which on a team's ends are not taken for chance. It is
	// well below chanceMost: many requests are hit by it.
	teamChanceMost = 1e-5
	// spreadLeast is the least chance that is believed of one end. Where a part of a large
	// service is in trouble, its ends come from few of the endpoints.
	spreadLeast = 1e-3
	// spreadSafe is what a team's part of the endpoints is multiplied by: some of those that are
	// listed are away, and what runs is at the others.
	spreadSafe = 1.2
	// teamsEvery is the least pause between two looks at all teams: where a rack is lost, what
	// others tell comes in dozens of datagrams.
	teamsEvery = 100 * time.Millisecond
)

// Slowed reports whether so many endpoints of a service ended under requests of a team, each
// unlike the other, that the team is to be slowed there.
func (t *Table) Slowed(now time.Time, service, team string) bool {
	if t.size.Load() < teamEndsLeast {
		return false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	until, slowed := t.slowed[TeamAt{service, team}]
	return slowed && now.Before(until)
}

// A TeamAt is a team at a service.
type TeamAt struct{ Service, Team string }

// judgeTeams looks for teams to be slowed. The caller holds t.mu.
func (t *Table) judgeTeams(now time.Time) {
	if now.Sub(t.teamsAt) < teamsEvery {
		return
	}
	t.teamsAt = now
	ends := t.ends()
	there := make(map[TeamAt]map[int]float64) // the chance of being at each end at which the team was
	again := make(map[TeamAt]map[int]bool)    // the ends at which one of its requests was not for the first time
	of := make(map[string]map[int]bool)       // the ends of each service
	for _, e := range t.suspects {
		at := TeamAt{e.Service, e.Team}
		for _, s := range e.Strikes {
			i := endOf(ends, s)
			if ends[i].explained || now.Sub(s.At) > teamEndsOver {
				continue
			}
			put(of, e.Service, i, true)
			switch {
			case s.Void || e.Team == "":
			case e.struckBefore(s):
				put(again, at, i, true)
			default:
				put(there, at, i, max(there[at][i], s.Spread))
			}
		}
	}
	for at, chances := range there {
		for i := range again[at] {
			delete(chances, i)
		}
		if len(chances) >= teamEndsLeast && teamChance(chances, len(of[at.Service])) < teamChanceMost {
			t.slowed[at] = now.Add(teamSlowedFor)
		}
	}
}

// struckBefore reports whether a strike is not the first one of e.
func (e *Entry) struckBefore(s Strike) bool {
	for _, other := range e.Strikes {
		if !other.Void && !other.sameEnd(s) && other.At.Before(s.At) {
			return true
		}
	}
	return false
}

// put puts a value into a map of maps.
func put[K comparable, V any](m map[K]map[int]V, key K, i int, v V) {
	if m[key] == nil {
		m[key] = make(map[int]V)
	}
	m[key][i] = v
}

// teamChance returns the chance of being at so many of some ends, with these chances at each.
func teamChance(there map[int]float64, ends int) float64 {
	all, _ := math.Lgamma(float64(ends + 1))
	in, _ := math.Lgamma(float64(len(there) + 1))
	out, _ := math.Lgamma(float64(ends - len(there) + 1))
	sum := all - in - out // the number of ways to choose them
	for _, p := range there {
		sum += math.Log(max(spreadLeast, min(spreadSafe*p, 1)))
	}
	return math.Exp(sum)
}

// endOf returns which of the ends a strike is of.
func endOf(ends []end, s Strike) int {
	for i := range ends {
		if ends[i].sameEnd(s) {
			return i
		}
	}
	return -1
}

// awayFor is how long an endpoint that has ended counts as away: it is back after some seconds.
const awayFor = 3 * time.Second

// Away returns how many endpoints of a service ended within the last seconds.
func (t *Table) Away(now time.Time, service string) int {
	if t.size.Load() == 0 {
		return 0
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	away := make(map[uint32]bool)
	for _, e := range t.suspects {
		for _, s := range e.Strikes {
			if e.Service == service && now.Sub(s.At) < awayFor {
				away[s.Endpoint] = true
			}
		}
	}
	return len(away)
}

// SlowedTeams returns the teams that are slowed, and for how much longer.
func (t *Table) SlowedTeams(now time.Time) map[TeamAt]time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make(map[TeamAt]time.Duration)
	for at, until := range t.slowed {
		if now.Before(until) {
			out[at] = until.Sub(now)
		}
	}
	return out
}

// forgetTeams drops those that are slowed no more. The caller holds t.mu.
func (t *Table) forgetTeams(now time.Time) {
	for at, until := range t.slowed {
		if !now.Before(until) {
			delete(t.slowed, at)
		}
	}
}
