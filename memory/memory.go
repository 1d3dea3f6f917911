// Package memory accounts for the memory that an instance holds for callers and endpoints, and keeps
// it within a limit.
//
// Thousands of slow callers would exceed the memory of a small machine, and a process over its limit
// is killed with all requests in flight. So memory is reserved from an Account before it is
// allocated. Requests are refused before the limit is reached, the least urgent first.
//
// An Account without a limit counts but refuses nothing. Accounts and Reservations are safe for
// concurrent use.
package memory

import (
	"encoding/json"
	"sync"
)

// A Kind is the purpose of memory.
type Kind uint8

const (
	Bodies      Kind = iota // of requests, until they end
	Responses               // of endpoints, long heads and events while they are read
	Buffered                // responses read ahead of callers that read slowly
	Requests                // headers, goroutines and connections of requests in flight
	Connections             // of callers, with or without a request
	Heads                   // of requests with many or long header lines, from their first byte to the response
	Sockets                 // the kernel's buffers of connections with a request or an unread response
	Base                    // endpoint state, gossip and the program itself
	kinds
)

var kindNames = [kinds]string{"bodies", "answers", "waiting", "requests", "connections", "heads", "sockets", "base"}

// String returns the name of k in published statistics.
func (k Kind) String() string { return kindNames[k] }

// Thresholds, as fractions of the limit.
const (
	// maxBuffered is the fraction reserved for Buffered, so that slow callers don't cause requests
	// to be refused. The other thresholds are fractions of the rest, the shared memory.
	maxBuffered = 0.15
	// maxHeads is the fraction of the limit available to Heads, so that they leave room for requests
	// with ordinary ones. It is part of the shared memory.
	maxHeads = 0.25
	// maxResponses is the fraction of the limit available to Responses, so that endpoints that send long
	// heads or events leave room for other requests. It is part of the shared memory.
	maxResponses = 0.25
	// admitThreshold is the use of shared memory up to which the most urgent requests are
	// admitted. The remainder is for running requests and for connections.
	admitThreshold = 0.9
	// admitStep lowers the threshold for each less urgent priority, down to lowestPriority.
	admitStep      = 0.05
	lowestPriority = 3
	// teamThreshold is the use of shared memory above which a team with more than maxTeam of it is
	// refused, if other teams hold memory.
	teamThreshold = 0.5
	maxTeam       = 0.25
	// largeTeamStep lowers the threshold for a team with more than largeTeam of the memory, so that it
	// leaves room for teams that hold none yet.
	largeTeamStep = 0.1
	largeTeam     = 0.1
	// connectionThreshold is the use of shared memory up to which connections are accepted. It is above
	// admitThreshold, so that a request that is refused gets its response.
	connectionThreshold = 0.95
	// spareThreshold is the use of shared memory up to which GrowSpare adds memory.
	spareThreshold = 0.5
)

// A Cause is the reason why a request was refused.
type Cause string

const (
	OverLimit     Cause = "full"      // the limit for the request's priority is reached
	TeamOverLimit Cause = "team-high" // the request's team holds too much
)

// An Account counts the memory in use against a limit. Use New to create one.
type Account struct {
	mu      sync.Mutex
	limit   int64 // bytes; zero if there is none
	used    int64
	peak    int64
	held    [kinds]int64
	teams   map[uint64]int64 // bytes by team, without zeros
	refused map[Cause]int64
}

// New returns an Account with a limit in bytes, or without one if limit is zero.
func New(limit int64) *Account {
	return &Account{limit: limit, teams: make(map[uint64]int64), refused: make(map[Cause]int64)}
}

// SetLimit replaces the limit. Memory above a lower limit stays in use until it is released.
func (a *Account) SetLimit(limit int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = limit
}

// shared returns the limit and the use of shared memory. The caller holds a.mu.
func (a *Account) shared() (limit, used float64) {
	return (1 - maxBuffered) * float64(a.limit), float64(a.used - a.held[Buffered])
}

// fits reports whether n more bytes of kind k keep the shared memory within threshold, or Buffered
// memory within maxBuffered, Heads within maxHeads, and Responses within maxResponses. The caller holds
// a.mu.
func (a *Account) fits(k Kind, n int64, threshold float64) bool {
	if a.limit <= 0 {
		return true
	}
	if k == Buffered {
		return float64(a.held[Buffered]+n) <= maxBuffered*float64(a.limit)
	}
	if k == Heads && float64(a.held[Heads]+n) > maxHeads*float64(a.limit) {
		return false
	}
	if k == Responses && float64(a.held[Responses]+n) > maxResponses*float64(a.limit) {
		return false
	}
	if k == Connections {
		threshold = min(threshold, connectionThreshold)
	}
	limit, used := a.shared()
	return used+float64(n) <= threshold*limit
}

