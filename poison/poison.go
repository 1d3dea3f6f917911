// Package poison finds requests that crash the endpoints which run them, known as poison requests or
// queries of death, so that they can be blocked. Their callers retry them with a new request ID at
// any instance. An endpoint crashes when its process ends, for whatever reason.
//
// A Table holds the suspects: the requests that were in flight at endpoints that crashed, with a
// Strike for each crash. A suspect that an endpoint answers is cleared. Copies of a suspect are sent one
// at a time, as a Trial each. One that lost three copies is held back if it is probably poison
// (hold.go). One with enough strikes, as defined in confirm.go, is Confirmed and blocked until it is no
// longer received. Tables of several instances can be merged in any order and repeatedly, and converge.
//
// The package does no I/O, and times are passed in. A Table is safe for concurrent use.
package poison

import (
	"slices"
	"time"
)

// A Strike is a crash of an endpoint that had a request in flight.
type Strike struct {
	Endpoint        uint32 // hash of the endpoint's ID
	CrashedAt       time.Time
	SentAt          time.Time // when the request was sent to the endpoint
	ListedEndpoints int       // number of endpoints of the service listed at the crash
	TeamSpread      float64   // fraction of the service's endpoints at which the team had requests in flight, over all instances
	InFlight        int       // requests that the reporting instance had in flight at the endpoint, including this one
	Cleared         bool      // an endpoint answered the request later, or an operator cleared it
	Senders         []Sender  // instances that had copies in flight at the endpoint; may be incomplete
}

// A Sender is an instance that had copies of a suspect in flight at an endpoint that crashed.
type Sender struct {
	Instance uint32 // hash of its name
	Copies   int    // without those whose answers had begun
}

// An Entry is the state of one suspect. The caller must not modify its slices.
type Entry struct {
	ID        ID
	Outline   Outline
	Service   string
	Route     string // name, for display
	Team      string // name, for display; empty for a caller without an API key
	Strikes   []Strike
	Confirmed bool      // confirmed as poison, and blocked
	LastSeen  time.Time // when the confirmed request was last received; zero if it was not
	Trials    []Trial   // at most one of each instance
}

// liveStrikes returns the number of strikes that are not cleared.
func (e *Entry) liveStrikes() (n int) {
	for i := range e.Strikes {
		if !e.Strikes[i].Cleared {
			n++
		}
	}
	return n
}

// lostCopies returns how many copies of a request, whose answers had not begun, were in flight at the
// crashes of strikes that are not cleared. For a part it is the number of strikes, as popular parts are
// always in flight several times.
func (e *Entry) lostCopies() (n int) {
	if e.isPart() {
		return e.liveStrikes()
	}
	for i := range e.Strikes {
		if s := &e.Strikes[i]; !s.Cleared {
			n += s.copies()
		}
	}
	return n
}

// copies returns how many copies of the suspect, whose answers had not begun, were in flight at the crash.
func (s *Strike) copies() (n int) {
	if len(s.Senders) == 0 {
		return 1 // a part, or reported by an earlier build
	}
	for _, sender := range s.Senders {
		n += sender.Copies
	}
	return n
}

// mergeSenders adds the senders of another report of the same crash, and reports whether s changed.
func (s *Strike) mergeSenders(in []Sender) (changed bool) {
	for _, sender := range in {
		i := slices.IndexFunc(s.Senders, func(known Sender) bool { return known.Instance == sender.Instance })
		switch {
		case i < 0 && len(s.Senders) < MaxSenders:
			s.Senders, changed = append(slices.Clip(s.Senders), sender), true
		case i >= 0 && s.Senders[i].Copies < sender.Copies:
			s.Senders = slices.Clone(s.Senders)
			s.Senders[i], changed = sender, true
		}
	}
	return changed
}

// Cleared reports whether all strikes are cleared.
func (e *Entry) Cleared() bool { return e.liveStrikes() == 0 }

// Last returns the time of the latest event of the suspect.
func (e *Entry) Last() time.Time {
	at := e.LastSeen
	for i := range e.Strikes {
		if e.Strikes[i].CrashedAt.After(at) {
			at = e.Strikes[i].CrashedAt
		}
	}
	return at
}

// A State says whether a request is suspected or confirmed as poison.
type State uint8

const (
	Unknown   State = iota // not a suspect
	Suspected              // in flight at a crash; sent with precautions
	Confirmed              // poison; blocked
)
