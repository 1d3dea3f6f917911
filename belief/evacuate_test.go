package belief_test

import (
	"slices"
	"testing"
	"time"

	"ivyridge/belief"
	"ivyridge/catalog"
)

// coldDocument declares a service whose endpoints are cold for 3 s.
func coldDocument(version int64) *catalog.Document {
	d := document(version)
	d.Services[0].ColdFor, d.Services[0].ColdRate = 3*time.Second, 13
	return d
}

func placed(id, dataCentre string, revision int64) belief.Record {
	r := record(id, revision)
	r.DataCentre = dataCentre
	return r
}

func apply(t *testing.T, table *belief.Table, u *belief.Update) {
	t.Helper()
	if err := table.Apply(u); err != nil {
		t.Fatal(err)
	}
}

func wantEvacuated(t *testing.T, table *belief.Table, want ...string) {
	t.Helper()
	if got := table.View().Evacuated(); !slices.Equal(got, want) {
		t.Fatalf("data centres being emptied: %q, want %q", got, want)
	}
	for _, e := range table.View().Endpoints("s") {
		if e.Closed() != slices.Contains(want, e.DataCentre) {
			t.Errorf("endpoint %s in %s is closed: %t", e.ID, e.DataCentre, e.Closed())
		}
	}
}

func TestEvacuationClosesADataCentre(t *testing.T) {
	table, _ := newTable()
	apply(t, table, &belief.Update{Revision: 3, Whole: true, Config: coldDocument(1),
		Present: []belief.Record{placed("a1", "a", 1), placed("b1", "b", 2)}})
	wantEvacuated(t, table)
	apply(t, table, &belief.Update{Revision: 4, Evacuations: []belief.Evacuation{{DataCentre: "a", Revision: 4}}})
	wantEvacuated(t, table, "a")
	apply(t, table, &belief.Update{Revision: 5, Present: []belief.Record{placed("a2", "a", 5)}})
	wantEvacuated(t, table, "a")
	apply(t, table, &belief.Update{Revision: 6, Evacuations: []belief.Evacuation{{DataCentre: "b", Revision: 6}}})
	wantEvacuated(t, table, "a", "b")
	apply(t, table, &belief.Update{Revision: 7, Evacuations: []belief.Evacuation{{DataCentre: "a", Revision: 7, Over: true}}})
	wantEvacuated(t, table, "b")
}

// Whoever knows less, and says so late, neither begins an evacuation anew nor ends one.
func TestLateNewsOfAnEvacuation(t *testing.T) {
	table, _ := newTable()
	begun := belief.Evacuation{DataCentre: "a", Revision: 4}
	apply(t, table, &belief.Update{Revision: 4, Whole: true, Config: coldDocument(1), Evacuations: []belief.Evacuation{begun}})
	apply(t, table, &belief.Update{Revision: 3, Whole: true})
	wantEvacuated(t, table, "a")
	apply(t, table, &belief.Update{Revision: 7, Evacuations: []belief.Evacuation{{DataCentre: "a", Revision: 6, Over: true}}})
	apply(t, table, &belief.Update{Revision: 5, Whole: true, Evacuations: []belief.Evacuation{begun}})
	wantEvacuated(t, table)
}

// An evacuation that ended while nothing could be read is missing in what is read then.
func TestEvacuationThatEndedUnseen(t *testing.T) {
	table, _ := newTable()
	apply(t, table, &belief.Update{Revision: 4, Whole: true, Config: coldDocument(1), Evacuations: []belief.Evacuation{{DataCentre: "a", Revision: 4}}})
	table.Trouble()
	apply(t, table, &belief.Update{Revision: 9, Whole: true})
	wantEvacuated(t, table)
}

// An instance that is told by another knows the same.
func TestSnapshotTellsEvacuationsAndColdEndpoints(t *testing.T) {
	table, c := newTable()
	cold := placed("a1", "a", 1)
	cold.ColdLeft = 2 * time.Second
	apply(t, table, &belief.Update{Revision: 4, Whole: true, Config: coldDocument(1), Present: []belief.Record{cold},
		Evacuations: []belief.Evacuation{{DataCentre: "b", Revision: 4}}})
	c.advance(500 * time.Millisecond)
	other, _ := newTable()
	apply(t, other, table.Snapshot())
	wantEvacuated(t, other, "b")
	e := other.View().Endpoints("s")[0]
	if !e.Cold(time.Unix(1000, 0).Add(1400*time.Millisecond)) || e.Cold(time.Unix(1000, 0).Add(1600*time.Millisecond)) {
		t.Errorf("the endpoint is cold until %v, want 1.5 s from now", e.ColdUntil)
	}
}

// Endpoints may have turned cold while their data centre was emptied, and say so late.
func TestEndpointsAreColdAfterAnEvacuation(t *testing.T) {
	table, c := newTable()
	apply(t, table, &belief.Update{Revision: 4, Whole: true, Config: coldDocument(1),
		Present: []belief.Record{placed("a1", "a", 1), placed("b1", "b", 2)}, Evacuations: []belief.Evacuation{{DataCentre: "a", Revision: 4}}})
	apply(t, table, &belief.Update{Revision: 5, Evacuations: []belief.Evacuation{{DataCentre: "a", Revision: 5, Over: true}}})
	for _, e := range table.View().Endpoints("s") {
		if e.Cold(c.now()) != (e.DataCentre == "a") {
			t.Errorf("endpoint %s is cold: %t", e.ID, e.Cold(c.now()))
		}
	}
	c.advance(3*time.Second + 1)
	for _, e := range table.View().Endpoints("s") {
		if e.Cold(c.now()) {
			t.Errorf("endpoint %s is cold after its time", e.ID)
		}
	}
}