// acquire counts n bytes of kind k if they fit, and reports whether they do. The caller holds a.mu.
func (a *Account) acquire(k Kind, team uint64, n int64, threshold float64) bool {
	if !a.fits(k, n, threshold) {
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

// release subtracts n bytes of kind k. The caller holds a.mu.
func (a *Account) release(k Kind, team uint64, n int64) {
	a.used -= n
	a.held[k] -= n
	if a.held[k] < 0 {
		panic("memory: more " + k.String() + " released than held")
	}
	if team == 0 {
		return
	}
	if a.teams[team] -= n; a.teams[team] == 0 {
		delete(a.teams, team)
	}
}

// A Reservation is the memory of one request or connection, or of the program itself (Base).
type Reservation struct {
	account *Account
	team    uint64
	held    [kinds]int64
	closed  bool
}

// Reserve returns a Reservation of n bytes of kind k, or nil if they don't fit.
func (a *Account) Reserve(k Kind, n int64) *Reservation {
	r := &Reservation{account: a}
	if !r.Grow(k, n) {
		return nil
	}
	return r
}

// Admit returns a Reservation of n bytes of kind Requests for a request of a team (zero for none)
// and a priority (0 is the most urgent), or nil and the cause if the request is to be refused.
func (a *Account) Admit(team uint64, priority int, n int64) (*Reservation, Cause) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.teamOverLimit(team, n) {
		a.refused[TeamOverLimit]++
		return nil, TeamOverLimit
	}
	r := &Reservation{account: a, team: team}
	if !a.acquire(Requests, team, n, a.admitThreshold(team, priority, n)) {
		a.refused[OverLimit]++
		return nil, OverLimit
	}
	r.held[Requests] = n
	return r, ""
}

// admitThreshold returns the use of shared memory up to which a request of a team with n more bytes is
// admitted. The caller holds a.mu.
func (a *Account) admitThreshold(team uint64, priority int, n int64) float64 {
	threshold := admitThreshold - admitStep*float64(min(max(priority, 0), lowestPriority))
	if limit, _ := a.shared(); team != 0 && float64(a.teams[team]+n) > largeTeam*limit {
		threshold -= largeTeamStep
	}
	return threshold
}

// teamOverLimit reports whether a team with n more bytes holds too much while memory is scarce and
// other teams hold some. The caller holds a.mu.
func (a *Account) teamOverLimit(team uint64, n int64) bool {
	others := len(a.teams)
	if a.teams[team] > 0 {
		others--
	}
	limit, used := a.shared()
	return team != 0 && limit > 0 && others > 0 && used > teamThreshold*limit && float64(a.teams[team]+n) > maxTeam*limit
}

// Grow adds n bytes of kind k. It reports false and adds nothing if they don't fit or r is closed.
func (r *Reservation) Grow(k Kind, n int64) bool { return r.grow(k, n, 1) }

// GrowSpare is Grow for memory that is useful but not needed. It adds nothing while memory is scarce.
func (r *Reservation) GrowSpare(k Kind, n int64) bool { return r.grow(k, n, spareThreshold) }

func (r *Reservation) grow(k Kind, n int64, threshold float64) bool {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.closed {
		return false
	}
	if !a.acquire(k, r.team, n, threshold) {
		return false
	}
	r.held[k] += n
	return true
}

// Shrink releases n bytes of kind k. It panics if r holds less. It has no effect after Close.
func (r *Reservation) Shrink(k Kind, n int64) {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.closed {
		return
	}
	if r.held[k] < n {
		panic("memory: reservation releases more " + k.String() + " than it holds")
	}
	r.held[k] -= n
	a.release(k, r.team, n)
}

// Close releases all memory of r. Later calls of Grow, Shrink and Close have no effect.
func (r *Reservation) Close() {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	for k, n := range r.held {
		a.release(Kind(k), r.team, n)
	}
}

// Limit returns the limit in bytes; zero if there is none.
func (a *Account) Limit() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit
}

// Held returns the bytes of kind k in use.
func (a *Account) Held(k Kind) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held[k]
}

// Stats are a snapshot of an Account, in bytes.
type Stats struct {
	Limit   int64            `json:"limit"`
	Used    int64            `json:"used"`
	Peak    int64            `json:"peak"` // since the account was created
	Held    map[string]int64 `json:"held"` // by kind
	Teams   int              `json:"teams"`
	Refused map[Cause]int64  `json:"refused"`
}

// Stats returns a snapshot of the account.
func (a *Account) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Stats{Limit: a.limit, Used: a.used, Peak: a.peak, Teams: len(a.teams),
		Held: make(map[string]int64, kinds), Refused: make(map[Cause]int64, len(a.refused))}
	for k, n := range a.held {
		s.Held[Kind(k).String()] = n
	}
	for c, n := range a.refused {
		s.Refused[c] = n
	}
	return s
}

// String implements expvar.Var. It returns the Stats in JSON.
func (a *Account) String() string {
	data, err := json.Marshal(a.Stats())
	if err != nil {
		panic(err) // can't happen
	}
	return string(data)
}
