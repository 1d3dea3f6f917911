package belief_test

import (
	"testing"

	"pgregory.net/rapid"

	"ivyridge/belief"
)

// recordBornAt returns a record of an endpoint whose process started at an instant; zero: not sent.
func recordBornAt(id string, revision, at int64) belief.Record {
	r := record(id, revision)
	r.Born = at
	return r
}

func TestEarlierProcessDoesNotReplaceLaterOne(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&belief.Update{Revision: 1, Config: testDocument(1), Present: []belief.Record{recordBornAt("a", 1, 2000)}, Proved: c.now()})
	earlier := recordBornAt("a", 2, 1000)
	earlier.Draining = true
	_ = table.Apply(&belief.Update{Revision: 2, Present: []belief.Record{earlier}, Proved: c.now()})
	if e := table.View().Endpoints("s")[0]; e.Born != 2000 || e.Draining {
		t.Errorf("an earlier process replaced the current one: %+v", e)
	}
	_ = table.Apply(&belief.Update{Revision: 3, Present: []belief.Record{recordBornAt("a", 3, 3000)}, Proved: c.now()})
	if e := table.View().Endpoints("s")[0]; e.Born != 3000 {
		t.Errorf("a later process did not replace the earlier one: %+v", e)
	}
}

// Instances whose build does not know start times forward entries without them.
func TestStartTimeIsKeptIfOmitted(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&belief.Update{Revision: 1, Config: testDocument(1), Present: []belief.Record{recordBornAt("a", 1, 2000)}, Proved: c.now()})
	draining := recordBornAt("a", 2, 0)
	draining.Draining = true
	_ = table.Apply(&belief.Update{Revision: 2, Whole: true, Present: []belief.Record{draining}, Proved: c.now()})
	if e := table.View().Endpoints("s")[0]; e.Born != 2000 || !e.Draining {
		t.Errorf("got %+v, want the same process, draining", e)
	}
}

// Whatever the order of updates, the start time of a listed endpoint never decreases.
func TestStartTimeNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, c := newTable()
		_ = table.Apply(&belief.Update{Revision: 1, Config: testDocument(1), Proved: c.now()})
		last := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "updates") {
			revision := rapid.Int64Range(1, 30).Draw(t, "revision")
			r := recordBornAt("a", revision, rapid.Int64Range(0, 3).Draw(t, "born"))
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
