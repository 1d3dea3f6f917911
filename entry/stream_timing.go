package entry

// This file measures how fast endpoints stream.

import "time"

// A streamTiming records when the events of a stream arrive. It reports only streams that were not
// resumed, as others are not comparable.
type streamTiming struct {
	f         *exchange
	fromStart bool // the stream was not resumed
	events    int
	first     time.Time
	last      time.Time
}

func (f *exchange) newStreamTiming() *streamTiming {
	return &streamTiming{f: f, fromStart: f.call.LastEventID == ""}
}

func (t *streamTiming) recordEvent(now time.Time) {
	t.events++
	if t.events > 1 {
		t.f.longestPause = max(t.f.longestPause, now.Sub(t.last))
		t.last = now
		return
	}
	t.last = now
	t.first = now
	t.f.firstEventAfter = now.Sub(t.f.placedAt)
	if t.fromStart {
		t.f.placement.RecordFirstEvent(t.f.firstEventAfter)
	}
}

// recordEnd reports the timing of a stream that is complete.
func (t *streamTiming) recordEnd() {
	if t.fromStart {
		t.f.placement.RecordStreamEnd(t.events, t.last.Sub(t.first))
	}
}
