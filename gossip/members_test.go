package gossip

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Live members are visited in order of address, each once, without allocation.
func TestMembersStaySorted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		s := newMembers(Member{Address: "self", ID: 1}, nil)
		want := make(map[string]uint64)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			address := fmt.Sprint("a", rapid.IntRange(0, 20).Draw(t, "address"))
			id := rapid.Uint64Range(2, 4).Draw(t, "id")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				s.addCandidate(now, address)
			case 1:
				if m := s.byAddress[address]; m != nil && !m.lastHeard.IsZero() {
					m.lastHeard = now.Add(-time.Minute)
					delete(want, address)
				}
				s.prune(now)
			default:
				s.observe(now, address, &Message{Sender: id, NextWithin: time.Second}, time.Time{})
				want[address] = id
			}
		}
		var got []string
		s.eachLive(now, func(m *Member) {
			got = append(got, m.Address)
			if m.ID != want[m.Address] || s.byAddress[m.Address] != m {
				t.Fatalf("member at %s has ID %d, want %d, and the same entry in byAddress", m.Address, m.ID, want[m.Address])
			}
		})
		if addresses := slices.Sorted(maps.Keys(want)); !slices.Equal(got, addresses) {
			t.Fatalf("eachLive visits %v, want %v", got, addresses)
		}
		n := 0
		if allocs := testing.AllocsPerRun(10, func() { s.eachLive(now, func(*Member) { n++ }) }); allocs > 0 {
			t.Fatalf("eachLive allocates %v times, want none", allocs)
		}
	})
}
