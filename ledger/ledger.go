// Package ledger counts what became of requests, second by second, so that
// operators can ask over a window.
//
// A Ledger keeps a fixed number of seconds and, in each, a bounded number of
// cells; what exceeds it is counted under Other, so totals stay true. It is
// safe for concurrent use.
package ledger

import (
	"sync"
	"time"
)

const (
	seconds = 300
	maxRows = 2048 // a second
	// Other stands for teams and endpoints beyond maxRows.
	Other = "(other)"
)

// An Outcome is what became of a request.
type Outcome string

// The outcomes.
const (
	Served  Outcome = "served"
	Late    Outcome = "late"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
)

// A Row names what is counted together.
type Row struct {
	Outcome    Outcome
	Class      string
	Team       string
	Endpoint   string
	Reason     string
	DataCentre string
}

type second struct {
	at   int64
	rows map[Row]int64
}

// A Ledger holds the last five minutes.
type Ledger struct {
	mu   sync.Mutex
	ring [seconds]second
}

// New returns an empty Ledger.
func New() *Ledger { return new(Ledger) }

// Add counts one request that ended at instant now.
func (l *Ledger) Add(now time.Duration, r Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := int64(now / time.Second)
	s := &l.ring[at%seconds]
	if s.at != at || s.rows == nil {
		*s = second{at, make(map[Row]int64)}
	}
	if _, ok := s.rows[r]; !ok && len(s.rows) >= maxRows {
		r.Team, r.Endpoint = Other, Other
	}
	s.rows[r]++
}

// Sum adds up the rows of the last window before now.
func (l *Ledger) Sum(now, window time.Duration) map[Row]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	to := int64(now / time.Second)
	from := to - int64(min(window, (seconds-1)*time.Second)/time.Second)
	out := make(map[Row]int64)
	for i := range l.ring {
		s := &l.ring[i]
		if s.rows == nil || s.at < from || s.at > to {
			continue
		}
		for r, n := range s.rows {
			out[r] += n
		}
	}
	return out
}
