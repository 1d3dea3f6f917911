// Package logs makes the loggers of daemons: structured lines, bounded, and
// never blocking.
package logs

import (
	"expvar"
	"io"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// A Form is how lines are written.
type Form string

// The forms of lines.
const (
	JSON    Form = "json"
	Console Form = "console"
)

// linesWaiting is how many lines may wait to be written.
const linesWaiting = 512

// syncWithin bounds how long Sync waits for a pipe that nobody reads.
const syncWithin = 200 * time.Millisecond

// A queued is a line that waits, or a question whether all before it are
// written.
type queued struct {
	line    []byte
	written chan<- struct{} // closed in its turn; nil for a line
}

// A lineQueue hands lines to one writer. A line that finds the queue full is
// dropped and counted, so that a full pipe holds nothing up.
type lineQueue struct {
	waiting chan queued
	dropped *expvar.Int
	out     io.Writer
}

func newLineQueue(out io.Writer, dropped *expvar.Int) *lineQueue {
	q := &lineQueue{waiting: make(chan queued, linesWaiting), dropped: dropped, out: out}
	go q.run()
	return q
}

// Write implements io.Writer. It keeps no hold of line.
func (q *lineQueue) Write(line []byte) (int, error) {
	select {
	case q.waiting <- queued{line: append([]byte(nil), line...)}:
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Sync returns when the lines so far are written, or after a short while.
func (q *lineQueue) Sync() error {
	written := make(chan struct{})
	timer := time.NewTimer(syncWithin)
	defer timer.Stop()
	select {
	case q.waiting <- queued{written: written}:
	case <-timer.C:
		return errors.New("log: too many lines wait")
	}
	select {
	case <-written:
		return nil
	case <-timer.C:
		return errors.New("log: nobody reads the lines")
	}
}

func (q *lineQueue) run() {
	for next := range q.waiting {
		if next.written != nil {
			close(next.written)
			continue
		}
		_, _ = q.out.Write(next.line)
	}
}

// New returns a logger that writes lines of a level or above to out. Lines that
// find too many waiting are dropped, and counted in dropped.
func New(level string, form Form, out io.Writer, dropped *expvar.Int) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	return zap.New(zapcore.NewCore(encoder(form), newLineQueue(out, dropped), parsed)), nil
}

func encoder(form Form) zapcore.Encoder {
	if form == Console {
		return zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	}
	c := zap.NewProductionEncoderConfig()
	c.EncodeDuration = zapcore.MillisDurationEncoder
	return zapcore.NewJSONEncoder(c)
}
