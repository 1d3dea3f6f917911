package gossip

// This file waits for responses of other instances.

import (
	"context"
	"time"
)

// waitSteps is the number of steps that a timeout is divided into. With more steps, waiting costs more
// wake-ups; with fewer, an instance that gets little processor time counts more of its own delay.
const waitSteps = 10

// awaitResponse waits for a response until ctx is done or timeout has passed. ok is false if there was
// none.
//
// Time in which this process doesn't run hardly counts: after a pause, or on a busy machine, the
// response may have arrived long before the process reads it, and the other instance is not to
// blame. So the timeout passes in steps, each of which takes effect once the process runs again.
func awaitResponse[T any](ctx context.Context, responses <-chan T, timeout time.Duration) (response T, ok bool) {
	step := timeout / waitSteps
	timer := time.NewTimer(step)
	defer timer.Stop()
	for range waitSteps {
		select {
		case response = <-responses:
			return response, true
		case <-ctx.Done():
			return response, false
		case <-timer.C:
			timer.Reset(step)
		}
	}
	select {
	case response = <-responses:
		return response, true
	default:
		return response, false
	}
}
