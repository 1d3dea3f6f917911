package resume_test

import (
	"testing"
	"time"

	"ivyridge/catalog"
	"ivyridge/resume"
)

func TestTable(t *testing.T) {
	table, now, id := resume.NewTable(time.Time{}), time.Unix(1000, 0), resume.ID("request")
	if software, held := table.Software(now, id); held || software != 0 {
		t.Errorf("got %d, %v of an empty table, want none", software, held)
	}
	table.Record(now, id, 7, time.Second)
	table.Record(now, id, 7, time.Minute)
	if software, held := table.Software(now.Add(50*time.Second), id); !held || software != 7 {
		t.Errorf("got %d, %v, want 7 for the longest time given", software, held)
	}
	if _, held := table.Software(now.Add(time.Minute), id); held {
		t.Error("the record is held beyond its time")
	}
}

// Reports of two versions must leave a stream's version unknown for good.
func TestConflictingRecords(t *testing.T) {
	for _, second := range []catalog.SoftwareID{0, 8} {
		table, now, id := resume.NewTable(time.Time{}), time.Unix(1000, 0), resume.ID("request")
		table.Record(now, id, 7, time.Minute)
		table.Record(now, id, second, time.Minute)
		table.Record(now, id, 7, time.Minute)
		if software, held := table.Software(now, id); !held || software != 0 {
			t.Errorf("got %d, %v after versions 7, %d and 7, want a record of an unknown version", software, held, second)
		}
	}
}

func TestTableIsBounded(t *testing.T) {
	table, now := resume.NewTable(time.Time{}), time.Unix(1000, 0)
	const bound = 1 << 16
	for i := range 2 * bound {
		table.Record(now, resume.StreamID(i), 1, time.Minute)
	}
	if n := table.Len(); n != bound {
		t.Errorf("%d records, want %d", n, bound)
	}
	now = now.Add(2 * time.Minute)
	table.Record(now, 1, 1, time.Minute)
	if n := table.Len(); n != 1 {
		t.Errorf("%d records after all have expired, want 1", n)
	}
}

// A table covers the streams of a time only if it has been kept for as long, and only if it holds what
// others send.
func TestCovers(t *testing.T) {
	const ttl = time.Minute
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		since    time.Time
		received bool
		after    time.Duration
		want     bool
	}{
		{time.Time{}, true, 0, true},
		{time.Time{}, false, 0, false},
		{start, true, ttl - time.Millisecond, false},
		{start, true, ttl, true},
		{start, false, ttl, false},
	} {
		table, id, now := resume.NewTable(c.since), resume.ID("request"), start.Add(c.after)
		table.Record(now, id, 7, ttl)
		if c.received {
			table.Receive(now, id, 7, ttl)
		}
		if got := table.Covers(now, id, ttl); got != c.want {
			t.Errorf("since %v, received %v, at %v: covers %v, want %v", c.since, c.received, now, got, c.want)
		}
	}
}
