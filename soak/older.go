package soak

// This file has instances of an older build run beside those of today's, and replaced in turn.

import (
	"slices"
	"strings"
	"time"
)

// An Older is a build of an earlier state of the repository that every second instance runs at
// first.
type Older struct {
	Binary string   // empty: there is none
	Lacks  []string // settings that it doesn't know
	Rules  []string // promises that it doesn't know: they are checked of the newer instances alone
}

// cut takes the settings out that the build doesn't know.
func (o *Older) cut(text string) string {
	lines := strings.SplitAfter(text, "\n")
	lines = slices.DeleteFunc(lines, func(line string) bool {
		name, _, _ := strings.Cut(strings.TrimSpace(line), ":")
		return slices.Contains(o.Lacks, name)
	})
	return strings.Join(lines, "")
}

// An OlderSpan is a time in which an instance's process was of the older build.
type OlderSpan struct {
	Instance string
	From, To time.Time // zero: to the end
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

// binaryOf returns what an instance's next process is of.
func (f *fleet) binaryOf(r *instance) string {
	if r.isOlder() {
		return f.older.Binary
	}
	return f.binary
}

// bookOlder enters of which build an instance is from now on.
func (s *site) bookOlder(r *instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	spans := s.books.OlderSpans
	for i := range spans {
		if spans[i].Instance == r.name && spans[i].To.IsZero() {
			spans[i].To = now
		}
	}
	if r.isOlder() {
		s.books.OlderSpans = append(spans, OlderSpan{Instance: r.name, From: now})
	}
}

// upgrade replaces the processes of all older instances in turn by today's build, as planned
// stops; taken back, it stops halfway and makes all older again. The fleet is mixed again after it.
func (s *strike) upgrade(back bool) {
	held := s.run.holdAll()
	if held == nil {
		return
	}
	defer s.run.release(held...)
	turn := held
	if back {
		turn = held[:len(held)/2]
	}
	s.rebuild(turn, func(int) bool { return false })
	if back {
		s.rebuild(held, func(int) bool { return true })
	}
	s.rebuild(held, func(n int) bool { return n%2 == 1 })
}

// rebuild stops instances one after the other and starts each with the build that older names.
func (s *strike) rebuild(held []*instance, older func(n int) bool) {
	for n, r := range held {
		if r.isOlder() == older(n) {
			continue
		}
		s.over(Trouble{Kind: "build replaced", Instance: r.name, Planned: true}, func() {
			if !r.stop() {
				s.run.note(r.name + " did not end within its grace")
			}
			r.setOlder(older(n))
			s.site.bookOlder(r)
			s.run.rewrite(r, false)
		}, restartAfter, func() { s.run.start(r) })
	}
}

// wasOlder reports whether a request was taken by an instance of the older build.
func (b *Books) wasOlder(q *Request) bool {
	return slices.ContainsFunc(b.OlderSpans, func(s OlderSpan) bool {
		return s.Instance == q.Instance && q.Sent.Before(orEver(s.To)) && q.Done.After(s.From)
	})
}

// orEver returns a time, or one that does not come if there is none.
func orEver(t time.Time) time.Time {
	if t.IsZero() {
		return time.Now().Add(time.Hour)
	}
	return t
}

// withoutOlder returns the books of what newer instances took.
func (b *Books) withoutOlder() *Books {
	if len(b.OlderSpans) == 0 {
		return b
	}
	out := *b
	out.Requests = make(map[string]*Request, len(b.Requests))
	out.Runs = make(map[string][]Run, len(b.Runs))
	for id, q := range b.Requests {
		if !b.wasOlder(q) {
			out.Requests[id], out.Runs[id] = q, b.Runs[id]
		}
	}
	return &out
}
