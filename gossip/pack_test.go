package gossip

import (
	"context"
	"fmt"
	"testing"
	"time"

	"ivyridge/catalog"
	"ivyridge/discovery"
)

// largeTable returns a table whose configuration has 2800 routes.
func largeTable(t *testing.T) *discovery.Table {
	t.Helper()
	d := &catalog.Document{Version: 3, Services: []catalog.Service{{Name: "app"}}}
	for n := range 2800 {
		d.Routes = append(d.Routes, catalog.Route{
			Name: fmt.Sprintf("r-%x", n*7919), Host: fmt.Sprintf("host%d.example", n%40), Prefix: fmt.Sprintf("/p%x/", n*104729),
			Kind: catalog.Repeatable, Timeout: time.Second, Objective: 100 * time.Millisecond, MaxAttempts: 2,
			Targets: []catalog.Target{{Service: "app", Weight: 1}},
		})
	}
	table := discovery.NewTable(time.Now)
	if err := table.Apply(&discovery.Update{Revision: 5, Full: true, ValidatedAt: time.Now(), Config: d}); err != nil {
		t.Fatal(err)
	}
	return table
}

// Bounds the encoded size of a large configuration, which is sent to all followers at once.
func TestLargeConfigurationCompressed(t *testing.T) {
	r, _ := relayOf(t, largeTable(t), 0)
	u, err := r.Load(context.Background())
	if err != nil || len(u.Config.Routes) != 2800 {
		t.Fatalf("load returned %+v, error %v, want 2800 routes", u, err)
	}
	if u.Bytes > 100_000 {
		t.Fatalf("response takes %d bytes for %d routes, want at most 100,000", u.Bytes, len(u.Config.Routes))
	}
}

func TestResponseEncodedOncePerChange(t *testing.T) {
	table := largeTable(t)
	p := &packer{table: table}
	respond := func(after, version int64, partial bool) *stateResponse {
		t.Helper()
		out, err := p.respond(after, version, partial)
		if err != nil {
			t.Fatal(err)
		}
		return out
	}
	first := respond(0, 0, false)
	if again := respond(0, 0, true); &again.Endpoints[0] != &first.Endpoints[0] || &again.Config[0] != &first.Config[0] {
		t.Fatal("state encoded again without a change")
	}
	if err := table.Apply(&discovery.Update{Revision: 6, ValidatedAt: time.Now(), Endpoints: []discovery.Record{{Endpoint: catalog.Endpoint{ID: "e"}, Revision: 6}}}); err != nil {
		t.Fatal(err)
	}
	changed := respond(0, 0, false)
	if changed.Revision != 6 || &changed.Endpoints[0] == &first.Endpoints[0] {
		t.Fatal("response is not at revision 6, or reuses the earlier encoding of endpoints")
	}
	if &changed.Config[0] != &first.Config[0] {
		t.Fatal("configuration encoded again though only endpoints changed")
	}
	part := respond(5, 3, true)
	if !part.Partial || part.Endpoints != nil || part.Config != nil || len(part.Changed) == 0 {
		t.Fatalf("response %+v, want only the change", part)
	}
	if again := respond(5, 3, true); &again.Changed[0] != &part.Changed[0] {
		t.Fatal("change encoded again for another caller")
	}
	if full := respond(5, 3, false); full.Partial || full.Endpoints == nil {
		t.Fatalf("response to a caller without partial support is %+v, want the full list", full)
	}
	if full := respond(4, 3, true); full.Partial || full.Endpoints == nil {
		t.Fatalf("response to a caller behind the remembered changes is %+v, want the full list", full)
	}
}

func TestCorruptPackedPart(t *testing.T) {
	for _, data := range [][]byte{{}, []byte("{}"), {0x1f, 0x8b}} {
		var u discovery.Update
		if err := (&stateResponse{Config: data}).unpack(&u); err == nil {
			t.Errorf("corrupt configuration %q accepted", data)
		}
	}
}
