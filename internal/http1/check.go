package http1

// This file checks heads as their bytes arrive.

import (
	"bytes"
	"context"
	"net/http/httptrace"

	"github.com/pkg/errors"
)

// ErrHeadTooLong is the error of a response whose head has more bytes than allowed.
var ErrHeadTooLong = errors.New("response head too long")

// A headChecker checks the bytes of one head, or of several if interim responses come first.
type headChecker struct {
	left        int  // bytes that may still come
	skipInterim bool // the head of an interim response is not the last one
	head        head
	line        []byte // the incomplete last line
}

// check checks the next bytes. It reports whether they include the end of the last head.
func (c *headChecker) check(p []byte) (done bool, err error) {
	for line := range bytes.Lines(p) {
		if c.left -= len(line); c.left < 0 {
			return false, ErrHeadTooLong
		}
		c.line = append(c.line, line...)
		if line[len(line)-1] != '\n' {
			return false, nil
		}
		last, err := c.head.checkLine(c.line)
		if err != nil {
			return false, err
		}
		c.line = c.line[:0]
		if last && !(c.skipInterim && c.head.isInterim()) {
			return true, nil
		}
		if last {
			c.head = head{}
		}
	}
	return false, nil
}

// maxCheckedBytes bounds the heads of a response that WithCheck checks, interim ones included.
const maxCheckedBytes = 64 << 10

// WithCheck returns a context for a request of net/http's client. If the client's connection is a Conn, the
// request fails unless the heads of its response are HTTP/1.1.
func WithCheck(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.expected.Store(true)
		}
	}})
}
