package belief_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/belief"
)

// An instance that is told only what changed lists the same as the one that tells it: drawn
// changes, departures, whole lists, trouble of the store, an instance that asks seldom.
func TestChangesBringTheSameList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, clock := newTable()
		follower := belief.NewTable(clock.now)
		revision, wholes := int64(1), 0
		listed := make(map[string]belief.Record)
		whole := func() *belief.Update {
			u := &belief.Update{Revision: revision, Whole: true, Proved: clock.at}
			for _, r := range listed {
				u.Present = append(u.Present, r)
			}
			return u
		}
		_ = source.Apply(whole())
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clock.advance(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			u := &belief.Update{Proved: clock.at}
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				revision++
				id := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id"))
				if _, there := listed[id]; there && rapid.Bool().Draw(t, "gone") {
					delete(listed, id)
					u.Gone = append(u.Gone, belief.Departure{ID: id, Revision: revision, Replaced: rapid.Bool().Draw(t, "replaced")})
					continue
				}
				listed[id] = record(id, revision)
				u.Present = append(u.Present, listed[id])
			}
			u.Revision = revision
			switch rapid.IntRange(0, 9).Draw(t, "how") {
			case 0:
				u = whole()
			case 1:
				source.Trouble()
			case 2:
				source.Recovered()
			}
			_ = source.Apply(u)
			if rapid.IntRange(0, 2).Draw(t, "asks") > 0 {
				continue
			}
			told, ok := source.Since(follower.View().Revision)
			if !ok {
				told = source.Snapshot()
				wholes++
			}
			_ = follower.Apply(told)
			r1, d1 := source.Digest()
			r2, d2 := follower.Digest()
			if r1 != r2 || d1 != d2 {
				t.Fatalf("lists differ at revisions %d and %d, whole: %v", r1, r2, told.Whole)
			}
			for id := range listed {
				if !follower.Lists(id) {
					t.Fatalf("%s is listed, and not known to the follower", id)
				}
			}
		}
	})
}

// What a change costs does not grow with the list: endpoints that did not change are those of the
// view before, and others are told of the change alone.
func TestAChangeCostsWhatChanged(t *testing.T) {
	for _, n := range []int{1000, 4000} {
		table, clock := newTable()
		u := &belief.Update{Revision: 1, Whole: true, Proved: clock.at}
		for i := range n {
			u.Present = append(u.Present, record(fmt.Sprintf("e%05d", i), 1))
		}
		_ = table.Apply(u)
		before := table.View().Endpoints("s")
		change := &belief.Update{Revision: 2, Proved: clock.at, Present: []belief.Record{record("e00500", 2), record("new", 2)}, Gone: []belief.Departure{{ID: "e00700", Revision: 2}}}
		_ = table.Apply(change)
		after := table.View().Endpoints("s")
		kept := make(map[*belief.Endpoint]bool, n)
		for _, e := range before {
			kept[e] = true
		}
		made := 0
		for _, e := range after {
			if !kept[e] {
				made++
			}
		}
		if len(after) != n || made != 2 {
			t.Errorf("of %d endpoints %d are made anew, want 2", len(after), made)
		}
		told, ok := table.Since(1)
		if !ok || len(told.Present) != 2 || len(told.Gone) != 1 || told.Whole {
			t.Errorf("told %+v, %v", told, ok)
		}
		_ = table.Apply(&belief.Update{Revision: 3, Proved: clock.at})
		if again := table.View().Endpoints("s"); &again[0] != &after[0] {
			t.Error("the list is made anew though no endpoint changed")
		}
	}
}

// Changes that are too old, or too many, are not told one by one; and what follows them is.
func TestChangesAreForgotten(t *testing.T) {
	table, clock := newTable()
	_ = table.Apply(&belief.Update{Revision: 1, Whole: true, Proved: clock.at})
	for revision := int64(2); revision <= 50; revision++ {
		clock.advance(time.Second)
		_ = table.Apply(&belief.Update{Revision: revision, Proved: clock.at, Present: []belief.Record{record(fmt.Sprint(revision), revision)}})
	}
	if _, ok := table.Since(5); ok {
		t.Error("changes of 45 s ago are remembered")
	}
	u, ok := table.Since(40)
	if !ok || len(u.Present) != 10 {
		t.Errorf("told %+v, %v, want 10 endpoints", u, ok)
	}
	if _, ok := table.Since(0); ok {
		t.Error("whoever knows nothing is told changes")
	}
}
