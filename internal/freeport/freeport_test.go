package freeport

import "testing"

// Symptom: a test of instances ended, once in some whole runs, with "address
// already in use".
//
// Sequence: a test asks for four or more ports before it listens at any; each
// is free when it is asked for.
//
// Cause: ports were drawn by chance from 12,000 and not remembered, so that one
// test was now and then given the same port twice.
func TestNoPortIsGivenTwice(t *testing.T) {
	given := make(map[int]bool)
	for range 400 {
		port := Find(t)
		if given[port] {
			t.Fatalf("port %d is given twice, the second time after %d others", port, len(given))
		}
		given[port] = true
	}
}
