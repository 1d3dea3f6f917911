package gossip

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"ivyridge/belief"
	"ivyridge/catalog"
)

// relayTo returns a Relay to an instance with state of revision 5 and configuration version 3,
// for a reader with the given configuration version, and the instance's table.
func relayTo(t *testing.T, version int64) (*Relay, *belief.Table) {
	t.Helper()
	table := belief.NewTable(time.Now)
	if err := table.Apply(&belief.Update{
		Revision: 5, Whole: true, Proved: time.Now(), Config: &catalog.Document{Version: 3},
		Present: []belief.Record{{Endpoint: catalog.Endpoint{ID: "e"}, Revision: 4}},
	}); err != nil {
		t.Fatal(err)
	}
	return relayOf(t, table, version)
}

// relayOf returns a Relay to an instance with the given table, for a reader with the given
// configuration version.
func relayOf(t *testing.T, table *belief.Table, version int64) (*Relay, *belief.Table) {
	t.Helper()
	server := httptest.NewServer(BeliefsHandler(table, zap.NewNop()))
	t.Cleanup(server.Close)
	return &Relay{
		Address: strings.TrimPrefix(server.URL, "http://"), HTTP: http.DefaultClient, Now: time.Now,
		Version: func() int64 { return version },
	}, table
}

func TestRelayLoad(t *testing.T) {
	r, _ := relayTo(t, 0)
	u, err := r.Load(context.Background())
	if err != nil || u.Revision != 5 || !u.Whole || u.Config == nil || len(u.Present) != 1 {
		t.Fatalf("got %+v, %v", u, err)
	}
}

func TestRelayWatch(t *testing.T) {
	r, table := relayTo(t, 3)
	u, err := r.Watch(context.Background(), belief.Query{After: 5, Wait: 50 * time.Millisecond})
	if err != nil || u.Revision != 5 || u.Whole || len(u.Present) != 0 {
		t.Fatalf("without a change: %+v, %v", u, err)
	}
	time.AfterFunc(50*time.Millisecond, func() {
		_ = table.Apply(&belief.Update{Revision: 6, Proved: time.Now(), Gone: []belief.Departure{{ID: "e", Revision: 6}}})
	})
	u, err = r.Watch(context.Background(), belief.Query{After: 5, Wait: 10 * time.Second})
	if err != nil || u.Revision != 6 || u.Whole || len(u.Present) != 0 || len(u.Gone) != 1 || u.Gone[0].ID != "e" || u.Config != nil {
		t.Fatalf("after a change: %+v, %v, want no configuration that the reader has", u, err)
	}
}

// An instance with an older revision than the reader must not remove anything from the reader's
// state.
func TestRelayBehindReader(t *testing.T) {
	r, _ := relayTo(t, 3)
	u, err := r.Watch(context.Background(), belief.Query{After: 9, Wait: 0})
	if err != nil || u.Whole || u.Revision != 5 {
		t.Fatalf("got %+v, %v", u, err)
	}
}

// Waiting for a change must not make the state look newer.
func TestRelayStateDatedByRequest(t *testing.T) {
	r, table := relayTo(t, 3)
	before, _ := table.Age()
	confirmedAt := time.Now().Add(-before)
	u, err := r.Watch(context.Background(), belief.Query{After: 5, Wait: 100 * time.Millisecond})
	if err != nil || u.Proved.After(confirmedAt) {
		t.Fatalf("state dated %v, want at most %v: %v", u.Proved, confirmedAt, err)
	}
}

// Before a configuration is published, an instance serves what it knows; otherwise all others
// would read the store too.
func TestRelayWithoutConfiguration(t *testing.T) {
	table := belief.NewTable(time.Now)
	r, _ := relayOf(t, table, 0)
	if u, err := r.Load(context.Background()); err == nil {
		t.Fatalf("instance without state served %+v", u)
	}
	_ = table.Apply(&belief.Update{Revision: 5, Whole: true, Proved: time.Now()})
	u, err := r.Load(context.Background())
	if err != nil || u.Revision != 5 || u.Config != nil {
		t.Fatalf("got %+v, %v, want revision 5 without a configuration", u, err)
	}
}
