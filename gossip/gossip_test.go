package gossip

import (
	"reflect"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/discovery"
	"ivyridge/inventory"
	"ivyridge/quota"
	"ivyridge/speed"
)

func drawMessage(t *rapid.T) *Message {
	m := &Message{
		Sender:     rapid.Uint64Min(1).Draw(t, "sender"),
		DataCentre: rapid.StringN(0, 10, 10).Draw(t, "data centre"),
		Leaving:    rapid.Bool().Draw(t, "leaving"),
		Token:      rapid.Uint32().Draw(t, "token"),
		Echo:       rapid.Uint32().Draw(t, "echo"),
		Revision:   rapid.Int64Min(0).Draw(t, "revision"),
		Age:        time.Duration(rapid.Int64Range(-1, 1<<20).Draw(t, "age")) * time.Millisecond,
		Complete:   rapid.Bool().Draw(t, "whole"),
		WarmedUp:   rapid.Bool().Draw(t, "warm"),
		NextWithin: time.Duration(rapid.IntRange(0, 1<<20).Draw(t, "next")) * time.Millisecond,
		FleetSize:  rapid.IntRange(0, 1000).Draw(t, "hears"),
		Protocol:   rapid.IntRange(0, 1000).Draw(t, "level"),
		RetryShare: float64(rapid.IntRange(0, 1/shareUnit).Draw(t, "part")) * shareUnit,
	}
	if rapid.Bool().Draw(t, "has summary") {
		m.Summary = &inventory.Summary{
			Build: rapid.Uint32().Draw(t, "build"), Settings: rapid.Uint32().Draw(t, "settings"), Version: rapid.Int64Min(0).Draw(t, "version"),
			Ready: rapid.Bool().Draw(t, "ready"), Rejected: rapid.Bool().Draw(t, "refused"), NeedsRestart: rapid.Bool().Draw(t, "waiting"),
		}
	}
	if rapid.Bool().Draw(t, "asks") {
		m.PlacementRequest = drawPlacementRequest(t)
	}
	if rapid.Bool().Draw(t, "grants") {
		m.PlacementResponse = drawPlacementResponse(t)
	}
	for range rapid.IntRange(0, 3).Draw(t, "reports") {
		m.Reports = append(m.Reports, drawReport(t))
	}
	for range rapid.IntRange(0, 3).Draw(t, "sums") {
		m.Aggregates = append(m.Aggregates, drawReport(t))
	}
	m.AggregatesOf = rapid.StringMatching(`[a-z]{0,5}`).Draw(t, "aggregates of")
	m.AggregatesComplete = rapid.Bool().Draw(t, "aggregates complete")
	for range rapid.IntRange(0, 3).Draw(t, "notices") {
		n := balance.Notice{Endpoint: rapid.Uint32().Draw(t, "endpoint"), Uncached: rapid.IntRange(0, 1<<20).Draw(t, "uncached"),
			Priority: rapid.IntRange(0, 9).Draw(t, "priority"), Fetched: rapid.IntRange(0, 1<<20).Draw(t, "fetched")}
		for range rapid.IntRange(0, 3).Draw(t, "parts") {
			n.Parts = append(n.Parts, balance.PromptPart{ID: rapid.Uint64().Draw(t, "id"), Tokens: rapid.IntRange(0, 1<<20).Draw(t, "tokens")})
		}
		m.Notices = append(m.Notices, n)
	}
	m.RegionMessage = drawRegion(t)
	return m
}

func drawSamples(t *rapid.T) speed.Samples {
	weight := float64(rapid.IntRange(0, 1000).Draw(t, "weight")) * outcomeUnit
	return speed.Samples{Weight: weight, Log: weight * float64(rapid.IntRange(-2000, 2000).Draw(t, "mean")) * logUnit}
}

