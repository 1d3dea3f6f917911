package entry

// This file periodically checks all active relays for blocked writes.

import (
	"sync"
	"time"
)

// monitorInterval is the time between checks. A caller that does not read is noticed after
// one or two; endpoints close unread responses only after seconds.
const monitorInterval = 250 * time.Millisecond

// A relayMonitor checks relays. Its goroutine runs only while there are any.
type relayMonitor struct {
	now func() time.Time

	mu      sync.Mutex
	relays  map[*relay]struct{}
	running bool
}

func newRelayMonitor(now func() time.Time) *relayMonitor {
	return &relayMonitor{now: now, relays: make(map[*relay]struct{})}
}

// add registers r for checks.
func (w *relayMonitor) add(r *relay) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.relays[r] = struct{}{}
	if !w.running {
		w.running = true
		go w.run()
	}
}

// remove unregisters r. No check of r is running or will run when it returns.
func (w *relayMonitor) remove(r *relay) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.relays, r)
}

// run checks all relays periodically until there are none.
func (w *relayMonitor) run() {
	tick := time.NewTicker(monitorInterval)
	defer tick.Stop()
	for range tick.C {
		if !w.checkAll(w.now()) {
			return
		}
	}
}

// checkAll checks all relays, and reports whether there are any.
func (w *relayMonitor) checkAll(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for r := range w.relays {
		r.check(now)
	}
	w.running = len(w.relays) > 0
	return w.running
}
