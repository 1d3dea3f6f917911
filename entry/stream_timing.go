package entry

// This file measures how fast endpoints stream.

import (
	"time"

	"ivyridge/poison"
)

// A streamTiming records when the events of a stream arrive. It reports only streams that were not
// resumed, as others are not comparable.
type streamTiming struct {
	ex        *exchange
	fromStart bool // the stream was not resumed
	events    int
	first     time.Time
	last      time.Time
}

func (ex *exchange) newStreamTiming() *streamTiming {
	return &streamTiming{ex: ex, fromStart: ex.call.LastEventID == ""}
}

func (t *streamTiming) recordEvent(now time.Time) {
	t.events++
	if t.events > 1 {
		t.ex.longestPause = max(t.ex.longestPause, now.Sub(t.last))
		t.last = now
		if now.Sub(t.first) >= poison.AnswerSettleTime {
			t.ex.clearParts()
			t.ex.endTrials()
		}
		return
	}
	t.last = now
	t.first = now
	t.ex.answerBegun = true
	t.ex.firstEventAfter = now.Sub(t.ex.placedAt)
	if t.fromStart && t.ex.placement != nil {
		t.ex.placement.RecordFirstEvent(t.ex.firstEventAfter)
	}
}

// recordEnd reports the timing of a stream that is complete.
func (t *streamTiming) recordEnd() {
	if t.fromStart && t.ex.placement != nil {
		t.ex.placement.RecordStreamEnd(t.events, t.last.Sub(t.first))
	}
}
