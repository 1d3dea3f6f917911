// Package ledger counts completed requests by outcome in buckets of one second,
// for queries over a recent window.
//
// A Ledger keeps a fixed number of buckets with a bounded number of rows. Requests beyond that are
// counted under Other, so that totals stay exact. A Ledger is safe for concurrent use.
package ledger

import (
	"sync"
	"time"
)

const (
	numSeconds = 300
	maxRows    = 2048 // per bucket
	// Other replaces the team and endpoint of requests beyond maxRows.
	Other = "(other)"
)

// An Outcome is the result of a request.
type Outcome string

const (
	Served  Outcome = "served"
	Late    Outcome = "late"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
)

// A Row is the key under which requests are counted.
type Row struct {
	Outcome    Outcome
	Class      string
	Team       string
	Endpoint   string
	Reason     string
	DataCentre string
}

type bucket struct {
	at   int64
	rows map[Row]int64
}

// A Ledger holds the counts of the last five minutes.
type Ledger struct {
	mu   sync.Mutex
	ring [numSeconds]bucket
}

// New returns an empty Ledger.
func New() *Ledger { return new(Ledger) }

// Add counts one request that ended at now.
func (l *Ledger) Add(now time.Duration, r Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := int64(now / time.Second)
	b := &l.ring[at%numSeconds]
	if b.at != at || b.rows == nil {
		*b = bucket{at, make(map[Row]int64)}
	}
	if _, ok := b.rows[r]; !ok && len(b.rows) >= maxRows {
		r.Team, r.Endpoint = Other, Other
	}
	b.rows[r]++
}

// Sum returns the counts of the window that ends at now, in whole seconds up to 299 s. The current
// second counts too.
func (l *Ledger) Sum(now, window time.Duration) map[Row]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	to := int64(now / time.Second)
	from := to - int64(min(window, (numSeconds-1)*time.Second)/time.Second)
	out := make(map[Row]int64)
	for i := range l.ring {
		b := &l.ring[i]
		if b.rows == nil || b.at < from || b.at > to {
			continue
		}
		for r, n := range b.rows {
			out[r] += n
		}
	}
	return out
}
