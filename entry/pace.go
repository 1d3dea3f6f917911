package entry

// This file measures how fast an endpoint streams.

import "time"

// A streamPace notes when the events of one stream came from its endpoint. What
// a stream that goes on elsewhere tells is not comparable and is not noted.
type streamPace struct {
	f      *exchange
	whole  bool // the endpoint makes the answer from its beginning
	events int
	first  time.Time
	last   time.Time
}

func (f *exchange) newStreamPace() *streamPace {
	return &streamPace{f: f, whole: f.call.LastEvent == ""}
}

// event notes that an event has come.
func (p *streamPace) event(now time.Time) {
	p.events++
	if p.events > 1 {
		p.f.longestPause = max(p.f.longestPause, now.Sub(p.last))
		p.last = now
		return
	}
	p.last = now
	p.first = now
	p.f.heardAfter = now.Sub(p.f.placed)
	if p.whole {
		p.f.placement.First(p.f.heardAfter)
	}
}

// end notes that the stream has come to its end.
func (p *streamPace) end() {
	if p.whole {
		p.f.placement.Streamed(p.events, p.last.Sub(p.first))
	}
}
