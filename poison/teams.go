package poison

// This file finds teams that crash endpoints with requests that are all different, so that none is
// confirmed. Such a team has a new request in flight at each crash. A team with requests at a
// twentieth of the endpoints is present at a twentieth of the crashes by chance, but not at eight of
// eight. It is slowed rather than blocked, since most of its requests may be harmless.
//
// Simpler criteria fail: the largest teams have a request in flight at nearly every crash, and the
// last request sent, or a team's share of the requests in flight, misleads at endpoints with little
// load. Counting simultaneous crashes once is too slow when all endpoints crash within seconds.

import (
	"math"
	"time"
)

const (
	// teamCrashWindow is how long a crash counts for a team.
	teamCrashWindow = 30 * time.Second
	// teamSlowDuration is how long a team is slowed after it last met the criteria.
	teamSlowDuration = 10 * time.Second
	// minTeamCrashes is the least number of crashes for a team to be slowed. It is more than a
	// team causes in one second by repeating requests that will be confirmed.
	minTeamCrashes = 8
	// maxTeamChance is the probability of chance below which a team is slowed. It is well below
	// maxChance since it affects many requests.
	maxTeamChance = 1e-5
	// minSpread is the lowest probability assumed for one crash, as crashes may be concentrated on
	// the few endpoints of a faulty part of a service.
	minSpread = 1e-3
	// spreadMargin is a safety factor for Strike.TeamSpread: some of the endpoints counted are
	// down, and their load is at the others.
	spreadMargin = 1.2
	// teamCheckInterval is the least time between checks of all teams. Without it, each of the
	// dozens of messages that report the loss of a rack would cause a check.
	teamCheckInterval = 100 * time.Millisecond
)

// Slowed reports whether a team is to be slowed at a service because too many endpoints crashed with
// its requests in flight.
func (t *Table) Slowed(now time.Time, service, team string) bool {
	if t.size.Load() < minTeamCrashes {
		return false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	until, slowed := t.slowed[ServiceTeam{service, team}]
	return slowed && now.Before(until)
}

// A ServiceTeam is a team at a service.
type ServiceTeam struct{ Service, Team string }

// checkTeams finds the teams to be slowed. The caller holds t.mu.
func (t *Table) checkTeams(now time.Time) {
	if now.Sub(t.teamsCheckedAt) < teamCheckInterval {
		return
	}
	t.teamsCheckedAt = now
	crashes := t.crashes()
	first := make(map[ServiceTeam]map[int]float64) // TeamSpread, by crash with a first strike of a request of the team
	repeated := make(map[ServiceTeam]map[int]bool) // crashes with a later strike of a request of the team
	byService := make(map[string]map[int]bool)     // crashes by service
	for _, e := range t.suspects {
		key := ServiceTeam{e.Service, e.Team}
		for _, s := range e.Strikes {
			i := crashIndex(crashes, s)
			if crashes[i].explained || now.Sub(s.CrashedAt) > teamCrashWindow {
				continue
			}
			putNested(byService, e.Service, i, true)
			switch {
			case s.Cleared || e.Team == "":
			case e.hasEarlierStrike(s):
				putNested(repeated, key, i, true)
			default:
				putNested(first, key, i, max(first[key][i], s.TeamSpread))
			}
		}
	}
	for key, spreads := range first {
		for i := range repeated[key] {
			delete(spreads, i)
		}
		if len(spreads) >= minTeamCrashes && teamChance(spreads, len(byService[key.Service])) < maxTeamChance {
			t.slowed[key] = now.Add(teamSlowDuration)
		}
	}
}

// hasEarlierStrike reports whether s is not the first strike of e.
func (e *Entry) hasEarlierStrike(s Strike) bool {
	for _, other := range e.Strikes {
		if !other.Cleared && !other.sameCrash(s) && other.CrashedAt.Before(s.CrashedAt) {
			return true
		}
	}
	return false
}

func putNested[K comparable, V any](m map[K]map[int]V, key K, i int, v V) {
	if m[key] == nil {
		m[key] = make(map[int]V)
	}
	m[key][i] = v
}

// teamChance returns an upper bound of the probability that a team is present by chance at
// len(spreads) of the crashes, given in spreads the probability of its presence at each.
func teamChance(spreads map[int]float64, crashes int) float64 {
	all, _ := math.Lgamma(float64(crashes + 1))
	in, _ := math.Lgamma(float64(len(spreads) + 1))
	out, _ := math.Lgamma(float64(crashes - len(spreads) + 1))
	sum := all - in - out // logarithm of the number of ways to choose them
	for _, p := range spreads {
		sum += math.Log(max(minSpread, min(spreadMargin*p, 1)))
	}
	return math.Exp(sum)
}

func crashIndex(crashes []crash, s Strike) int {
	for i := range crashes {
		if crashes[i].sameCrash(s) {
			return i
		}
	}
	return -1
}

// restartTime is how long an endpoint counts as down after a crash.
const restartTime = 3 * time.Second

// DownEndpoints returns how many endpoints of a service crashed within restartTime.
func (t *Table) DownEndpoints(now time.Time, service string) int {
	if t.size.Load() == 0 {
		return 0
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.downEndpoints(now, service)
}

// downEndpoints implements DownEndpoints. The caller holds t.mu.
func (t *Table) downEndpoints(now time.Time, service string) int {
	down := make(map[uint32]bool)
	for _, e := range t.suspects {
		for _, s := range e.Strikes {
			if e.Service == service && now.Sub(s.CrashedAt) < restartTime {
				down[s.Endpoint] = true
			}
		}
	}
	return len(down)
}

// SlowedTeams returns the teams that are slowed, with the remaining time.
func (t *Table) SlowedTeams(now time.Time) map[ServiceTeam]time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make(map[ServiceTeam]time.Duration)
	for key, until := range t.slowed {
		if now.Before(until) {
			out[key] = until.Sub(now)
		}
	}
	return out
}

// pruneTeams removes the teams that are no longer slowed. The caller holds t.mu.
func (t *Table) pruneTeams(now time.Time) {
	for key, until := range t.slowed {
		if !now.Before(until) {
			delete(t.slowed, key)
		}
	}
}
