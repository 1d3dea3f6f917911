package belief_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/belief"
)

// An instance that receives only deltas lists the same endpoints as their source, for random
// changes, deletions, full updates, store outages and polling intervals.
func TestDeltasConvergeToSourceList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, clock := newTable()
		follower := belief.NewTable(clock.now)
		revision, fullUpdates := int64(1), 0
		listed := make(map[string]belief.Record)
		fullUpdate := func() *belief.Update {
			u := &belief.Update{Revision: revision, Whole: true, Proved: clock.current}
			for _, r := range listed {
				u.Present = append(u.Present, r)
			}
			return u
		}
		_ = source.Apply(fullUpdate())
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clock.advance(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			u := &belief.Update{Proved: clock.current}
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				revision++
				id := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id"))
				if _, ok := listed[id]; ok && rapid.Bool().Draw(t, "gone") {
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
				u = fullUpdate()
			case 1:
				source.Trouble()
			case 2:
				source.Recovered()
			}
			_ = source.Apply(u)
			if rapid.IntRange(0, 2).Draw(t, "asks") > 0 {
				continue
			}
			update, ok := source.Since(follower.View().Revision)
			if !ok {
				update = source.Snapshot()
				fullUpdates++
			}
			_ = follower.Apply(update)
			r1, d1 := source.Digest()
			r2, d2 := follower.Digest()
			if r1 != r2 || d1 != d2 {
				t.Fatalf("lists differ at revisions %d and %d, full update: %v", r1, r2, update.Whole)
			}
			for id := range listed {
				if !follower.Lists(id) {
					t.Fatalf("the follower lacks %s", id)
				}
			}
		}
	})
}

// The cost of a change does not depend on the size of the list: unchanged endpoints are shared with
// the previous view, and the delta contains only the change.
func TestChangeCostIsIndependentOfListSize(t *testing.T) {
	for _, n := range []int{1000, 4000} {
		table, clock := newTable()
		initial := &belief.Update{Revision: 1, Whole: true, Proved: clock.current}
		for i := range n {
			initial.Present = append(initial.Present, record(fmt.Sprintf("e%05d", i), 1))
		}
		_ = table.Apply(initial)
		before := table.View().Endpoints("s")
		change := &belief.Update{Revision: 2, Proved: clock.current, Present: []belief.Record{record("e00500", 2), record("new", 2)}, Gone: []belief.Departure{{ID: "e00700", Revision: 2}}}
		_ = table.Apply(change)
		after := table.View().Endpoints("s")
		kept := make(map[*belief.Endpoint]bool, n)
		for _, e := range before {
			kept[e] = true
		}
		rebuilt := 0
		for _, e := range after {
			if !kept[e] {
				rebuilt++
			}
		}
		if len(after) != n || rebuilt != 2 {
			t.Errorf("%d endpoints, %d of them rebuilt; want %d and 2", len(after), rebuilt, n)
		}
		delta, ok := table.Since(1)
		if !ok || len(delta.Present) != 2 || len(delta.Gone) != 1 || delta.Whole {
			t.Errorf("delta is %+v, %v", delta, ok)
		}
		_ = table.Apply(&belief.Update{Revision: 3, Proved: clock.current})
		if unchanged := table.View().Endpoints("s"); &unchanged[0] != &after[0] {
			t.Error("the list was rebuilt though no endpoint changed")
		}
	}
}

// Old changes are dropped from the log, and later ones are still available.
func TestChangeLogExpires(t *testing.T) {
	table, clock := newTable()
	_ = table.Apply(&belief.Update{Revision: 1, Whole: true, Proved: clock.current})
	for revision := int64(2); revision <= 50; revision++ {
		clock.advance(time.Second)
		_ = table.Apply(&belief.Update{Revision: revision, Proved: clock.current, Present: []belief.Record{record(fmt.Sprint(revision), revision)}})
	}
	if _, ok := table.Since(5); ok {
		t.Error("changes made 45 s ago are still in the log")
	}
	u, ok := table.Since(40)
	if !ok || len(u.Present) != 10 {
		t.Errorf("delta is %+v, %v; want 10 endpoints", u, ok)
	}
	if _, ok := table.Since(0); ok {
		t.Error("an empty instance is sent a delta")
	}
}
