package belief_test

import (
	"testing"
	"time"

	"ivyridge/belief"
	"ivyridge/catalog"
)

// clock is a steady clock that a test moves.
type clock struct{ at time.Time }

func (c *clock) now() time.Time          { return c.at }
func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

func newTable() (*belief.Table, *clock) {
	c := &clock{at: time.Unix(1000, 0)}
	return belief.NewTable(c.now), c
}

func record(id string, revision int64) belief.Record {
	return belief.Record{Endpoint: catalog.Endpoint{ID: id, Service: "s", Address: "10.0.0.1:1"}, Revision: revision}
}

func document(version int64) *catalog.Document {
	return &catalog.Document{
		Version:  version,
		Services: []catalog.Service{{Name: "s"}},
		Routes:   []catalog.Route{{Name: "r", Host: "h", Prefix: "/", Targets: []catalog.Target{{Service: "s", Weight: 1}}}},
	}
}

func ids(t *belief.Table) []string {
	var out []string
	for _, e := range t.View().Endpoints("s") {
		out = append(out, e.ID)
	}
	return out
}

func wantIDs(t *testing.T, table *belief.Table, want ...string) {
	t.Helper()
	got := ids(table)
	if len(got) != len(want) {
		t.Fatalf("endpoints are %v, want %v", got, want)
	}
	for i := range got {
		if got[i] != want[i] {
			t.Fatalf("endpoints are %v, want %v", got, want)
		}
	}
}

func TestProofIsDatedBySending(t *testing.T) {
	table, c := newTable()
	if _, ok := table.Age(); ok {
		t.Fatal("an empty table claims a proof")
	}
	sent := c.now()
	c.advance(700 * time.Millisecond) // the answer was slow
	_ = table.Apply(&belief.Update{Revision: 5, Whole: true, Config: document(1), Proved: sent})
	if age, ok := table.Age(); !ok || age != 700*time.Millisecond {
		t.Fatalf("age is %v, %v; want 700ms from the sending", age, ok)
	}
	c.advance(time.Second) // a pause of the process counts
	if age, _ := table.Age(); age != 1700*time.Millisecond {
		t.Fatalf("age is %v, want 1.7s", age)
	}
}

func TestOldAnswerProvesNothing(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&belief.Update{Revision: 9, Whole: true, Config: document(1), Proved: c.now()})
	c.advance(time.Second)
	_ = table.Apply(&belief.Update{Revision: 8, Proved: c.now()})
	if age, _ := table.Age(); age != time.Second {
		t.Fatalf("an answer of an older revision renewed the proof: age is %v", age)
	}
}

func TestVersionNeverGoesBack(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&belief.Update{Revision: 3, Config: document(7), Proved: c.now()})
	_ = table.Apply(&belief.Update{Revision: 4, Config: document(6), Proved: c.now()})
	if got := table.View().Catalog.Version(); got != 7 {
		t.Fatalf("version in force is %d, want 7", got)
	}
}

func TestUnreadableConfigurationIsKeptOut(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&belief.Update{Revision: 3, Config: document(1), Proved: c.now()})
	bad := document(2)
	bad.Routes[0].Targets[0].Service = "unknown"
	if err := table.Apply(&belief.Update{Revision: 4, Config: bad, Proved: c.now()}); err == nil {
		t.Fatal("a route to a service that is not declared was taken")
	}
	if got := table.View().Catalog.Version(); got != 1 {
		t.Fatalf("version in force is %d, want 1", got)
	}
}

func TestEntryThatGoesHasGone(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&belief.Update{Revision: 3, Whole: true, Present: []belief.Record{record("a", 1), record("b", 2)}, Proved: c.now()})
	_ = table.Apply(&belief.Update{Revision: 5, Gone: []belief.Departure{{ID: "a", Revision: 4}}, Proved: c.now()})
	wantIDs(t, table, "b")
}

func TestChangesOutOfOrder(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&belief.Update{Revision: 6, Present: []belief.Record{record("a", 6)}, Gone: []belief.Departure{{ID: "a", Revision: 5}}, Proved: c.now()})
	wantIDs(t, table, "a")
	old := record("a", 2)
	old.Draining = true
	_ = table.Apply(&belief.Update{Revision: 7, Present: []belief.Record{old}, Proved: c.now()})
	if table.View().Endpoints("s")[0].Draining {
		t.Fatal("an older entry replaced a newer one")
	}
}

// An entry that went before the store was lost must not be taken for one that
// lapsed, only because this instance could not read the store a while ago:
// requests then reached a server 2.2 s after it had left.
func TestEntryThatGoesAfterRecoveryHasGone(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&belief.Update{Revision: 3, Whole: true, Present: []belief.Record{record("a", 1), record("b", 2)}, Proved: c.now()})
	table.Trouble()
	c.advance(2 * time.Second)
	_ = table.Apply(&belief.Update{Revision: 3, Proved: c.now()})
	table.Recovered()
	c.advance(500 * time.Millisecond)
	_ = table.Apply(&belief.Update{Revision: 5, Gone: []belief.Departure{{ID: "a", Revision: 5}}, Proved: c.now()})
	wantIDs(t, table, "b")
}

func TestEntriesThatWentWhileTheStoreWasDownLapse(t *testing.T) {
	table, c := newTable()
	leaving := record("b", 2)
	leaving.Draining = true
	_ = table.Apply(&belief.Update{Revision: 3, Whole: true, Present: []belief.Record{record("a", 1), leaving}, Proved: c.now()})
	table.Trouble()
	_ = table.Apply(&belief.Update{Revision: 9, Whole: true, Proved: c.now()})
	table.Recovered()
	wantIDs(t, table, "a")
	if at := table.View().Endpoints("s")[0].LapsesAt; !at.After(c.now()) {
		t.Fatalf("the endpoint lapses at %v, want it kept for a while after %v", at, c.now())
	}
	c.advance(3 * time.Second)
	_ = table.Apply(&belief.Update{Revision: 9, Proved: c.now()})
	wantIDs(t, table)
}

func TestLapsedEntryReturns(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&belief.Update{Revision: 3, Whole: true, Present: []belief.Record{record("a", 1)}, Proved: c.now()})
	table.Trouble()
	_ = table.Apply(&belief.Update{Revision: 9, Gone: []belief.Departure{{ID: "a", Revision: 8}}, Proved: c.now()})
	table.Recovered()
	_ = table.Apply(&belief.Update{Revision: 10, Present: []belief.Record{record("a", 10)}, Proved: c.now()})
	if at := table.View().Endpoints("s")[0].LapsesAt; !at.IsZero() {
		t.Fatalf("an endpoint that published itself anew still lapses at %v", at)
	}
}
