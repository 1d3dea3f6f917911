package entry

// This file has requests that end endpoints found, and not run any more; package poison says
// which these are.

import (
	"ivyridge/poison"
	"ivyridge/verdict"
)

// identity returns what makes this request the same when it comes again. Its body has been
// read, and its team is known.
func (f *exchange) identity() poison.Request {
	r := poison.Request{Method: f.call.Method, Host: f.call.Host, Target: f.call.Target, Body: f.call.Body}
	if f.team != nil {
		r.Team = f.team.Name
	}
	return r
}

// sameID returns what names this request whenever it comes.
func (f *exchange) sameID() poison.ID {
	if f.same == (poison.ID{}) {
		r := f.identity()
		f.same = r.ID()
	}
	return f.same
}

// judge returns a refusal if the request is known to end endpoints. It is final: no time to
// come back is told.
func (f *exchange) judge() *verdict.Error {
	r := f.identity()
	if !f.entry.Poison.Knows(&r) {
		f.suspected = false
		return nil
	}
	id := f.sameID()
	standing := f.entry.Poison.Standing(id)
	f.suspected = standing == poison.Suspected
	if standing != poison.Known {
		return nil
	}
	f.entry.tellPoison(f.entry.Poison.Came(f.entry.Now(), id))
	known, _ := f.entry.Poison.Entry(id)
	return verdict.Refuse(verdict.EndsEndpoints, "%d endpoints ended that ran this request, %s", known.Counted(), id)
}

// answered takes up that an endpoint answered the request: it ends none.
func (f *exchange) answered() {
	r := f.identity()
	if !f.entry.Poison.Knows(&r) {
		return
	}
	if told := f.entry.Poison.Answered(f.sameID()); len(told) > 0 {
		f.entry.notePoison(told)
		f.entry.tellPoison(told)
	}
}

func (e *Entry) tellPoison(entries []poison.Entry) {
	if e.TellPoison != nil && len(entries) > 0 {
		e.TellPoison(entries)
	}
}
