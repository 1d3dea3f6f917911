package upstream

import (
	"io"

	"github.com/pkg/errors"
)

var errHeadTooLong = errors.New("response head too long")

// unlimited is the value of limitedReader.left without a limit.
const unlimited = -1

// A limitedReader fails once it has read a number of bytes. An endpoint may send bytes that are no
// response, without a line break and without end, which http.ReadResponse would keep in memory.
type limitedReader struct {
	r    io.Reader
	left int
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left == unlimited {
		return l.r.Read(p)
	}
	if l.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
