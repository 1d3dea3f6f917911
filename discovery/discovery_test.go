package discovery_test

import (
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/catalog"
	"ivyridge/discovery"
)

type fakeClock struct{ current time.Time }

func (c *fakeClock) now() time.Time          { return c.current }
func (c *fakeClock) advance(d time.Duration) { c.current = c.current.Add(d) }

func newTable() (*discovery.Table, *fakeClock) {
	c := &fakeClock{current: time.Unix(1000, 0)}
	return discovery.NewTable(c.now), c
}

func record(id string, revision int64) discovery.Record {
	return discovery.Record{Endpoint: catalog.Endpoint{ID: id, Service: "s", Address: "10.0.0.1:1"}, Revision: revision}
}

func testDocument(version int64) *catalog.Document {
	return &catalog.Document{
		Version:  version,
		Services: []catalog.Service{{Name: "s"}},
		Routes:   []catalog.Route{{Name: "r", Host: "h", Prefix: "/", Targets: []catalog.Target{{Service: "s", Weight: 1}}}},
	}
}

func ids(t *discovery.Table) []string {
	var out []string
	for _, e := range t.View().Endpoints("s") {
		out = append(out, e.ID)
	}
	return out
}

func wantIDs(t *testing.T, table *discovery.Table, want ...string) {
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

func TestAgeCountsFromRequestSend(t *testing.T) {
	table, c := newTable()
	if _, ok := table.Age(); ok {
		t.Fatal("an empty table reports a validation")
	}
	sent := c.now()
	c.advance(700 * time.Millisecond) // response time
	_ = table.Apply(&discovery.Update{Revision: 5, Full: true, Config: testDocument(1), ValidatedAt: sent})
	if age, ok := table.Age(); !ok || age != 700*time.Millisecond {
		t.Fatalf("age is %v, %v; want 700ms since the request was sent", age, ok)
	}
	c.advance(time.Second) // time during which the process is paused counts
	if age, _ := table.Age(); age != 1700*time.Millisecond {
		t.Fatalf("age is %v, want 1.7s", age)
	}
}

// Guards against a table that appears stale while changes arrive faster than responses.
func TestOutOfOrderResponseValidatesLaterRevision(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&discovery.Update{Revision: 24, Full: true, Config: testDocument(1), ValidatedAt: c.now()})
	c.advance(time.Second)
	sent := c.now()
	_ = table.Apply(&discovery.Update{Revision: 26, ValidatedAt: c.now().Add(-5 * time.Second)})
	c.advance(100 * time.Millisecond)
	_ = table.Apply(&discovery.Update{Revision: 25, ValidatedAt: sent})
	if age, _ := table.Age(); age != 100*time.Millisecond {
		t.Fatalf("age is %v, want 100ms since the request for revision 25 was sent", age)
	}
}

// A validation applies only to tables that are at its revision or a later one.
func TestConfirmIgnoresLaterRevision(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&discovery.Update{Revision: 24, Full: true, Config: testDocument(1), ValidatedAt: c.now()})
	c.advance(time.Second)
	table.MergePeerValidation(25, c.now())
	if age, _ := table.Age(); age != time.Second {
		t.Fatalf("age is %v, want 1s: a validation of revision 25 does not apply to 24", age)
	}
	table.MergePeerValidation(23, c.now().Add(-300*time.Millisecond))
	if age, _ := table.Age(); age != 300*time.Millisecond {
		t.Fatalf("age is %v, want 300ms: a validation of revision 23 applies to 24", age)
	}
}

// In no order of calls and responses does a table lack a change made before its validation time.
func TestValidationNeverCoversMissingChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, c := newTable()
		changeTimes := []time.Time{c.now()} // by revision, from 1
		revisionAt := func(at time.Time) int64 {
			return int64(sort.Search(len(changeTimes), func(i int) bool { return changeTimes[i].After(at) }))
		}
		_ = table.Apply(&discovery.Update{Revision: 1, Config: testDocument(1), ValidatedAt: c.now()})
		var sent []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				changeTimes = append(changeTimes, c.now())
			case 1:
				sent = append(sent, c.now())
			case 2: // a response to any earlier call, with the store's state at any time since
				if len(sent) > 0 {
					at := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "call")]
					answered := at.Add(time.Duration(rapid.Int64Range(0, int64(c.now().Sub(at))).Draw(t, "answered")))
					_ = table.Apply(&discovery.Update{Revision: revisionAt(answered), ValidatedAt: at})
				}
			case 3: // another instance's validation at any earlier instant
				at := c.now().Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond)
				table.MergePeerValidation(revisionAt(at), at)
			}
			age, _ := table.Age()
			if want := revisionAt(c.now().Add(-age)); table.View().Revision < want {
				t.Fatalf("validated as of %v ago with revision %d, but revision %d was made before", age, table.View().Revision, want)
			}
		}
	})
}

// Guards against returning a revision with the validation time of another one.
func TestValidationIsReadAtomically(t *testing.T) {
	origin := time.Now()
	table := discovery.NewTable(time.Now)
	_ = table.Apply(&discovery.Update{Revision: 1, Config: testDocument(1), ValidatedAt: origin})
	const changes = 20_000
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := int64(2); n < changes; n++ {
			// Revision n is made n us after the origin, and validated as of then.
			_ = table.Apply(&discovery.Update{Revision: n, ValidatedAt: origin.Add(time.Duration(n) * time.Microsecond)})
		}
	}()
	for {
		select {
		case <-done:
			return
		default:
		}
		v, ok := table.Validation()
		if next := origin.Add(time.Duration(v.Revision+1) * time.Microsecond); ok && !v.At.Before(next) {
			t.Fatalf("revision %d returned with a validation %v after revision %d was made", v.Revision, v.At.Sub(next), v.Revision+1)
		}
	}
}

