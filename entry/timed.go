package entry

// This file ends requests whose time passed while the machine slept: the runtime's timers don't
// count a sleep.

import (
	"context"
	"sync"
	"time"
)

// timed are the requests in hand that have an end.
type timed struct {
	mu  sync.Mutex
	all map[*exchange]context.CancelFunc
}

// untilEnd returns a context that ends with the request's caller or its time.
func (f *exchange) untilEnd() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(f.r.Context(), f.ends.Sub(f.entry.Now()))
	t := &f.entry.timed
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.all == nil {
		t.all = make(map[*exchange]context.CancelFunc)
	}
	t.all[f] = cancel
	return ctx, func() {
		t.mu.Lock()
		delete(t.all, f)
		t.mu.Unlock()
		cancel()
	}
}

// Woke takes up that the machine has slept: requests whose time is over by now are ended, and
// the others at their time.
func (e *Entry) Woke() {
	now := e.Now()
	e.timed.mu.Lock()
	defer e.timed.mu.Unlock()
	for f, cancel := range e.timed.all {
		time.AfterFunc(max(0, f.ends.Sub(now)), cancel)
	}
}
