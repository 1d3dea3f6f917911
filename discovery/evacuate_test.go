package discovery_test

import (
	"slices"
	"testing"
	"time"

	"ivyridge/catalog"
	"ivyridge/discovery"
)

// coldDocument declares a service whose endpoints warm up for 3 s.
func coldDocument(version int64) *catalog.Document {
	d := testDocument(version)
	d.Services[0].ColdFor, d.Services[0].ColdRate = 3*time.Second, 13
	return d
}

func recordIn(id, dataCentre string, revision int64) discovery.Record {
	r := record(id, revision)
	r.DataCentre = dataCentre
	return r
}

func mustApply(t *testing.T, table *discovery.Table, u *discovery.Update) {
	t.Helper()
	if err := table.Apply(u); err != nil {
		t.Fatal(err)
	}
}

func wantEvacuated(t *testing.T, table *discovery.Table, want ...string) {
	t.Helper()
	if got := table.View().Evacuated(); !slices.Equal(got, want) {
		t.Fatalf("evacuated data centres are %q, want %q", got, want)
	}
	for _, e := range table.View().Endpoints("s") {
		if e.RejectsNew() != slices.Contains(want, e.DataCentre) {
			t.Errorf("endpoint %s in %s: RejectsNew() = %t, want true only in evacuated data centres", e.ID, e.DataCentre, e.RejectsNew())
		}
	}
}

func TestEvacuationClosesDataCentre(t *testing.T) {
	table, _ := newTable()
	mustApply(t, table, &discovery.Update{Revision: 3, Full: true, Config: coldDocument(1),
		Endpoints: []discovery.Record{recordIn("a1", "a", 1), recordIn("b1", "b", 2)}})
	wantEvacuated(t, table)
	mustApply(t, table, &discovery.Update{Revision: 4, Evacuations: []discovery.Evacuation{{DataCentre: "a", Revision: 4}}})
	wantEvacuated(t, table, "a")
	mustApply(t, table, &discovery.Update{Revision: 5, Endpoints: []discovery.Record{recordIn("a2", "a", 5)}})
	wantEvacuated(t, table, "a")
	mustApply(t, table, &discovery.Update{Revision: 6, Evacuations: []discovery.Evacuation{{DataCentre: "b", Revision: 6}}})
	wantEvacuated(t, table, "a", "b")
	mustApply(t, table, &discovery.Update{Revision: 7, Evacuations: []discovery.Evacuation{{DataCentre: "a", Revision: 7, Ended: true}}})
	wantEvacuated(t, table, "b")
}

// A stale update neither restarts an evacuation that has ended nor ends one that is in force.
func TestStaleEvacuationUpdatesAreIgnored(t *testing.T) {
	table, _ := newTable()
	started := discovery.Evacuation{DataCentre: "a", Revision: 4}
	mustApply(t, table, &discovery.Update{Revision: 4, Full: true, Config: coldDocument(1), Evacuations: []discovery.Evacuation{started}})
	mustApply(t, table, &discovery.Update{Revision: 3, Full: true})
	wantEvacuated(t, table, "a")
	mustApply(t, table, &discovery.Update{Revision: 7, Evacuations: []discovery.Evacuation{{DataCentre: "a", Revision: 6, Ended: true}}})
	mustApply(t, table, &discovery.Update{Revision: 5, Full: true, Evacuations: []discovery.Evacuation{started}})
	wantEvacuated(t, table)
}

// An evacuation that ended during a store outage is missing from the next full update.
func TestFullUpdateEndsMissingEvacuation(t *testing.T) {
	table, _ := newTable()
	mustApply(t, table, &discovery.Update{Revision: 4, Full: true, Config: coldDocument(1), Evacuations: []discovery.Evacuation{{DataCentre: "a", Revision: 4}}})
	table.MarkStoreDown()
	mustApply(t, table, &discovery.Update{Revision: 9, Full: true})
	wantEvacuated(t, table)
}

func TestSnapshotIncludesEvacuationsAndWarmUp(t *testing.T) {
	table, c := newTable()
	cold := recordIn("a1", "a", 1)
	cold.ColdLeft = 2 * time.Second
	mustApply(t, table, &discovery.Update{Revision: 4, Full: true, Config: coldDocument(1), Endpoints: []discovery.Record{cold},
		Evacuations: []discovery.Evacuation{{DataCentre: "b", Revision: 4}}})
	c.advance(500 * time.Millisecond)
	other, _ := newTable()
	mustApply(t, other, table.Snapshot())
	wantEvacuated(t, other, "b")
	e := other.View().Endpoints("s")[0]
	if !e.Cold(time.Unix(1000, 0).Add(1400*time.Millisecond)) || e.Cold(time.Unix(1000, 0).Add(1600*time.Millisecond)) {
		t.Errorf("the endpoint is cold until %v, want 1.5 s after the snapshot", e.ColdUntil)
	}
}

// Endpoints may have become cold during an evacuation, before they report it.
func TestEndpointsAreColdAfterEvacuation(t *testing.T) {
	table, c := newTable()
	mustApply(t, table, &discovery.Update{Revision: 4, Full: true, Config: coldDocument(1),
		Endpoints: []discovery.Record{recordIn("a1", "a", 1), recordIn("b1", "b", 2)}, Evacuations: []discovery.Evacuation{{DataCentre: "a", Revision: 4}}})
	mustApply(t, table, &discovery.Update{Revision: 5, Evacuations: []discovery.Evacuation{{DataCentre: "a", Revision: 5, Ended: true}}})
	for _, e := range table.View().Endpoints("s") {
		if e.Cold(c.now()) != (e.DataCentre == "a") {
			t.Errorf("endpoint %s: Cold() = %t, want true only in the evacuated data centre a", e.ID, e.Cold(c.now()))
		}
	}
	c.advance(3*time.Second + 1)
	for _, e := range table.View().Endpoints("s") {
		if e.Cold(c.now()) {
			t.Errorf("endpoint %s is still cold after its warm-up", e.ID)
		}
	}
}
