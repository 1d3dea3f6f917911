package belief_test

import (
	"testing"

	"pgregory.net/rapid"

	"ivyridge/belief"
)

// born returns a record of an endpoint that was born at an instant; zero: it does not tell.
func born(id string, revision, at int64) belief.Record {
	r := record(id, revision)
	r.Born = at
	return r
}

func TestEarlierBirthIsAnOlderMessage(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&belief.Update{Revision: 1, Config: document(1), Present: []belief.Record{born("a", 1, 2000)}, Proved: c.now()})
	late := born("a", 2, 1000)
	late.Draining = true
	_ = table.Apply(&belief.Update{Revision: 2, Present: []belief.Record{late}, Proved: c.now()})
	if e := table.View().Endpoints("s")[0]; e.Born != 2000 || e.Draining {
		t.Errorf("an entry of the process before replaced the present one's: %+v", e)
	}
	_ = table.Apply(&belief.Update{Revision: 3, Present: []belief.Record{born("a", 3, 3000)}, Proved: c.now()})
	if e := table.View().Endpoints("s")[0]; e.Born != 3000 {
		t.Errorf("the next process is not believed: %+v", e)
	}
}

// An instance that does not know births passes entries on without them.
func TestBirthIsKeptWhereItIsNotTold(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&belief.Update{Revision: 1, Config: document(1), Present: []belief.Record{born("a", 1, 2000)}, Proved: c.now()})
	leaves := born("a", 2, 0)
	leaves.Draining = true
	_ = table.Apply(&belief.Update{Revision: 2, Whole: true, Present: []belief.Record{leaves}, Proved: c.now()})
	if e := table.View().Endpoints("s")[0]; e.Born != 2000 || !e.Draining {
		t.Errorf("got %+v, want the same process, which leaves", e)
	}
}

// Whatever comes in whatever order, the birth that is believed never goes back while the entry is there.
func TestBirthsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, c := newTable()
		_ = table.Apply(&belief.Update{Revision: 1, Config: document(1), Proved: c.now()})
		last := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "updates") {
			revision := rapid.Int64Range(1, 30).Draw(t, "revision")
			r := born("a", revision, rapid.Int64Range(0, 3).Draw(t, "born"))
			_ = table.Apply(&belief.Update{Revision: revision, Whole: rapid.Bool().Draw(t, "whole"), Present: []belief.Record{r}, Proved: c.now()})
			endpoints := table.View().Endpoints("s")
			if len(endpoints) != 1 {
				t.Fatalf("%d endpoints, want one", len(endpoints))
			}
			if endpoints[0].Born < last {
				t.Fatalf("born %d after %d", endpoints[0].Born, last)
			}
			last = endpoints[0].Born
		}
	})
}
