package dispatch

// This file passes a stream of server-sent events on, and counts its tokens.
// A stream is whole only if its last event is [DONE]: one that merely stops
// was cut, and the caller is told.

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ivyridge/node"
	"ivyridge/verdict"
)

const (
	readSize = 16 << 10
	// tellEvery is how often seen tokens are handed to the outbox.
	tellEvery = 100 * time.Millisecond
)

var (
	eventMark = []byte("data:")
	doneMark  = []byte("data: [DONE]")
)

// A Scanner counts the events of a stream that comes in pieces. Its zero
// value is ready.
type Scanner struct {
	Events int
	Done   bool
	line   []byte // start of a line that is not complete
}

// maxLineStart is how much of a line tells what it is.
const maxLineStart = 16

// Scan takes the next piece and returns the number of events that began in
// it, [DONE] not counted.
func (s *Scanner) Scan(p []byte) int {
	before := s.Events
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			s.keep(p)
			break
		}
		if len(s.line) == 0 {
			s.endLine(p[:i])
		} else {
			s.keep(p[:i])
			s.endLine(s.line)
		}
		s.line = s.line[:0]
		p = p[i+1:]
	}
	return s.Events - before
}

func (s *Scanner) keep(p []byte) {
	if room := maxLineStart - len(s.line); room > 0 {
		s.line = append(s.line, p[:min(room, len(p))]...)
	}
}

func (s *Scanner) endLine(line []byte) {
	switch {
	case bytes.HasPrefix(line, doneMark):
		s.Done = true
	case bytes.HasPrefix(line, eventMark):
		s.Events++
	}
}

// stream passes an answer on piece by piece.
func (r *run) stream(res *http.Response, g *node.Grant, sent time.Duration, watch *watchdog) (node.End, error) {
	var scan Scanner
	var end node.End
	var last, told time.Duration
	var seen int
	var elapsed time.Duration
	buf := make([]byte, readSize)
	defer func() {
		if seen > 0 {
			r.d.fleet.SawTokens(g, seen, elapsed)
		}
	}()
	for {
		k, err := res.Body.Read(buf)
		if k > 0 {
			watch.reset(stallAfter)
			now := r.d.fleet.Now()
			events := scan.Scan(buf[:k])
			switch {
			case !r.res.Started:
				r.res.First = now - r.req.Arrived
				end.FirstToken = now - sent
				last, told = now, now
				r.start(res.StatusCode, res.Header)
			case events > 0:
				seen += events
				elapsed += now - last
				last = now
				if now-told > tellEvery {
					r.d.fleet.SawTokens(g, seen, elapsed)
					seen, elapsed, told = 0, 0, now
				}
			}
			if werr := r.sink.Write(buf[:k]); werr != nil {
				return end, errors.Wrap(werr, "caller")
			}
		}
		if err == nil {
			continue
		}
		end.Tokens, r.res.Tokens = scan.Events, scan.Events
		if err != io.EOF || !scan.Done {
			end.Failed = true
			return end, verdict.Fail(verdict.Ran, verdict.EndpointCut, "the stream was cut after %d tokens", scan.Events)
		}
		end.Whole = true
		end.Late = r.lateAt(r.res.First+r.req.Arrived, r.d.fleet.Now())
		return end, nil
	}
}
