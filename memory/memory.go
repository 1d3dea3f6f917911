// Package memory keeps one account of what an instance holds for callers and endpoints.
//
// It answers callers that read or send slowly: each one alone holds little, a thousand
// of them hold more than a small machine has, and a process over its limit is killed
// with all that it serves. So whatever is held is taken from an Account before it is
// allocated, and given back when it is let go. Requests are refused before the limit is
// reached, the least urgent first.
//
// A Holding is what one request or connection holds. Its Close gives back all of it, so
// that one deferred call covers every way out. Memory that belongs to no request
// (gossip, configuration, the program) is one fixed Base holding.
//
// An Account without a limit counts and refuses nothing. Accounts are safe for
// concurrent use, Holdings too. One mutex guards an account: a request takes and gives a
// few times, and an exact sum needs no more than that.
package memory

import (
	"encoding/json"
	"sync"
)

// A Kind says what memory is held for.
type Kind uint8

// The kinds.
const (
	Bodies      Kind = iota // of requests, until their end
	Answers                 // as they are read from endpoints
	Waiting                 // answers that were read on while their callers do not take them
	Requests                // headers, goroutines and connections of requests in hand
	Connections             // of callers, whether or not there is a request on them
	Base                    // beliefs, gossip and the program itself
	kinds
)

var kindNames = [kinds]string{"bodies", "answers", "waiting", "requests", "connections", "base"}

// String returns the name under which k is published.
func (k Kind) String() string { return kindNames[k] }

// Shares of the limit.
const (
	// waitingMost is the part that answers may wait in. It is theirs alone, so that no
	// request is refused for them; beyond it answers are read as fast as their callers take
	// them. The other shares are of the rest.
	waitingMost = 0.15
	// letIn is how full the rest may be for a request of the most urgent priority to be
	// let in. What is left is for what runs already, and for connections.
	letIn = 0.9
	// letInStep is how much earlier requests of each lower priority are refused.
	letInStep = 0.05
	// lowest is the priority from which requests are treated alike.
	lowest = 3
	// teamsFrom is how full the rest is when a team that holds much is refused, as long as
	// others hold something.
	teamsFrom = 0.5
	// teamMost is the part of the rest that is much for one team, when it is that full.
	teamMost = 0.25
)

// A Cause says why a request was not let in.
type Cause string

// The causes.
const (
	Full     Cause = "full"      // for requests of its priority
	TeamHigh Cause = "team-high" // its team holds much
)

// An Account counts what is held against a limit.
type Account struct {
	mu      sync.Mutex
	limit   int64 // bytes; zero: none
	used    int64
	peak    int64
	held    [kinds]int64
	teams   map[uint64]int64 // bytes by team, those that hold something
	refused map[Cause]int64
}

// New returns an Account with a limit in bytes; zero is none.
func New(limit int64) *Account {
	return &Account{limit: limit, teams: make(map[uint64]int64), refused: make(map[Cause]int64)}
}

// SetLimit replaces the limit. What is held beyond a lower one is kept until it is given
// back.
func (a *Account) SetLimit(limit int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = limit
}

// rest returns the part of the limit that is not for answers that wait, and how much of it
// is used. A.mu is held.
func (a *Account) rest() (limit, used float64) {
	return (1 - waitingMost) * float64(a.limit), float64(a.used - a.held[Waiting])
}

// fits reports whether n bytes more of kind k fit into most of their part. A.mu is held.
func (a *Account) fits(k Kind, n int64, most float64) bool {
	if a.limit <= 0 {
		return true
	}
	if k == Waiting {
		return float64(a.held[Waiting]+n) <= waitingMost*float64(a.limit)
	}
	limit, used := a.rest()
	return used+float64(n) <= most*limit
}

// take counts n bytes if they fit. A.mu is held.
func (a *Account) take(k Kind, team uint64, n int64, most float64) bool {
	if !a.fits(k, n, most) {
		return false
	}
	a.used += n
	a.peak = max(a.peak, a.used)
	a.held[k] += n
	if team != 0 {
		a.teams[team] += n
	}
	return true
}

// give counts n bytes as let go. A.mu is held.
func (a *Account) give(k Kind, team uint64, n int64) {
	a.used -= n
	a.held[k] -= n
	if a.held[k] < 0 {
		panic("memory: more " + k.String() + " given back than taken")
	}
	if team == 0 {
		return
	}
	if a.teams[team] -= n; a.teams[team] == 0 {
		delete(a.teams, team)
	}
}

// A Holding is what one request or connection holds.
type Holding struct {
	account *Account
	team    uint64
	held    [kinds]int64
	closed  bool
}

// Open returns a Holding that holds n bytes of kind k, or nil if they do not fit.
func (a *Account) Open(k Kind, n int64) *Holding {
	h := &Holding{account: a}
	if !h.Take(k, n) {
		return nil
	}
	return h
}

// Admit lets a request in that begins by holding n bytes, of a team (zero: none) and a
// priority (0 is the most urgent). It returns the cause if it does not.
func (a *Account) Admit(team uint64, priority int, n int64) (*Holding, Cause) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.high(team, n) {
		a.refused[TeamHigh]++
		return nil, TeamHigh
	}
	h := &Holding{account: a, team: team}
	if !a.take(Requests, team, n, letIn-letInStep*float64(min(max(priority, 0), lowest))) {
		a.refused[Full]++
		return nil, Full
	}
	h.held[Requests] = n
	return h, ""
}

// high reports whether a team would hold much while little is left and others are there.
// A.mu is held.
func (a *Account) high(team uint64, n int64) bool {
	others := len(a.teams)
	if a.teams[team] > 0 {
		others--
	}
	limit, used := a.rest()
	return team != 0 && limit > 0 && others > 0 && used > teamsFrom*limit && float64(a.teams[team]+n) > teamMost*limit
}

// Take holds n bytes more, if they fit.
func (h *Holding) Take(k Kind, n int64) bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return false
	}
	if !a.take(k, h.team, n, 1) {
		return false
	}
	h.held[k] += n
	return true
}

// Give lets n bytes go. It panics if the holding holds less, which is a fault of the
// program.
func (h *Holding) Give(k Kind, n int64) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	if h.held[k] < n {
		panic("memory: a holding gives back more " + k.String() + " than it took")
	}
	h.held[k] -= n
	a.give(k, h.team, n)
}

// Close lets all go. What is given or taken later counts nothing.
func (h *Holding) Close() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	for k, n := range h.held {
		a.give(Kind(k), h.team, n)
	}
}

// A Sum is what an account holds, in bytes.
type Sum struct {
	Limit   int64            `json:"limit"`
	Used    int64            `json:"used"`
	Peak    int64            `json:"peak"` // since the start
	Held    map[string]int64 `json:"held"` // by kind
	Teams   int              `json:"teams"`
	Refused map[Cause]int64  `json:"refused"`
}

// Sum returns what is held now.
func (a *Account) Sum() Sum {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Sum{Limit: a.limit, Used: a.used, Peak: a.peak, Teams: len(a.teams),
		Held: make(map[string]int64, kinds), Refused: make(map[Cause]int64, len(a.refused))}
	for k, n := range a.held {
		s.Held[Kind(k).String()] = n
	}
	for c, n := range a.refused {
		s.Refused[c] = n
	}
	return s
}

// String implements expvar.Var.
func (a *Account) String() string {
	data, err := json.Marshal(a.Sum())
	if err != nil {
		panic(err) // a Sum can be encoded
	}
	return string(data)
}
