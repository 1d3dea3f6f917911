package balance

// This file places suspects: requests that were running at an endpoint when it crashed.
//
// Any of them may crash the next endpoint too, so they are placed where a crash would cost
// least, on separate endpoints if possible. They are not delayed, since nearly all are harmless.

import "time"

const (
	// suspectPerRequest is the cost of placing a suspect, per request running at the endpoint. Few
	// suspects crash the endpoint, but each request that is lost there is late.
	suspectPerRequest = 0.05
	// suspectColocated is the cost of placing two suspects at one endpoint. It exceeds typical
	// cost differences between endpoints.
	suspectColocated = 4.0
	// suspectTTL is how long a suspect placed by another instance is presumed to run. Requests
	// that crash an endpoint do so at their start.
	suspectTTL = time.Second
)

// suspectCost returns the additional cost of placing a suspect at the endpoint.
func (l *load) suspectCost(now time.Time) float64 {
	cost := suspectPerRequest * float64(l.running+l.others.Requests)
	if l.suspects > 0 || now.Before(l.suspectUntil) {
		cost += suspectColocated
	}
	return cost
}

// markSuspect records that another instance placed a suspect at the endpoint.
func (l *load) markSuspect(now time.Time) { l.suspectUntil = now.Add(suspectTTL) }
