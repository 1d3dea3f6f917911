package http1

// This file checks the heads that net/http's client reads from a Conn.

import (
	"context"
	"net/http/httptrace"
)

// WithCheck returns a context for a request of net/http's client. If the client's connection is a Conn, the
// request fails unless the heads of its response are HTTP/1.1.
func WithCheck(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.expected.Store(true)
		}
	}})
}

// maxCheckedBytes bounds the heads of a response, interim ones included.
const maxCheckedBytes = 64 << 10

// A headChecker checks the heads of a response as their bytes arrive.
type headChecker struct {
	size int // bytes so far
	head head
	rest []byte // the incomplete last line
}

// check checks the next bytes. It reports whether they include the end of the last head.
func (c *headChecker) check(p []byte) (done bool, err error) {
	if c.size += len(p); c.size > maxCheckedBytes {
		return false, ErrHeadTooLong
	}
	searched := len(c.rest)
	c.rest = append(c.rest, p...)
	for {
		n, last, err := c.head.checkLines(c.rest, searched)
		if err != nil || last && !c.head.isInterim() {
			return err == nil, err
		}
		c.rest, searched = c.rest[n:], 0
		if !last {
			return false, nil
		}
		c.head = head{} // that of the response after an interim one
	}
}
