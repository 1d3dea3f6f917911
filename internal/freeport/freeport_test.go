package freeport

import "testing"

// Guards against a test getting the same port twice when it asks for several ports before it
// listens on any: the later listen would fail with "address already in use".
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