func drawPlacementRequest(t *rapid.T) *PlacementRequest {
	r := &PlacementRequest{
		Number:      rapid.Uint64().Draw(t, "number"),
		Service:     rapid.StringN(0, 10, 10).Draw(t, "service"),
		Priority:    rapid.IntRange(0, 9).Draw(t, "priority"),
		Objective:   time.Duration(rapid.IntRange(0, 1<<30).Draw(t, "objective")) * time.Microsecond,
		MaxGap:      time.Duration(rapid.IntRange(0, 1<<30).Draw(t, "pause")) * time.Microsecond,
		Deadline:    time.Duration(rapid.IntRange(0, 1<<30).Draw(t, "deadline")) * time.Microsecond,
		Prompt:      rapid.IntRange(0, 1<<20).Draw(t, "prompt"),
		Output:      rapid.IntRange(0, 1<<20).Draw(t, "output"),
		AlreadySent: rapid.Bool().Draw(t, "sent"),
		Team:        rapid.Uint32().Draw(t, "team"),
		Bytes:       rapid.IntRange(0, 1<<20).Draw(t, "bytes"),
		Retry:       balance.Retry(rapid.IntRange(0, 3).Draw(t, "retry")),
		Deposit:     quota.DepositKind(rapid.IntRange(0, 2).Draw(t, "earns")),
		ChargeRetry: rapid.Bool().Draw(t, "lend"),
	}
	if rapid.Bool().Draw(t, "bound") {
		var regions []string
		for range rapid.IntRange(0, 3).Draw(t, "homes") {
			regions = append(regions, rapid.StringMatching(`[a-z]{0,5}`).Draw(t, "region"))
		}
		r.Residency = catalog.NewResidency(regions)
	}
	for range rapid.IntRange(0, 3).Draw(t, "request parts") {
		r.Parts = append(r.Parts, balance.PromptPart{ID: rapid.Uint64().Draw(t, "id"), Tokens: rapid.IntRange(0, 1<<20).Draw(t, "tokens")})
	}
	for range rapid.IntRange(0, 3).Draw(t, "avoided") {
		r.Avoid = append(r.Avoid, rapid.Uint32().Draw(t, "avoid"))
	}
	return r
}

func drawPlacementResponse(t *rapid.T) *PlacementResponse {
	times := func(name string) float64 { return float64(rapid.IntRange(0, 1<<30).Draw(t, name)) * nanosecond }
	r := &PlacementResponse{Number: rapid.Uint64().Draw(t, "number"), Grant: balance.Grant{
		Endpoint:       rapid.Uint32().Draw(t, "endpoint"),
		Cost:           rapid.Float64().Draw(t, "cost"),
		Cached:         rapid.IntRange(0, 1<<20).Draw(t, "cached"),
		Backlog:        time.Duration(rapid.IntRange(0, 1<<30).Draw(t, "backlog")) * time.Microsecond,
		FailureRate:    rapid.Float64Range(0, 1).Draw(t, "failing"),
		ExcessFailures: rapid.Float64Range(0, 1).Draw(t, "excess"),
		BacklogTokens:  float64(rapid.IntRange(0, 1<<20).Draw(t, "ahead")),
		Wait:           times("wait"),
		Pace:           balance.Pace{PrefillPerToken: times("read"), StepTime: times("step"), TokenTime: times("token")},
		RetryAvailable: rapid.Bool().Draw(t, "spare"),
		RetryCharged:   rapid.Bool().Draw(t, "lent"),
	}}
	if rapid.Bool().Draw(t, "fetches") {
		r.Grant.Fetched = rapid.IntRange(0, 1<<20).Draw(t, "fetched")
		r.Grant.Donor = rapid.Uint32Min(1).Draw(t, "donor")
	}
	if rapid.Bool().Draw(t, "refuses") {
		r.Grant.Refusal = &balance.Refusal{
			Cause:      balance.Cause(rapid.Uint8().Draw(t, "cause")),
			Wait:       time.Duration(rapid.IntRange(0, 1<<30).Draw(t, "refusal wait")) * time.Microsecond,
			Pressure:   rapid.Float64Range(0, 100).Draw(t, "pressure"),
			RetryAfter: time.Duration(rapid.IntRange(0, 1<<30).Draw(t, "retry after")) * time.Microsecond,
		}
	}
	return r
}

