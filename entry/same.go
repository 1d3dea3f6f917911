package entry

// This file tells requests that are the same from those that are not.

import (
	"ivyridge/poison"
	"ivyridge/verdict"
)

// request returns what makes this request the same when it comes again. Its body has been
// read, and its team is known.
func (f *exchange) identity() *poison.Request {
	r := &poison.Request{Method: f.call.Method, Host: f.call.Host, Target: f.call.Target, Body: f.call.Body}
	if f.team != nil {
		r.Team = f.team.Name
	}
	return r
}

// sameAs returns what a request that an endpoint broke off is called whenever it comes, for
// the log: lines of several ends that name the same one tell which request they share.
func (f *exchange) sameAs() (id poison.ID, ok bool) {
	if f.err == nil || f.err.Reason != verdict.EndpointCut {
		return id, false
	}
	return f.identity().ID(), true
}
