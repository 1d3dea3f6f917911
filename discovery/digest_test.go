package discovery

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"ivyridge/catalog"
)

// A lossySource returns a delta that lacks a change, with the digest of the full list.
type lossySource struct {
	now    func() time.Time
	digest uint64
	loads  int
}

func (s *lossySource) Load(context.Context) (*Update, error) {
	s.loads++
	return &Update{Revision: 3, Full: true, ValidatedAt: s.now(), Endpoints: []Record{
		{Endpoint: catalog.Endpoint{ID: "a"}, Revision: 1}, {Endpoint: catalog.Endpoint{ID: "b"}, Revision: 2}, {Endpoint: catalog.Endpoint{ID: "c"}, Revision: 3},
	}}, nil
}

func (s *lossySource) Watch(context.Context, Query) (*Update, error) {
	return &Update{Revision: 3, ValidatedAt: s.now(), Digest: s.digest, Endpoints: []Record{{Endpoint: catalog.Endpoint{ID: "c"}, Revision: 3}}}, nil
}

// Guards against an instance that missed a change never receiving it.
func TestDigestMismatchTriggersFullLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	table := NewTable(clock)
	_ = table.Apply(&Update{Revision: 2, Full: true, ValidatedAt: now, Endpoints: []Record{{Endpoint: catalog.Endpoint{ID: "a"}, Revision: 1}}})
	other := NewTable(clock)
	source := &lossySource{now: clock}
	full, _ := source.Load(context.Background())
	_ = other.Apply(full)
	_, source.digest = other.Digest()
	source.loads = 0
	f := &Follower{Table: table, Log: zap.NewNop(), Count: func(string) {}}
	peer := NamedSource{Name: "peer", Source: source}
	for range 5 {
		if err := f.query(context.Background(), peer, 0); err != nil {
			t.Fatal(err)
		}
	}
	if _, digest := table.Digest(); digest != source.digest || source.loads != 1 {
		t.Errorf("%d full loads, want 1; digests match: %v", source.loads, digest == source.digest)
	}
	source.digest++ // a difference that persists
	for range 5 {
		_ = f.query(context.Background(), peer, 0)
	}
	if source.loads != 1 {
		t.Errorf("%d full loads within the minimum interval, want 1", source.loads)
	}
	now = now.Add(minFullLoadInterval)
	for range 5 {
		_ = f.query(context.Background(), peer, 0)
	}
	if source.loads != 2 {
		t.Errorf("%d full loads after the minimum interval, want 2", source.loads)
	}
}
