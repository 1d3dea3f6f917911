package dispatch

// This file forwards a stream of server-sent events and counts its tokens. A stream without [DONE]
// as its last event was cut, and the caller gets an error.

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
	readSize            = 16 << 10
	tokenReportInterval = 100 * time.Millisecond // of token counts to the fleet
)

var (
	eventPrefix = []byte("data:")
	donePrefix  = []byte("data: [DONE]")
)

// A Scanner counts the events of a stream that is read in pieces. The zero value is ready to use.
type Scanner struct {
	Events int
	Done   bool
	line   []byte // prefix of the current incomplete line
}

const maxLinePrefix = 16 // bytes kept of an incomplete line, enough to classify it

// Scan processes p, the next piece, and returns how many events it completes, [DONE] not included.
func (s *Scanner) Scan(p []byte) int {
	before := s.Events
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			s.appendLine(p)
			break
		}
		if len(s.line) == 0 {
			s.endLine(p[:i])
		} else {
			s.appendLine(p[:i])
			s.endLine(s.line)
		}
		s.line = s.line[:0]
		p = p[i+1:]
	}
	return s.Events - before
}

func (s *Scanner) appendLine(p []byte) {
	if room := maxLinePrefix - len(s.line); room > 0 {
		s.line = append(s.line, p[:min(room, len(p))]...)
	}
}

func (s *Scanner) endLine(line []byte) {
	switch {
	case bytes.HasPrefix(line, donePrefix):
		s.Done = true
	case bytes.HasPrefix(line, eventPrefix):
		s.Events++
	}
}

func (r *run) stream(res *http.Response, g *node.Grant, sent time.Duration, timer *watchdog) (node.Outcome, error) {
	var scan Scanner
	var outcome node.Outcome
	var lastEvent, reported time.Duration
	var pendingTokens int
	var pendingTime time.Duration
	buf := make([]byte, readSize)
	defer func() {
		if pendingTokens > 0 {
			r.d.fleet.RecordTokens(g, pendingTokens, pendingTime)
		}
	}()
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			timer.reset(stallTimeout)
			now := r.d.fleet.Now()
			events := scan.Scan(buf[:n])
			switch {
			case !r.res.Started:
				r.res.FirstToken = now - r.req.Arrived
				outcome.FirstToken = now - sent
				lastEvent, reported = now, now
				r.start(res.StatusCode, res.Header)
			case events > 0:
				pendingTokens += events
				pendingTime += now - lastEvent
				lastEvent = now
				if now-reported > tokenReportInterval {
					r.d.fleet.RecordTokens(g, pendingTokens, pendingTime)
					pendingTokens, pendingTime, reported = 0, 0, now
				}
			}
			if werr := r.sink.Write(buf[:n]); werr != nil {
				return outcome, errors.Wrap(werr, "caller")
			}
		}
		if err == nil {
			continue
		}
		outcome.Tokens, r.res.Tokens = scan.Events, scan.Events
		if err != io.EOF || !scan.Done {
			outcome.Failed = true
			return outcome, verdict.Fail(verdict.Ran, verdict.EndpointCut, "the stream was cut after %d tokens", scan.Events)
		}
		outcome.Complete = true
		outcome.Late = r.lateAt(r.res.FirstToken+r.req.Arrived, r.d.fleet.Now())
		return outcome, nil
	}
}