func TestConfigurationVersionIsMonotonic(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&discovery.Update{Revision: 3, Config: testDocument(7), ValidatedAt: c.now()})
	_ = table.Apply(&discovery.Update{Revision: 4, Config: testDocument(6), ValidatedAt: c.now()})
	if got := table.View().Catalog.Version(); got != 7 {
		t.Fatalf("version in force is %d, want 7", got)
	}
}

func TestInvalidConfigurationIsRejected(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&discovery.Update{Revision: 3, Config: testDocument(1), ValidatedAt: c.now()})
	bad := testDocument(2)
	bad.Routes[0].Targets[0].Service = "unknown"
	if err := table.Apply(&discovery.Update{Revision: 4, Config: bad, ValidatedAt: c.now()}); err == nil {
		t.Fatal("a route to an undeclared service was accepted")
	}
	if got := table.View().Catalog.Version(); got != 1 {
		t.Fatalf("version in force is %d, want 1", got)
	}
}

func TestDeletedEntryIsRemoved(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&discovery.Update{Revision: 3, Full: true, Endpoints: []discovery.Record{record("a", 1), record("b", 2)}, ValidatedAt: c.now()})
	_ = table.Apply(&discovery.Update{Revision: 5, Deleted: []discovery.Deletion{{ID: "a", Revision: 4}}, ValidatedAt: c.now()})
	wantIDs(t, table, "b")
}

func TestOutOfOrderChanges(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&discovery.Update{Revision: 6, Endpoints: []discovery.Record{record("a", 6)}, Deleted: []discovery.Deletion{{ID: "a", Revision: 5}}, ValidatedAt: c.now()})
	wantIDs(t, table, "a")
	old := record("a", 2)
	old.Draining = true
	_ = table.Apply(&discovery.Update{Revision: 7, Endpoints: []discovery.Record{old}, ValidatedAt: c.now()})
	if table.View().Endpoints("s")[0].Draining {
		t.Fatal("an older entry replaced a newer one")
	}
}

// Guards against sending requests to an endpoint that was deleted after the outage.
func TestDeletionAfterOutageGetsNoGracePeriod(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&discovery.Update{Revision: 3, Full: true, Endpoints: []discovery.Record{record("a", 1), record("b", 2)}, ValidatedAt: c.now()})
	table.MarkStoreDown()
	c.advance(2 * time.Second)
	_ = table.Apply(&discovery.Update{Revision: 3, ValidatedAt: c.now()})
	table.MarkStoreUp()
	c.advance(500 * time.Millisecond)
	_ = table.Apply(&discovery.Update{Revision: 5, Deleted: []discovery.Deletion{{ID: "a", Revision: 5}}, ValidatedAt: c.now()})
	wantIDs(t, table, "b")
}

func TestDeletionDuringOutageGetsGracePeriod(t *testing.T) {
	table, c := newTable()
	draining := record("b", 2)
	draining.Draining = true
	_ = table.Apply(&discovery.Update{Revision: 3, Full: true, Endpoints: []discovery.Record{record("a", 1), draining}, ValidatedAt: c.now()})
	table.MarkStoreDown()
	_ = table.Apply(&discovery.Update{Revision: 9, Full: true, ValidatedAt: c.now()})
	table.MarkStoreUp()
	wantIDs(t, table, "a")
	if at := table.View().Endpoints("s")[0].GraceUntil; !at.After(c.now()) {
		t.Fatalf("the grace period ends at %v, want later than %v", at, c.now())
	}
	c.advance(3 * time.Second)
	_ = table.Apply(&discovery.Update{Revision: 9, ValidatedAt: c.now()})
	wantIDs(t, table)
}

func TestEntryRestoredDuringGracePeriod(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&discovery.Update{Revision: 3, Full: true, Endpoints: []discovery.Record{record("a", 1)}, ValidatedAt: c.now()})
	table.MarkStoreDown()
	_ = table.Apply(&discovery.Update{Revision: 9, Deleted: []discovery.Deletion{{ID: "a", Revision: 8}}, ValidatedAt: c.now()})
	table.MarkStoreUp()
	_ = table.Apply(&discovery.Update{Revision: 10, Endpoints: []discovery.Record{record("a", 10)}, ValidatedAt: c.now()})
	if at := table.View().Endpoints("s")[0].GraceUntil; !at.IsZero() {
		t.Fatalf("an endpoint that was published again has a grace period until %v", at)
	}
}

// A late response that contains an entry but not its deletion must not restore the entry.
func TestStaleResponseDoesNotRestoreEntry(t *testing.T) {
	table, _ := newTable()
	_ = table.Apply(&discovery.Update{Revision: 10, Full: true, Config: testDocument(1), Endpoints: []discovery.Record{record("a", 3)}})
	_ = table.Apply(&discovery.Update{Revision: 12, Endpoints: []discovery.Record{record("b", 11)}, Deleted: []discovery.Deletion{{ID: "b", Revision: 12}}})
	_ = table.Apply(&discovery.Update{Revision: 11, Endpoints: []discovery.Record{record("b", 11)}})
	wantIDs(t, table, "a")
	_ = table.Apply(&discovery.Update{Revision: 11, Full: true, Endpoints: []discovery.Record{record("a", 3), record("b", 11)}})
	wantIDs(t, table, "a")
	_ = table.Apply(&discovery.Update{Revision: 13, Endpoints: []discovery.Record{record("c", 13)}})
	wantIDs(t, table, "a", "c")
}
