package dispatch

import (
	"strings"
	"testing"
)

const sample = "data: {\"a\":1}\n\n: a comment\ndata: {\"a\":2}\r\n\ndata: [DONE]\n\n"

// Events are counted once however the stream is split into reads.
func TestScanAnySplit(t *testing.T) {
	for cut := 1; cut < len(sample); cut++ {
		var s Scanner
		for rest := sample; rest != ""; {
			n := min(cut, len(rest))
			s.Scan([]byte(rest[:n]))
			rest = rest[n:]
		}
		if s.Events != 2 || !s.Done {
			t.Errorf("pieces of %d bytes: got %d events, done %v; want 2, true", cut, s.Events, s.Done)
		}
	}
}

func TestScanIgnoresDoneInsideLine(t *testing.T) {
	var s Scanner
	s.Scan([]byte("data: \"say data: [DONE]\"\n\n" + strings.Repeat("x", 100) + "data: [DONE]\n"))
	if s.Events != 1 || s.Done {
		t.Errorf("got %d events, done %v; want 1, false", s.Events, s.Done)
	}
}

func TestBudget(t *testing.T) {
	b := newBudget()
	n := 0
	for b.withdraw() {
		n++
	}
	if n != maxSavedRetries {
		t.Errorf("full budget allows %d retries; want maxSavedRetries", n)
	}
	for range requestsPerRetry {
		b.deposit()
	}
	if !b.withdraw() || b.withdraw() {
		t.Error("requestsPerRetry requests earned no retry or more than one; want exactly one")
	}
}

func FuzzScan(f *testing.F) {
	f.Add([]byte(sample), 3)
	f.Add([]byte("data:"), 1)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		var whole, parts Scanner
		whole.Scan(data)
		for at := 0; at < len(data); {
			n := min(max(1, cut), len(data)-at)
			parts.Scan(data[at : at+n])
			at += n
		}
		if whole.Events != parts.Events || whole.Done != parts.Done {
			t.Errorf("whole: %d events, done %v; in pieces of %d bytes: %d events, done %v; want the same", whole.Events, whole.Done, cut, parts.Events, parts.Done)
		}
	})
}

func BenchmarkScan(b *testing.B) {
	data := []byte(strings.Repeat("data: {\"choices\":[{\"delta\":{\"content\":\"word\"}}]}\n\n", 100))
	b.SetBytes(int64(len(data)))
	for range b.N {
		var s Scanner
		s.Scan(data)
	}
}
