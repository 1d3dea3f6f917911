package gossip

import (
	"slices"
	"testing"
	"time"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/discovery"
	"ivyridge/fair"
)

func TestTeamUsesRoundTrip(t *testing.T) {
	uses := []balance.TeamUse{
		{Service: 7, Usage: fair.Usage{Level: 0, Team: 1, Rate: 12.5}},
		{Service: 7, Usage: fair.Usage{Level: 2, Team: 1, Rate: 3}},
		{Service: 7, Usage: fair.Usage{Level: 2, Team: 0xffffffff, Rate: 1e5}},
		{Service: 9, Usage: fair.Usage{Level: 2, Team: 5, Rate: 0.25}},
	}
	m, err := Decode((&Message{Sender: 1, Teams: uses}).Append(nil))
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(m.Teams, uses) {
		t.Errorf("decoded uses are %+v, want %+v", m.Teams, uses)
	}
}

// Truncated team uses return an error, and unknown levels are ignored.
func TestMalformedTeamUses(t *testing.T) {
	for _, c := range []struct {
		name  string
		rates []byte
		level uint64
		fails bool
	}{
		{"a truncated hash", []byte{1, 2}, 1, true},
		{"a truncated rate", []byte{1, 2, 3, 4, 0x80}, 1, true},
		{"an unknown level", []byte{1, 2, 3, 4, 5}, fair.Levels, false},
	} {
		group := appendUint(nil, fieldTeamLevel, c.level)
		m, err := Decode(appendBytes((&Message{Sender: 1}).Append(nil), fieldTeams, appendBytes(group, fieldTeamRates, c.rates)))
		if (err != nil) != c.fails || len(m.Teams) > 0 {
			t.Errorf("%s: error is %v and uses are %+v, want no uses, and an error if malformed", c.name, err, m.Teams)
		}
	}
}

// The uses of a service stay in one message, since a message replaces earlier ones of the service.
func TestTeamUsesSplitByService(t *testing.T) {
	var uses []balance.TeamUse
	for service := range uint32(7) {
		for team := range uint32(15) {
			uses = append(uses, balance.TeamUse{Service: service, Usage: fair.Usage{Team: team + 1, Rate: 1}})
		}
	}
	seen := make(map[uint32]bool)
	for sent := 0; len(uses) > 0; sent++ {
		var first []balance.TeamUse
		first, uses = splitTeams(uses)
		if len(first) == 0 || len(first) > maxTeamUses || seen[first[0].Service] {
			t.Fatalf("message %d has %d uses, from service %d on, want 1 to maxTeamUses of services not sent before", sent, len(first), first[0].Service)
		}
		for _, u := range first {
			seen[u.Service] = true
		}
	}
}

// While a service is short of capacity, and only then, its schedulers exchange the teams' demand.
func TestTeamUsesReachOtherSchedulers(t *testing.T) {
	t.Parallel()
	w := newSimulation(t, 30, 2)
	w.run(10 * time.Second)
	service := &catalog.Service{Name: "p"}
	endpoints := []*discovery.Endpoint{{Endpoint: catalog.Endpoint{ID: "e", DataCentre: "dc0", Slots: 6}}}
	messages := 0
	for _, n := range w.nodes {
		n.Count = func(event string) {
			if event == "teams-told" {
				messages++
			}
		}
	}
	heavy, small := balance.TeamHash("heavy"), balance.TeamHash("small")
	place := func(n *node, times int, team uint32) {
		for range times {
			n.Balancer.Grant(99, endpoints, &balance.Demand{Service: service, Team: team})
		}
	}
	for range 20 {
		for _, n := range w.nodes[:2] { // the first schedulers of both data centres
			place(n, 10, heavy)
			place(n, 1, small)
		}
		w.run(100 * time.Millisecond)
	}
	for i, n := range w.nodes[:2] {
		shares := n.Balancer.Shares()
		if len(shares) != 1 || len(shares[0].Levels) != 1 {
			t.Fatalf("scheduler %d has shares %+v, want one service with one priority level", i, shares)
		}
		if s := shares[0].Levels[0].Teams[0]; s.Team != heavy || s.Others < s.Asked/2 {
			t.Errorf("first team of scheduler %d is %+v, want heavy with at least half its demand at others", i, s)
		}
	}
	if messages == 0 {
		t.Error("no team messages sent while capacity was short")
	}
	w.run(5 * time.Second)
	messages = 0
	w.run(5 * time.Second)
	if messages > 0 {
		t.Errorf("%d team messages sent after demand ended, want none", messages)
	}
}
