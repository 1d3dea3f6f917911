package gossip

import (
	"testing"

	"ivyridge/catalog"
)

// A version counts for the streams of equal requests only if no instance contradicts it and one can have
// missed none of them.
func TestCombineContent(t *testing.T) {
	complete, incomplete := StreamAnswer{Held: true, Software: 7, Complete: true}, StreamAnswer{Held: true, Software: 7}
	other, conflict, only := StreamAnswer{Held: true, Software: 8}, StreamAnswer{Held: true}, StreamAnswer{Software: 8}
	for _, c := range []struct {
		name       string
		answers    []StreamAnswer
		want       catalog.SoftwareID
		conclusive bool
	}{
		{"none", nil, 0, false},
		{"no record", []StreamAnswer{{}, only}, 0, false},
		{"complete", []StreamAnswer{{}, complete, incomplete}, 7, true},
		{"incomplete", []StreamAnswer{incomplete, incomplete}, 7, false},
		{"two versions", []StreamAnswer{complete, other}, 0, true},
		{"two versions, the other way", []StreamAnswer{other, complete}, 0, true},
		{"unknown version", []StreamAnswer{complete, conflict}, 0, true},
	} {
		if got, conclusive := combineContent(c.answers); got != c.want || conclusive != c.conclusive {
			t.Errorf("%s: got version %d, conclusive %v, want %d, %v", c.name, got, conclusive, c.want, c.conclusive)
		}
	}
}
