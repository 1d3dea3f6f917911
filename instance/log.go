package instance

// This file makes the logger of an instance: bounded, and never blocking.

import (
	"expvar"
	"io"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// linesWaiting is how many log lines may wait to be written.
const linesWaiting = 512

// A lineQueue hands lines to one writer. A line that finds the queue full is
// dropped and counted, so that a full pipe holds nothing up.
type lineQueue struct {
	lines   chan []byte
	dropped *expvar.Int
	out     io.Writer
	done    chan struct{}
}

func newLineQueue(out io.Writer, dropped *expvar.Int) *lineQueue {
	q := &lineQueue{lines: make(chan []byte, linesWaiting), dropped: dropped, out: out, done: make(chan struct{})}
	go q.run()
	return q
}

// Write implements io.Writer. It keeps no hold of line.
func (q *lineQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (q *lineQueue) Sync() error { return nil }

func (q *lineQueue) run() {
	defer close(q.done)
	for line := range q.lines {
		_, _ = q.out.Write(line)
	}
}

// NewLogger returns a logger that writes JSON lines to out.
func NewLogger(level string, out io.Writer, dropped *expvar.Int) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), newLineQueue(out, dropped), parsed)
	return zap.New(core), nil
}
