package discovery_test

import (
	"testing"

	"pgregory.net/rapid"

	"ivyridge/discovery"
)

// recordBornAt returns a record whose start time is at, in Unix milliseconds; zero: not sent.
func recordBornAt(id string, revision, at int64) discovery.Record {
	r := record(id, revision)
	r.Born = at
	return r
}

func TestEarlierProcessDoesNotReplaceLaterOne(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&discovery.Update{Revision: 1, Config: testDocument(1), Endpoints: []discovery.Record{recordBornAt("a", 1, 2000)}, ValidatedAt: c.now()})
	earlier := recordBornAt("a", 2, 1000)
	earlier.Draining = true
	_ = table.Apply(&discovery.Update{Revision: 2, Endpoints: []discovery.Record{earlier}, ValidatedAt: c.now()})
	if e := table.View().Endpoints("s")[0]; e.Born != 2000 || e.Draining {
		t.Errorf("got %+v, want the process born at 2000, not draining", e)
	}
	_ = table.Apply(&discovery.Update{Revision: 3, Endpoints: []discovery.Record{recordBornAt("a", 3, 3000)}, ValidatedAt: c.now()})
	if e := table.View().Endpoints("s")[0]; e.Born != 3000 {
		t.Errorf("got %+v, want the later process, born at 3000", e)
	}
}

// Instances whose build does not know start times forward entries without them.
func TestStartTimeIsKeptIfOmitted(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&discovery.Update{Revision: 1, Config: testDocument(1), Endpoints: []discovery.Record{recordBornAt("a", 1, 2000)}, ValidatedAt: c.now()})
	draining := recordBornAt("a", 2, 0)
	draining.Draining = true
	_ = table.Apply(&discovery.Update{Revision: 2, Full: true, Endpoints: []discovery.Record{draining}, ValidatedAt: c.now()})
	if e := table.View().Endpoints("s")[0]; e.Born != 2000 || !e.Draining {
		t.Errorf("got %+v, want the same process, draining", e)
	}
}

func TestStartTimeNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, c := newTable()
		_ = table.Apply(&discovery.Update{Revision: 1, Config: testDocument(1), ValidatedAt: c.now()})
		last := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "updates") {
			revision := rapid.Int64Range(1, 30).Draw(t, "revision")
			r := recordBornAt("a", revision, rapid.Int64Range(0, 3).Draw(t, "born"))
			_ = table.Apply(&discovery.Update{Revision: revision, Full: rapid.Bool().Draw(t, "whole"), Endpoints: []discovery.Record{r}, ValidatedAt: c.now()})
			endpoints := table.View().Endpoints("s")
			if len(endpoints) != 1 {
				t.Fatalf("%d endpoints listed, want one", len(endpoints))
			}
			if endpoints[0].Born < last {
				t.Fatalf("start time %d replaced the later %d", endpoints[0].Born, last)
			}
			last = endpoints[0].Born
		}
	})
}