func drawReport(t *rapid.T) balance.Report {
	r := balance.Report{Endpoint: rapid.Uint32().Draw(t, "endpoint")}
	r.Requests = rapid.IntRange(0, 1000).Draw(t, "requests")
	r.Memory = rapid.IntRange(0, 1<<20).Draw(t, "memory")
	r.Completed = float64(rapid.IntRange(0, 1000).Draw(t, "ended")) * outcomeUnit
	r.Failed = float64(rapid.IntRange(0, 1000).Draw(t, "failed")) * outcomeUnit
	for level := range r.ByLevel {
		r.ByLevel[level] = rapid.IntRange(0, 1000).Draw(t, "requests of a level")
		r.PendingPrefillByLevel[level] = rapid.IntRange(0, 1<<18).Draw(t, "pending prefill of a level")
		r.PendingPrefill += r.PendingPrefillByLevel[level]
	}
	r.Replaced = time.Duration(rapid.IntRange(0, 1<<20).Draw(t, "gone")) * time.Millisecond
	r.Backoff = time.Duration(rapid.IntRange(0, 1<<20).Draw(t, "rest")) * time.Millisecond
	r.Draining = rapid.Bool().Draw(t, "leaves")
	r.Down = rapid.Bool().Draw(t, "down")
	r.Prefill = drawSamples(t)
	r.Step = drawSamples(t)
	return r
}

func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		got, err := Decode(m.Append(nil))
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("decoded message is %+v, error %v, want %+v", got, err, m)
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add((&Message{Sender: 1, DataCentre: "z", Reports: []balance.Report{{Endpoint: 2}}}).Append(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err == nil && m.Sender == 0 {
			t.Fatal("message without sender accepted")
		}
	})
}

// A testInstance is an instance under test with its own clock.
type testInstance struct {
	g     *Gossip
	table *discovery.Table
	clock time.Time
}

func newTestInstance(t interface{ Fatal(...any) }, skew time.Duration, id uint64) *testInstance {
	s := &testInstance{clock: time.Unix(1000, 0).Add(skew)}
	now := func() time.Time { return s.clock }
	s.table = discovery.NewTable(now)
	s.g = newGossip(Options{
		State: s.table, Balancer: balance.New("z", now), Log: zap.NewNop(),
		Count: func(string) {}, Now: now, OnFleetSize: func(int, time.Duration) {},
	}, id, nil)
	return s
}

func document() *catalog.Document { return &catalog.Document{Version: 1} }

// State must never look newer than it is, despite delays, loss, reordering and pauses.
func TestStateAgeNeverUnderestimated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkStateAges(t, (*Gossip).confirmationTime) })
}

// The check must detect an implementation that dates state by the arrival of the message.
func TestStateAgeCheckDetectsDatingByArrival(t *testing.T) {
	byArrival := func(g *Gossip, m *Message) time.Time { return g.Now().Add(-m.Age) }
	if !findsFault(byArrival) {
		t.Fatal("state dated by message arrival passes the check")
	}
}

// findsFault reports whether confirmationTime understates a state's age after a delay in flight.
func findsFault(confirmationTime func(*Gossip, *Message) time.Time) bool {
	a, b := newTestInstance(ignoreFatal{}, 0, 1), newTestInstance(ignoreFatal{}, time.Hour, 2)
	confirmedAt := a.clock
	_ = a.table.Apply(&discovery.Update{Revision: 5, Config: document(), ValidatedAt: a.clock})
	_ = b.table.Apply(&discovery.Update{Revision: 5, Config: document(), ValidatedAt: b.clock.Add(-time.Minute)})
	m := a.g.newMessage(a.clock)
	a.clock, b.clock = a.clock.Add(3*time.Second), b.clock.Add(3*time.Second)
	b.table.MergePeerValidation(m.Revision, confirmationTime(b.g, m))
	age, ok := b.table.Age()
	return ok && age < a.clock.Sub(confirmedAt)
}

