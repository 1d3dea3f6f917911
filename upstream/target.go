package upstream

// This file writes request targets that begin with two slashes, before which url.URL puts a colon.

import (
	"io"
	"net/http"
	"strings"
)

// writeRequest writes out with the request target as it is in URL.Opaque.
func writeRequest(w io.Writer, out *http.Request) error {
	if strings.HasPrefix(out.URL.Opaque, "//") {
		return out.Write(&byteDropper{w: w, before: len(out.Method + " ")})
	}
	return out.Write(w)
}

// A byteDropper is a Writer that leaves out the byte after the first ones. It is no io.ByteWriter, so that
// Request.Write buffers the request line.
type byteDropper struct {
	w       io.Writer
	before  int // bytes until the one to leave out
	dropped bool
}

// Write implements io.Writer.
func (d *byteDropper) Write(p []byte) (int, error) {
	if d.dropped || len(p) <= d.before {
		d.before -= min(d.before, len(p))
		return d.w.Write(p)
	}
	d.dropped = true
	n, err := d.w.Write(p[:d.before])
	if err != nil {
		return n, err
	}
	m, err := d.w.Write(p[d.before+1:])
	return n + 1 + m, err
}
