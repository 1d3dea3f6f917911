package gossip

import (
	"os"
	"strconv"
	"testing"
	"time"

	"ivyridge/inventory"
)

// setSummary sets the settings that n announces.
func (n *node) setSummary(settings uint32) {
	n.Summary = func() inventory.Summary {
		return inventory.Summary{Build: 1, Settings: settings, Version: 7, Ready: true}
	}
}

// summaryCounts counts instances by announced settings, those without a summary, and lost ones.
func (n *node) summaryCounts() (bySettings map[uint32]int, unannounced, lost int) {
	bySettings = make(map[uint32]int)
	for _, s := range n.Inventory() {
		switch {
		case s.Lost:
			lost++
		case !s.HasSummary:
			unannounced++
		default:
			bySettings[s.Summary.Settings]++
		}
	}
	return bySettings, unannounced, lost
}

// inventoryFleetSize is the size of a large fleet; IVYRIDGE_FLEET overrides it.
func inventoryFleetSize(t *testing.T) int {
	text := os.Getenv("IVYRIDGE_FLEET")
	if text == "" {
		return 100
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 50 {
		t.Fatalf("IVYRIDGE_FLEET=%s: want a number of at least 50", text)
	}
	return n
}

// A scheduler of a large fleet sees changed settings, an old build that announces nothing, an
// isolated instance, and one that restarted with other settings.
func TestInventoryReachesSchedulers(t *testing.T) {
	t.Parallel()
	const dataCentres = 5
	n := inventoryFleetSize(t)
	w := newSimulation(t, n, dataCentres)
	for i, node := range w.nodes {
		if i != 40 { // an old build
			node.setSummary(1)
		}
	}
	w.run(12 * time.Second)
	scheduler := w.nodes[0]
	if got, unannounced, lost := scheduler.summaryCounts(); got[1] != n-2 || unannounced != 1 || lost != 0 {
		t.Fatalf("at start: instances by settings %v, %d without a summary, %d lost, want %d with settings 1, 1 and 0", got, unannounced, lost, n-2)
	}
	for i := 20; i < 35; i++ {
		w.nodes[i].setSummary(2)
	}
	isolated := w.nodes[46]
	w.lost = func(a, b *node) bool { return a == isolated || b == isolated }
	w.nodes[48].dead = true
	w.run(heartbeatInterval(n) + time.Second)
	w.start(48, 9999, w.nodes[48].DataCentre, 0.2)
	w.nodes[48].setSummary(3)
	w.run(missedHeartbeats*heartbeatInterval(n) + time.Second)
	got, unannounced, lost := scheduler.summaryCounts()
	if got[1] != n-2-15-1-1 || got[2] != 15 || got[3] != 1 || unannounced != 1 || lost != 1 {
		t.Errorf("after changes: instances by settings %v, %d without a summary, %d lost, want %d with settings 1, 15 with 2, 1 with 3, 1 without a summary, 1 lost", got, unannounced, lost, n-2-15-1-1)
	}
}

// Bounds the bandwidth that summaries add in an idle fleet.
func TestSummaryOverhead(t *testing.T) {
	t.Parallel()
	crossBytes := func(announce bool) int {
		w := newSimulation(t, inventoryFleetSize(t), 5)
		if announce {
			for _, n := range w.nodes {
				n.setSummary(1)
			}
		}
		w.run(8 * time.Second)
		before := w.crossDataCentreBytes
		w.run(summaryInterval)
		return w.crossDataCentreBytes - before
	}
	without, with := crossBytes(false), crossBytes(true)
	t.Logf("between data centres in 15 s: %d bytes without summaries, %d with", without, with)
	if float64(with) > 1.08*float64(without) {
		t.Errorf("%d bytes between data centres with summaries, %d without, want at most 1.08 times as many", with, without)
	}
}
