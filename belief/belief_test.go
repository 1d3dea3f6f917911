package belief_test

import (
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

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

// Symptom: while configurations followed each other, an instance had the newest
// one in force and yet thought its beliefs 6.3 s old, called itself not ready and
// refused its callers, the most urgent ones among them.
//
// Sequence: it asked the store for changes after revision 24; the store answered
// with 25; meanwhile another instance had told it of 26. The answer proved nothing
// then, and the next one was overtaken in the same way.
//
// Cause: a proof was dropped unless its revision was the very one that is known.
func TestOvertakenAnswerProvesLaterBeliefs(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&belief.Update{Revision: 24, Whole: true, Config: document(1), Proved: c.now()})
	c.advance(time.Second)
	sent := c.now()
	_ = table.Apply(&belief.Update{Revision: 26, Proved: c.now().Add(-5 * time.Second)})
	c.advance(100 * time.Millisecond)
	_ = table.Apply(&belief.Update{Revision: 25, Proved: sent})
	if age, _ := table.Age(); age != 100*time.Millisecond {
		t.Fatalf("age is %v, want 100ms from the sending of the overtaken call", age)
	}
}

// What a store or another instance tells proves only beliefs that hold all of it.
func TestProofOfLaterRevisionProvesNothing(t *testing.T) {
	table, c := newTable()
	_ = table.Apply(&belief.Update{Revision: 24, Whole: true, Config: document(1), Proved: c.now()})
	c.advance(time.Second)
	table.Confirm(25, c.now())
	if age, _ := table.Age(); age != time.Second {
		t.Fatalf("age is %v, want 1s: a proof of revision 25 says nothing of 24", age)
	}
	table.Confirm(23, c.now().Add(-300*time.Millisecond))
	if age, _ := table.Age(); age != 300*time.Millisecond {
		t.Fatalf("age is %v, want 300ms: there was nothing after 23 then, and 24 is known", age)
	}
}

// In any order of answers, of calls that overlap and of what other instances
// tell, beliefs never lack a change that was made before the instant as of which
// they are taken for proved.
func TestProofNeverCoversAMissingChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, c := newTable()
		made := []time.Time{c.now()} // by revision, from one
		revisionAt := func(at time.Time) int64 {
			return int64(sort.Search(len(made), func(i int) bool { return made[i].After(at) }))
		}
		_ = table.Apply(&belief.Update{Revision: 1, Config: document(1), Proved: c.now()})
		var sent []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				made = append(made, c.now())
			case 1:
				sent = append(sent, c.now())
			case 2: // an answer to any call, as the store was at any instant since
				if len(sent) > 0 {
					at := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "call")]
					answered := at.Add(time.Duration(rapid.Int64Range(0, int64(c.now().Sub(at))).Draw(t, "answered")))
					_ = table.Apply(&belief.Update{Revision: revisionAt(answered), Proved: at})
				}
			case 3: // another instance's proof, of any instant
				at := c.now().Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond)
				table.Confirm(revisionAt(at), at)
			}
			age, _ := table.Age()
			if want := revisionAt(c.now().Add(-age)); table.View().Revision < want {
				t.Fatalf("proved as of %v ago with revision %d; revision %d was made before", age, table.View().Revision, want)
			}
		}
	})
}

// A revision and the age told with it belong together, whatever comes between.
func TestProofIsReadAtOnce(t *testing.T) {
	origin := time.Now()
	table := belief.NewTable(time.Now)
	_ = table.Apply(&belief.Update{Revision: 1, Config: document(1), Proved: origin})
	const changes = 20_000
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := int64(2); n < changes; n++ {
			// Revision n was made n us after the origin, and is proved as of then.
			_ = table.Apply(&belief.Update{Revision: n, Proved: origin.Add(time.Duration(n) * time.Microsecond)})
		}
	}()
	for {
		select {
		case <-done:
			return
		default:
		}
		p, ok := table.Proof()
		if next := origin.Add(time.Duration(p.Revision+1) * time.Microsecond); ok && !p.At.Before(next) {
			t.Fatalf("revision %d told with a proof as of %v after revision %d was made", p.Revision, p.At.Sub(next), p.Revision+1)
		}
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
	if at := table.View().Endpoints("s")[0].GraceUntil; !at.After(c.now()) {
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
	if at := table.View().Endpoints("s")[0].GraceUntil; !at.IsZero() {
		t.Fatalf("an endpoint that published itself anew still lapses at %v", at)
	}
}

// Symptom: an endpoint that had gone was listed again until the next full answer. Cause: two
// calls to the store overlap, the follower's and the prover's; the answer of the one that knows
// less comes last, and tells of the entry's writing, not of its end.
func TestLateAnswerBringsNothingBack(t *testing.T) {
	table, _ := newTable()
	_ = table.Apply(&belief.Update{Revision: 10, Whole: true, Config: document(1), Present: []belief.Record{record("a", 3)}})
	_ = table.Apply(&belief.Update{Revision: 12, Present: []belief.Record{record("b", 11)}, Gone: []belief.Departure{{ID: "b", Revision: 12}}})
	_ = table.Apply(&belief.Update{Revision: 11, Present: []belief.Record{record("b", 11)}})
	wantIDs(t, table, "a")
	_ = table.Apply(&belief.Update{Revision: 11, Whole: true, Present: []belief.Record{record("a", 3), record("b", 11)}})
	wantIDs(t, table, "a")
	_ = table.Apply(&belief.Update{Revision: 13, Present: []belief.Record{record("c", 13)}})
	wantIDs(t, table, "a", "c")
}
