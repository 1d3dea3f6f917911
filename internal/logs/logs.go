// Package logs creates loggers that write through a bounded queue and never block the caller.
package logs

import (
	"expvar"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// A Format is an output format of log lines.
type Format string

// The output formats.
const (
	JSON    Format = "json"
	Console Format = "console"
)

// Bounds of the queue.
const (
	queueCapacity  = 512     // lines
	maxQueuedBytes = 1 << 20 // of all lines
)

// syncTimeout bounds how long Sync waits for a blocked writer.
const syncTimeout = 200 * time.Millisecond

// A queueItem is a line, or a marker that signals when all earlier lines are written.
type queueItem struct {
	line    []byte
	written chan<- struct{} // closed when the marker is reached; nil for a line
}

// A lineQueue passes lines to a writing goroutine. It drops and counts lines that find it full.
type lineQueue struct {
	queued  atomic.Int64 // bytes
	items   chan queueItem
	dropped *expvar.Int
	out     io.Writer
}

func newLineQueue(out io.Writer, dropped *expvar.Int) *lineQueue {
	q := &lineQueue{items: make(chan queueItem, queueCapacity), dropped: dropped, out: out}
	go q.writeLoop()
	return q
}

// Write implements io.Writer. It copies line, and never blocks.
func (q *lineQueue) Write(line []byte) (int, error) {
	size := int64(len(line))
	if q.queued.Add(size) > maxQueuedBytes {
		q.drop(size)
		return len(line), nil
	}
	select {
	case q.items <- queueItem{line: append([]byte(nil), line...)}:
	default:
		q.drop(size)
	}
	return len(line), nil
}

// drop counts a line of size bytes that is not queued.
func (q *lineQueue) drop(size int64) {
	q.queued.Add(-size)
	q.dropped.Add(1)
}

// Sync waits until the lines so far are written. It returns an error after syncTimeout.
func (q *lineQueue) Sync() error {
	written := make(chan struct{})
	timer := time.NewTimer(syncTimeout)
	defer timer.Stop()
	select {
	case q.items <- queueItem{written: written}:
	case <-timer.C:
		return errors.New("log: queue is full")
	}
	select {
	case <-written:
		return nil
	case <-timer.C:
		return errors.New("log: output is blocked")
	}
}

func (q *lineQueue) writeLoop() {
	for next := range q.items {
		if next.written != nil {
			close(next.written)
			continue
		}
		_, _ = q.out.Write(next.line)
		q.queued.Add(-int64(len(next.line)))
	}
}

// New returns a logger that writes lines to out if their level is at least level, as named by zapcore.
// Lines that find the queue full are counted in dropped.
func New(level string, format Format, out io.Writer, dropped *expvar.Int) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	return zap.New(zapcore.NewCore(encoder(format), newLineQueue(out, dropped), parsed)), nil
}

func encoder(format Format) zapcore.Encoder {
	if format == Console {
		return zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	}
	c := zap.NewProductionEncoderConfig()
	c.EncodeDuration = zapcore.MillisDurationEncoder
	return zapcore.NewJSONEncoder(c)
}
