package balance

// This file places requests that were in hand when an endpoint ended.
//
// One of them may end the next endpoint as well. It goes where that costs least, and no two of
// them go to the same endpoint if there is another: the next end then tells which one it was.
// They are not held back: nearly all of them did nothing.

import "time"

const (
	// suspectBeside is what each request that runs at an endpoint adds to the cost of sending a
	// suspect there. One of some tens ends the endpoint, and each that it loses is late.
	suspectBeside = 0.05
	// suspectTogether is what another suspect there adds: more than all that usually tells
	// endpoints apart.
	suspectTogether = 4.0
	// suspectTold is how long a suspect that another instance placed counts as being there: as
	// long as it takes to begin. What ends an endpoint does so as it begins.
	suspectTold = time.Second
)

// suspectCost returns what is added to the cost of an endpoint for a suspect.
func (l *load) suspectCost(now time.Time) float64 {
	cost := suspectBeside * float64(l.running+l.others.Requests)
	if l.suspects > 0 || now.Before(l.suspectUntil) {
		cost += suspectTogether
	}
	return cost
}

// suspected notes that another instance placed a suspect at the endpoint.
func (l *load) suspected(now time.Time) { l.suspectUntil = now.Add(suspectTold) }
