package discovery_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/discovery"
)

// An instance that receives deltas lists the same endpoints as its source, whatever the changes.
func TestDeltasConvergeToSourceList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, clock := newTable()
		follower := discovery.NewTable(clock.now)
		revision, fullUpdates := int64(1), 0
		listed := make(map[string]discovery.Record)
		fullUpdate := func() *discovery.Update {
			u := &discovery.Update{Revision: revision, Full: true, ValidatedAt: clock.current}
			for _, r := range listed {
				u.Endpoints = append(u.Endpoints, r)
			}
			return u
		}
		_ = source.Apply(fullUpdate())
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clock.advance(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			u := &discovery.Update{ValidatedAt: clock.current}
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				revision++
				id := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id"))
				if _, ok := listed[id]; ok && rapid.Bool().Draw(t, "gone") {
					delete(listed, id)
					u.Deleted = append(u.Deleted, discovery.Deletion{ID: id, Revision: revision, Replaced: rapid.Bool().Draw(t, "replaced")})
					continue
				}
				listed[id] = record(id, revision)
				u.Endpoints = append(u.Endpoints, listed[id])
			}
			u.Revision = revision
			switch rapid.IntRange(0, 9).Draw(t, "how") {
			case 0:
				u = fullUpdate()
			case 1:
				source.MarkStoreDown()
			case 2:
				source.MarkStoreUp()
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
				t.Fatalf("source at revision %d and follower at revision %d differ after an update, full: %v", r1, r2, update.Full)
			}
			for id := range listed {
				if !follower.HasIncarnation(id) {
					t.Fatalf("the follower lacks listed endpoint %s", id)
				}
			}
		}
	})
}

// Guards against rebuilding or sending the whole list at each change.
func TestChangeCostIsIndependentOfListSize(t *testing.T) {
	for _, n := range []int{1000, 4000} {
		table, clock := newTable()
		initial := &discovery.Update{Revision: 1, Full: true, ValidatedAt: clock.current}
		for i := range n {
			initial.Endpoints = append(initial.Endpoints, record(fmt.Sprintf("e%05d", i), 1))
		}
		_ = table.Apply(initial)
		before := table.View().Endpoints("s")
		change := &discovery.Update{Revision: 2, ValidatedAt: clock.current, Endpoints: []discovery.Record{record("e00500", 2), record("new", 2)}, Deleted: []discovery.Deletion{{ID: "e00700", Revision: 2}}}
		_ = table.Apply(change)
		after := table.View().Endpoints("s")
		kept := make(map[*discovery.Endpoint]bool, n)
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
		if !ok || len(delta.Endpoints) != 2 || len(delta.Deleted) != 1 || delta.Full {
			t.Errorf("delta is %+v, %v; want two endpoints, one deletion and true", delta, ok)
		}
		_ = table.Apply(&discovery.Update{Revision: 3, ValidatedAt: clock.current})
		if unchanged := table.View().Endpoints("s"); &unchanged[0] != &after[0] {
			t.Error("the list was rebuilt though no endpoint changed")
		}
	}
}

func TestChangeLogExpires(t *testing.T) {
	table, clock := newTable()
	_ = table.Apply(&discovery.Update{Revision: 1, Full: true, ValidatedAt: clock.current})
	for revision := int64(2); revision <= 50; revision++ {
		clock.advance(time.Second)
		_ = table.Apply(&discovery.Update{Revision: revision, ValidatedAt: clock.current, Endpoints: []discovery.Record{record(fmt.Sprint(revision), revision)}})
	}
	if _, ok := table.Since(5); ok {
		t.Error("a change older than changeLogTTL is still in the log")
	}
	u, ok := table.Since(40)
	if !ok || len(u.Endpoints) != 10 {
		t.Errorf("delta is %+v, %v; want 10 endpoints and true", u, ok)
	}
	if _, ok := table.Since(0); ok {
		t.Error("an instance without state is sent a delta")
	}
}
