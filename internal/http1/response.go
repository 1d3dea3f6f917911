package http1

// This file reads responses.

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// A Reader reads the responses on a connection, one after another. It is not safe for concurrent use.
type Reader struct {
	source io.Reader
	size   int // of the usual buffer, in bytes
	buffer *bufio.Reader
}

// NewReader returns a Reader of a connection with a buffer of the given size in bytes. It grows only for
// a longer head.
func NewReader(source io.Reader, size int) *Reader {
	return &Reader{source: source, size: size, buffer: bufio.NewReaderSize(source, size)}
}

// Buffered returns the number of bytes that were read from the connection and belong to no response yet.
func (r *Reader) Buffered() int { return r.buffer.Buffered() }

// HeadLimits bound the head of a response.
type HeadLimits struct {
	Max int // bytes
	// Reserve is called with a number of bytes before that many are allocated for a long head. If it
	// returns false, the response fails with ErrHeadMemory. Nil: there is no limit but Max.
	Reserve func(n int) bool
}

// Errors of responses whose heads exceed the HeadLimits.
var (
	ErrHeadTooLong = errors.New("response head too long")
	ErrHeadMemory  = errors.New("no memory for a response head of this length")
)

// ReadResponse reads the head of the next response, to a request of the given method. An error of type
// *HeadError says that the bytes are not HTTP/1.1.
func (r *Reader) ReadResponse(method string, limits HeadLimits) (*http.Response, error) {
	if err := r.awaitHead(limits); err != nil {
		return nil, err
	}
	res, err := http.ReadResponse(r.buffer, &http.Request{Method: method})
	if err != nil {
		// The head is complete and each line is valid.
		return nil, &HeadError{Problem: "invalid length or transfer coding"}
	}
	res.Body = &body{ReadCloser: res.Body, response: res}
	return res, nil
}

// awaitHead checks the next head, up to its end, without consuming it.
func (r *Reader) awaitHead(limits HeadLimits) error {
	var h head
	for checked, received := 0, 0; ; {
		if received >= limits.Max {
			return ErrHeadTooLong
		}
		if received == r.buffer.Size() {
			if err := r.grow(2*received, limits.Reserve); err != nil {
				return err
			}
		}
		if _, err := r.buffer.Peek(received + 1); err != nil {
			return unexpectedEOF(err)
		}
		data, _ := r.buffer.Peek(r.buffer.Buffered())
		n, last, err := h.checkLines(data[checked:], received-checked)
		if last || err != nil {
			return err
		}
		checked, received = checked+n, len(data)
	}
}

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// grow replaces the buffer by a larger one with the same contents.
func (r *Reader) grow(size int, reserve func(int) bool) error {
	if reserve != nil && !reserve(size) {
		return ErrHeadMemory
	}
	data, _ := r.buffer.Peek(r.buffer.Buffered())
	larger := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(data), r.source), size)
	_, _ = larger.Peek(len(data))
	r.buffer = larger
	return nil
}

// Trim releases the memory of a long head. Nothing may be buffered.
func (r *Reader) Trim() {
	if r.buffer.Size() > r.size {
		r.buffer = bufio.NewReaderSize(r.source, r.size)
	}
}

var errTrailer = errors.New("invalid field name in the trailer of a response")

// A body is the body of a response. The trailer at its end must be valid too.
type body struct {
	io.ReadCloser
	response *http.Response
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		for name := range b.response.Trailer {
			if !validName(name) {
				return n, errTrailer
			}
		}
	}
	return n, err
}
