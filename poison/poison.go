// Package poison finds the requests that end the endpoints which run them, so that they are
// not run any more.
//
// A request may be one under which an endpoint's process ends: it meets a fault that no other
// request does. Its caller sends it again, under a new ID and at any instance, and each time
// an endpoint is lost with all that it runs. The field calls it a poison request, or a query
// of death.
//
// A Table holds the requests that endpoints had in hand when they ended, the suspects, with a
// Strike for each end. One that an endpoint answers is cleared: what ends each endpoint that
// runs it is never answered. One that has ended enough of them, one after the other, is known,
// and is not run any more as long as it still comes; see judge.go for what is enough. Tables of
// several instances are merged in any order, and as often as one likes, and then agree.
//
// The package does no I/O, and has no clock: instants are passed in. A Table is safe for
// concurrent use.
package poison

import "time"

// A Strike is the end of an endpoint that had a request in hand.
type Strike struct {
	Endpoint uint32    // a hash of its ID
	At       time.Time // it ended
	Began    time.Time // it was sent the request
	Of       int       // endpoints of the service that were listed then
	Spread   float64   // part of the endpoints at which the team had requests in hand, in the whole fleet
	Among    int       // requests that the instance which tells had in hand there, this one among them
	Void     bool      // the request was answered, here or elsewhere, or operators let it go
}

// An Entry is what is known of one suspect. What it holds is not changed once it is handed out.
type Entry struct {
	ID      ID
	Outline Outline
	Service string
	Route   string // its name, for operators
	Team    string // its name, for operators; empty: none
	Strikes []Strike
	Known   bool      // it ends endpoints, and is not run
	Came    time.Time // it last came when it was known; zero: it has not
}

// live returns how many strikes are not void.
func (e *Entry) live() (n int) {
	for i := range e.Strikes {
		if !e.Strikes[i].Void {
			n++
		}
	}
	return n
}

// Cleared reports whether nothing speaks against the suspect any more.
func (e *Entry) Cleared() bool { return e.live() == 0 }

// Last returns when something was last heard of the suspect.
func (e *Entry) Last() time.Time {
	at := e.Came
	for i := range e.Strikes {
		if e.Strikes[i].At.After(at) {
			at = e.Strikes[i].At
		}
	}
	return at
}

// A Standing is what a request may expect.
type Standing uint8

// The standings.
const (
	Unknown   Standing = iota // nothing speaks against it
	Suspected                 // an endpoint ended that had it in hand; it is run with care
	Known                     // it ends endpoints, and is not run
)