type ignoreFatal struct{}

func (ignoreFatal) Fatal(...any) {}

func checkStateAges(t *rapid.T, confirmationTime func(*Gossip, *Message) time.Time) {
	var lastRead time.Duration // when the store was last read, in true time
	var now time.Duration
	a, b := newTestInstance(t, 0, 1), newTestInstance(t, time.Hour, 2)
	_ = a.table.Apply(&discovery.Update{Revision: 5, Config: document(), ValidatedAt: a.clock})
	_ = b.table.Apply(&discovery.Update{Revision: 5, Config: document(), ValidatedAt: b.clock.Add(-time.Minute)})
	var toA, toB []*Message
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		pause := time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
		now += pause
		a.clock, b.clock = a.clock.Add(pause), b.clock.Add(pause)
		switch rapid.IntRange(0, 4).Draw(t, "event") {
		case 0: // a reads the store
			lastRead = now
			_ = a.table.Apply(&discovery.Update{Revision: 5, ValidatedAt: a.clock})
		case 1:
			m := a.g.newMessage(a.clock)
			if member := a.g.members.byAddress["b"]; member != nil {
				m.Echo = member.token
			}
			toB = append(toB, m)
		case 2:
			toA = append(toA, b.g.newMessage(b.clock))
		case 3:
			if m := deliver(t, &toA); m != nil {
				a.g.members.observe(a.clock, "b", m, time.Time{})
			}
		case 4:
			if m := deliver(t, &toB); m != nil {
				if validatedAt := confirmationTime(b.g, m); !validatedAt.IsZero() {
					b.table.MergePeerValidation(m.Revision, validatedAt)
				}
			}
		}
		if age, ok := b.table.Age(); ok && age < now-lastRead {
			t.Fatalf("instance b computes a state age of %v, want at least %v", age, now-lastRead)
		}
	}
}

// deliver returns a random message in flight, which may stay to be delivered again.
func deliver(t *rapid.T, queue *[]*Message) *Message {
	if len(*queue) == 0 {
		return nil
	}
	i := rapid.IntRange(0, len(*queue)-1).Draw(t, "which")
	m := (*queue)[i]
	if rapid.Bool().Draw(t, "once") {
		*queue = append((*queue)[:i], (*queue)[i+1:]...)
	}
	return m
}

func TestMemberLifecycle(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newMembers(Member{ID: 1, Address: "own"}, []string{"seed", "own"})
	if got := s.candidates(true); !reflect.DeepEqual(got, []string{"seed"}) {
		t.Fatalf("candidates before any message: %v, want the seed", got)
	}
	s.observe(now, "seed", &Message{Sender: 2, Peers: []string{"third", "own"}}, time.Time{})
	if got := s.candidates(true); !reflect.DeepEqual(got, []string{"third"}) {
		t.Fatalf("candidates %v, want the one that the seed advertised", got)
	}
	if got := addresses(s.currentRoles(now).schedulers); !reflect.DeepEqual(got, []string{"seed"}) {
		t.Fatalf("schedulers %v, want the seed", got)
	}
	count := func() (n int) {
		s.eachLive(now, func(*Member) { n++ })
		return n
	}
	if count() != 1 {
		t.Fatalf("%d live members, want 1: an advertised address is no live member", count())
	}
	now = now.Add(time.Minute)
	if timedOut := s.prune(now); !reflect.DeepEqual(timedOut, []uint64{2}) || len(s.byAddress) != 0 {
		t.Fatalf("members timed out: %v, members left: %d, want [2] and 0", timedOut, len(s.byAddress))
	}
}

func TestRestartDetected(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newMembers(Member{ID: 1, Address: "own"}, nil)
	for _, c := range []struct {
		id     uint64
		joined bool
	}{{2, true}, {2, false}, {3, true}} {
		if got := s.observe(now, "a", &Message{Sender: c.id}, time.Time{}); got != c.joined {
			t.Fatalf("observe(sender %d) reports a new sender: %v, want %v", c.id, got, c.joined)
		}
	}
}
