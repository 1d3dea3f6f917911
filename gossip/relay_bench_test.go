package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"ivyridge/catalog"
	"ivyridge/discovery"
)

// BenchmarkChange measures a change of ten endpoints from the serving table to the following one.
func BenchmarkChange(bench *testing.B) {
	for _, n := range []int{690, 6000, 12000} {
		bench.Run(fmt.Sprint(n), func(bench *testing.B) {
			source, follower := discovery.NewTable(time.Now), discovery.NewTable(time.Now)
			u := &discovery.Update{Revision: 1, Full: true, ValidatedAt: time.Now(), Config: &catalog.Document{Version: 1}}
			for i := range n {
				u.Endpoints = append(u.Endpoints, listedRecord(i, 1))
			}
			_ = source.Apply(u)
			_ = follower.Apply(u)
			handler := StateHandler(source, zap.NewNop())
			relay := &Relay{Address: "peer", Now: time.Now, Version: func() int64 { return 1 }, HTTP: &http.Client{Transport: inMemory{handler}}}
			bench.ReportAllocs()
			bytes := 0
			revision := int64(1)
			for bench.Loop() {
				revision++
				change := &discovery.Update{Revision: revision, ValidatedAt: time.Now()}
				for i := range 10 {
					change.Endpoints = append(change.Endpoints, listedRecord((int(revision)*10+i)%n, revision))
				}
				_ = source.Apply(change)
				update, err := relay.Watch(context.Background(), discovery.Query{After: revision - 1})
				if err != nil {
					bench.Fatal(err)
				}
				bytes += update.Bytes
				_ = follower.Apply(update)
			}
			bench.ReportMetric(float64(bytes)/float64(bench.N), "wire-B/op")
		})
	}
}

func listedRecord(i int, revision int64) discovery.Record {
	return discovery.Record{Revision: revision, Endpoint: catalog.Endpoint{
		ID: fmt.Sprintf("i-%08x", i*2654435761), Service: "llm", DataCentre: "ams-a", Slots: 32, Born: 1700000000000 + int64(i),
		Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
	}}
}

// inMemory is an http.RoundTripper that calls a handler without a socket.
type inMemory struct{ handler http.Handler }

func (m inMemory) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	m.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// The size of a partial update must not depend on the number of endpoints.
func TestPartialUpdateSizeIndependentOfList(t *testing.T) {
	sizes := make(map[int]int)
	for _, n := range []int{1000, 4000} {
		source := discovery.NewTable(time.Now)
		u := &discovery.Update{Revision: 1, Full: true, ValidatedAt: time.Now(), Config: &catalog.Document{Version: 1}}
		for i := range n {
			u.Endpoints = append(u.Endpoints, listedRecord(i, 1))
		}
		_ = source.Apply(u)
		_ = source.Apply(&discovery.Update{Revision: 2, ValidatedAt: time.Now(), Endpoints: []discovery.Record{listedRecord(5, 2)}, Deleted: []discovery.Deletion{{ID: listedRecord(6, 0).ID, Revision: 2}}})
		b, err := (&packer{table: source}).respond(1, 1, true)
		if err != nil {
			t.Fatal(err)
		}
		data, _ := json.Marshal(b)
		sizes[n] = len(data)
		if !strings.Contains(string(data), listedRecord(5, 0).ID) || len(b.Removed) != 1 {
			t.Errorf("response is %s, want the changed endpoint and one deletion", data)
		}
	}
	if sizes[4000] > sizes[1000]*11/10 {
		t.Errorf("partial update has %d bytes with 1,000 endpoints and %d with 4,000, want at most a tenth more", sizes[1000], sizes[4000])
	}
}
