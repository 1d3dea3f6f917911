package freeport

import "testing"

// A test may ask for several ports before it listens on any.
func TestFindReturnsDistinctPorts(t *testing.T) {
	seen := make(map[int]bool)
	for range 400 {
		port := Find(t)
		if seen[port] {
			t.Fatalf("port %d was returned again after %d distinct ports", port, len(seen))
		}
		seen[port] = true
	}
}
