package entry

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func readEvents(t *testing.T, r io.Reader) (ids []string, text string, err error) {
	t.Helper()
	er := newEventReader(r)
	for {
		e, err := er.next()
		if err != nil {
			return ids, text, err
		}
		ids = append(ids, e.id)
		text += string(e.data)
	}
}

func TestEventReaderReturnsWholeEvents(t *testing.T) {
	long := strings.Repeat("x", 3*eventBuffer)
	for _, c := range []struct {
		name, in, out string
		ids           int
		cut           bool
	}{
		{"nothing", "", "", 0, false},
		{"two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, false},
		{"CRLF line endings", "id:1\r\ndata: a\r\n\r\n", "id:1\r\ndata: a\r\n\r\n", 1, false},
		{"cut within an event", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", 1, true},
		{"cut before the empty line", "id: 1\ndata: a\n", "", 0, true},
		{"line longer than the buffer", "id: 1\ndata: " + long + "\n\n", "id: 1\ndata: " + long + "\n\n", 1, false},
		{"unknown field first", "ivyridge-weight-versions:4\nid: 3\ndata: a\n\n", "ivyridge-weight-versions:4\nid: 3\ndata: a\n\n", 1, false},
	} {
		for _, r := range []io.Reader{strings.NewReader(c.in), iotest.OneByteReader(strings.NewReader(c.in))} {
			ids, out, err := readEvents(t, r)
			if out != c.out || len(ids) != c.ids || (err == io.EOF) == c.cut {
				t.Errorf("%s: got %d events, %q, %v", c.name, len(ids), out, err)
			}
		}
	}
}

func TestEventReaderRejectsOversizedEvent(t *testing.T) {
	if _, _, err := readEvents(t, strings.NewReader(strings.Repeat("data: x\n", maxEvent/8+8))); err == io.EOF || err == nil {
		t.Fatalf("got %v, want an error other than EOF", err)
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n")
	f.Fuzz(func(t *testing.T, in string) {
		_, out, _ := readEvents(t, strings.NewReader(in))
		if !strings.HasPrefix(in, out) {
			t.Fatalf("events %q are not a prefix of the input %q", out, in)
		}
	})
}
