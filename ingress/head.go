package ingress

// This file measures the head of a request, that is its request line and its header lines, in the
// bytes that net/http reads.

import "bytes"

// readAheadBytes is the size of net/http's read buffer of a connection.
const readAheadBytes = 4 << 10

// Estimated memory of a head, parsed, copied for forwarding and copied once more for an attempt.
const (
	lineCost = 300 // bytes for each header line: a map entry in each copy, a name and a slice
	itemCost = 64  // bytes for each item of a list in a header, such as the parts of a prompt
	byteCost = 2   // bytes for each byte: the line as it is read, and its value
	// A head of up to this size is part of the memory of its connection and its request.
	freeLines = 32
	freeItems = 64
	freeBytes = 2 << 10
)

// A size is the size of a part of a head. Items are separated by commas.
type size struct{ lines, items, bytes int }

var (
	lineBreak = []byte{'\n'}
	comma     = []byte{','}
)

func sizeOf(data []byte) size {
	return size{lines: bytes.Count(data, lineBreak), items: bytes.Count(data, comma), bytes: len(data)}
}

func (s size) plus(t size) size { return size{s.lines + t.lines, s.items + t.items, s.bytes + t.bytes} }

// cost returns the memory of a head of size s beyond what is free, in bytes.
func (s size) cost() int64 {
	return lineCost*int64(max(0, s.lines-freeLines)) + itemCost*int64(max(0, s.items-freeItems)) + byteCost*int64(max(0, s.bytes-freeBytes))
}

// A head is the size of a request's head so far.
//
// net/http reads ahead: the begin of a pipelined request may have been read with the request before.
// The size of that part is not known; it is at most before.
type head struct {
	reading     bool // until the head is complete
	requestLine int  // bytes
	fields      size // header lines
	inFields    bool // the request line is complete
	line        int  // bytes of the current line
	lastByte    byte
	before      size // what was possibly in net/http's buffer when the head was begun
	retained    int  // bytes of the last request line, as net/http keeps its method
	readAhead   size // what was read after the head, and is possibly still in net/http's buffer
}

// next returns the head of the next request on the same connection.
func (h *head) next() head {
	return head{reading: true, before: h.readAhead, retained: h.requestLine, readAhead: h.readAhead}
}

// cost returns the memory of the head, in bytes.
func (h *head) cost() int64 {
	return h.fields.plus(h.before).plus(size{bytes: h.requestLine + h.retained}).cost()
}

// measure adds bytes that were read.
func (h *head) measure(data []byte) {
	single := len(data) == 1
	for h.reading && len(data) > 0 {
		n := bytes.IndexByte(data, '\n') + 1
		if n == 0 {
			h.add(data)
			data = nil
			break
		}
		if n > 1 {
			h.add(data[:n-1])
		}
		h.endLine()
		data = data[n:]
	}
	rest := sizeOf(data[max(0, len(data)-readAheadBytes):])
	if single {
		// net/http reads a single byte beside its buffer to notice a disconnect.
		rest = rest.plus(h.readAhead)
	}
	h.readAhead = rest
}

// add adds bytes to the current line.
func (h *head) add(data []byte) {
	h.line += len(data)
	h.lastByte = data[len(data)-1]
	if h.inFields {
		h.fields = h.fields.plus(sizeOf(data))
	} else {
		h.requestLine += len(data)
	}
}

// endLine ends the current line. An empty line ends the head, but for those before the request line.
func (h *head) endLine() {
	empty := h.line == 0 || h.line == 1 && h.lastByte == '\r'
	switch {
	case !h.inFields:
		h.requestLine++
		h.inFields = !empty
	case empty:
		h.fields.bytes -= h.line
		h.reading = false
	default:
		h.fields = h.fields.plus(size{lines: 1, bytes: 1})
	}
	h.line = 0
}
