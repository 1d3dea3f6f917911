package link

import (
	"testing"
	"time"
)

func TestNarrowQueuesAndLoses(t *testing.T) {
	n, now := NewNarrow(1000, 250*time.Millisecond), time.Unix(1000, 0)
	for i, want := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond} {
		if got, ok := n.take(100, now); !ok || got != want {
			t.Errorf("datagram %d takes %v, %v, want %v", i, got, ok, want)
		}
	}
	if _, ok := n.take(100, now); ok {
		t.Error("more waits than may")
	}
	if got, ok := n.take(100, now.Add(time.Second)); !ok || got != 100*time.Millisecond {
		t.Errorf("after the queue is empty one takes %v, %v", got, ok)
	}
}
