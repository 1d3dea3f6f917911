package soak

import (
	"slices"
	"strings"
	"time"
)

// Build describes an earlier build of the daemon, which every second instance runs at first.
type Build struct {
	Binary          string   // path; empty if there is no older build
	UnknownSettings []string // settings that the build does not know
	UnknownRules    []string // rules that the build violates; checked for newer instances only
}

func (b *Build) removeUnknownSettings(text string) string {
	lines := strings.SplitAfter(text, "\n")
	lines = slices.DeleteFunc(lines, func(line string) bool {
		name, _, _ := strings.Cut(strings.TrimSpace(line), ":")
		return slices.Contains(b.UnknownSettings, name)
	})
	return strings.Join(lines, "")
}

// An OlderBuildPeriod is a period in which an instance ran the older build.
type OlderBuildPeriod struct {
	Instance string
	From, To time.Time // To zero: until the end of the run
}

func (r *instance) isOlder() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.older
}

func (r *instance) setOlder(older bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.older = older
}

func (f *fleet) binaryOf(r *instance) string {
	if r.isOlder() {
		return f.older.Binary
	}
	return f.binary
}

func (s *site) recordBuild(r *instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	periods := s.record.OlderBuildPeriods
	for i := range periods {
		if periods[i].Instance == r.name && periods[i].To.IsZero() {
			periods[i].To = now
		}
	}
	if r.isOlder() {
		s.record.OlderBuildPeriods = append(periods, OlderBuildPeriod{Instance: r.name, From: now})
	}
}

// upgrade restarts all instances of the older build in turn with the newer one. With rollBack set, it
// stops halfway and downgrades all. At the end every second instance runs the older build again.
func (s *injection) upgrade(rollBack bool) {
	instances := s.run.acquireAll()
	if instances == nil {
		return
	}
	defer s.run.release(instances...)
	order := instances
	if rollBack {
		order = instances[:len(instances)/2]
	}
	s.rebuild(order, func(int) bool { return false })
	if rollBack {
		s.rebuild(instances, func(int) bool { return true })
	}
	s.rebuild(instances, func(n int) bool { return n%2 == 1 })
}

// rebuild restarts the instances in turn, each with the build that older selects.
func (s *injection) rebuild(instances []*instance, older func(n int) bool) {
	for n, r := range instances {
		if r.isOlder() == older(n) {
			continue
		}
		s.apply(Fault{Kind: "build replaced", Instance: r.name, Planned: true}, func() {
			if !r.stop() {
				s.run.note(r.name + " did not exit within the grace period")
			}
			r.setOlder(older(n))
			s.site.recordBuild(r)
			s.run.writeSettings(r, false)
		}, restartDelay, func() { s.run.start(r) })
	}
}

// wasOlder reports whether q was sent to an instance of the older build.
func (b *Record) wasOlder(q *Request) bool {
	return slices.ContainsFunc(b.OlderBuildPeriods, func(s OlderBuildPeriod) bool {
		return s.Instance == q.Instance && q.Sent.Before(orFarFuture(s.To)) && q.Done.After(s.From)
	})
}

func orFarFuture(t time.Time) time.Time {
	if t.IsZero() {
		return time.Now().Add(time.Hour)
	}
	return t
}

// withoutOlder returns a Record without the requests to instances of the older build.
func (b *Record) withoutOlder() *Record {
	if len(b.OlderBuildPeriods) == 0 {
		return b
	}
	out := *b
	out.Requests = make(map[string]*Request, len(b.Requests))
	out.Deliveries = make(map[string][]Delivery, len(b.Deliveries))
	for id, q := range b.Requests {
		if !b.wasOlder(q) {
			out.Requests[id], out.Deliveries[id] = q, b.Deliveries[id]
		}
	}
	return &out
}
