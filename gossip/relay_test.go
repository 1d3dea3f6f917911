package gossip

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"ivyridge/catalog"
	"ivyridge/discovery"
)

// relayTo returns a Relay to an instance at revision 5 and configuration version 3, and its table.
func relayTo(t *testing.T, version int64) (*Relay, *discovery.Table) {
	t.Helper()
	table := discovery.NewTable(time.Now)
	if err := table.Apply(&discovery.Update{
		Revision: 5, Full: true, ValidatedAt: time.Now(), Config: &catalog.Document{Version: 3},
		Endpoints: []discovery.Record{{Endpoint: catalog.Endpoint{ID: "e"}, Revision: 4}},
	}); err != nil {
		t.Fatal(err)
	}
	return relayOf(t, table, version)
}

// relayOf returns a Relay to table for a reader with the given configuration version, and table.
func relayOf(t *testing.T, table *discovery.Table, version int64) (*Relay, *discovery.Table) {
	t.Helper()
	server := httptest.NewServer(StateHandler(table, zap.NewNop()))
	t.Cleanup(server.Close)
	return &Relay{
		Address: strings.TrimPrefix(server.URL, "http://"), HTTP: http.DefaultClient, Now: time.Now,
		Version: func() int64 { return version },
	}, table
}

func TestRelayLoad(t *testing.T) {
	r, _ := relayTo(t, 0)
	u, err := r.Load(context.Background())
	if err != nil || u.Revision != 5 || !u.Full || u.Config == nil || len(u.Endpoints) != 1 {
		t.Fatalf("update %+v, error %v, want a full one at revision 5, with a configuration and one endpoint", u, err)
	}
}

// Guards against a load that is given up because the full state takes long to encode: the header must
// be sent before.
func TestHeaderOfFullStateIsSentFirst(t *testing.T) {
	_, table := relayTo(t, 0)
	w := httptest.NewRecorder()
	StateHandler(table, zap.NewNop())(w, httptest.NewRequest(http.MethodGet, StatePath, nil))
	if !w.Flushed || w.Code != http.StatusOK || w.Body.Len() == 0 {
		t.Errorf("flushed: %v, status %d, %d bytes, want a flushed header and a body", w.Flushed, w.Code, w.Body.Len())
	}
}

func TestRelayWatch(t *testing.T) {
	r, table := relayTo(t, 3)
	u, err := r.Watch(context.Background(), discovery.Query{After: 5, Wait: 50 * time.Millisecond})
	if err != nil || u.Revision != 5 || u.Full || len(u.Endpoints) != 0 {
		t.Fatalf("without a change: update %+v, error %v, want no changes at revision 5", u, err)
	}
	time.AfterFunc(50*time.Millisecond, func() {
		_ = table.Apply(&discovery.Update{Revision: 6, ValidatedAt: time.Now(), Deleted: []discovery.Deletion{{ID: "e", Revision: 6}}})
	})
	u, err = r.Watch(context.Background(), discovery.Query{After: 5, Wait: 10 * time.Second})
	if err != nil || u.Revision != 6 || u.Full || len(u.Endpoints) != 0 || len(u.Deleted) != 1 || u.Deleted[0].ID != "e" || u.Config != nil {
		t.Fatalf("after a change: update %+v, error %v, want the deletion of e at revision 6, and no configuration", u, err)
	}
}

// An instance with an older revision than the reader must not remove anything from its state.
func TestRelayBehindReader(t *testing.T) {
	r, _ := relayTo(t, 3)
	u, err := r.Watch(context.Background(), discovery.Query{After: 9, Wait: 0})
	if err != nil || u.Full || u.Revision != 5 {
		t.Fatalf("update %+v, error %v, want no full one, at revision 5", u, err)
	}
}

// Waiting for a change must not make the state look newer.
func TestRelayStateDatedByRequest(t *testing.T) {
	r, table := relayTo(t, 3)
	before, _ := table.Age()
	confirmedAt := time.Now().Add(-before)
	u, err := r.Watch(context.Background(), discovery.Query{After: 5, Wait: 100 * time.Millisecond})
	if err != nil || u.ValidatedAt.After(confirmedAt) {
		t.Fatalf("state dated %v, want at most %v; error %v", u.ValidatedAt, confirmedAt, err)
	}
}

// Without a published configuration an instance serves its state, which saves store reads.
func TestRelayWithoutConfiguration(t *testing.T) {
	table := discovery.NewTable(time.Now)
	r, _ := relayOf(t, table, 0)
	if u, err := r.Load(context.Background()); err == nil {
		t.Fatalf("instance without state served %+v, want an error", u)
	}
	_ = table.Apply(&discovery.Update{Revision: 5, Full: true, ValidatedAt: time.Now()})
	u, err := r.Load(context.Background())
	if err != nil || u.Revision != 5 || u.Config != nil {
		t.Fatalf("update %+v, error %v, want revision 5 without a configuration", u, err)
	}
}
