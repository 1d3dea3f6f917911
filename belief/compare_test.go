package belief

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"ivyridge/catalog"
)

// A partialSource tells one change, with a digest.
type partialSource struct {
	now    func() time.Time
	digest uint64
	loads  int
}

func (s *partialSource) Load(context.Context) (*Update, error) {
	s.loads++
	return &Update{Revision: 3, Whole: true, Proved: s.now(), Present: []Record{
		{Endpoint: catalog.Endpoint{ID: "a"}, Revision: 1}, {Endpoint: catalog.Endpoint{ID: "b"}, Revision: 2}, {Endpoint: catalog.Endpoint{ID: "c"}, Revision: 3},
	}}, nil
}

func (s *partialSource) Watch(context.Context, Query) (*Update, error) {
	return &Update{Revision: 3, Proved: s.now(), Digest: s.digest, Present: []Record{{Endpoint: catalog.Endpoint{ID: "c"}, Revision: 3}}}, nil
}

// An instance that has missed a change, told the next one alone, would not know of the first for
// good. It reads everything then, once in a while at most.
func TestMissedChangeIsFound(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	table := NewTable(clock)
	_ = table.Apply(&Update{Revision: 2, Whole: true, Proved: now, Present: []Record{{Endpoint: catalog.Endpoint{ID: "a"}, Revision: 1}}})
	whole := NewTable(clock)
	source := &partialSource{now: clock}
	everything, _ := source.Load(context.Background())
	_ = whole.Apply(everything)
	_, source.digest = whole.Digest()
	source.loads = 0
	f := &Follower{Table: table, Log: zap.NewNop(), Count: func(string) {}}
	from := NamedSource{Name: "peer", Source: source}
	for range 5 {
		if err := f.ask(context.Background(), from, 0); err != nil {
			t.Fatal(err)
		}
	}
	if _, digest := table.Digest(); digest != source.digest || source.loads != 1 {
		t.Errorf("%d times everything was read; the endpoints are the same: %v", source.loads, digest == source.digest)
	}
	source.digest++ // it differs for good
	for range 5 {
		_ = f.ask(context.Background(), from, 0)
	}
	if source.loads != 1 {
		t.Errorf("everything was read %d times within a moment", source.loads)
	}
	now = now.Add(wholeEvery)
	for range 5 {
		_ = f.ask(context.Background(), from, 0)
	}
	if source.loads != 2 {
		t.Errorf("everything was read %d times, want another time after a while", source.loads)
	}
}
