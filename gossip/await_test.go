package gossip

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against giving up on an instance because this process did not run: a timeout passes in steps,
// so that a response that has arrived meanwhile is read.
func TestAwaitResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		responses := make(chan int, 1)
		began := time.Now()
		if _, ok := awaitResponse(t.Context(), responses, 20*time.Millisecond); ok || time.Since(began) != 20*time.Millisecond {
			t.Errorf("response %v after %s without one, want none after 20ms", ok, time.Since(began))
		}
		time.AfterFunc(19*time.Millisecond, func() { responses <- 7 })
		if got, ok := awaitResponse(t.Context(), responses, 20*time.Millisecond); !ok || got != 7 {
			t.Errorf("response %d, %v, want the one that arrives after 19ms", got, ok)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		began = time.Now()
		if _, ok := awaitResponse(ctx, responses, 20*time.Millisecond); ok || time.Since(began) > 0 {
			t.Errorf("response %v after %s although the caller is gone, want none at once", ok, time.Since(began))
		}
	})
}

// Guards against a fixed timeout, with which all requests go unanswered while all instances are slow.
func TestResponseTimeoutFollowsResponseTimes(t *testing.T) {
	var e timeoutEstimator
	if got := e.timeout(0); got != maxResponseTimeout {
		t.Errorf("timeout %s before the first response, want %s", got, maxResponseTimeout)
	}
	if got := e.timeout(80 * time.Millisecond); got != 40*time.Millisecond {
		t.Errorf("timeout %s for an objective of 80ms, want half of it", got)
	}
	for range 20 {
		e.observe(time.Millisecond)
	}
	if got := e.timeout(0); got != minResponseTimeout {
		t.Errorf("timeout %s after responses within 1ms, want %s", got, minResponseTimeout)
	}
	e.recordTimeout()
	if got := e.timeout(0); got != 2*minResponseTimeout {
		t.Errorf("timeout %s after a request without a response, want %s", got, 2*minResponseTimeout)
	}
	for range 20 {
		e.observe(30 * time.Millisecond)
	}
	if got := e.timeout(0); got < 30*time.Millisecond || got > maxResponseTimeout {
		t.Errorf("timeout %s after responses within 30ms, want more than that and at most %s", got, maxResponseTimeout)
	}
	for range 100 {
		e.recordTimeout()
	}
	if got := e.timeout(0); got != maxResponseTimeout {
		t.Errorf("timeout %s after many requests without a response, want %s", got, maxResponseTimeout)
	}
	if got := e.timeout(time.Millisecond); got != minResponseTimeout {
		t.Errorf("timeout %s for an objective of 1ms, want %s", got, minResponseTimeout)
	}
}
