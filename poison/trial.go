package poison

// This file bounds the copies of a suspect that are in flight. Callers may send copies at several
// instances at the same time. Copies that overlap crash several endpoints before the first crash is
// known, and prove less than copies sent one after the other: a rack that is lost may hold several.
// So a suspect is tried one copy at a time, in the whole fleet. A request whose answer had begun is no
// suspect here: poison crashes the endpoint sooner, and identical streams of a lost endpoint must all be
// resumed. Instances report the trials that they
// begin and end with the suspect. Two that begin within the time that a report takes aren't prevented.

import (
	"slices"
	"time"
)

const (
	// trialTTL is how long a trial counts as running without a report of its end, which may be lost
	// like its instance. Requests that crash an endpoint do so at their start.
	trialTTL = 4 * time.Second
	// trialRetryInterval is when a caller should send a copy again while another one is being tried.
	trialRetryInterval = 400 * time.Millisecond
	// maxTriedDown is the number of endpoints down at the same time above which trials are not
	// reported. So many are down when a rack is lost, not because of one poison request, and the
	// reports about all requests that it cut off would fill slow links.
	maxTriedDown = 4
)

// A Trial is a copy of a suspect that an instance has in flight.
type Trial struct {
	Instance uint32    // hash of the instance's name
	Version  uint64    // increases with each report of the instance
	Running  bool      // false: it ended
	Expires  time.Time // when it counts as ended in any case
}

func (r *Trial) runningAt(now time.Time) bool { return r.Running && now.Before(r.Expires) }

// A Copy is a request about to be sent to an endpoint.
type Copy struct {
	Service  string
	Instance uint32   // hash of the name of the instance that sends it
	ID       ID       // of the request; zero: its outline is that of no suspect
	Parts    []uint64 // IDs of the prompt parts that other requests may have too
}

// An Admission says whether a copy may be sent.
type Admission uint8

const (
	Admitted   Admission = iota
	AwaitTrial           // another copy of a suspect is being tried
	AwaitQuiet           // endpoints crashed just now, so that another crash would prove little
	HeldBack             // the suspect is probably poison; see hold.go
)

// A Decision is the result of Table.Begin.
type Decision struct {
	Admission  Admission
	Suspect    ID            // because of which the copy is not admitted
	RetryAfter time.Duration // after which it may be admitted
	Trials     []ID          // suspects that are being tried with the admitted copy, for Table.End
}

// Begin decides whether a copy of a request may be sent. If it is a suspect, or has parts that are, an
// admitted copy is a trial until End. Begin returns the updates for other instances.
func (t *Table) Begin(now time.Time, c Copy) (d Decision, updates []Entry) {
	if !t.triesAny(c) {
		return d, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	tried := t.tried(c)
	for _, e := range tried {
		if admission, retryAfter := t.admit(now, e); admission != Admitted {
			return Decision{Admission: admission, Suspect: e.ID, RetryAfter: retryAfter}, nil
		}
	}
	for _, e := range tried {
		next := e.withTrial(now, c.Instance, true)
		t.putTrials(&next)
		d.Trials = append(d.Trials, e.ID)
		if t.downEndpoints(now, e.Service) <= maxTriedDown {
			updates = append(updates, next.trialReport(c.Instance))
		}
	}
	return d, updates
}

// trialReport returns an update with nothing but the trial of an instance.
func (e *Entry) trialReport(instance uint32) Entry {
	return Entry{ID: e.ID, Trials: []Trial{e.Trials[e.trialOf(instance)]}}
}

// isTrialReport reports whether an update has nothing but trials.
func (e *Entry) isTrialReport() bool { return len(e.Strikes) == 0 }

// End ends trials that the given instance began, and returns the updates for other instances.
func (t *Table) End(now time.Time, instance uint32, trials []ID) (updates []Entry) {
	if len(trials) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range trials {
		e := t.suspects[id]
		if e == nil || !e.triedBy(instance) {
			continue
		}
		next := e.withTrial(now, instance, false)
		t.putTrials(&next)
		if next.liveStrikes() > 0 && t.downEndpoints(now, e.Service) <= maxTriedDown {
			updates = append(updates, next.trialReport(instance))
		}
	}
	return updates
}

// Changed returns a channel that is closed when the table changes.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// triesAny reports whether a copy is a suspect or has parts that are.
func (t *Table) triesAny(c Copy) bool {
	if t.size.Load() == 0 {
		return false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.tried(c)) > 0
}

// tried returns the suspects that sending a copy tries. A part is tried only with all parts that came
// with it at each of its crashes, since any of these may be the one that crashes endpoints. The caller
// holds t.mu.
func (t *Table) tried(c Copy) (out []*Entry) {
	if e := t.suspects[c.ID]; e != nil && !e.Confirmed && e.lostCopies() > 0 {
		out = append(out, e)
	}
	for _, part := range c.Parts {
		e := t.suspects[PartID(c.Service, part)]
		if e != nil && !e.Confirmed && e.liveStrikes() >= suspectPartStrikes && t.hasCompanions(e, c.Parts) {
			out = append(out, e)
		}
	}
	return out
}

// admit decides whether a copy of a suspect may be sent, apart from other suspects. The caller holds
// t.mu.
func (t *Table) admit(now time.Time, e *Entry) (a Admission, retryAfter time.Duration) {
	for i := range e.Trials {
		if e.Trials[i].runningAt(now) {
			return AwaitTrial, trialRetryInterval
		}
	}
	if e.lostCopies() < minStrikes-1 {
		return Admitted, 0
	}
	ev := t.evidence(e, t.crashes(), t.rivals(e))
	switch wait := ev.quietWait(now); {
	case ev.holds(now):
		return HeldBack, holdRetryInterval
	case wait > 0:
		return AwaitQuiet, wait
	}
	return Admitted, 0
}

// triedBy reports whether an instance has a trial of e that has not ended.
func (e *Entry) triedBy(instance uint32) bool {
	i := e.trialOf(instance)
	return i >= 0 && e.Trials[i].Running
}

// trialOf returns the index of the trial of an instance, or -1.
func (e *Entry) trialOf(instance uint32) int {
	return slices.IndexFunc(e.Trials, func(r Trial) bool { return r.Instance == instance })
}

// withTrial returns e with a new report of a trial of the given instance.
func (e *Entry) withTrial(now time.Time, instance uint32, running bool) Entry {
	next := *e
	next.Trials = slices.Clone(e.Trials)
	r := Trial{Instance: instance, Version: uint64(max(0, now.UnixMilli())), Running: running, Expires: now.Add(trialTTL)}
	if i := next.trialOf(instance); i >= 0 {
		r.Version = max(r.Version, next.Trials[i].Version+1)
		next.Trials[i] = r
	} else {
		next.Trials = append(next.Trials, r)
	}
	return next
}

// mergeTrials adopts the reports of trials that are newer than those of e, and reports whether there
// are any. It removes those that ended long ago.
func (e *Entry) mergeTrials(now time.Time, in []Trial) (changed bool) {
	e.Trials = slices.DeleteFunc(slices.Clone(e.Trials), func(r Trial) bool { return now.Sub(r.Expires) > trialTTL })
	for _, r := range in {
		r.Expires = now.Add(trialTTL)
		switch i := e.trialOf(r.Instance); {
		case i < 0:
			e.Trials = append(e.Trials, r)
			changed = changed || r.Running
		case r.Version > e.Trials[i].Version:
			e.Trials[i], changed = r, true
		}
	}
	return changed
}
