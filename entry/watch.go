package entry

// This file looks at the answers that are being passed on, four times a second.
//
// One goroutine looks at all of them, and only while there are any. A timer for each
// answer, or each write, costs more as events get more; see relay.go.

import (
	"sync"
	"time"
)

// watchRound is how often answers are looked at: a caller that does not read shows after
// one or two rounds, and endpoints cut off an answer that stays unread after seconds. With
// 100 ms the wake-ups alone are 2% of the processor time of an instance with few requests.
const watchRound = 250 * time.Millisecond

// A watch looks at relays.
type watch struct {
	now func() time.Time

	mu      sync.Mutex
	relays  map[*relay]struct{}
	running bool
}

func newWatch(now func() time.Time) *watch {
	return &watch{now: now, relays: make(map[*relay]struct{})}
}

// add has r looked at from the next round on.
func (w *watch) add(r *relay) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.relays[r] = struct{}{}
	if !w.running {
		w.running = true
		go w.run()
	}
}

// remove ends that. R is not looked at any more when it returns.
func (w *watch) remove(r *relay) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.relays, r)
}

// run looks at all relays round by round, until there is none.
func (w *watch) run() {
	tick := time.NewTicker(watchRound)
	defer tick.Stop()
	for range tick.C {
		if !w.round(w.now()) {
			return
		}
	}
}

// round looks at all relays, and reports whether there are any.
func (w *watch) round(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for r := range w.relays {
		r.look(now)
	}
	w.running = len(w.relays) > 0
	return w.running
}
