package link

import (
	"testing"
	"time"
)

func TestBottleneckQueuesAndDrops(t *testing.T) {
	b, now := NewBottleneck(1000, 250*time.Millisecond), time.Unix(1000, 0)
	for i, want := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond} {
		if got, ok := b.enqueue(100, now); !ok || got != want {
			t.Errorf("datagram %d: got delay %v, accepted %v, want delay %v, accepted true", i, got, ok, want)
		}
	}
	if _, ok := b.enqueue(100, now); ok {
		t.Error("a datagram was accepted above the maximum queueing delay")
	}
	if got, ok := b.enqueue(100, now.Add(time.Second)); !ok || got != 100*time.Millisecond {
		t.Errorf("empty queue: got delay %v, accepted %v, want delay 100ms, accepted true", got, ok)
	}
}
