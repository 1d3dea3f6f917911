package entry

// This file periodically checks all active relays for blocked writes.

import (
	"sync"
	"time"
)

// monitorInterval is the time between checks. A blocked write is noticed after one or two. Shorter
// intervals cost an instance with few requests noticeable processor time in wake-ups.
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

func (m *relayMonitor) add(r *relay) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.relays[r] = struct{}{}
	if !m.running {
		m.running = true
		go m.run()
	}
}

// remove unregisters r. No check of r is running or will run when it returns.
func (m *relayMonitor) remove(r *relay) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.relays, r)
}

func (m *relayMonitor) run() {
	tick := time.NewTicker(monitorInterval)
	defer tick.Stop()
	for range tick.C {
		if !m.checkAll(m.now()) {
			return
		}
	}
}

// checkAll checks all relays, and reports whether there are any.
func (m *relayMonitor) checkAll(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for r := range m.relays {
		r.check(now)
	}
	m.running = len(m.relays) > 0
	return m.running
}
