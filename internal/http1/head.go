package http1

// This file checks the head of a response against the grammar of RFC 9112. Package net/http accepts more:
// it drops a name that holds a blank, so that a length stated there does not delimit the body, and joins
// continued lines, so that a field may become part of the one before.

import (
	"bytes"
	"fmt"
	"net/http"
	"net/textproto"
	"strings"
)

// A HeadError is the error of a response whose head is not HTTP/1.1. Its text holds nothing of the response,
// since it may be sent to a caller.
type HeadError struct {
	Line    int // from 1, the status line; zero: the head as a whole
	Problem string
}

func (e *HeadError) Error() string {
	if e.Line == 0 {
		return "invalid response head: " + e.Problem
	}
	return fmt.Sprintf("invalid response head: line %d: %s", e.Line, e.Problem)
}

// A head is what the checked lines of a head say about the end of the message.
type head struct {
	lines       int  // checked so far
	status      int  // zero before the status line
	minor       byte // minor version, as a digit
	hasEncoding bool // a transfer coding is stated
	hasLength   bool // a length is stated
	hasBody     bool // a length other than zero is stated
}

// isInterim reports whether another head follows.
func (h *head) isInterim() bool {
	return h.status < http.StatusOK && h.status != http.StatusSwitchingProtocols
}

// checkLines checks the complete lines that data begins with, of which the first searched bytes are known to
// hold no line feed. It returns their length, and whether the last one ends the head.
func (h *head) checkLines(data []byte, searched int) (n int, last bool, err error) {
	for {
		i := bytes.IndexByte(data[n+searched:], '\n')
		if i < 0 {
			return n, false, h.checkStart(data[n:])
		}
		end := n + searched + i + 1
		if last, err = h.checkLine(data[n:end]); last || err != nil {
			return end, last, err
		}
		n, searched = end, 0
	}
}

// checkStart checks the start of an incomplete line. Bytes that are no response may never form a line.
func (h *head) checkStart(start []byte) error {
	if n := min(len(start), len(versionPrefix)); h.status == 0 && string(start[:n]) != versionPrefix[:n] {
		h.lines++
		return h.lineError("not a status line")
	}
	return nil
}

// checkLine checks the next line, and reports whether it ends the head.
func (h *head) checkLine(line []byte) (last bool, err error) {
	h.lines++
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	switch {
	case !ok:
		return false, h.lineError("no CRLF at its end")
	case h.status == 0:
		return false, h.checkStatusLine(text)
	case len(text) == 0:
		return true, h.checkFraming()
	}
	return false, h.checkField(text)
}

func (h *head) lineError(problem string) error { return &HeadError{h.lines, problem} }

const (
	versionPrefix = "HTTP/1."
	// Offsets in a status line such as "HTTP/1.1 200 OK".
	minorOffset  = len(versionPrefix)
	statusOffset = minorOffset + len("1 ")
	reasonOffset = statusOffset + len("200 ")
)

func (h *head) checkStatusLine(line []byte) error {
	if len(line) < reasonOffset || !bytes.HasPrefix(line, []byte(versionPrefix)) || line[statusOffset-1] != ' ' || line[reasonOffset-1] != ' ' {
		return h.lineError("not a status line")
	}
	h.minor = line[minorOffset]
	digits := line[statusOffset : reasonOffset-1]
	if !isDigit(h.minor) || !isDigit(digits[0]) || !isDigit(digits[1]) || !isDigit(digits[2]) || !validText(line[reasonOffset:]) {
		return h.lineError("not a status line")
	}
	h.status = 100*int(digits[0]-'0') + 10*int(digits[1]-'0') + int(digits[2]-'0')
	if h.status < http.StatusContinue || h.status > maxStatus {
		return h.lineError("status out of range")
	}
	return nil
}

// maxStatus is the highest status of a class that RFC 9110 defines.
const maxStatus = 599

func (h *head) checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !validName(string(name)) {
		return h.lineError("invalid field name")
	}
	if !validText(value) {
		return h.lineError("invalid field value")
	}
	switch textproto.CanonicalMIMEHeaderKey(string(name)) {
	case "Content-Length":
		h.hasLength = true
		h.hasBody = h.hasBody || string(bytes.Trim(value, " \t")) != "0"
	case "Transfer-Encoding":
		h.hasEncoding = true
	}
	return nil
}

// checkFraming rejects a head whose fields contradict each other, or its status, about the end of the
// message. Net/http rejects the other invalid lengths and codings.
func (h *head) checkFraming() error {
	bodiless := h.status < http.StatusOK || h.status == http.StatusNoContent
	switch {
	case h.hasEncoding && h.hasLength:
		return &HeadError{Problem: "both a length and a transfer coding"}
	case h.hasEncoding && h.minor == '0':
		return &HeadError{Problem: "a transfer coding in HTTP/1.0"}
	case bodiless && (h.hasEncoding || h.hasBody):
		return &HeadError{Problem: "a body that its status excludes"}
	}
	return nil
}

// validName reports whether name is a token, as a field name must be.
func validName(name string) bool {
	for i := range len(name) {
		if c := name[i]; !isDigit(c) && !isLetter(c) && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return name != ""
}

// validText reports whether text holds only what a field value or a reason phrase may.
func validText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func isLetter(c byte) bool { return 'a' <= c|0x20 && c|0x20 <= 'z' }

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
