package entry

// This file measures how fast endpoints stream.

import "time"

// A streamTiming records when the events of a stream arrive. A stream that was resumed is
// not comparable and is not reported to the placement.
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

// recordEvent records the arrival of an event.
func (p *streamTiming) recordEvent(now time.Time) {
	p.events++
	if p.events > 1 {
		p.f.longestPause = max(p.f.longestPause, now.Sub(p.last))
		p.last = now
		return
	}
	p.last = now
	p.first = now
	p.f.firstEventAfter = now.Sub(p.f.placedAt)
	if p.fromStart {
		p.f.placement.RecordFirstEvent(p.f.firstEventAfter)
	}
}

// recordEnd reports the timing of a stream that is complete.
func (p *streamTiming) recordEnd() {
	if p.fromStart {
		p.f.placement.RecordStreamEnd(p.events, p.last.Sub(p.first))
	}
}
